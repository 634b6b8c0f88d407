use crate::waiting_unit::WaitingUnit;
use crate::worker_search::{WorkerCandidate, rack_capacities};

/// Marks the workers that a gang waits for, so that single tasks of lower rank leave their free capacity to it.
///
/// A gang that the workers could not hold even if they were empty marks none: what is left to it stays idle. Returns
/// whether the gang waits for any worker.
pub(crate) fn mark_contested(
    unit: &WaitingUnit,
    candidates: &mut [WorkerCandidate],
    pool_busy: bool,
) -> bool {
    let count = unit.tasks.len();
    let is_open = |candidate: &WorkerCandidate| unit.need.allows(candidate) && unit.accepts(candidate);
    if candidates
        .iter()
        .all(|candidate| candidate.contested || !is_open(candidate))
    {
        return candidates.iter().any(|candidate| candidate.contested);
    }
    let holding: Vec<_> = if unit.same_rack {
        let racks = rack_capacities(candidates, &unit.need, count, is_open).into_iter();
        let holding = racks.filter(|(rack, tasks)| *tasks >= count && unit.need.is_local_rack(*rack));
        holding.map(|(rack, _)| Some(rack)).collect()
    } else {
        Vec::new()
    };
    let is_local = |candidate: &WorkerCandidate| {
        if holding.is_empty() {
            unit.need.is_local(candidate)
        } else {
            holding.contains(&candidate.rack)
        }
    };
    // A gang that fits into no rack runs across racks.
    let anywhere = unit.allows_remote(pool_busy) || unit.same_rack && holding.is_empty();
    let may_hold = |candidate: &WorkerCandidate| is_open(candidate) && (anywhere || is_local(candidate));
    let open = candidates.iter().filter(|candidate| may_hold(candidate));
    let fitting: usize = open
        .map(|candidate| candidate.capacity.count_fitting(&unit.need.amount, count))
        .sum();
    if fitting < count {
        return false;
    }
    for candidate in candidates {
        candidate.contested |= may_hold(candidate);
    }
    true
}
