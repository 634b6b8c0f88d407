//! Finds runs that should be moved to another worker.
//!
//! Load pattern: some workers stall, run several times slower or are about to leave, while others have free
//! capacity. A run is moved only when it would end sooner elsewhere, and only a few times.

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{PlacementStage, TaskEntry};
use crate::jobs::loss_ledger::LossCause;
use crate::jobs::run_release::RunRelease;
use crate::keys::JobKey;
use crate::pool_core::PoolCore;
use crate::workers::departure_check::must_leave;
use crate::workers::run_pace::{PaceEvidence, RunPace, StepDurations, judge_pace, min_total_ms};
use crate::{StepBody, StopReason, TaskName, WorkerKey};

/// Time without progress after which a run counts as stalled, in milliseconds; listings are a second apart.
const STALL_LIMIT_MS: u64 = 1_100;
/// Maximum number of moves of a task for lack of progress; a task that is slow everywhere is left alone.
const MAX_SLOW_RESTARTS: u32 = 2;
/// Time before the end of the gang wait at which a gang with an unanswered start is stopped, in milliseconds.
const GANG_MARGIN_MS: u64 = 1_500;

/// Returns whether a run has stalled.
fn is_stalled(task: &TaskEntry, expected_ms: u64) -> bool {
    let progress = &task.progress;
    if progress.work_started_at.is_none() || progress.percent >= 100 {
        return false;
    }
    // One percent of a long task can take longer than STALL_LIMIT_MS.
    let stalled_ms = progress.reported_at.millis_since(progress.last_gain_at);
    stalled_ms > STALL_LIMIT_MS.max(expected_ms / 8)
}

/// A run to stop and start elsewhere.
struct RunMove {
    key: JobKey,
    name: TaskName,
    worker: WorkerKey,
    reason: StopReason,
}

impl PoolCore {
    /// Releases unreachable workers whose leases must have expired.
    ///
    /// A run that was not listed may have reached the successor, with a lease that began later.
    pub(crate) fn check_leases(&mut self, now: ClockTime) {
        let expired = self.workers.iter().filter(|(key, view)| {
            let is_present = self.worker_index.get(&view.report.id) == Some(key);
            let is_expired = !view.listed && view.lease_expiry < now;
            is_present && is_expired && (view.is_occupied() || view.removed)
        });
        let expired: Vec<(WorkerKey, bool, Option<WorkerKey>)> = expired
            .map(|(key, view)| (key, view.removed, view.successor))
            .collect();
        for (key, removed, successor) in expired {
            if let Some(report) = self.worker_report(key) {
                log::warn!("[worker] id={} state=lapsed removed={removed}", report.id);
            }
            if let Some(successor) = successor {
                self.release_runs(key, |allocation| allocation.listed, RunRelease::LeaseExpired, now);
                self.replace_incarnation(key, successor, now);
                continue;
            }
            self.release_worker(key, RunRelease::LeaseExpired, now);
            if removed {
                self.forget_worker(key);
            }
        }
    }

    /// Stops runs that have stalled, are far too slow, or can resume elsewhere before their worker leaves.
    pub(crate) fn check_progress(&mut self, now: ClockTime) {
        let evidence = self.pace_evidence();
        for worker in evidence.far_behind() {
            self.mark_slow(worker, now);
        }
        let mut moves = Vec::new();
        let mut broken_gangs = Vec::new();
        for (key, job) in &self.jobs {
            for (number, occurrence) in &job.occurrences {
                for (step_number, step) in occurrence.steps.iter().enumerate() {
                    let body = &job.body.steps[step_number];
                    let durations = StepDurations::from_step(step, self.options.remote_factor);
                    for (index, task) in step.tasks.iter().enumerate() {
                        let Some(placement) = task.placement else { continue };
                        let waited_with_margin_ms = now.millis_since(placement.since) + GANG_MARGIN_MS;
                        let unconfirmed = placement.stage == PlacementStage::Unconfirmed && body.gang;
                        if unconfirmed && waited_with_margin_ms > self.options.gang_wait_ms {
                            broken_gangs.push((key, job.task_name(*number, step_number, index)));
                        }
                        if placement.stage != PlacementStage::Running {
                            continue;
                        }
                        let reason = self.move_reason(body, task, &durations, &evidence, now);
                        moves.extend(reason.map(|reason| RunMove {
                            key,
                            name: job.task_name(*number, step_number, index),
                            worker: placement.worker,
                            reason,
                        }));
                    }
                }
            }
        }
        for (key, name) in broken_gangs {
            self.stop_gang(key, &name, LossCause::MemberLost, now);
        }
        for run in moves {
            self.move_run(&run, now);
        }
    }

