//! Finds workers for a task or a whole gang, best fit first.
//!
//! Load pattern: large tasks and gangs arrive while small tasks are spread over the pool. Small tasks are
//! placed where the least capacity is left over, so that whole workers and racks stay free for large ones.

use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::ResourceAmount;
use crate::keys::{RackId, WorkerKey};
use crate::workers::label_index::{LabelId, RequiredLabel};
use crate::workers::worker_speed::{SpeedPreference, SpeedTier};

/// A schedulable worker during one decision, with the resources that are still free.
#[derive(Clone, Debug)]
pub(crate) struct WorkerCandidate {
    pub(crate) worker: WorkerKey,
    pub(crate) free: ResourceAmount,
    pub(crate) capacity: ResourceAmount,
    pub(crate) rack: Option<RackId>,
    pub(crate) service: Arc<str>,
    pub(crate) labels: Arc<[LabelId]>,
    /// Whether other workers should be preferred: a call was not answered lately, or a run failed and none
    /// has succeeded since.
    pub(crate) suspect: bool,
    /// Whether it is used only by units that have waited `SLOW_WAIT_MS` for other workers.
    pub(crate) slow: bool,
    /// Whether it is paused after failed runs, and is a candidate only for units that no other worker could run.
    pub(crate) paused: bool,
    /// When a gang of higher rank is expected to start, if it waits for more free capacity on workers like this one.
    pub(crate) contested_until: Option<ClockTime>,
    /// Speed in comparison with other workers, by the run times of earlier tasks.
    pub(crate) tier: SpeedTier,
    /// Whether it is kept for urgent work.
    pub(crate) urgent_room: bool,
}

impl WorkerCandidate {
    /// Returns whether the worker is kept for other work than this, or other workers are kept for it.
    fn is_misplaced(&self, need: &TaskNeed) -> bool {
        self.urgent_room != need.urgent
    }

    /// Returns whether the worker has no runs.
    pub(crate) fn is_empty(&self) -> bool {
        self.free == self.capacity
    }
}

/// Resources and constraints of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TaskNeed {
    pub(crate) amount: ResourceAmount,
    pub(crate) service: Arc<str>,
    pub(crate) required_label: RequiredLabel,
    pub(crate) data_rack: Option<RackId>,
    /// Maximum number of tasks of the step on one worker.
    pub(crate) spread_limit: Option<usize>,
    /// Whether the task has priority 0.
    pub(crate) urgent: bool,
}

impl TaskNeed {
    /// Returns whether the worker could run the task if it were empty.
    pub(crate) fn allows(&self, candidate: &WorkerCandidate) -> bool {
        candidate.capacity.covers(&self.amount) && self.is_served_by(&candidate.service, &candidate.labels)
    }

    /// Returns whether a worker of the service with these labels may run the task, whatever its size.
    pub(crate) fn is_served_by(&self, service: &Arc<str>, labels: &[LabelId]) -> bool {
        self.required_label.is_met_by(labels) && *service == self.service
    }

    /// Returns how many tasks of the step a worker with `amount` free can hold, at most `limit`, if it has none of
    /// them yet.
    pub(crate) fn count_on(&self, amount: &ResourceAmount, limit: usize) -> usize {
        amount.count_fitting(&self.amount, self.spread_limit.unwrap_or(limit).min(limit))
    }

    pub(crate) fn is_local(&self, candidate: &WorkerCandidate) -> bool {
        self.data_rack.is_none() || self.data_rack == candidate.rack
    }

    pub(crate) fn is_local_rack(&self, rack: RackId) -> bool {
        self.data_rack.is_none_or(|data| data == rack)
    }
}

/// Number of tasks of the step that each worker has already.
pub(crate) type StepCounts = HashMap<WorkerKey, usize>;

