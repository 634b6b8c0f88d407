use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::keys::{RackId, WorkerKey};
use crate::workers::label_index::LabelId;
use crate::workers::worker_health::WorkerHealth;
use crate::workers::worker_speed::SpeedEstimate;
use crate::{ResourceAmount, StopReason, TaskName};

/// Entry of one incarnation of a worker in the worker registry, where workers announce themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Id of the worker.
    pub id: Arc<str>,
    /// Unix milliseconds at which its process started; identifies the incarnation.
    pub started_at_ms: u64,
    /// Number of the heartbeat that wrote the entry; rises within an incarnation, 0 if unknown.
    pub heartbeat: u64,
    /// Address on which it serves calls.
    pub address: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Data centre of the worker.
    pub centre: Arc<str>,
    /// Labels of the worker: its kind and, as the last one, its rack.
    pub labels: Vec<Arc<str>>,
    /// Total resources.
    pub capacity: ResourceAmount,
    /// Time at which a leaving worker is expected to shut down.
    pub leaves_at: Option<ClockTime>,
}

impl WorkerReport {
    /// Returns the rack, which is the last label.
    pub(crate) fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// The latest order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderedStop {
    pub(crate) ordered_at: ClockTime,
    /// Reason of the first order for the run.
    pub(crate) reason: StopReason,
}

/// Resources that a run takes on a worker until its end is known.
#[derive(Clone, Debug)]
pub(crate) struct RunAllocation {
    pub(crate) amount: ResourceAmount,
    /// Client account that the run counts for; `None` if it is not known.
    pub(crate) account: Option<Arc<str>>,
    /// Time from which a listing without the run shows that the run has ended; `None` until the start is
    /// confirmed.
    pub(crate) expected_since: Option<ClockTime>,
    pub(crate) ordered_stop: Option<OrderedStop>,
    /// Whether this incarnation of the worker has listed the run. An answer to a start is no proof of that: it
    /// may come from another incarnation under the same id.
    pub(crate) listed: bool,
    /// Time from which a run that belongs to no known task was listed.
    pub(crate) unexpected_since: Option<ClockTime>,
}

impl RunAllocation {
    /// Returns whether an earlier leader recorded the run and no listing has confirmed it yet.
    pub(crate) fn is_restored(&self) -> bool {
        self.expected_since == Some(ClockTime(0)) && !self.listed
    }
}

/// State of one incarnation of a worker, as the scheduler knows it.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    pub(crate) report: WorkerReport,
    /// Labels of the report, shared with the candidates of a decision.
    pub(crate) labels: Arc<[LabelId]>,
    pub(crate) rack: Option<RackId>,
    /// When this incarnation was first seen.
    pub(crate) added_at: ClockTime,
    /// Whether the worker itself has answered as this incarnation.
    pub(crate) has_answered: bool,
    /// Incarnation that the worker registry names instead of this one, until the worker answers as either.
    pub(crate) successor: Option<WorkerKey>,
    /// Start time of an earlier incarnation whose registry entry was written late.
    pub(crate) outdated_start: Option<u64>,
    /// Whether the runs of the worker are known from a listing.
    pub(crate) listed: bool,
    /// Whether its entry in the worker registry has been removed.
    pub(crate) removed: bool,
    /// Time by which every run whose lease is not renewed has ended.
    pub(crate) lease_expiry: ClockTime,
    /// Highest number of an applied end.
    pub(crate) applied_end: u64,
    pub(crate) allocations: HashMap<(TaskName, u32), RunAllocation>,
    /// Whether it has a run whose task name cannot be read, so that its free resources are not known.
    pub(crate) has_unidentified_run: bool,
    pub(crate) health: WorkerHealth,
    pub(crate) speed: SpeedEstimate,
}

impl WorkerView {
    pub(crate) fn new(
        report: WorkerReport,
        labels: Arc<[LabelId]>,
        rack: Option<RackId>,
        added_at: ClockTime,
    ) -> Self {
        Self {
            labels,
            rack,
            report,
            added_at,
            has_answered: false,
            successor: None,
            outdated_start: None,
            listed: false,
            removed: false,
            lease_expiry: added_at,
            applied_end: 0,
            allocations: HashMap::new(),
            has_unidentified_run: false,
            health: WorkerHealth::default(),
            speed: SpeedEstimate::default(),
        }
    }

    /// Returns whether runs take resources of the worker, or may do so.
    pub(crate) fn is_occupied(&self) -> bool {
        !self.allocations.is_empty() || self.has_unidentified_run
    }

    /// Returns the free resources: the capacity less all runs, also those that are starting or stopping.
    pub(crate) fn free(&self) -> ResourceAmount {
        if self.has_unidentified_run {
            return ResourceAmount::default();
        }
        let mut free = self.report.capacity;
        for allocation in self.allocations.values() {
            free -= allocation.amount;
        }
        free
    }

    /// Records a failed run; repeated failures pause the worker.
    pub(crate) fn record_failure(&mut self, job: &Arc<str>, now: ClockTime) {
        if self.health.record_failure(job, now) {
            log::warn!("[worker] id={} paused cause=failures", self.report.id);
        }
    }

    /// Returns whether new work may be placed on the worker.
    pub(crate) fn is_schedulable(&self, now: ClockTime) -> bool {
        self.is_open() && self.health.is_schedulable(now)
    }

    /// Returns whether only a pause after failed runs keeps new work from the worker.
    pub(crate) fn is_paused(&self, now: ClockTime) -> bool {
        self.is_open() && !self.health.is_schedulable(now)
    }

    fn is_open(&self) -> bool {
        let is_identified = self.listed && !self.removed && self.successor.is_none();
        is_identified && self.report.leaves_at.is_none()
    }
}
