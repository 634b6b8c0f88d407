use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, JobId, LeaseEpoch, WorkerTime};
use serde::{Deserialize, Serialize};

/// `POST /v1/epoch`: accepts the epoch if it is not lower than the highest accepted one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
}

/// Gang member that runs on the worker, with its accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
// The response to a value of another type names the expected type, and keeps the wire name of this one.
#[serde(expecting = "struct MemberPart")]
pub struct MemberAllocation {
    /// Zero-based index in the gang.
    pub index: u32,
    /// Bit mask of the assigned accelerators.
    pub accelerators: u8,
}

/// `POST /v1/prepare`: reserves resources for the members without starting them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Members of the gang on this worker.
    pub members: Vec<MemberAllocation>,
    /// Cores of each member.
    pub cores: u32,
    /// Memory of each member in MiB.
    pub memory_mib: u64,
    /// Payload of the tasks.
    pub payload: Arc<str>,
    /// Whether the tasks can write checkpoints.
    pub checkpointable: bool,
    /// Object prefix of the checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Time at which the reservation expires if the attempt was not started.
    pub hold_until: WorkerTime,
}

/// `POST /v1/start`: starts the prepared members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Time after which the worker refuses the start.
    pub start_before: WorkerTime,
    /// Expiry of the gang lease, at which the worker stops the members.
    pub lease_until: WorkerTime,
}

/// Extension of a gang lease, the time until which a worker runs the members of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseExtension {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// New expiry; never earlier than the current one.
    pub lease_until: WorkerTime,
}

/// `POST /v1/renew`: extends gang leases and reports all parts ([`PartStatus`]). With an empty list it is a
/// heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Leases to extend.
    pub leases: Vec<LeaseExtension>,
}

/// `POST /v1/void`, `/v1/stop`, `/v1/checkpoint`, `/v1/throttle` and `/v1/release`.
///
/// - `void` permanently forbids starting the attempt and frees its reservation; an attempt that has already
///   started keeps running and is reported.
/// - `stop` stops a running attempt.
/// - `checkpoint` writes the object `checkpoint/{job}/{attempt}/{index}` for each member.
/// - `throttle` slows the members down.
/// - `release` removes an ended attempt from the worker's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
}

/// State of a part: the members of one attempt on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum PartState {
    /// Resources are reserved; not started.
    Prepared,
    /// Running.
    Running,
    /// All members on this worker finished.
    Finished {
        /// Results in member order.
        results: Vec<MemberResult>,
    },
    /// A member failed.
    Failed {
        /// Error message of the worker.
        message: String,
    },
    /// Stopped by the holder of the placement lease.
    Stopped,
    /// Stopped because the gang lease expired.
    LeaseExpired,
    /// The reservation expired or was voided; the attempt can no longer start.
    Voided,
}

/// Result of a gang member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberResult {
    /// Index in the gang.
    pub index: u32,
    /// Output of the task.
    pub output: Arc<str>,
}

/// Status of a part: the members of one attempt on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStatus {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Members on this worker.
    pub members: Vec<MemberAllocation>,
    /// Current state.
    #[serde(flatten)]
    pub state: PartState,
    /// Whether any member was ever started.
    pub ever_started: bool,
    /// Object prefix of the latest checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// Response of a worker to every accepted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Time of the response on the clock of the worker.
    pub clock: WorkerTime,
    /// Highest epoch that the worker has accepted.
    pub epoch: LeaseEpoch,
    /// All parts for `epoch` and `renew`; for other calls only the part of the attempt.
    pub parts: Vec<PartStatus>,
    /// Cores in use; the value lags behind.
    pub used_cores: u32,
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusal {
    /// The epoch is lower than the highest accepted one.
    StaleEpoch,
    /// Not enough accelerators, cores or memory are free.
    NoCapacity,
    /// The start was received after `start_before`.
    TooLate,
    /// The attempt was voided or has ended.
    Voided,
    /// The worker does not know the attempt.
    UnknownAttempt,
}

/// Body of a refusal, sent with status 409.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Reason of the refusal.
    pub refusal: WorkerRefusal,
    /// Time of the response on the clock of the worker.
    pub clock: WorkerTime,
    /// Highest epoch that the worker has accepted.
    pub epoch: LeaseEpoch,
}
