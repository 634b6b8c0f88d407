use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use slotmap::new_key_type;

use crate::worker_health::WorkerHealth;
use crate::{ResourceAmount, TaskName};

new_key_type! {
    /// One life of a worker; a restart under the same id has another key.
    pub struct WorkerKey;
}

/// What the list of workers says of one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Id of the worker.
    pub id: Arc<str>,
    /// Unix milliseconds at which its process started.
    pub born_ms: u64,
    /// Address of its interface.
    pub address: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Data centre that it stands in.
    pub centre: Arc<str>,
    /// Kind and rack.
    pub labels: Vec<Arc<str>>,
    /// What it has room for.
    pub capacity: ResourceAmount,
    /// When it is expected to leave, while it is leaving.
    pub leaves_at: Option<ClockTime>,
}

impl WorkerReport {
    /// Returns the rack: the last label.
    pub(crate) fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// Room that a run takes up, until its end is known.
#[derive(Clone, Debug)]
pub(crate) struct Occupant {
    pub(crate) amount: ResourceAmount,
    /// From when on a listing without the run shows that it is gone.
    pub(crate) listed_from: Option<ClockTime>,
    /// When the latest stop was ordered.
    pub(crate) stop_ordered_at: Option<ClockTime>,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    pub(crate) report: WorkerReport,
    /// The runs of this life are known.
    pub(crate) listed: bool,
    /// The list of workers has no entry any more.
    pub(crate) gone: bool,
    /// By this time every run that was not renewed since has ended.
    pub(crate) lease_bound: ClockTime,
    /// Highest number of an end that has been applied.
    pub(crate) applied_end: u64,
    pub(crate) occupants: HashMap<(TaskName, u32), Occupant>,
    /// It runs something whose size is not known.
    pub(crate) holds_unknown: bool,
    pub(crate) health: WorkerHealth,
}

impl WorkerView {
    pub(crate) fn new(report: WorkerReport, lease_bound: ClockTime) -> Self {
        Self {
            report,
            listed: false,
            gone: false,
            lease_bound,
            applied_end: 0,
            occupants: HashMap::new(),
            holds_unknown: false,
            health: WorkerHealth::default(),
        }
    }

    /// Returns what is free: the capacity less what runs, starts or is being stopped.
    pub(crate) fn free(&self) -> ResourceAmount {
        if self.holds_unknown {
            return ResourceAmount::default();
        }
        let mut free = self.report.capacity;
        for occupant in self.occupants.values() {
            free -= occupant.amount;
        }
        free
    }

    /// Notes a failed run; after several the worker gets no work for a while.
    pub(crate) fn note_failure(&mut self, job: &Arc<str>, now: ClockTime) {
        if self.health.note_failure(job, now) {
            log::warn!("[worker] id={} paused cause=failures", self.report.id);
        }
    }

    /// Returns whether new work may be placed here.
    pub(crate) fn takes_work(&self, now: ClockTime) -> bool {
        self.listed && !self.gone && self.report.leaves_at.is_none() && self.health.takes_work(now)
    }
}
