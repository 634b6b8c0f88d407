//! Tells slow workers from tasks that are simply longer than their callers estimated.
//!
//! Estimates are often far off, so a run is compared with other runs of its step first. Without such runs it
//! is compared with its estimate, and only a worker on which several jobs fall behind counts as slow.

use std::collections::{HashMap, HashSet};

use arbutuspick_model::ClockTime;

use crate::WorkerKey;
use crate::job_run::{RunProgress, StepRun, TaskRun};
use crate::pool_core::JobKey;

/// A run is judged only after this long at work, in milliseconds.
const JUDGED_AFTER_MS: u64 = 1_200;
/// A run is judged only after this much progress, in percent.
const JUDGED_AFTER_PERCENT: u32 = 3;
/// A run is slow when it needs this many percent of the time of its siblings; sizes differ by a third.
const SLOW_SIBLING_PERCENT: u64 = 200;
/// A run falls behind when it needs this many percent of its estimate.
const SLOW_ESTIMATE_PERCENT: u64 = 250;
/// Jobs that must fall behind on a worker before the worker counts as slow.
const SLOW_JOBS: usize = 2;
/// Runs on other workers that are needed for a comparison.
const SIBLINGS: usize = 2;

/// Returns how long the whole run will take at its present rate, in milliseconds.
pub(crate) fn implied_total_ms(progress: &RunProgress) -> Option<u64> {
    let worked_ms = progress.seen_at.millis_since(progress.began_at?);
    let gained = progress.percent.saturating_sub(progress.first_percent);
    if worked_ms < JUDGED_AFTER_MS || gained < JUDGED_AFTER_PERCENT {
        return None;
    }
    Some(worked_ms * 100 / u64::from(gained))
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

    /// Returns the median time on other workers than this one.
    pub(crate) fn sibling_ms(&self, worker: WorkerKey) -> Option<u64> {
        let mut others: Vec<u64> = self
            .totals
            .iter()
            .filter(|(key, _)| *key != worker)
            .map(|(_, ms)| *ms)
            .collect();
        if others.len() < SIBLINGS {
            return None;
        }
        others.sort_unstable();
        Some(others[others.len() / 2])
    }
}

/// How a run compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPace {
    /// As expected, or not judged yet.
    Expected,
    /// Slower than other runs of its step.
    BehindSiblings { expected_ms: u64 },
    /// Slower than its estimate, with nothing else to compare.
    BehindEstimate,
}

pub(crate) fn run_pace(total_ms: u64, sibling_ms: Option<u64>, estimate_ms: u64) -> RunPace {
    match sibling_ms {
        Some(expected_ms) if total_ms * 100 > expected_ms * SLOW_SIBLING_PERCENT => {
            RunPace::BehindSiblings { expected_ms }
        }
        Some(_) => RunPace::Expected,
        None if total_ms * 100 > estimate_ms * SLOW_ESTIMATE_PERCENT => RunPace::BehindEstimate,
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
            RunPace::BehindSiblings { .. } => {
                self.proven.insert(worker);
            }
            RunPace::BehindEstimate => {
                self.behind.entry(worker).or_default().insert(job);
            }
        }
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
