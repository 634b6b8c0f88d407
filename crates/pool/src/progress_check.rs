//! Finds runs that should not go on where they are.
//!
//! Load pattern: some workers stand still, run several times slower, or are about to leave, while others have
//! room. A run is moved only when it would end sooner elsewhere, and only a few times.

use arbutuspick_model::ClockTime;

use crate::job_run::{PlaceStage, TaskRun};
use crate::pool_core::{JobKey, PoolCore};
use crate::run_rates::{RunPace, StepRates, WorkerEvidence, least_total_ms, run_pace};
use crate::{StepBody, StopReason, TaskName, WorkerKey};

/// A run whose percent has not risen for this long stands still, in milliseconds; listings are a second apart.
const STALL_MS: u64 = 1_100;
/// Most times that a task is moved for lack of progress; a task that is slow everywhere is left alone.
const MAX_SLOW_RESTARTS: u32 = 2;
/// A gang with an unanswered start is stopped this long before its members stop waiting, in milliseconds.
const GANG_MARGIN_MS: u64 = 1_500;

/// Returns whether a run has stopped making progress.
fn stands_still(task: &TaskRun, expected_ms: u64) -> bool {
    let progress = &task.progress;
    if progress.began_at.is_none() || progress.percent >= 100 {
        return false;
    }
    // One percent of a long task may take longer than the limit.
    let still_ms = progress.seen_at.millis_since(progress.rose_at);
    still_ms > STALL_MS.max(expected_ms / 8)
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
        let evidence = self.worker_evidence();
        for worker in evidence.proven() {
            self.note_slow(worker, now);
        }
        let mut moves = Vec::new();
        let mut broken = Vec::new();
        for (key, job) in &self.jobs {
            for (number, occurrence) in &job.occurrences {
                for (step_number, step) in occurrence.steps.iter().enumerate() {
                    let body = &job.body.steps[step_number];
                    let rates = StepRates::of(step, self.options.remote_factor);
                    for (index, task) in step.tasks.iter().enumerate() {
                        let Some(place) = task.place else { continue };
                        let waits_ms = now.millis_since(place.since) + GANG_MARGIN_MS;
                        let unclear = place.stage == PlaceStage::Unclear && body.gang;
                        if unclear && waits_ms > self.options.gang_wait_ms {
                            broken.push((key, job.task_name(*number, step_number, index)));
                        }
                        if place.stage != PlaceStage::Running {
                            continue;
                        }
                        let reason = self.move_reason(body, task, &rates, &evidence, now);
                        moves.extend(reason.map(|reason| RunMove {
                            key,
                            name: job.task_name(*number, step_number, index),
                            worker: place.worker,
                            reason,
                        }));
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

    /// Compares all runs with their siblings and estimates.
    fn worker_evidence(&self) -> WorkerEvidence {
        let mut evidence = WorkerEvidence::default();
        for (key, job) in &self.jobs {
            for occurrence in job.occurrences.values() {
                for (step, body) in occurrence.steps.iter().zip(&job.body.steps) {
                    let rates = StepRates::of(step, self.options.remote_factor);
                    for task in &step.tasks {
                        if let Some((worker, pace)) = self.pace_of(body, task, &rates) {
                            evidence.note(worker, key, pace);
                        }
                    }
                }
            }
        }
        evidence
    }

    fn pace_of(&self, body: &StepBody, task: &TaskRun, rates: &StepRates) -> Option<(WorkerKey, RunPace)> {
        let place = task.place?;
        let factor = if place.remote {
            self.options.remote_factor.max(1)
        } else {
            1
        };
        if body.endless {
            return None;
        }
        let total_ms = least_total_ms(&task.progress)? / factor;
        let siblings = rates.siblings(place.worker);
        Some((place.worker, run_pace(total_ms, siblings, body.estimate_ms)))
    }

    /// Returns why the run should be stopped and placed anew, if it should.
    fn move_reason(
        &self,
        body: &StepBody,
        task: &TaskRun,
        rates: &StepRates,
        evidence: &WorkerEvidence,
        now: ClockTime,
    ) -> Option<StopReason> {
        let place = task.place?;
        let view = self.workers.get(place.worker)?;
        let factor = if place.remote {
            self.options.remote_factor.max(1)
        } else {
            1
        };
        let left_percent = u64::from(100 - task.progress.percent.min(100));
        if let Some(leaves_at) = view.report.leaves_at {
            let left_ms = body.estimate_ms * factor * left_percent / 100;
            let saved = body.checkpoints && !task.checkpoint.is_empty();
            return (saved && now + left_ms > leaves_at).then_some(StopReason::WorkerLeaving);
        }
        if body.endless || task.slow_restarts >= MAX_SLOW_RESTARTS {
            return None;
        }
        if stands_still(task, body.estimate_ms * factor) {
            return Some(StopReason::NoProgress);
        }
        let (worker, pace) = self.pace_of(body, task, rates)?;
        let expected_ms = match pace {
            RunPace::Expected => return None,
            RunPace::FarBehind { expected_ms } => expected_ms,
            RunPace::BehindEstimate if evidence.is_slow(worker) => body.estimate_ms,
            RunPace::BehindEstimate => return None,
        };
        let remaining_ms = least_total_ms(&task.progress)? * left_percent / 100;
        let elsewhere_ms = expected_ms + self.options.stop_ms;
        // A task that was moved before is slow by itself.
        let sooner = remaining_ms > elsewhere_ms + elsewhere_ms / 4;
        (sooner && task.slow_restarts == 0).then_some(StopReason::NoProgress)
    }

    fn move_run(&mut self, run: &RunMove, now: ClockTime) {
        if run.reason == StopReason::NoProgress {
            self.note_slow(run.worker, now);
            if let Some(task) = self.jobs.get_mut(run.key).and_then(|job| job.task_mut(&run.name)) {
                let progress = &task.progress;
                log::warn!(
                    "[run] task={} run={} state=too slow percent={} first_percent={} still_ms={} worked_ms={}",
                    run.name,
                    task.run,
                    progress.percent,
                    progress.first_percent,
                    progress.seen_at.millis_since(progress.rose_at),
                    progress
                        .began_at
                        .map_or(0, |began| progress.seen_at.millis_since(began)),
                );
                task.slow_restarts += 1;
                task.avoid = Some(run.worker);
            }
        }
        self.stop_task(run.key, &run.name, run.reason, now);
        // The first member that ends breaks the gang, so stopping all of them is faster than stopping one.
        let step = run.name.step as usize;
        if self.jobs[run.key].body.steps[step].gang {
            self.break_gang(run.key, &run.name, now);
        }
    }

    fn note_slow(&mut self, worker: WorkerKey, now: ClockTime) {
        if let Some(view) = self.workers.get_mut(worker) {
            if !view.health.is_slow(now) {
                log::info!("[worker] id={} state=slow", view.report.id);
            }
            view.health.note_slow(now);
        }
    }
}
