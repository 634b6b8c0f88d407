//! Learns the speeds of the workers from the progress and the ends of all runs.
//!
//! Load pattern: most work arrives within seconds on workers that nobody has measured, so a run counts as soon as
//! its progress shows anything, and once only.

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::StepEntry;
use crate::keys::JobKey;
use crate::pool_core::PoolCore;
use crate::workers::run_pace::{StepPace, finished_speed, shown_speed};
use crate::{TaskName, WorkerKey};

/// A sample of the speed of a worker.
struct ShownSpeed {
    worker: WorkerKey,
    log_speed: f64,
    gang: bool,
}

impl PoolCore {
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
        let is_on_worker = |member: &crate::jobs::job_entry::TaskEntry| {
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
