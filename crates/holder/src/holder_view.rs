use std::collections::BTreeMap;

use arbutuspick_model::{AttemptNumber, CentreState, ClockTime, JobId, LeaseEpoch, RackName, WorkerName};
use arbutuspick_records::JobState;
use arbutuspick_sched::{PlacementDump, PlacementSummary};
use serde::Serialize;

/// Whether this process holds the placement lease of its data centre, and what it then sees.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HolderView {
    /// Epoch held, or nothing.
    pub epoch: Option<LeaseEpoch>,
    /// Summary of the pool while the lease is held.
    pub summary: Option<PlacementSummary>,
    /// Operators' order for the data centre.
    pub centre_state: CentreState,
    /// Jobs of the data centre that have not ended.
    pub open_jobs: usize,
    /// Workers with what the holder knows of them.
    pub workers: Vec<WorkerView>,
    /// Time of the view.
    pub made_at: ClockTime,
}

/// A worker as the holder knows it.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerView {
    /// Worker.
    pub worker: WorkerName,
    /// Rack.
    pub rack: RackName,
    /// Whether it may get work.
    pub joined: bool,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// Time of its last answer.
    pub heard_at: Option<ClockTime>,
}

/// State of the holder for operators.
#[derive(Clone, Debug, Serialize)]
pub struct HolderDump {
    /// View.
    pub view: HolderView,
    /// State of the placement core.
    pub placement: PlacementDump,
    /// Jobs.
    pub jobs: BTreeMap<JobId, JobView>,
}

/// A job as the holder knows it.
#[derive(Clone, Debug, Serialize)]
pub struct JobView {
    /// State of its row.
    pub state: JobState,
    /// Last attempt.
    pub attempt: AttemptNumber,
    /// Phase of the live attempt.
    pub phase: Option<&'static str>,
    /// Whether a write of its row is in flight.
    pub writing: bool,
}
