use arbutuspick_model::{ClockTime, WorkerName};
use arbutuspick_sched::{PlacementAction, PlacementCore, PlacementEvent, PlacementOptions, PlacementSummary};

use crate::FirstFitQueue;

/// Which policy decides in a run.
///
/// ```
/// use arbutuspick_bench::PolicyKind;
/// assert_eq!(PolicyKind::Core.label(), "core");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The placement core.
    Core,
    /// First come first served: nothing starts while the first job of the queue does not fit.
    Baseline,
    /// First fit in order of arrival: later jobs start while an earlier one does not fit.
    SkippingBaseline,
}

impl PolicyKind {
    /// Returns the name in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::Baseline => "baseline",
            Self::SkippingBaseline => "skipping",
        }
    }

    /// Returns whether an attempt that is stopped may resume from a checkpoint.
    pub(crate) fn keeps_progress(self) -> bool {
        self == Self::Core
    }
}

/// The deciding part of one data centre.
pub(crate) enum CentrePolicy {
    Core(Box<PlacementCore>),
    FirstFit(FirstFitQueue),
}

impl CentrePolicy {
    pub(crate) fn new(kind: PolicyKind, options: &PlacementOptions) -> Self {
        match kind {
            PolicyKind::Core => Self::Core(Box::new(PlacementCore::new(options.clone()))),
            PolicyKind::Baseline => Self::FirstFit(FirstFitQueue::new(false)),
            PolicyKind::SkippingBaseline => Self::FirstFit(FirstFitQueue::new(true)),
        }
    }

    pub(crate) fn handle(&mut self, event: PlacementEvent, now: ClockTime) {
        match self {
            Self::Core(core) => core.handle(event, now),
            Self::FirstFit(queue) => queue.handle(event, now),
        }
    }

    pub(crate) fn decide(&mut self, now: ClockTime) -> Vec<PlacementAction> {
        match self {
            Self::Core(core) => core.decide(now),
            Self::FirstFit(queue) => queue.decide(now),
        }
    }

    pub(crate) fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        match self {
            Self::Core(core) => core.next_wakeup(now),
            Self::FirstFit(queue) => queue.next_wakeup(now),
        }
    }

    pub(crate) fn summary(&self) -> PlacementSummary {
        match self {
            Self::Core(core) => core.summary(),
            Self::FirstFit(queue) => queue.summary(),
        }
    }

    /// Returns the accelerators that the policy holds beyond those of the members, by worker.
    ///
    /// The core rounds up to cells; the baseline does not.
    pub(crate) fn held_masks(&self) -> Option<Vec<(WorkerName, u8)>> {
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