    /// Compares each run with its siblings and its estimate.
    fn pace_evidence(&self) -> PaceEvidence {
        let mut evidence = PaceEvidence::default();
        for (key, job) in &self.jobs {
            for occurrence in job.occurrences.values() {
                for (step, body) in occurrence.steps.iter().zip(&job.body.steps) {
                    let durations = StepDurations::from_step(step, self.options.remote_factor);
                    for task in &step.tasks {
                        if let Some((worker, pace)) = self.pace_of(body, task, &durations) {
                            evidence.add(worker, key, pace);
                        }
                    }
                }
            }
        }
        evidence
    }

    /// Returns the worker and the pace of a run, unless it cannot be judged yet or is endless.
    fn pace_of(
        &self,
        body: &StepBody,
        task: &TaskEntry,
        durations: &StepDurations,
    ) -> Option<(WorkerKey, RunPace)> {
        let placement = task.placement?;
        let factor = if placement.remote {
            self.options.remote_factor.max(1)
        } else {
            1
        };
        if body.endless {
            return None;
        }
        let total_ms = min_total_ms(&task.progress)? / factor;
        let siblings = durations.sibling_median(placement.worker);
        Some((placement.worker, judge_pace(total_ms, siblings, body.estimate_ms)))
    }

    /// Returns the reason for moving the run, if there is one.
    fn move_reason(
        &self,
        body: &StepBody,
        task: &TaskEntry,
        durations: &StepDurations,
        evidence: &PaceEvidence,
        now: ClockTime,
    ) -> Option<StopReason> {
        let placement = task.placement?;
        let view = self.workers.get(placement.worker)?;
        let factor = if placement.remote {
            self.options.remote_factor.max(1)
        } else {
            1
        };
        let left_percent = u64::from(100 - task.progress.percent.min(100));
        if let Some(leaves_at) = view.report.leaves_at {
            let must_leave = must_leave(body, task, factor, leaves_at, now);
            return must_leave.then_some(StopReason::WorkerLeaving);
        }
        if body.endless || task.slow_restarts >= MAX_SLOW_RESTARTS {
            return None;
        }
        if is_stalled(task, body.estimate_ms * factor) {
            return Some(StopReason::NoProgress);
        }
        let (worker, pace) = self.pace_of(body, task, durations)?;
        let expected_ms = match pace {
            RunPace::Expected => return None,
            RunPace::FarBehind { expected_ms } => expected_ms,
            RunPace::BehindEstimate if evidence.is_slow(worker) => body.estimate_ms,
            RunPace::BehindEstimate => return None,
        };
        let remaining_ms = min_total_ms(&task.progress)? * left_percent / 100;
        let elsewhere_ms = expected_ms + self.options.stop_ms;
        // Unlike a stalled run, a slow run is moved only once: a task that is slow again is slow in itself.
        let sooner = remaining_ms > elsewhere_ms + elsewhere_ms / 4;
        (sooner && task.slow_restarts == 0).then_some(StopReason::NoProgress)
    }

    fn move_run(&mut self, run: &RunMove, now: ClockTime) {
        if run.reason == StopReason::NoProgress {
            self.mark_slow(run.worker, now);
            if let Some(task) = self.jobs.get_mut(run.key).and_then(|job| job.task_mut(&run.name)) {
                let progress = &task.progress;
                log::warn!(
                    "[run] task={} run={} state=too slow percent={} first_percent={} still_ms={} worked_ms={}",
                    run.name,
                    task.run,
                    progress.percent,
                    progress.first_percent,
                    progress.reported_at.millis_since(progress.last_gain_at),
                    progress
                        .work_started_at
                        .map_or(0, |started_at| progress.reported_at.millis_since(started_at)),
                );
                task.slow_restarts += 1;
                task.avoided_worker = Some(run.worker);
            }
        }
        self.stop_task(run.key, &run.name, run.reason, now);
        // The end of one member ends the whole gang anyway; stopping all members at once is faster.
        let step = run.name.step as usize;
        if self.jobs[run.key].body.steps[step].gang {
            self.stop_gang(run.key, &run.name, LossCause::of_stop(run.reason), now);
        }
    }

    fn mark_slow(&mut self, worker: WorkerKey, now: ClockTime) {
        if let Some(view) = self.workers.get_mut(worker) {
            if !view.health.is_slow(now) {
                log::info!("[worker] id={} state=slow", view.report.id);
            }
            view.health.mark_slow(now);
        }
    }
}
