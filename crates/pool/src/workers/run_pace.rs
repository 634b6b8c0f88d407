//! Projects how long runs take from their progress, and compares the runs of a step with each other.
//!
//! Load pattern: estimates are often far off, and a few tasks take many times as long as their siblings. All
//! members of a gang have the same work and report their progress separately, so their rates show the speeds of
//! their workers; single tasks show them only on the whole.

use arbutuspick_model::ClockTime;

use crate::WorkerKey;
use crate::jobs::job_entry::{RunProgress, StepEntry, TaskEntry};
use crate::workers::worker_speed::{SpeedEstimate, weighted_median};

/// Minimum observed work of a run, in milliseconds: its start is known to within some tens of milliseconds.
const MIN_OBSERVED_MS: u64 = 500;
/// Minimum observed work of a run with an unknown start, in milliseconds: more than one listing interval.
const MIN_OBSERVED_UNKNOWN_START_MS: u64 = 1_200;
/// Minimum progress from which a total time is projected, in percent.
const MIN_OBSERVED_PERCENT: u32 = 3;
/// Minimum progress from which a run shows the speed of its worker, in percent; workers round it down.
const MIN_SAMPLE_PERCENT: u32 = 5;
/// Minimum number of other runs with which a single task is compared; sizes of siblings differ.
const MIN_SIBLINGS: usize = 3;
/// Maximum weight of a run in a comparison, in runs on workers of unknown speed.
const MAX_SIBLING_WEIGHT: f64 = 6.0;

/// Returns the observed work of a run in milliseconds and in percent, if it is long enough to be judged.
fn observed_work(progress: &RunProgress) -> Option<(u64, u32)> {
    // A member of a gang waits at 100 % for the others, so later reports show nothing.
    let observed_at = if progress.percent >= 100 {
        progress.last_gain_at
    } else {
        progress.reported_at
    };
    let worked_ms = observed_at.millis_since(progress.work_started_at?);
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

/// Returns the natural logarithm of a time in milliseconds.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn log_ms(millis: u64) -> f64 {
    (millis.max(1) as f64).ln()
}

/// Returns the logarithm of the total time that the progress of a run shows, without the factor of a remote run.
fn log_total(task: &TaskEntry, remote_factor: u64) -> Option<f64> {
    let progress = &task.progress;
    let total_ms = projected_total_ms(progress)?;
    let gained_percent = progress.percent.saturating_sub(progress.first_percent);
    let factor = if task.placement?.remote {
        remote_factor.max(1)
    } else {
        1
    };
    // The percent is rounded down, by half a percent in the mean.
    let rounding = 1.0 + 0.5 / f64::from(gained_percent.max(1));
    Some(log_ms(total_ms / factor) - rounding.ln())
}

/// Work of a run as its total time at the usual speed, by the speed that its worker is known to have.
#[derive(Clone, Copy, Debug)]
struct RunWork {
    worker: WorkerKey,
    log_work: f64,
    weight: f64,
}

/// Work of the runs of a step, the smallest first.
#[derive(Debug)]
pub(crate) struct StepPace {
    works: Vec<RunWork>,
    /// Logarithm of the median work.
    log_median: f64,
    gang: bool,
}

impl StepPace {
    pub(crate) fn from_step<'a, F>(step: &StepEntry, gang: bool, remote_factor: u64, speed_of: F) -> Self
    where
        F: Fn(WorkerKey) -> Option<&'a SpeedEstimate>,
    {
        let running = step.tasks.iter().filter_map(|task| {
            let worker = task.placement?.worker;
            Some((worker, log_total(task, remote_factor)?))
        });
        let finished = step.run_times.iter().map(|(worker, ms)| (*worker, log_ms(*ms)));
        let works = running.chain(finished).map(|(worker, log_total)| {
            let (log_speed, weight) =
                speed_of(worker).map_or((0.0, 0.0), |speed| (speed.log_speed(), speed.weight()));
            RunWork {
                worker,
                log_work: log_total + log_speed,
                weight: 1.0 + weight.min(MAX_SIBLING_WEIGHT),
            }
        });
        let mut works: Vec<RunWork> = works.collect();
        works.sort_unstable_by(|a, b| a.log_work.total_cmp(&b.log_work));
        let log_median = weighted_median(works.iter().map(|work| (work.log_work, work.weight)));
        Self {
            works,
            log_median,
            gang,
        }
    }

    /// Returns the logarithm of the work of a run of the step at the usual speed, in milliseconds, if at least `needed`
    /// runs on other workers than this one show it.
    pub(crate) fn log_work(&self, worker: WorkerKey, needed: usize) -> Option<f64> {
        let others = self.works.iter().filter(|work| work.worker != worker);
        (others.take(needed).count() == needed).then_some(self.log_median)
    }

    /// Returns the same by the runs on other workers alone.
    pub(crate) fn log_work_elsewhere(&self, worker: WorkerKey, needed: usize) -> Option<f64> {
        self.log_work(worker, needed)?;
        let others = self.works.iter().filter(|work| work.worker != worker);
        Some(weighted_median(others.map(|work| (work.log_work, work.weight))))
    }
}

/// Returns whether the progress of a run is enough to show the speed of its worker, and has not done so yet.
pub(crate) fn shows_speed(progress: &RunProgress) -> bool {
    let gained_percent = progress.percent.saturating_sub(progress.first_percent);
    !progress.has_shown_speed
        && progress.percent < 100
        && gained_percent >= MIN_SAMPLE_PERCENT
        && projected_total_ms(progress).is_some()
}

/// Returns the logarithm of the speed of the worker that a run of the step shows.
pub(crate) fn shown_speed(pace: &StepPace, task: &TaskEntry, remote_factor: u64) -> Option<f64> {
    let worker = task.placement?.worker;
    let needed = if pace.gang { 1 } else { MIN_SIBLINGS };
    Some(pace.log_work(worker, needed)? - log_total(task, remote_factor)?)
}

/// Returns the logarithm of the speed that a finished run of `took_ms` shows.
pub(crate) fn finished_speed(pace: &StepPace, worker: WorkerKey, took_ms: u64) -> Option<f64> {
    Some(pace.log_work(worker, MIN_SIBLINGS)? - log_ms(took_ms))
}
