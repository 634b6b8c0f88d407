use std::future::Future;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, WorkerTime};
use arbutuspick_pool::{RunEnd, RunStatus, TaskName, WorkerReport};
use snafu::Snafu;

/// Start one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Description handed to the task.
    pub spec: Arc<str>,
    /// Saved progress to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Epoch of the placement holder.
    pub epoch: u64,
    /// End of the lease on the worker's clock; a later arrival is refused.
    pub lease_until: WorkerTime,
}

/// Stop one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Epoch of the placement holder.
    pub epoch: u64,
}

/// Renew the lease, acknowledge ends and list the runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldCall {
    /// Epoch of the placement holder.
    pub epoch: u64,
    /// Ends up to this number are acknowledged.
    pub acknowledged: u64,
    /// New end of the lease on the worker's clock.
    pub lease_until: Option<WorkerTime>,
    /// Longest wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is present.
    Started {
        /// The worker's clock.
        clock: WorkerTime,
    },
    /// The worker refused and did nothing.
    Refused {
        /// The worker's reason.
        reason: Arc<str>,
    },
}

/// The runs of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldReply {
    /// The worker's clock.
    pub clock: WorkerTime,
    /// Unix milliseconds at which the worker's process started, if it says so.
    pub born_ms: Option<u64>,
    /// Runs that are present.
    pub running: Vec<RunStatus>,
    /// Ends that are not acknowledged.
    pub ended: Vec<RunEnd>,
}

/// Why a call to a worker has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// Another process answers at the worker's address.
    #[snafu(display("another process answers at the address"))]
    Replaced,
    /// A later placement holder gives orders now.
    #[snafu(display("a later epoch is in force"))]
    Fenced,
    /// The request was not sent.
    #[snafu(display("not sent: {message}"))]
    NotSent {
        /// What happened.
        message: String,
    },
    /// The worker may have done it or may still do it.
    #[snafu(display("no answer: {message}"))]
    Unclear {
        /// What happened.
        message: String,
    },
}

/// Orders to workers.
pub trait WorkerLink: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(
        &self,
        worker: &WorkerReport,
        call: &StartCall,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<StartReply, WorkerError>> + Send;

    /// Stops a run.
    fn stop(
        &self,
        worker: &WorkerReport,
        call: &StopCall,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Renews the lease and lists the runs.
    fn hold(
        &self,
        worker: &WorkerReport,
        call: &HoldCall,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<HoldReply, WorkerError>> + Send;
}
