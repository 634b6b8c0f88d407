use std::collections::BTreeMap;

use arbutuspick_model::{AttemptNumber, CentreState, ClockTime, JobId, LeaseEpoch, RackName, WorkerName};
use arbutuspick_records::JobState;
use arbutuspick_sched::{PlacementDump, PlacementSummary};
use serde::Serialize;

/// Snapshot of the placement holder; empty while this process does not hold the placement lease.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HolderView {
    /// Epoch of the lease, absent while it is not held.
    pub epoch: Option<LeaseEpoch>,
    /// Summary of the pool, absent while the lease is not held.
    pub summary: Option<PlacementSummary>,
    /// State of the data centre as ordered by operators.
    pub centre_state: CentreState,
    /// Jobs of the data centre that have not ended.
    pub open_jobs: usize,
    /// Workers of the data centre.
    pub workers: Vec<WorkerView>,
    /// When the snapshot was taken.
    pub made_at: ClockTime,
}

/// State of a worker as the holder knows it.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerView {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Whether the placement core may place members on it.
    pub joined: bool,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// When it last answered a call.
    pub heard_at: Option<ClockTime>,
}

/// Full state of the holder for the operator state dump.
#[derive(Clone, Debug, Serialize)]
pub struct HolderDump {
    /// Snapshot of the holder.
    pub view: HolderView,
    /// State of the placement core.
    pub placement: PlacementDump,
    /// Jobs of the data centre that have not ended.
    pub jobs: BTreeMap<JobId, JobView>,
}

/// State of a job as the holder knows it.
#[derive(Clone, Debug, Serialize)]
pub struct JobView {
    /// State recorded in its row.
    pub state: JobState,
    /// Number of the last attempt.
    pub attempt: AttemptNumber,
    /// Phase of the current attempt, if there is one.
    pub phase: Option<&'static str>,
    /// Whether a write to its row is in flight.
    pub writing: bool,
}
