use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::TaskName;

/// The way in which a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// A run that is present on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The task; `None` when its name cannot be read.
    pub task: Option<TaskName>,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Sequence number of the end in this incarnation of the worker.
    pub number: u64,
    /// The task; `None` when its name cannot be read.
    pub task: Option<TaskName>,
    /// Number of the run.
    pub run: u32,
    /// The way in which it ended.
    pub kind: EndKind,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// The runs of a worker, as its answer lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// Time at which the request was sent; starts answered later may be missing.
    pub asked_at: ClockTime,
    /// Runs that are present.
    pub running: Vec<RunStatus>,
    /// Ends that have not been acknowledged, or the first of them.
    pub ended: Vec<RunEnd>,
    /// Whether these are all ends; otherwise a run that is not listed may have ended.
    pub is_complete: bool,
}

/// Result of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is present on the worker.
    Started,
    /// The worker refused; the run does not exist and the order has no later effect.
    Refused,
    /// The order was never sent.
    NotSent,
    /// No answer arrived: the run may be present or may begin later.
    Unconfirmed,
}
