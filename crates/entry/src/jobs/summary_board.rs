use std::collections::BTreeMap;

use arbutuspick_model::{CentreName, ClockTime, JobSpec, LeaseEpoch};
use arbutuspick_sched::PlacementSummary;
use parking_lot::Mutex;

/// Time after which a summary is not used any more, in milliseconds.
const SUMMARY_LIMIT_MS: u64 = 5_000;

/// The last summary of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreSummary {
    /// Epoch of the placement holder that made it.
    pub epoch: LeaseEpoch,
    /// Content.
    pub summary: PlacementSummary,
    /// Time at which it arrived.
    pub received_at: ClockTime,
}

/// Summaries of the pools of all data centres.
///
/// ```
/// use arbutuspick_entry::{CentreSummary, SummaryBoard};
/// use arbutuspick_model::{CentreName, ClockTime, LeaseEpoch};
/// let board = SummaryBoard::default();
/// let summary = CentreSummary { epoch: LeaseEpoch(1), summary: Default::default(), received_at: ClockTime(0) };
/// board.take(CentreName::try_from("trent")?, summary);
/// assert_eq!(board.fresh(ClockTime(4_999)).len(), 1);
/// assert!(board.fresh(ClockTime(5_000)).is_empty());
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Debug, Default)]
pub struct SummaryBoard {
    summaries: Mutex<BTreeMap<CentreName, CentreSummary>>,
}

impl SummaryBoard {
    /// Takes a summary, unless one of a higher epoch is known and fresh.
    pub fn take(&self, centre: CentreName, summary: CentreSummary) {
        let mut summaries = self.summaries.lock();
        let stale = summaries
            .get(&centre)
            .is_some_and(|known| known.epoch > summary.epoch && known.is_fresh(summary.received_at));
        if !stale {
            summaries.insert(centre, summary);
        }
    }

    /// Deducts a job from the last summary of the data centre that it was assigned to.
    pub fn charge(&self, centre: &CentreName, spec: &JobSpec) {
        if let Some(known) = self.summaries.lock().get_mut(centre) {
            known.summary.charge(spec);
        }
    }

    /// Returns the summaries that are not too old.
    pub fn fresh(&self, now: ClockTime) -> BTreeMap<CentreName, CentreSummary> {
        let summaries = self.summaries.lock();
        let fresh = summaries.iter().filter(|(_, known)| known.is_fresh(now));
        fresh
            .map(|(centre, known)| (centre.clone(), known.clone()))
            .collect()
    }
}

impl CentreSummary {
    fn is_fresh(&self, now: ClockTime) -> bool {
        now.millis_since(self.received_at) < SUMMARY_LIMIT_MS
    }
}
