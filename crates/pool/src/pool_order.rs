use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::{TaskName, WorkerKey};

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// The caller cancelled the job, or it has failed.
    JobEnded,
    /// Work that ranks higher needs the capacity.
    Preempted,
    /// The run has stalled or is far too slow.
    NoProgress,
    /// The worker is leaving and the run can resume elsewhere.
    WorkerLeaving,
    /// Another member of the gang did not start, has ended or is stopped.
    GangBroken,
    /// The answer to the start was lost, and the run must not begin later.
    StartUnconfirmed,
    /// An earlier run of the task has ended as done.
    AlreadyDone,
    /// The run is not the current run of any known task.
    Unexpected,
}

/// An order to start one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Description of the job, passed to the task unchanged.
    pub spec: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Worker of the run.
    pub worker: WorkerKey,
    /// Time after which the order must not be sent.
    pub send_before: ClockTime,
}

/// An order to stop one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Task to stop.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Worker of the run.
    pub worker: WorkerKey,
    /// Reason for the stop.
    pub reason: StopReason,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
}
