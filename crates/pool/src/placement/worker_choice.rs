//! Chooses workers for a unit: near its data, in one rack, or anywhere if it may run remotely.

use std::ops::RangeInclusive;

use crate::WorkerKey;
use crate::keys::RackId;
use crate::placement::placement_need::PlacementNeed;
use crate::placement::worker_search::{
    StepCounts, WorkerCandidate, best_candidate, gang_candidates, rack_capacities, rack_fits,
};
use crate::preemption::preemption_plan::{PreemptionPlan, VictimIndex, choose_victims};
use crate::preemption::victim_list::PreemptionRight;
use crate::workers::worker_speed::{SpeedPreference, SpeedTier};

/// One in this many workers is kept empty for urgent work and gangs while others have free capacity.
const EMPTY_WORKER_DIVISOR: usize = 8;

/// Candidates for the members of a gang, by index.
pub(crate) struct GangChoice {
    pub(crate) candidates: Vec<usize>,
    pub(crate) remote: bool,
}

/// Chooses a candidate for one task; returns its index and whether the task runs remotely there.
pub(crate) fn choose_worker(
    need: &PlacementNeed,
    preference: SpeedPreference,
    candidates: &[WorkerCandidate],
    counts: &StepCounts,
    avoided_worker: Option<WorkerKey>,
    shunned: &[WorkerKey],
) -> Option<(usize, bool)> {
    let empty = || candidates.iter().filter(|candidate| candidate.is_empty()).count();
    let keeps_empty = need.avoids_empty_workers && empty() * EMPTY_WORKER_DIVISOR <= candidates.len();
    let usable = |candidate: &WorkerCandidate| !(keeps_empty && candidate.is_empty());
    let best = |allowed: &dyn Fn(&WorkerCandidate) -> bool| {
        best_candidate(candidates, &need.task, counts, preference, |candidate| {
            need.accepts(candidate) && usable(candidate) && allowed(candidate)
        })
    };
    let may_leave_rack = need.task.data_rack.is_some() && need.allows_remote;
    // From the strictest condition to the most lenient one, with and without the worker to avoid.
    let local_or_remote = |allowed: &dyn Fn(&WorkerCandidate) -> bool| {
        let local = best(&|candidate| need.task.is_local(candidate) && allowed(candidate));
        let remote = || may_leave_rack.then(|| best(allowed)).flatten();
        local
            .map(|index| (index, false))
            .or_else(|| remote().map(|index| (index, true)))
    };
    let other = local_or_remote(&|candidate| avoided_worker != Some(candidate.worker));
    // The worker on which the task failed before is better than none.
    let fallback = || {
        avoided_worker?;
        local_or_remote(&|candidate| {
            (!candidate.suspect || need.accepts_suspect) && !shunned.contains(&candidate.worker)
        })
    };
    other.or_else(fallback)
}

/// Chooses candidates for a gang: in one rack if it is `same_rack`, otherwise anywhere near its data.
///
/// Suspect workers are left out if the gang fits without them. A gang that may run remotely, or that fits
/// into no rack even when the rack is empty, falls back to any workers.
pub(crate) fn choose_gang(
    need: &PlacementNeed,
    preference: SpeedPreference,
    candidates: &[WorkerCandidate],
    shunned: &[WorkerKey],
) -> Option<GangChoice> {
    let usable =
        |candidate: &WorkerCandidate| need.accepts(candidate) && !shunned.contains(&candidate.worker);
    let count = need.members.unwrap_or(1);
    // Without the conditions that only state a preference.
    let accepted = local_gang(need, candidates, usable);
    let trusted = |candidate: &WorkerCandidate| usable(candidate) && !candidate.suspect;
    let in_tiers = |tiers: &RangeInclusive<SpeedTier>| {
        local_gang(need, candidates, |candidate| {
            trusted(candidate) && tiers.contains(&candidate.tier)
        })
    };
    if let Some(accepted) = accepted {
        let preferred = preferred_tiers(preference)
            .iter()
            .find_map(in_tiers)
            .or_else(|| local_gang(need, candidates, trusted));
        return Some(GangChoice {
            candidates: preferred.unwrap_or(accepted),
            remote: false,
        });
    }
    if !(need.same_rack || need.task.data_rack.is_some()) {
        return None;
    }
    let anywhere = gang_candidates(candidates, &need.task, count, usable)?;
    let never_local = || {
        need.same_rack
            && !rack_capacities(candidates, &need.task, count, |_| true)
                .iter()
                .any(|(rack, tasks)| need.task.is_local_rack(*rack) && *tasks >= count)
    };
    (need.allows_remote || never_local()).then_some(GangChoice {
        candidates: anywhere,
        remote: true,
    })
}

