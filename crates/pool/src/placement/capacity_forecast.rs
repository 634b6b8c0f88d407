//! Estimates when the capacity that a waiting gang needs will be free.

use std::collections::HashMap;

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{PlacementStage, TaskEntry};
use crate::placement::worker_search::{TaskNeed, WorkerCandidate};
use crate::pool_core::PoolCore;
use crate::workers::run_pace::remaining_run_ms;
use crate::{ResourceAmount, StepBody, WorkerKey};

/// Maximum number of gangs in a decision whose start is estimated; the work for each grows with the number of runs.
const MAX_ESTIMATES: usize = 16;

/// Expected ends of the runs on each candidate, with the capacity that each of them frees.
#[derive(Debug)]
pub(crate) struct CapacityForecast {
    pub(crate) now: ClockTime,
    /// Number of gangs whose start may still be estimated in this decision.
    estimates_left: usize,
    /// By candidate, the earliest end first.
    ends: Vec<Vec<(ClockTime, ResourceAmount)>>,
}

impl CapacityForecast {
    /// Returns whether the start of another gang may be estimated, and counts it.
    pub(crate) fn take_estimate(&mut self) -> bool {
        let is_left = self.estimates_left > 0;
        self.estimates_left = self.estimates_left.saturating_sub(1);
        is_left
    }

    /// Returns when `count` tasks fit on some candidates together, if nothing else is started there; `None` if runs
    /// without an end keep them from it.
    pub(crate) fn gang_start<'a, I>(&self, need: &TaskNeed, count: usize, candidates: I) -> Option<ClockTime>
    where
        I: Iterator<Item = (usize, &'a WorkerCandidate)>,
    {
        let mut gains: Vec<(ClockTime, usize)> = Vec::new();
        for (index, candidate) in candidates {
            let mut free = candidate.free;
            let mut fits = need.count_on(&free, count);
            gains.push((self.now, fits));
            for (end, amount) in &self.ends[index] {
                free += *amount;
                let next = need.count_on(&free, count);
                gains.push((*end, next.saturating_sub(fits)));
                fits = fits.max(next);
            }
        }
        gains.sort_unstable();
        let mut total = 0;
        gains.into_iter().find_map(|(at, gained)| {
            total += gained;
            (total >= count).then_some(at)
        })
    }
}

impl PoolCore {
    /// Estimates the ends of all runs on the candidates.
    pub(crate) fn capacity_forecast(
        &self,
        candidates: &[WorkerCandidate],
        now: ClockTime,
    ) -> CapacityForecast {
        let numbered = candidates.iter().enumerate();
        let index: HashMap<WorkerKey, usize> = numbered
            .map(|(index, candidate)| (candidate.worker, index))
            .collect();
        let mut ends = vec![Vec::new(); candidates.len()];
        // What belongs to no known task is being stopped.
        let mut unexplained: Vec<ResourceAmount> = candidates
            .iter()
            .map(|candidate| {
                let mut used = candidate.capacity;
                used -= candidate.free;
                used
            })
            .collect();
        for job in self.jobs.values() {
            for occurrence in job.occurrences.values() {
                for (step, body) in occurrence.steps.iter().zip(&job.body.steps) {
                    for task in &step.tasks {
                        let worker = task.placement.map(|placement| placement.worker);
                        let Some(index) = worker.and_then(|worker| index.get(&worker)) else {
                            continue;
                        };
                        unexplained[*index] -= body.amount();
                        if let Some(end) = self.expected_end(task, body, now) {
                            ends[*index].push((end, body.amount()));
                        }
                    }
                }
            }
        }
        for (ends, amount) in ends.iter_mut().zip(unexplained) {
            if amount.covers(&ResourceAmount::default()) && amount != ResourceAmount::default() {
                ends.push((now + self.options.stop_ms, amount));
            }
            ends.sort_unstable_by_key(|(end, _)| *end);
        }
        CapacityForecast {
            now,
            estimates_left: MAX_ESTIMATES,
            ends,
        }
    }

    /// Returns when a placed run is expected to end, by its progress or by the estimate of its caller; `None` if it
    /// runs until its job is cancelled. A run that takes longer than its estimate is expected to end at any moment.
    fn expected_end(&self, task: &TaskEntry, body: &StepBody, now: ClockTime) -> Option<ClockTime> {
        let placement = task.placement?;
        if placement.stage == PlacementStage::Stopping {
            return Some(now + self.options.stop_ms);
        }
        if body.endless {
            return None;
        }
        let factor = if placement.remote {
            self.options.remote_factor.max(1)
        } else {
            1
        };
        let left_ms = remaining_run_ms(task, now).unwrap_or_else(|| {
            let ran_ms = now.millis_since(placement.since);
            (body.estimate_ms * factor).saturating_sub(ran_ms)
        });
        Some(now + left_ms)
    }
}
