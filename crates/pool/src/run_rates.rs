//! Tells slow workers from tasks that are simply longer than their callers estimated.
//!
//! Estimates are often far off, so a run is compared with other runs of its step first. Without such runs it
//! is compared with its estimate, and only a worker on which several jobs fall behind counts as slow.

use std::collections::{HashMap, HashSet};

use arbutuspick_model::ClockTime;

use crate::WorkerKey;
use crate::job_run::{RunProgress, StepRun, TaskRun};
use crate::pool_core::JobKey;

/// A run is judged only after this long at work, in milliseconds: a start is known to some tens of milliseconds.
const JUDGED_AFTER_MS: u64 = 500;
/// A run whose start is not known is judged only after this long, in milliseconds: more than one listing.
const RESUMED_JUDGED_AFTER_MS: u64 = 1_200;
/// A run is judged only after this much progress, in percent.
const JUDGED_AFTER_PERCENT: u32 = 3;
/// A run is slow when it needs this many percent of the time of its siblings; sizes differ by a third.
const SLOW_SIBLING_PERCENT: u64 = 200;
/// A run falls behind when it needs this many percent of its estimate.
const SLOW_ESTIMATE_PERCENT: u64 = 250;
/// A run that needs this many percent of its estimate stands still; no error of an estimate is that large.
const FAR_ESTIMATE_PERCENT: u64 = 2_500;
/// With a single sibling to compare with, a run must also need this many percent of its estimate.
const ONE_SIBLING_PERCENT: u64 = 160;
/// Jobs that must fall behind on a worker before the worker counts as slow.
const SLOW_JOBS: usize = 2;
/// Runs on other workers with which a comparison needs no estimate.
const SIBLINGS: usize = 2;

/// Returns the milliseconds that a run was seen at work and the percent that it gained, if it can be judged.
fn observed_work(progress: &RunProgress) -> Option<(u64, u32)> {
    let worked_ms = progress.seen_at.millis_since(progress.began_at?);
    let gained = progress.percent.saturating_sub(progress.first_percent);
    let judged_after_ms = if progress.resumed {
        RESUMED_JUDGED_AFTER_MS
    } else {
        JUDGED_AFTER_MS
    };
    (worked_ms >= judged_after_ms).then_some((worked_ms, gained))
}

/// Returns how long the whole run will take at its present rate, in milliseconds.
pub(crate) fn implied_total_ms(progress: &RunProgress) -> Option<u64> {
    let (worked_ms, gained) = observed_work(progress)?;
    (gained >= JUDGED_AFTER_PERCENT).then(|| worked_ms * 100 / u64::from(gained))
}

/// Returns the least time that the whole run can take at its present rate, in milliseconds.
///
/// The percent is rounded down, so that this judges runs that have shown nothing yet, too.
pub(crate) fn least_total_ms(progress: &RunProgress) -> Option<u64> {
    let (worked_ms, gained) = observed_work(progress)?;
    Some(worked_ms * 100 / u64::from(gained + 1))
}

/// Returns in how many milliseconds a run should end by its progress; estimates are too far off for this.
pub(crate) fn remaining_run_ms(task: &TaskRun, now: ClockTime) -> Option<u64> {
    let total_ms = implied_total_ms(&task.progress)?;
    let left = u64::from(100 - task.progress.percent.min(100)) * total_ms / 100;
    Some(left.saturating_sub(now.millis_since(task.progress.seen_at)))
}

/// Times that the tasks of a step need, each with its worker.
pub(crate) struct StepRates {
    totals: Vec<(WorkerKey, u64)>,
}

impl StepRates {
    pub(crate) fn of(step: &StepRun, remote_factor: u64) -> Self {
        let running = step.tasks.iter().filter_map(|task| {
            let place = task.place?;
            let factor = if place.remote { remote_factor.max(1) } else { 1 };
            Some((place.worker, implied_total_ms(&task.progress)? / factor))
        });
        let finished = step.finished_ms.iter().copied();
        Self {
            totals: running.chain(finished).collect(),
        }
    }

    /// Returns the median time on other workers than this one, and how many runs it comes from.
    pub(crate) fn siblings(&self, worker: WorkerKey) -> Option<(u64, usize)> {
        let mut others: Vec<u64> = self
            .totals
            .iter()
            .filter(|(key, _)| *key != worker)
            .map(|(_, ms)| *ms)
            .collect();
        others.sort_unstable();
        let median = others.get(others.len() / 2)?;
        Some((*median, others.len()))
    }
}

/// How a run compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPace {
    /// As expected, or not judged yet.
    Expected,
    /// Far slower than other runs of its step, or than any error of an estimate explains.
    FarBehind { expected_ms: u64 },
    /// Slower than its estimate, with nothing else to compare.
    BehindEstimate,
}

/// Judges a run that takes at least `total_ms` by its siblings, a median and their number, and its estimate.
pub(crate) fn run_pace(total_ms: u64, siblings: Option<(u64, usize)>, estimate_ms: u64) -> RunPace {
    let exceeds = |base_ms: u64, percent: u64| total_ms * 100 > base_ms * percent;
    match siblings {
        Some((expected_ms, count)) => {
            let trusted = count >= SIBLINGS || exceeds(estimate_ms, ONE_SIBLING_PERCENT);
            if trusted && exceeds(expected_ms, SLOW_SIBLING_PERCENT) {
                RunPace::FarBehind { expected_ms }
            } else {
                RunPace::Expected
            }
        }
        None if exceeds(estimate_ms, FAR_ESTIMATE_PERCENT) => RunPace::FarBehind {
            expected_ms: estimate_ms,
        },
        None if exceeds(estimate_ms, SLOW_ESTIMATE_PERCENT) => RunPace::BehindEstimate,
        None => RunPace::Expected,
    }
}

/// Collects what the runs of all jobs say about workers.
#[derive(Default)]
pub(crate) struct WorkerEvidence {
    behind: HashMap<WorkerKey, HashSet<JobKey>>,
    proven: HashSet<WorkerKey>,
    fine: HashSet<WorkerKey>,
}

impl WorkerEvidence {
    pub(crate) fn note(&mut self, worker: WorkerKey, job: JobKey, pace: RunPace) {
        match pace {
            RunPace::Expected => {
                self.fine.insert(worker);
            }
            RunPace::FarBehind { .. } => {
                self.proven.insert(worker);
            }
            RunPace::BehindEstimate => {
                self.behind.entry(worker).or_default().insert(job);
            }
        }
    }

    /// Returns the workers on which a run is far behind.
    pub(crate) fn proven(&self) -> impl Iterator<Item = WorkerKey> {
        self.proven.iter().copied()
    }

    /// Returns whether the worker is slow rather than its tasks long.
    pub(crate) fn is_slow(&self, worker: WorkerKey) -> bool {
        let several = self
            .behind
            .get(&worker)
            .is_some_and(|jobs| jobs.len() >= SLOW_JOBS);
        self.proven.contains(&worker) || several && !self.fine.contains(&worker)
    }
}
