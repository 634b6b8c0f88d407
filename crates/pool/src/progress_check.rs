//! Finds runs that should not go on where they are.
//!
//! Load pattern: some workers stand still, run several times slower, or are about to leave, while others have
//! room. A run is moved only when it would end sooner elsewhere, and only a few times.

use arbutuspick_model::ClockTime;

use crate::job_run::{PlaceStage, TaskRun};
use crate::pool_core::{JobKey, PoolCore};
use crate::{StepBody, StopReason, TaskName, WorkerKey};

/// A run whose percent has not risen for this long stands still, in milliseconds.
const STALL_MS: u64 = 2_200;
/// A run is judged slow only after this long at work, in milliseconds.
const SLOW_AFTER_MS: u64 = 1_500;
/// A run is slow when its rate is below this many percent of the expected one; estimates are off by a fifth.
const SLOW_PERCENT: u64 = 40;
/// Most times that a task is moved for lack of progress; a task that is slow everywhere is left alone.
const MAX_SLOW_RESTARTS: u32 = 2;
/// A gang with an unanswered start is stopped this long before its members stop waiting, in milliseconds.
const GANG_MARGIN_MS: u64 = 1_500;

/// What the progress of a run says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgressVerdict {
    Fine,
    StandsStill,
    Slow { remaining_ms: u64 },
}

/// Judges a run by its reported percent.
fn judge_progress(task: &TaskRun, expected_ms: u64) -> ProgressVerdict {
    let progress = &task.progress;
    let Some(began_at) = progress.began_at else {
        return ProgressVerdict::Fine;
    };
    if progress.percent >= 100 || expected_ms == 0 {
        return ProgressVerdict::Fine;
    }
    // One percent of a long task may take longer than the limit for standing still.
    let still_ms = progress.seen_at.millis_since(progress.rose_at);
    if still_ms > STALL_MS.max(expected_ms / 8) {
        return ProgressVerdict::StandsStill;
    }
    let worked_ms = progress.seen_at.millis_since(began_at);
    let gained = u64::from(progress.percent.saturating_sub(progress.first_percent));
    if worked_ms < SLOW_AFTER_MS || gained == 0 {
        return ProgressVerdict::Fine;
    }
    let expected_gain = worked_ms * 100 / expected_ms;
    if gained * 100 >= expected_gain * SLOW_PERCENT {
        return ProgressVerdict::Fine;
    }
    let left = u64::from(100 - progress.percent);
    ProgressVerdict::Slow {
        remaining_ms: left * worked_ms / gained,
    }
}

/// A run to stop and why.
struct RunMove {
    key: JobKey,
    name: TaskName,
    worker: WorkerKey,
    reason: StopReason,
}

impl PoolCore {
    /// Frees what ran on workers that could not be reached until their leases must have run out.
    pub(crate) fn check_leases(&mut self, now: ClockTime) {
        let lapsed = self.workers.iter().filter(|(_, view)| {
            let occupied = !view.occupants.is_empty() || view.holds_unknown;
            !view.listed && view.lease_bound < now && (occupied || view.gone)
        });
        let lapsed: Vec<(WorkerKey, bool)> = lapsed.map(|(key, view)| (key, view.gone)).collect();
        for (key, gone) in lapsed {
            if let Some(report) = self.worker_report(key) {
                log::warn!("[worker] id={} state=lapsed removed={gone}", report.id);
            }
            if gone {
                self.end_worker_life(key, now);
            } else {
                self.release_all(key, now);
            }
        }
    }

    /// Stops runs that stand still, are far too slow, or can resume elsewhere before their worker leaves.
    pub(crate) fn check_progress(&mut self, now: ClockTime) {
        let mut moves = Vec::new();
        let mut broken = Vec::new();
        for (key, job) in &self.jobs {
            for (number, occurrence) in &job.occurrences {
                for (step_number, step) in occurrence.steps.iter().enumerate() {
                    let body = &job.body.steps[step_number];
                    for (index, task) in step.tasks.iter().enumerate() {
                        let Some(place) = task.place else { continue };
                        let name = || job.task_name(*number, step_number, index);
                        let waited_ms = now.millis_since(place.since);
                        match place.stage {
                            PlaceStage::Unclear if body.gang && waited_ms + GANG_MARGIN_MS > self.options.gang_wait_ms => {
                                broken.push((key, name()));
                            }
                            PlaceStage::Running => {
                                if let Some(reason) = self.move_reason(body, task, place.remote, now) {
                                    moves.push(RunMove {
                                        key,
                                        name: name(),
                                        worker: place.worker,
                                        reason,
                                    });
                                }
                            }
                            _ => {}
                        }
                    }
                }
            }
        }
        for (key, name) in broken {
            self.break_gang(key, &name, now);
        }
        for run in moves {
            self.move_run(&run, now);
        }
    }

    /// Returns why the run should be stopped and placed anew, if it should.
    fn move_reason(
        &self,
        body: &StepBody,
        task: &TaskRun,
        remote: bool,
        now: ClockTime,
    ) -> Option<StopReason> {
        let view = self.workers.get(task.place?.worker)?;
        let factor = if remote { self.options.remote_factor } else { 1 };
        let expected_ms = body.estimate_ms * factor;
        if let Some(leaves_at) = view.report.leaves_at {
            let left_ms = expected_ms * u64::from(100 - task.progress.percent.min(100)) / 100;
            let saved = body.checkpoints && !task.checkpoint.is_empty();
            return (saved && now + left_ms > leaves_at).then_some(StopReason::WorkerLeaving);
        }
        if body.endless || task.slow_restarts >= MAX_SLOW_RESTARTS {
            return None;
        }
        match judge_progress(task, expected_ms) {
            ProgressVerdict::Fine => None,
            ProgressVerdict::StandsStill => Some(StopReason::NoProgress),
            ProgressVerdict::Slow { remaining_ms } => {
                let elsewhere_ms = expected_ms + self.options.stop_ms;
                // A job that was slow elsewhere too is long by itself.
                let moved = task.slow_restarts > 0;
                let sooner = remaining_ms > elsewhere_ms + elsewhere_ms / 4;
                (sooner && !moved).then_some(StopReason::NoProgress)
            }
        }
    }

    fn move_run(&mut self, run: &RunMove, now: ClockTime) {
        if run.reason == StopReason::NoProgress {
            if let Some(view) = self.workers.get_mut(run.worker) {
                view.health.note_slow(now);
                log::warn!("[worker] id={} state=slow task={}", view.report.id, run.name);
            }
            if let Some(task) = self.jobs.get_mut(run.key).and_then(|job| job.task_mut(&run.name)) {
                task.slow_restarts += 1;
                task.avoid = Some(run.worker);
            }
        }
        self.stop_task(run.key, &run.name, run.reason, now);
    }
}
