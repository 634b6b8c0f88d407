use std::collections::HashSet;

use crate::placement::free_bounds::LabelBounds;
use crate::placement::placement_need::PlacementNeed;
use crate::placement::worker_search::{StepCounts, WorkerCandidate};

/// Needs for which a decision has found no free capacity. Free capacity only shrinks during a decision, so the
/// answer holds until its end.
#[derive(Debug, Default)]
pub(crate) struct BlockedNeeds {
    needs: HashSet<PlacementNeed>,
    bounds: LabelBounds,
}

impl BlockedNeeds {
    /// Returns whether it is known that units with this need cannot start.
    pub(crate) fn contains(&mut self, need: &PlacementNeed, candidates: &[WorkerCandidate]) -> bool {
        let may_fit = self
            .bounds
            .may_cover(&need.task, candidates, |_, candidate| candidate.free);
        !may_fit || self.needs.contains(need)
    }

    /// Records that a task found no worker. An answer that depends on where the step runs already, or on where the
    /// task failed, says nothing about other units.
    pub(crate) fn insert(&mut self, need: PlacementNeed, counts: &StepCounts, has_avoided_worker: bool) {
        if counts.is_empty() && !has_avoided_worker {
            self.needs.insert(need);
        }
    }
}
