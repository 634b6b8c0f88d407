use arbutuspick_clients::{CallError, VmList, WorkerResponse};
use arbutuspick_model::{AttemptNumber, JobId, WorkerName};
use arbutuspick_records::{CentreRecord, Versioned};
use tokio::sync::oneshot;

use crate::holder_view::HolderDump;
use crate::job_entry::WriteFollowUp;
use crate::job_write::WriteOutcome;
use crate::table_reader::InboxItem;

/// Kind of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerCall {
    /// Heartbeat that announces the epoch to a worker that has not accepted it yet.
    Epoch,
    /// Heartbeat that renews the gang leases of the worker.
    Renew,
    /// Health check for the placement core, made with a renew call without leases.
    Probe,
    Prepare,
    Start,
    Void,
    Checkpoint,
    Stop,
    Release,
}

/// Result of accepting an inbox notice.
#[derive(Clone, Debug)]
pub(crate) struct NoticeOutcome {
    pub(crate) item: InboxItem,
    pub(crate) accepted: bool,
}

/// Result of an I/O task, delivered to the event loop.
#[derive(Debug)]
pub(crate) enum HolderEvent {
    /// A call to a worker was answered or failed.
    WorkerAnswered {
        worker: WorkerName,
        call: WorkerCall,
        attempt: Option<(JobId, AttemptNumber)>,
        answer: Result<WorkerResponse, CallError>,
    },
    /// A write to a job's row finished.
    WriteFinished {
        job: JobId,
        follow_up: WriteFollowUp,
        outcome: Box<WriteOutcome>,
    },
    /// The inbox of the data centre was read.
    InboxRead(Result<Vec<InboxItem>, CallError>),
    /// Inbox notices were accepted or could not be.
    NoticesProcessed(Vec<NoticeOutcome>),
    /// The data centre row was read.
    CentreRead(Result<Option<Versioned<CentreRecord>>, CallError>),
    /// The platform's worker list was read.
    WorkersListed(Result<VmList, CallError>),
}

/// A message from the rest of the process to its placement holder.
#[derive(Debug)]
pub enum HolderMessage {
    /// The inbox has a new notice: a job was assigned to the data centre or cancelled in it.
    InboxChanged,
    /// The configuration or the set of closed data centres has changed.
    ConfigChanged,
    /// Requests a dump of the state.
    Dump(oneshot::Sender<HolderDump>),
}
