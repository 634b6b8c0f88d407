//! Distinguishes slow workers from tasks that take longer than their callers estimated.
//!
//! Estimates are often far off, so a run is compared with other runs of its step first. Without such runs it
//! is compared with its estimate, and a worker counts as slow only if several jobs fall behind on it.

use std::collections::{HashMap, HashSet};

use arbutuspick_model::ClockTime;

use crate::WorkerKey;
use crate::jobs::job_entry::{RunProgress, StepEntry, TaskEntry};
use crate::keys::JobKey;

/// Minimum observed work of a run, in milliseconds: its start is known to within some tens of milliseconds.
const MIN_OBSERVED_MS: u64 = 500;
/// Minimum observed work of a run with an unknown start, in milliseconds: more than one listing interval.
const MIN_OBSERVED_UNKNOWN_START_MS: u64 = 1_200;
/// Minimum progress from which a total time is projected, in percent.
const MIN_OBSERVED_PERCENT: u32 = 3;
/// Time of a slow run, in percent of the median of its siblings; the sizes of siblings differ by a third.
const SLOW_SIBLING_PERCENT: u64 = 200;
/// Time of a run that falls behind, in percent of its estimate.
const SLOW_ESTIMATE_PERCENT: u64 = 250;
/// Time of a run that is far behind, in percent of its estimate; no estimate is that far off.
const FAR_BEHIND_ESTIMATE_PERCENT: u64 = 2_500;
/// Time that a slow run with too few siblings must also reach, in percent of its estimate.
const ONE_SIBLING_ESTIMATE_PERCENT: u64 = 160;
/// Number of jobs that must fall behind on a worker before the worker counts as slow.
const MIN_SLOW_JOBS: usize = 2;
/// Number of siblings on other workers from which a comparison needs no estimate.
const MIN_SIBLINGS: usize = 2;

/// Returns the observed work of a run in milliseconds and in percent, if it is long enough to be judged.
fn observed_work(progress: &RunProgress) -> Option<(u64, u32)> {
    let worked_ms = progress.reported_at.millis_since(progress.work_started_at?);
    let gained_percent = progress.percent.saturating_sub(progress.first_percent);
    let min_observed_ms = if progress.is_start_unknown {
        MIN_OBSERVED_UNKNOWN_START_MS
    } else {
        MIN_OBSERVED_MS
    };
    (worked_ms >= min_observed_ms).then_some((worked_ms, gained_percent))
}

/// Returns the total time of the run at its current rate, in milliseconds.
pub(crate) fn projected_total_ms(progress: &RunProgress) -> Option<u64> {
    let (worked_ms, gained_percent) = observed_work(progress)?;
    (gained_percent >= MIN_OBSERVED_PERCENT).then(|| worked_ms * 100 / u64::from(gained_percent))
}

/// Returns the shortest total time of the run at its current rate, in milliseconds.
///
/// Workers round the percent down. One percent is added, so that runs still at 0 % can be judged, too.
pub(crate) fn min_total_ms(progress: &RunProgress) -> Option<u64> {
    let (worked_ms, gained_percent) = observed_work(progress)?;
    Some(worked_ms * 100 / u64::from(gained_percent + 1))
}

/// Returns the remaining time of a run by its progress, in milliseconds; estimates are too far off for this.
pub(crate) fn remaining_run_ms(task: &TaskEntry, now: ClockTime) -> Option<u64> {
    let total_ms = projected_total_ms(&task.progress)?;
    let left = u64::from(100 - task.progress.percent.min(100)) * total_ms / 100;
    Some(left.saturating_sub(now.millis_since(task.progress.reported_at)))
}

/// Total times of the tasks of a step, each with its worker, the shortest first.
pub(crate) struct StepDurations {
    totals: Vec<(u64, WorkerKey)>,
}

impl StepDurations {
    pub(crate) fn from_step(step: &StepEntry, remote_factor: u64) -> Self {
        let running = step.tasks.iter().filter_map(|task| {
            let placement = task.placement?;
            let factor = if placement.remote { remote_factor.max(1) } else { 1 };
            Some((projected_total_ms(&task.progress)? / factor, placement.worker))
        });
        let finished = step.run_times.iter().map(|(worker, ms)| (*ms, *worker));
        let mut totals: Vec<(u64, WorkerKey)> = running.chain(finished).collect();
        totals.sort_unstable();
        Self { totals }
    }

    /// Returns the median total time on all workers but this one, and the number of runs behind it.
    pub(crate) fn sibling_median(&self, worker: WorkerKey) -> Option<(u64, usize)> {
        let others = || self.totals.iter().filter(|(_, key)| *key != worker);
        let count = others().count();
        let (median, _) = others().nth(count / 2)?;
        Some((*median, count))
    }
}

/// Pace of a run in comparison with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPace {
    /// The run is as fast as expected, or cannot be judged yet.
    Expected,
    /// The run is far slower than other runs of its step, or than any error of its estimate explains.
    FarBehind { expected_ms: u64 },
    /// The run is slower than its estimate, and there are no other runs to compare.
    BehindEstimate,
}

/// Judges a run that takes at least `total_ms` by its estimate and its siblings, given as median and count.
pub(crate) fn judge_pace(total_ms: u64, siblings: Option<(u64, usize)>, estimate_ms: u64) -> RunPace {
    let exceeds = |base_ms: u64, percent: u64| total_ms * 100 > base_ms * percent;
    match siblings {
        Some((expected_ms, count)) => {
            let trusted = count >= MIN_SIBLINGS || exceeds(estimate_ms, ONE_SIBLING_ESTIMATE_PERCENT);
            if trusted && exceeds(expected_ms, SLOW_SIBLING_PERCENT) {
                RunPace::FarBehind { expected_ms }
            } else {
                RunPace::Expected
            }
        }
        None if exceeds(estimate_ms, FAR_BEHIND_ESTIMATE_PERCENT) => RunPace::FarBehind {
            expected_ms: estimate_ms,
        },
        None if exceeds(estimate_ms, SLOW_ESTIMATE_PERCENT) => RunPace::BehindEstimate,
        None => RunPace::Expected,
    }
}

/// Paces of the runs of all jobs, by worker.
#[derive(Default)]
pub(crate) struct PaceEvidence {
    behind_estimate: HashMap<WorkerKey, HashSet<JobKey>>,
    far_behind: HashSet<WorkerKey>,
    on_pace: HashSet<WorkerKey>,
}

impl PaceEvidence {
    pub(crate) fn add(&mut self, worker: WorkerKey, job: JobKey, pace: RunPace) {
        match pace {
            RunPace::Expected => {
                self.on_pace.insert(worker);
            }
            RunPace::FarBehind { .. } => {
                self.far_behind.insert(worker);
            }
            RunPace::BehindEstimate => {
                self.behind_estimate.entry(worker).or_default().insert(job);
            }
        }
    }

    /// Returns the workers with a run that is far behind.
    pub(crate) fn far_behind(&self) -> impl Iterator<Item = WorkerKey> {
        self.far_behind.iter().copied()
    }

    /// Returns whether the worker is slow, rather than its tasks being long.
    pub(crate) fn is_slow(&self, worker: WorkerKey) -> bool {
        let several_jobs = self
            .behind_estimate
            .get(&worker)
            .is_some_and(|jobs| jobs.len() >= MIN_SLOW_JOBS);
        self.far_behind.contains(&worker) || several_jobs && !self.on_pace.contains(&worker)
    }
}