/// Returns how many more tasks of the step fit on the candidate, at most `limit`.
pub(crate) fn fitting_tasks(
    candidate: &WorkerCandidate,
    need: &TaskNeed,
    counts: &StepCounts,
    limit: usize,
) -> usize {
    // Checked first, since few workers have free capacity while many units wait.
    if !candidate.free.covers(&need.amount) || !need.allows(candidate) {
        return 0;
    }
    let fits = candidate.free.count_fitting(&need.amount, limit);
    match need.spread_limit {
        Some(maximum) => {
            fits.min(maximum.saturating_sub(counts.get(&candidate.worker).copied().unwrap_or(0)))
        }
        None => fits,
    }
}

/// Returns the candidate for one task: not suspect if possible, then on the side of the pool that is kept for it, of
/// the preferred speed, and with the least capacity left over.
pub(crate) fn best_candidate<F>(
    candidates: &[WorkerCandidate],
    need: &TaskNeed,
    counts: &StepCounts,
    preference: SpeedPreference,
    allowed: F,
) -> Option<usize>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    let indexed = candidates.iter().enumerate();
    let fitting =
        indexed.filter(|(_, candidate)| allowed(candidate) && fitting_tasks(candidate, need, counts, 1) > 0);
    let scored = fitting.map(|(index, candidate)| {
        let left = candidate.free - need.amount;
        (
            candidate.suspect,
            candidate.is_misplaced(need),
            preference.order(candidate.tier),
            left.dominant_share(&candidate.capacity),
            index,
        )
    });
    scored.min().map(|(_, _, _, _, index)| index)
}

/// Returns allowed candidates for `count` tasks, or `None` if not all tasks fit.
///
/// Suspect workers come last, before them those kept for other work, and otherwise the fullest workers first.
pub(crate) fn gang_candidates<F>(
    candidates: &[WorkerCandidate],
    need: &TaskNeed,
    count: usize,
    allowed: F,
) -> Option<Vec<usize>>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    let counts = StepCounts::new();
    let mut scored: Vec<(bool, bool, i64, usize, usize)> = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let fits = if allowed(candidate) {
            fitting_tasks(candidate, need, &counts, count)
        } else {
            0
        };
        if fits > 0 {
            scored.push((
                candidate.suspect,
                candidate.is_misplaced(need),
                candidate.free.dominant_share(&candidate.capacity),
                index,
                fits,
            ));
        }
    }
    scored.sort_unstable();
    let mut chosen = Vec::with_capacity(count);
    for (_, _, _, index, fits) in scored {
        let take = fits.min(count - chosen.len());
        chosen.extend(std::iter::repeat_n(index, take));
        if chosen.len() == count {
            return Some(chosen);
        }
    }
    None
}

/// Returns how many tasks fit on the free capacity of each rack, by rack number.
pub(crate) fn rack_fits<F>(
    candidates: &[WorkerCandidate],
    need: &TaskNeed,
    count: usize,
    allowed: F,
) -> Vec<(RackId, usize)>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    let counts = StepCounts::new();
    sum_by_rack(candidates, |candidate| {
        if allowed(candidate) {
            fitting_tasks(candidate, need, &counts, count)
        } else {
            0
        }
    })
}

/// Returns how many tasks would fit on each rack if it were empty, by rack number.
pub(crate) fn rack_capacities<F>(
    candidates: &[WorkerCandidate],
    need: &TaskNeed,
    count: usize,
    allowed: F,
) -> Vec<(RackId, usize)>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    sum_by_rack(candidates, |candidate| {
        if need.allows(candidate) && allowed(candidate) {
            need.count_on(&candidate.capacity, count)
        } else {
            0
        }
    })
}

/// Sums the tasks on the candidates of each rack; racks without any are left out.
fn sum_by_rack<F>(candidates: &[WorkerCandidate], tasks_on: F) -> Vec<(RackId, usize)>
where
    F: Fn(&WorkerCandidate) -> usize,
{
    let mut racks: Vec<(RackId, usize)> = Vec::new();
    for candidate in candidates {
        let Some(rack) = candidate.rack else { continue };
        let tasks = tasks_on(candidate);
        if tasks == 0 {
            continue;
        }
        for number in racks.len()..=rack.0 {
            racks.push((RackId(number), 0));
        }
        racks[rack.0].1 += tasks;
    }
    racks.retain(|(_, tasks)| *tasks > 0);
    racks
}
