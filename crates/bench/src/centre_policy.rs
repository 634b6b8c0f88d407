use arbutuspick_model::{ClockTime, WorkerName};
use arbutuspick_sched::{PlacementAction, PlacementCore, PlacementEvent, PlacementOptions, PlacementSummary};

use crate::FirstFitScheduler;

/// Placement policy of a simulation.
///
/// ```
/// use arbutuspick_bench::PolicyKind;
/// assert_eq!(PolicyKind::Core.label(), "core");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The placement core.
    Core,
    /// First come, first served: no job starts while the first job of the queue does not fit.
    Baseline,
    /// As `Baseline`, but jobs that do not fit are skipped, so that later jobs can start before them.
    SkippingBaseline,
}

impl PolicyKind {
    /// Returns the name in printed tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::Baseline => "baseline",
            Self::SkippingBaseline => "skipping",
        }
    }

    /// Returns whether preempted attempts may resume from a checkpoint.
    pub(crate) fn keeps_progress(self) -> bool {
        self == Self::Core
    }
}

/// Placement policy of one data centre, with its state.
pub(crate) enum CentrePolicy {
    Core(Box<PlacementCore>),
    FirstFit(FirstFitScheduler),
}

impl CentrePolicy {
    pub(crate) fn new(kind: PolicyKind, options: &PlacementOptions) -> Self {
        match kind {
            PolicyKind::Core => Self::Core(Box::new(PlacementCore::new(options.clone()))),
            PolicyKind::Baseline => Self::FirstFit(FirstFitScheduler::new(false)),
            PolicyKind::SkippingBaseline => Self::FirstFit(FirstFitScheduler::new(true)),
        }
    }

    pub(crate) fn handle(&mut self, event: PlacementEvent, now: ClockTime) {
        match self {
            Self::Core(core) => core.handle(event, now),
            Self::FirstFit(scheduler) => scheduler.handle(event, now),
        }
    }

    pub(crate) fn decide(&mut self, now: ClockTime) -> Vec<PlacementAction> {
        match self {
            Self::Core(core) => core.decide(now),
            Self::FirstFit(scheduler) => scheduler.decide(now),
        }
    }

    pub(crate) fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        match self {
            Self::Core(core) => core.next_wakeup(now),
            Self::FirstFit(scheduler) => scheduler.next_wakeup(now),
        }
    }

    pub(crate) fn summary(&self) -> PlacementSummary {
        match self {
            Self::Core(core) => core.summary(),
            Self::FirstFit(scheduler) => scheduler.summary(),
        }
    }

    /// Returns the mask of allocated accelerators by worker, or `None` for the baseline.
    ///
    /// The core allocates whole cells, so its masks may cover more accelerators than the members use; the
    /// baseline allocates exactly those of the members.
    pub(crate) fn allocated_masks(&self) -> Option<Vec<(WorkerName, u8)>> {
        match self {
            Self::Core(core) => {
                let workers = core.dump().workers;
                Some(
                    workers
                        .into_iter()
                        .map(|(name, dump)| (name, dump.held))
                        .collect(),
                )
            }
            Self::FirstFit(_) => None,
        }
    }
}
