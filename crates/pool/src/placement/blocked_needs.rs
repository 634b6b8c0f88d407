use std::collections::HashSet;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::ResourceAmount;
use crate::keys::RackId;
use crate::placement::free_bounds::LabelBounds;
use crate::placement::waiting_unit::WaitingUnit;
use crate::placement::worker_search::{StepCounts, WorkerCandidate};
use crate::workers::label_index::RequiredLabel;

/// All that decides whether a unit can start on the free capacity of a decision. Units with the same need share
/// one answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PlacementNeed {
    amount: ResourceAmount,
    service: Arc<str>,
    required_label: RequiredLabel,
    data_rack: Option<RackId>,
    /// Number of members of a gang.
    members: Option<usize>,
    same_rack: bool,
    allows_remote: bool,
    accepts_suspect: bool,
    accepts_slow: bool,
    avoids_empty_workers: bool,
    yields_until: Option<ClockTime>,
    leaves_urgent_room: bool,
}

impl PlacementNeed {
    pub(crate) fn of_unit(unit: &WaitingUnit, pool_busy: bool) -> Self {
        Self {
            amount: unit.need.amount,
            service: unit.need.service.clone(),
            required_label: unit.need.required_label,
            data_rack: unit.need.data_rack,
            members: unit.gang.then_some(unit.tasks.len()),
            same_rack: unit.same_rack,
            allows_remote: unit.allows_remote(pool_busy),
            accepts_suspect: unit.accepts_suspect(),
            accepts_slow: unit.accepts_slow(),
            avoids_empty_workers: unit.avoids_empty_workers(),
            yields_until: unit.yields_until,
            leaves_urgent_room: unit.leaves_urgent_room,
        }
    }
}

/// Needs for which a decision has found no free capacity. Free capacity only shrinks during a decision, so the
/// answer holds until its end.
#[derive(Debug, Default)]
pub(crate) struct BlockedNeeds {
    needs: HashSet<PlacementNeed>,
    bounds: LabelBounds,
}

impl BlockedNeeds {
    /// Returns whether it is known that the unit cannot start.
    pub(crate) fn contains(
        &mut self,
        unit: &WaitingUnit,
        need: &PlacementNeed,
        candidates: &[WorkerCandidate],
    ) -> bool {
        let may_fit = self
            .bounds
            .may_cover(&unit.need, candidates, |_, candidate| candidate.free);
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
