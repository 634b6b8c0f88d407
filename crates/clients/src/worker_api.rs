use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, JobId, LeaseEpoch, WorkerTime};
use serde::{Deserialize, Serialize};

/// `POST /v1/epoch`: accept the epoch if it is not lower than the highest accepted one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
}

/// A member of a gang on this worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPart {
    /// Index in the gang, from 0.
    pub index: u32,
    /// Accelerators, one bit each.
    pub accelerators: u8,
}

/// `POST /v1/prepare`: hold what the members need, without running them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Members of the gang on this worker.
    pub members: Vec<MemberPart>,
    /// Cores of each member.
    pub cores: u32,
    /// Memory of each member in MiB.
    pub memory_mib: u64,
    /// What the tasks run.
    pub payload: Arc<str>,
    /// Whether the tasks can write checkpoints.
    pub checkpointable: bool,
    /// Object of the checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Time at which the reservation ends when no start came.
    pub hold_until: WorkerTime,
}

/// `POST /v1/start`: run the prepared members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// The worker refuses the start after this time.
    pub start_before: WorkerTime,
    /// End of the gang lease; the worker stops the members then.
    pub lease_until: WorkerTime,
}

/// New end of a gang lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseExtension {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// New end; never earlier than the present one.
    pub lease_until: WorkerTime,
}

/// `POST /v1/renew`: extend gang leases and report. The list may be empty, as a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Leases to extend.
    pub leases: Vec<LeaseExtension>,
}

/// `POST /v1/void`, `/v1/stop`, `/v1/checkpoint`, `/v1/throttle` and `/v1/release`.
///
/// `void` forbids a start of the attempt for good and frees its reservation; a started attempt is left
/// alone and reported. `stop` ends a running attempt. `checkpoint` writes object
/// `checkpoint/{job}/{attempt}/{index}` for each member. `throttle` slows the members down. `release` makes
/// the worker forget an attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Epoch of the placement lease.
    pub epoch: LeaseEpoch,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
}

/// State of an attempt's members on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum PartState {
    /// Reserved, not started.
    Prepared,
    /// Running.
    Running,
    /// Every member on this worker finished.
    Finished {
        /// Results in the order of the members.
        results: Vec<MemberResult>,
    },
    /// A member failed.
    Failed {
        /// Message of the worker.
        message: String,
    },
    /// Stopped by the holder of the placement lease.
    Stopped,
    /// Stopped because the gang lease ended.
    LeaseExpired,
    /// The reservation ended or was voided; it can never start.
    Voided,
}

/// Result of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberResult {
    /// Index in the gang.
    pub index: u32,
    /// Output of the task.
    pub output: Arc<str>,
}

/// An attempt's members on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStatus {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Members on this worker.
    pub members: Vec<MemberPart>,
    /// State.
    #[serde(flatten)]
    pub state: PartState,
    /// Whether a member was ever started.
    pub ever_started: bool,
    /// Object prefix of the newest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// Answer of a worker to every accepted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Clock of the worker when it answered.
    pub clock: WorkerTime,
    /// Highest epoch that it accepted.
    pub epoch: LeaseEpoch,
    /// Parts: all of them for `epoch` and `renew`, the one concerned for the other calls.
    pub parts: Vec<PartStatus>,
    /// Cores in use, reported with a lag.
    pub used_cores: u32,
}

/// Why a worker refused a call; sent with status 409.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusal {
    /// The epoch is lower than the highest accepted one.
    StaleEpoch,
    /// Accelerators, cores or memory are not free.
    NoCapacity,
    /// The start came after `start_before`.
    TooLate,
    /// The attempt was voided or has ended.
    Voided,
    /// The attempt is not known here.
    UnknownAttempt,
}

/// Body of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Why.
    pub refusal: WorkerRefusal,
    /// Clock of the worker when it answered.
    pub clock: WorkerTime,
    /// Highest epoch that it accepted.
    pub epoch: LeaseEpoch,
}
