//! Capacity that is left to waiting gangs.

use arbutuspick_model::ClockTime;

use crate::placement::capacity_forecast::CapacityForecast;
use crate::placement::placement_need::PlacementNeed;
use crate::placement::worker_search::{WorkerCandidate, rack_capacities};

/// Time beyond its expected start for which capacity is left to a gang, in milliseconds.
const CLAIM_GRACE_MS: u64 = 6_000;
/// Time for which a gang that did not start as expected leaves capacity to others, in milliseconds; more than a single
/// task may wait beside free capacity.
const CLAIM_PAUSE_MS: u64 = 3_000;

/// Period in which capacity is left to a waiting gang.
///
/// Load pattern: runs take several times as long as expected, so a gang does not start when it was to, again and
/// again, while single tasks leave capacity to it that stays idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GangClaim {
    pub(crate) expires_at: ClockTime,
    resumes_at: ClockTime,
}

impl GangClaim {
    /// Returns whether capacity is left to a gang that is expected to start at `start`. A claim that has expired is
    /// replaced after a pause.
    pub(crate) fn holds(claim: &mut Option<Self>, start: ClockTime, now: ClockTime) -> bool {
        match claim {
            Some(claim) if now <= claim.expires_at => true,
            Some(claim) if now < claim.resumes_at => false,
            _ => {
                let expires_at = start + CLAIM_GRACE_MS;
                *claim = Some(Self {
                    expires_at,
                    resumes_at: expires_at + CLAIM_PAUSE_MS,
                });
                true
            }
        }
    }
}

/// Marks the workers that a gang waits for, so that single tasks of lower rank leave free capacity to it which they
/// would still occupy when the gang can start.
///
/// A gang that the workers could not hold even if they were empty marks none, nor does one that waits for runs without
/// an end: what is left to it stays idle. Gangs of low rank whose start is not estimated any more are left all free
/// capacity, as if they could start at any moment. Returns whether the gang waits for any worker.
pub(crate) fn mark_contested(
    need: &PlacementNeed,
    candidates: &mut [WorkerCandidate],
    forecast: &mut CapacityForecast,
    claim: &mut Option<GangClaim>,
) -> bool {
    let count = need.members.unwrap_or(1);
    let is_open = |candidate: &WorkerCandidate| need.task.allows(candidate) && need.accepts(candidate);
    if candidates
        .iter()
        .all(|candidate| candidate.contested_until.is_some() || !is_open(candidate))
    {
        return candidates
            .iter()
            .any(|candidate| candidate.contested_until.is_some());
    }
    let holding: Vec<_> = if need.same_rack {
        let racks = rack_capacities(candidates, &need.task, count, is_open).into_iter();
        let holding = racks.filter(|(rack, tasks)| *tasks >= count && need.task.is_local_rack(*rack));
        holding.map(|(rack, _)| Some(rack)).collect()
    } else {
        Vec::new()
    };
    let is_local = |candidate: &WorkerCandidate| {
        if holding.is_empty() {
            need.task.is_local(candidate)
        } else {
            holding.contains(&candidate.rack)
        }
    };
    // A gang that fits into no rack runs across racks.
    let anywhere = need.allows_remote || need.same_rack && holding.is_empty();
    let may_hold = |candidate: &WorkerCandidate| is_open(candidate) && (anywhere || is_local(candidate));
    let open = candidates.iter().filter(|candidate| may_hold(candidate));
    let fitting: usize = open
        .map(|candidate| need.task.count_on(&candidate.capacity, count))
        .sum();
    if fitting < count {
        return false;
    }
    let may_estimate = forecast.take_estimate();
    let forecast = &*forecast;
    let start_on = |allowed: &dyn Fn(&WorkerCandidate) -> bool| {
        let numbered = candidates.iter().enumerate();
        let open = numbered.filter(|(_, candidate)| may_hold(candidate) && allowed(candidate));
        forecast.gang_start(&need.task, count, open)
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
    let Some(start) = start.filter(|start| GangClaim::holds(claim, *start, forecast.now)) else {
        return false;
    };
    for candidate in candidates.iter_mut().filter(|candidate| may_hold(candidate)) {
        let until = candidate.contested_until.map_or(start, |until| until.min(start));
        candidate.contested_until = Some(until);
    }
    true
}
