//! Learns the speeds of the workers from the progress and the ends of all runs.
//!
//! Load pattern: most work arrives within seconds on workers that nobody has measured, so a run counts as soon as
//! its progress shows anything, and once only.

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{StepEntry, TaskEntry};
use crate::keys::JobKey;
use crate::pool_core::PoolCore;
use crate::workers::run_move::MoveCounts;
use crate::workers::run_pace::{StepPace, finished_speed, shown_speed};
use crate::workers::worker_speed::SpeedTier;
use crate::{TaskName, WorkerKey};

/// A sample of the speed of a worker.
struct ShownSpeed {
    worker: WorkerKey,
    log_speed: f64,
    gang: bool,
}

/// Speeds of the workers in comparison with each other, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSummary {
    /// Workers that are faster than usual.
    pub fast: usize,
    /// Workers of the usual speed, or of which nothing is known.
    pub usual: usize,
    /// Workers that are slower than usual.
    pub slow: usize,
    /// Speed of the fastest worker, as a multiple of that of the slowest one.
    pub ratio: f64,
}

impl PoolCore {
    /// Returns the numbers of fast and slow workers.
    pub fn speed_summary(&self) -> SpeedSummary {
        let mut summary = SpeedSummary::default();
        let (mut highest, mut lowest) = (0.0_f64, 0.0_f64);
        for view in self.workers.values().filter(|view| !view.removed) {
            let count = match view.speed.tier() {
                SpeedTier::Fast => &mut summary.fast,
                SpeedTier::Usual => &mut summary.usual,
                SpeedTier::Slow => &mut summary.slow,
            };
            *count += 1;
            highest = highest.max(view.speed.log_speed());
            lowest = lowest.min(view.speed.log_speed());
        }
        summary.ratio = (highest - lowest).exp();
        summary
    }

    /// Returns the numbers of moves since the last call, by reason.
    pub fn take_move_counts(&mut self) -> MoveCounts {
        std::mem::take(&mut self.move_counts)
    }

    /// Compares the runs of a step, at the speeds that their workers are known to have.
    pub(crate) fn step_pace(&self, step: &StepEntry, gang: bool) -> StepPace {
        let speed_of = |worker| self.workers.get(worker).map(|view| &view.speed);
        StepPace::from_step(step, gang, self.options.remote_factor, speed_of)
    }

    /// Counts the progress of a run in the speed of its worker, if there are others to compare it with.
    pub(crate) fn record_progress(&mut self, key: JobKey, name: &TaskName, now: ClockTime) {
        let Some(shown) = self.progress_sample(key, name) else {
            return;
        };
        if let Some(task) = self.jobs[key].task_mut(name) {
            task.progress.has_shown_speed = true;
        }
        self.record_sample(&shown, now);
    }

    fn progress_sample(&self, key: JobKey, name: &TaskName) -> Option<ShownSpeed> {
        let job = self.jobs.get(key)?;
        let body = job.body.steps.get(name.step as usize)?;
        let step = job
            .occurrences
            .get(&name.occurrence)?
            .steps
            .get(name.step as usize)?;
        let index = name.index as usize;
        let task = step.tasks.get(index)?;
        let worker = task.placement?.worker;
        let is_on_worker = |member: &TaskEntry| {
            member
                .placement
                .is_some_and(|placement| placement.worker == worker)
        };
        // Members of a gang on one worker all show the same.
        if body.endless || body.gang && step.tasks[..index].iter().any(is_on_worker) {
            return None;
        }
        let pace = self.step_pace(step, body.gang);
        let log_speed = shown_speed(&pace, task, self.options.remote_factor)?;
        Some(ShownSpeed {
            worker,
            log_speed,
            gang: body.gang,
        })
    }

    /// Counts the end of a single task in the speed of its worker, unless its progress has been counted.
    ///
    /// The end of a gang shows the speed of its slowest member only.
    pub(crate) fn record_end(&mut self, key: JobKey, name: &TaskName, now: ClockTime) {
        if let Some(shown) = self.end_sample(key, name, now) {
            self.record_sample(&shown, now);
        }
    }

    fn end_sample(&self, key: JobKey, name: &TaskName, now: ClockTime) -> Option<ShownSpeed> {
        let job = self.jobs.get(key)?;
        let body = job.body.steps.get(name.step as usize)?;
        if body.gang || body.endless {
            return None;
        }
        let step = job
            .occurrences
            .get(&name.occurrence)?
            .steps
            .get(name.step as usize)?;
        let task = step.tasks.get(name.index as usize)?;
        let placement = task.placement?;
        if task.progress.is_start_unknown || task.progress.has_shown_speed || placement.remote {
            return None;
        }
        let pace = self.step_pace(step, false);
        let took_ms = now.millis_since(placement.since);
        Some(ShownSpeed {
            worker: placement.worker,
            log_speed: finished_speed(&pace, placement.worker, took_ms)?,
            gang: false,
        })
    }

    fn record_sample(&mut self, shown: &ShownSpeed, now: ClockTime) {
        let Some(view) = self.workers.get_mut(shown.worker) else {
            return;
        };
        let before = view.speed.tier();
        view.speed.record(shown.log_speed, shown.gang, now);
        let after = view.speed.tier();
        if before != after {
            log::info!(
                "[worker] id={} speed={:.2} weight={:.1} tier={after:?}",
                view.report.id,
                view.speed.speed(),
                view.speed.weight(),
            );
        }
    }
}
