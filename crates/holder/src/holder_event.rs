use arbutuspick_clients::{CallError, VmList, WorkerAnswer};
use arbutuspick_model::{AttemptNumber, JobId, WorkerName};
use arbutuspick_records::{CentreRecord, Versioned};
use tokio::sync::oneshot;

use crate::holder_view::HolderDump;
use crate::job_entry::WriteFollowUp;
use crate::job_write::WriteOutcome;
use crate::table_reader::InboxItem;

/// Call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerCall {
    Epoch,
    Renew,
    Probe,
    Prepare,
    Start,
    Void,
    Checkpoint,
    Stop,
    Release,
}

/// A notice that was taken up, or could not be.
#[derive(Clone, Debug)]
pub(crate) struct NoticeOutcome {
    pub(crate) item: InboxItem,
    pub(crate) accepted: bool,
}

/// A result of input or output that the holder waits for.
#[derive(Debug)]
pub(crate) enum HolderEvent {
    /// A worker answered, or did not.
    WorkerAnswered {
        worker: WorkerName,
        call: WorkerCall,
        attempt: Option<(JobId, AttemptNumber)>,
        answer: Result<WorkerAnswer, CallError>,
    },
    /// A write of a job was decided.
    WriteFinished {
        job: JobId,
        follow_up: WriteFollowUp,
        outcome: Box<WriteOutcome>,
    },
    /// The notices of the data centre were read.
    InboxRead(Result<Vec<InboxItem>, CallError>),
    /// Notices were taken up, or could not be.
    NoticesProcessed(Vec<NoticeOutcome>),
    /// The row of operators' orders was read.
    CentreRead(Result<Option<Versioned<CentreRecord>>, CallError>),
    /// The list of workers was read.
    WorkersListed(Result<VmList, CallError>),
}

/// A message of the process to its holder.
#[derive(Debug)]
pub enum HolderNotice {
    /// A job was assigned to the data centre or cancelled in it.
    InboxChanged,
    /// A new revision of the configuration or another set of data centres that are out is in force.
    ConfigChanged,
    /// Asks for a dump of the state.
    Dump(oneshot::Sender<HolderDump>),
}
