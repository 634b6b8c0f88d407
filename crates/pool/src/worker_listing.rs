use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::TaskName;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task finished its work.
    Done,
    /// The run failed through its own fault or the worker's.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease ran out.
    Lapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not come in time.
    GangAlone,
}

/// A run that a worker reports as present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The task; `None` when its name cannot be read.
    pub task: Option<TaskName>,
    /// Number of the run.
    pub run: u32,
    /// Latest saved progress; empty for none.
    pub checkpoint: Arc<str>,
    /// Work done, in percent.
    pub percent: u32,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end in the worker's life.
    pub number: u64,
    /// The task; `None` when its name cannot be read.
    pub task: Option<TaskName>,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Saved progress; empty for none.
    pub checkpoint: Arc<str>,
}

/// What a worker says of its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// When the request was sent; starts that were answered later may be missing.
    pub asked_at: ClockTime,
    /// Runs that are present.
    pub running: Vec<RunStatus>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<RunEnd>,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is present on the worker.
    Started,
    /// The worker refused; the run is not there and this order has no effect.
    Refused,
    /// The run was never sent.
    NotSent,
    /// No answer: the run may be present or may begin later.
    Unclear,
}
