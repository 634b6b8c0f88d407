use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::{TaskName, WorkerKey};

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// The caller cancelled the job, or it has failed.
    JobEnded,
    /// Work that comes first needs the room.
    Preempted,
    /// The run makes no progress, or far too little.
    NoProgress,
    /// The worker is leaving and the run can resume elsewhere.
    WorkerLeaving,
    /// Another member of the gang could not start.
    GangBroken,
    /// The answer to the start was lost and the run must not begin later.
    StartUnclear,
    /// The worker runs something that no current record names.
    NotExpected,
}

/// Start one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Description of the job.
    pub spec: Arc<str>,
    /// Saved progress to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Worker that runs it.
    pub worker: WorkerKey,
    /// After this time the order is not sent any more.
    pub send_before: ClockTime,
}

/// Stop one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Task to stop.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Worker that runs it.
    pub worker: WorkerKey,
    /// Why.
    pub reason: StopReason,
}

/// An instruction to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
}
