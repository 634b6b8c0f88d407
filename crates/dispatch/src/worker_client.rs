use std::future::Future;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, WorkerTime};
use arbutuspick_pool::{RunEnd, RunStatus, TaskName, WorkerReport};
use snafu::Snafu;

/// Identifies a connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// Call that starts one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Description of the job, passed to the task unchanged.
    pub spec: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Epoch of the leader.
    pub epoch: u64,
    /// End of the lease on the worker's clock; the worker refuses a call that arrives later.
    pub lease_until: WorkerTime,
    /// Connection on which alone the call may be sent; otherwise it fails with
    /// [`WorkerError::ConnectionClosed`].
    pub only_on: Option<ConnectionId>,
}

/// Call that stops one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Epoch of the leader.
    pub epoch: u64,
}

/// Long-poll call that renews the lease, acknowledges ended runs and lists the runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollCall {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Ended runs up to this number are acknowledged.
    pub acknowledged: u64,
    /// Connection on which alone the call may be sent; otherwise it fails with
    /// [`WorkerError::ConnectionClosed`].
    pub only_on: Option<ConnectionId>,
    /// New end of the lease on the worker's clock; `None` leaves the lease unchanged.
    pub lease_until: Option<WorkerTime>,
    /// Maximum wait for a run to end, in milliseconds.
    pub wait_ms: u64,
}

/// Reply to a [`StartCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started, now or by an earlier call.
    Started {
        /// Time on the worker's clock.
        clock: WorkerTime,
    },
    /// The worker refused the start and did nothing.
    Refused {
        /// Reason given by the worker.
        reason: Arc<str>,
    },
}

/// The process that answers on a connection for orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerIdentity {
    /// Time on the worker's clock.
    pub clock: WorkerTime,
    /// Start time of the worker process in Unix milliseconds, if reported; see `WorkerReport::started_at_ms`.
    pub born_ms: Option<u64>,
    /// The connection; it ends with the process.
    pub connection: ConnectionId,
}

/// Reply to a [`PollCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReply {
    /// Time on the worker's clock.
    pub clock: WorkerTime,
    /// Start time of the worker process in Unix milliseconds, if reported; see `WorkerReport::started_at_ms`.
    pub born_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<RunStatus>,
    /// Ended runs that are not acknowledged, or the first of them.
    pub ended: Vec<RunEnd>,
    /// Connection on which the reply arrived; it ends with the process of the worker.
    pub connection: ConnectionId,
    /// Whether these are all ended runs that are not acknowledged.
    pub is_complete: bool,
}

/// Error of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// Another process answers at the worker's address.
    #[snafu(display("another process answers at the address"))]
    Replaced,
    /// The worker has restarted under its id.
    #[snafu(display("the worker has restarted"))]
    Restarted,
    /// The worker has seen a later epoch.
    #[snafu(display("a later epoch is in force"))]
    Fenced,
    /// The connection on which alone the call was to be sent has been closed.
    #[snafu(display("not sent: the connection has been closed"))]
    ConnectionClosed,
    /// The call was not sent, or the worker did not accept it.
    #[snafu(display("not sent: {message}"))]
    NotSent {
        /// Cause of the failure.
        message: String,
    },
    /// The worker may have executed the call or may still execute it.
    #[snafu(display("no answer: {message}"))]
    Indeterminate {
        /// Cause of the failure.
        message: String,
    },
}

/// Client for calls to workers.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Asks which process answers on a connection for orders, an idle one or a new one.
    fn identify(
        &self,
        worker: &WorkerReport,
        epoch: u64,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<WorkerIdentity, WorkerError>> + Send;

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

    /// Renews the lease, acknowledges ended runs and lists the runs.
    fn poll(
        &self,
        worker: &WorkerReport,
        call: &PollCall,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<PollReply, WorkerError>> + Send;
}
