//! Chooses workers for a unit: near its data, in one rack, or anywhere if it may run remotely.

use std::ops::RangeInclusive;

use crate::WorkerKey;
use crate::keys::RackId;
use crate::placement::waiting_unit::WaitingUnit;
use crate::placement::worker_search::{
    StepCounts, WorkerCandidate, best_candidate, gang_candidates, rack_capacities, rack_fits,
};
use crate::preemption::preemption_plan::{PreemptionPlan, VictimIndex, choose_victims};
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
    unit: &WaitingUnit,
    candidates: &[WorkerCandidate],
    counts: &StepCounts,
    avoided_worker: Option<WorkerKey>,
    pool_busy: bool,
) -> Option<(usize, bool)> {
    let empty = || candidates.iter().filter(|candidate| candidate.is_empty()).count();
    let keeps_empty = unit.avoids_empty_workers() && empty() * EMPTY_WORKER_DIVISOR <= candidates.len();
    let usable = |candidate: &WorkerCandidate| !(keeps_empty && candidate.is_empty());
    let local = |candidate: &WorkerCandidate| {
        unit.need.is_local(candidate)
            && avoided_worker != Some(candidate.worker)
            && unit.accepts(candidate)
            && usable(candidate)
    };
    if let Some(index) = best_candidate(candidates, &unit.need, counts, unit.preference, local) {
        return Some((index, false));
    }
    if unit.need.data_rack.is_some() && unit.allows_remote(pool_busy) {
        let elsewhere = |candidate: &WorkerCandidate| {
            avoided_worker != Some(candidate.worker) && unit.accepts(candidate) && usable(candidate)
        };
        if let Some(index) = best_candidate(candidates, &unit.need, counts, unit.preference, elsewhere) {
            return Some((index, true));
        }
    }
    avoided_worker?;
    // Nothing else fits: the worker on which the task failed before is better than none.
    let fallback = best_candidate(candidates, &unit.need, counts, unit.preference, |candidate| {
        unit.need.is_local(candidate)
            && unit.accepts(candidate)
            && (!candidate.suspect || unit.accepts_suspect())
            && usable(candidate)
    });
    fallback.map(|index| (index, false))
}

/// Chooses candidates for a gang: in one rack if it is `same_rack`, otherwise anywhere near its data.
///
/// Suspect workers are left out if the gang fits without them. A gang that may run remotely, or that fits
/// into no rack even when the rack is empty, falls back to any workers.
pub(crate) fn choose_gang(
    unit: &WaitingUnit,
    candidates: &[WorkerCandidate],
    pool_busy: bool,
) -> Option<GangChoice> {
    let count = unit.tasks.len();
    // Without the conditions that only state a preference.
    let accepted = local_gang(unit, candidates, |candidate| unit.accepts(candidate));
    let trusted = |candidate: &WorkerCandidate| unit.accepts(candidate) && !candidate.suspect;
    let in_tiers = |tiers: &RangeInclusive<SpeedTier>| {
        local_gang(unit, candidates, |candidate| {
            trusted(candidate) && tiers.contains(&candidate.tier)
        })
    };
    if let Some(accepted) = accepted {
        let preferred = preferred_tiers(unit.preference)
            .iter()
            .find_map(in_tiers)
            .or_else(|| local_gang(unit, candidates, trusted));
        return Some(GangChoice {
            candidates: preferred.unwrap_or(accepted),
            remote: false,
        });
    }
    if !(unit.same_rack || unit.need.data_rack.is_some()) {
        return None;
    }
    let anywhere = gang_candidates(candidates, &unit.need, count, |candidate| unit.accepts(candidate))?;
    let never_local = || {
        unit.same_rack
            && !rack_capacities(candidates, &unit.need, count, |_| true)
                .iter()
                .any(|(rack, tasks)| unit.need.is_local_rack(*rack) && *tasks >= count)
    };
    (unit.allows_remote(pool_busy) || never_local()).then_some(GangChoice {
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
fn local_gang<F>(unit: &WaitingUnit, candidates: &[WorkerCandidate], allowed: F) -> Option<Vec<usize>>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    let count = unit.tasks.len();
    if !unit.same_rack {
        return gang_candidates(candidates, &unit.need, count, |candidate| {
            unit.need.is_local(candidate) && allowed(candidate)
        });
    }
    let racks = rack_fits(candidates, &unit.need, count, &allowed);
    let local = racks
        .iter()
        .filter(|(rack, tasks)| unit.need.is_local_rack(*rack) && *tasks >= count);
    // Best fit: the rack with the least capacity left over, so that the other racks stay empty.
    let (tightest, _) = local.min_by_key(|(_, tasks)| *tasks)?;
    gang_candidates(candidates, &unit.need, count, |candidate| {
        candidate.rack == Some(*tightest) && allowed(candidate)
    })
}

/// Chooses the runs to stop or wait for, and whether the unit then runs remotely.
///
/// A `same_rack` gang is placed in one rack, unless no rack can be freed and it may run remotely or is within
/// a guarantee.
pub(crate) fn choose_preemption(
    unit: &WaitingUnit,
    unplaced: usize,
    candidates: &[WorkerCandidate],
    index: &VictimIndex,
    counts: &StepCounts,
    pool_busy: bool,
) -> Option<(PreemptionPlan, bool)> {
    let count = if unit.gang { unit.tasks.len() } else { unplaced };
    let plan_for_rack = |rack: RackId| {
        choose_victims(candidates, index, &unit.need, count, counts, |candidate| {
            candidate.rack == Some(rack) && unit.accepts(candidate)
        })
    };
    if unit.same_rack {
        let racks = rack_capacities(candidates, &unit.need, count, |candidate| unit.accepts(candidate));
        let local = racks
            .iter()
            .filter(|(rack, tasks)| *tasks >= count && unit.need.is_local_rack(*rack));
        let plans = local.filter_map(|(rack, _)| plan_for_rack(*rack));
        if let Some(plan) = plans.min_by_key(|plan| plan.cost) {
            return Some((plan, false));
        }
    } else {
        let local = choose_victims(candidates, index, &unit.need, count, counts, |candidate| {
            unit.need.is_local(candidate) && unit.accepts(candidate)
        });
        if let Some(plan) = local {
            return Some((plan, false));
        }
    }
    let remote_ok = unit.allows_remote(pool_busy) || unit.rank.inside_guarantee();
    if !remote_ok {
        return None;
    }
    let plan = choose_victims(candidates, index, &unit.need, count, counts, |candidate| {
        unit.accepts(candidate)
    });
    plan.map(|plan| (plan, true))
}
