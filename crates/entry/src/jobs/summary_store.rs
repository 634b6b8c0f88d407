use std::collections::BTreeMap;

use arbutuspick_model::{CentreName, ClockTime, JobSpec, LeaseEpoch};
use arbutuspick_sched::PlacementSummary;
use parking_lot::Mutex;

/// Age from which on a summary is no longer used.
const MAX_SUMMARY_AGE_MS: u64 = 5_000;

/// The last summary of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreSummary {
    /// Lease epoch of the placement holder that sent it.
    pub epoch: LeaseEpoch,
    /// Summary of the pool.
    pub summary: PlacementSummary,
    /// Time at which it arrived.
    pub received_at: ClockTime,
}

/// Last summaries of the pools of all data centres.
///
/// ```
/// use arbutuspick_entry::{CentreSummary, SummaryStore};
/// use arbutuspick_model::{CentreName, ClockTime, LeaseEpoch};
/// let store = SummaryStore::default();
/// let summary = CentreSummary { epoch: LeaseEpoch(1), summary: Default::default(), received_at: ClockTime(0) };
/// store.update(CentreName::try_from("trent")?, summary);
/// assert_eq!(store.fresh(ClockTime(4_999)).len(), 1);
/// assert!(store.fresh(ClockTime(5_000)).is_empty());
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Debug, Default)]
pub struct SummaryStore {
    summaries: Mutex<BTreeMap<CentreName, CentreSummary>>,
}

impl SummaryStore {
    /// Stores a summary, unless a fresh one with a higher epoch is known.
    pub fn update(&self, centre: CentreName, summary: CentreSummary) {
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

    /// Returns the summaries that are still fresh.
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
        now.millis_since(self.received_at) < MAX_SUMMARY_AGE_MS
    }
}
