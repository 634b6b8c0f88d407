/// Maximum number of searches for runs to preempt in one decision.
const MAX_SEARCHES: usize = 40;

/// Limits the searches for runs to preempt, which are the costly part of a decision.
///
/// Load pattern: thousands of units wait, each with a need of its own. When the limit is reached, the units without a search in this round come first in the next decision, so that each has
/// its turn whatever its rank. Free capacity is not affected: every decision offers it to all units.
#[derive(Debug)]
pub(crate) struct SearchBudget {
    pub(crate) round: u64,
    searches: usize,
    /// Whether a unit was left without a search.
    exhausted: bool,
}

impl SearchBudget {
    pub(crate) fn new(latest_round: u64) -> Self {
        Self {
            round: latest_round.max(1),
            searches: 0,
            exhausted: false,
        }
    }

    /// Returns whether a unit may search now whose latest search was in `unit_round`.
    pub(crate) fn allows(&mut self, unit_round: u64) -> bool {
        if unit_round >= self.round {
            return false;
        }
        let is_left = self.searches < MAX_SEARCHES;
        self.exhausted |= !is_left;
        is_left
    }

    pub(crate) fn count(&mut self) {
        self.searches += 1;
    }

    /// Returns the round of the next decision: the same one until every unit has had its search.
    pub(crate) fn next_round(&self) -> u64 {
        if self.exhausted {
            self.round
        } else {
            self.round + 1
        }
    }
}
