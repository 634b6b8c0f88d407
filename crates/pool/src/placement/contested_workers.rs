use arbutuspick_model::ClockTime;

use crate::placement::capacity_forecast::CapacityForecast;
use crate::placement::waiting_unit::WaitingUnit;
use crate::placement::worker_search::{WorkerCandidate, rack_capacities};

/// Marks the workers that a gang waits for, so that single tasks of lower rank leave free capacity to it which they
/// would still occupy when the gang can start.
///
/// A gang that the workers could not hold even if they were empty marks none, nor does one that waits for runs without
/// an end: what is left to it stays idle. Gangs of low rank whose start is not estimated any more are left all free
/// capacity, as if they could start at any moment. Returns whether the gang waits for any worker.
pub(crate) fn mark_contested(
    unit: &WaitingUnit,
    candidates: &mut [WorkerCandidate],
    forecast: &mut CapacityForecast,
    pool_busy: bool,
) -> bool {
    let count = unit.tasks.len();
    let is_open = |candidate: &WorkerCandidate| unit.need.allows(candidate) && unit.accepts(candidate);
    if candidates
        .iter()
        .all(|candidate| candidate.contested_until.is_some() || !is_open(candidate))
    {
        return candidates
            .iter()
            .any(|candidate| candidate.contested_until.is_some());
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
    let may_estimate = forecast.take_estimate();
    let forecast = &*forecast;
    let start_on = |allowed: &dyn Fn(&WorkerCandidate) -> bool| {
        let numbered = candidates.iter().enumerate();
        let open = numbered.filter(|(_, candidate)| may_hold(candidate) && allowed(candidate));
        forecast.gang_start(&unit.need, count, open)
    };
    let start: Option<ClockTime> = if !may_estimate {
        Some(forecast.now)
    } else if holding.is_empty() || anywhere {
        start_on(&|_| true)
    } else {
        let racks = holding.iter();
        racks
            .filter_map(|rack| start_on(&|candidate| candidate.rack == *rack))
            .min()
    };
    let Some(start) = start else { return false };
    for candidate in candidates.iter_mut().filter(|candidate| may_hold(candidate)) {
        let until = candidate.contested_until.map_or(start, |until| until.min(start));
        candidate.contested_until = Some(until);
    }
    true
}