/// Returns the speed tiers in which a gang is placed if it fits, the preferred one first. A gang is as slow as its
/// slowest member, so all members go to workers of like speed.
fn preferred_tiers(preference: SpeedPreference) -> [RangeInclusive<SpeedTier>; 2] {
    let first = match preference {
        SpeedPreference::Fast => SpeedTier::Fast,
        SpeedPreference::Usual => SpeedTier::Usual,
        SpeedPreference::Slow => SpeedTier::Slow,
    };
    [first..=first, SpeedTier::Fast..=SpeedTier::Usual]
}

/// Chooses candidates near the data of the gang, and in one rack if it is `same_rack`.
fn local_gang<F>(need: &PlacementNeed, candidates: &[WorkerCandidate], allowed: F) -> Option<Vec<usize>>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    let count = need.members.unwrap_or(1);
    if !need.same_rack {
        return gang_candidates(candidates, &need.task, count, |candidate| {
            need.task.is_local(candidate) && allowed(candidate)
        });
    }
    let racks = rack_fits(candidates, &need.task, count, &allowed);
    let local = racks
        .iter()
        .filter(|(rack, tasks)| need.task.is_local_rack(*rack) && *tasks >= count);
    // Best fit: the rack with the least capacity left over, so that the other racks stay empty.
    let (tightest, _) = local.min_by_key(|(_, tasks)| *tasks)?;
    gang_candidates(candidates, &need.task, count, |candidate| {
        candidate.rack == Some(*tightest) && allowed(candidate)
    })
}

/// Chooses the runs to stop or wait for, and whether the unit then runs remotely.
///
/// A `same_rack` gang is placed in one rack, unless no rack can be freed and it may run remotely or is within
/// a guarantee.
pub(crate) fn choose_preemption(
    need: &PlacementNeed,
    right: PreemptionRight,
    count: usize,
    candidates: &[WorkerCandidate],
    index: &VictimIndex,
    counts: &StepCounts,
    shunned: &[WorkerKey],
) -> Option<(PreemptionPlan, bool)> {
    let usable =
        |candidate: &WorkerCandidate| need.accepts(candidate) && !shunned.contains(&candidate.worker);
    let plan_for_rack = |rack: RackId| {
        choose_victims(candidates, index, &need.task, count, counts, |candidate| {
            candidate.rack == Some(rack) && usable(candidate)
        })
    };
    if need.same_rack {
        let racks = rack_capacities(candidates, &need.task, count, usable);
        let local = racks
            .iter()
            .filter(|(rack, tasks)| *tasks >= count && need.task.is_local_rack(*rack));
        let plans = local.filter_map(|(rack, _)| plan_for_rack(*rack));
        if let Some(plan) = plans.min_by_key(|plan| plan.cost) {
            return Some((plan, false));
        }
    } else {
        let local = choose_victims(candidates, index, &need.task, count, counts, |candidate| {
            need.task.is_local(candidate) && usable(candidate)
        });
        if let Some(plan) = local {
            return Some((plan, false));
        }
    }
    let remote_ok = need.allows_remote || right.inside_guarantee;
    if !remote_ok {
        return None;
    }
    let plan = choose_victims(candidates, index, &need.task, count, counts, usable);
    plan.map(|plan| (plan, true))
}
