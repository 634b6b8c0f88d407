use arbutuspick_clients::{CallError, VmList, WorkerAnswer};
use arbutuspick_model::{AttemptNumber, JobId, WorkerName};
use arbutuspick_records::{CentreRecord, Versioned};
use tokio::sync::oneshot;

use crate::holder_view::HolderDump;
use crate::job_entry::AfterWrite;
use crate::job_reader::NoticedJob;
use crate::job_write::WriteEnd;

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
pub(crate) struct TakenNotice {
    pub(crate) noticed: NoticedJob,
    pub(crate) done: bool,
}

/// A result of input or output that the holder waits for.
#[derive(Debug)]
pub(crate) enum HolderEvent {
    /// A worker answered, or did not.
    Worker {
        worker: WorkerName,
        call: WorkerCall,
        attempt: Option<(JobId, AttemptNumber)>,
        answer: Result<WorkerAnswer, CallError>,
    },
    /// A write of a job was decided.
    Written {
        job: JobId,
        after: AfterWrite,
        end: Box<WriteEnd>,
    },
    /// The notices of the data centre were read.
    Inbox(Result<Vec<NoticedJob>, CallError>),
    /// Notices were taken up, or could not be.
    TakenUp(Vec<TakenNotice>),
    /// The row of operators' orders was read.
    Centre(Result<Option<Versioned<CentreRecord>>, CallError>),
    /// The list of workers was read.
    Workers(Result<VmList, CallError>),
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
