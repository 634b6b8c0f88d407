//! Applies listings and answers of workers to the state of their runs.

use std::collections::HashSet;

use arbutuspick_model::ClockTime;

use crate::WorkerListing;
use crate::jobs::job_entry::{AvoidedWorker, PlacementStage};
use crate::jobs::job_record::MAX_CHECKPOINT_BYTES;
use crate::jobs::loss_ledger::{LossCause, run_core_ms};
use crate::jobs::run_release::RunRelease;
use crate::keys::JobKey;
use crate::pool_core::PoolCore;
use crate::workers::run_pace::shows_speed;
use crate::workers::worker_view::RunAllocation;
use crate::{
    EndKind, JobStage, ResourceAmount, RunEnd, RunStatus, StartAnswer, StopReason, TaskName, WorkerKey,
};

/// Maximum number of run times kept for a step.
const MAX_RUN_TIMES: usize = 16;
/// Time after a failed run in which the task does not return to the worker while that is suspect, in milliseconds. It
/// keeps the attempts of a task without another worker from being used up on one that fails everything for some seconds,
/// and is shorter than the 3 s that callers are promised beside free capacity.
const FAILED_RETRY_MS: u64 = 2_200;
/// The same after a start that failed, and for a task whose attempts are not limited, in milliseconds.
const SHORT_RETRY_MS: u64 = 600;

/// Returns whether a worker reported a checkpoint that a record can hold.
fn is_storable(task: &TaskName, checkpoint: &str) -> bool {
    let fits = checkpoint.len() <= MAX_CHECKPOINT_BYTES;
    if !fits {
        log::warn!(
            "[run] task={task} ignored checkpoint of {} bytes, at most {MAX_CHECKPOINT_BYTES} are stored",
            checkpoint.len()
        );
    }
    fits && !checkpoint.is_empty()
}

impl PoolCore {
    /// Applies a listing of this incarnation of the worker.
    pub fn apply_listing(&mut self, worker: WorkerKey, listing: &WorkerListing, now: ClockTime) {
        self.confirm_incarnation(worker, listing.asked_at, now);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.listed = true;
        view.has_unidentified_run = false;
        let applied = view.applied_end;
        for end in listing.ended.iter().filter(|end| end.number > applied) {
            self.apply_end(worker, end, now);
        }
        let mut present = HashSet::with_capacity(listing.running.len());
        for status in &listing.running {
            self.apply_status(worker, status, now);
            if let Some(task) = &status.task {
                present.insert((task.clone(), status.run));
            }
        }
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        if view.has_unidentified_run || !listing.is_complete {
            // Any run may be the unreadable one, or have an end that is listed later, so none counts as absent.
            return;
        }
        let absent = view.allocations.iter().filter(|(name, allocation)| {
            !present.contains(*name)
                && allocation
                    .expected_since
                    .is_some_and(|from| from <= listing.asked_at)
        });
        let absent: Vec<(TaskName, u32)> = absent.map(|(name, _)| name.clone()).collect();
        let unconfirmed = view
            .allocations
            .iter()
            .filter(|(name, allocation)| !present.contains(*name) && allocation.expected_since.is_none());
        let unconfirmed: Vec<(TaskName, u32)> = unconfirmed.map(|(name, _)| name.clone()).collect();
        for (name, run) in absent {
            self.requeue_task(&name, run, worker, RunRelease::Absent, now);
        }
        for (name, run) in unconfirmed {
            self.stop_unconfirmed(worker, name, run, listing.asked_at, now);
        }
    }

    /// Records that a run of the job has begun. It is stored with the next change of the record.
    fn mark_begun(&mut self, name: &TaskName) {
        let key = self.job_index.get(&name.job).copied();
        if let Some(job) = key.and_then(|key| self.jobs.get_mut(key)) {
            job.has_begun = true;
        }
    }

    /// Stops a run whose start was not answered and that is not listed, so that it cannot begin later.
    fn stop_unconfirmed(
        &mut self,
        worker: WorkerKey,
        name: TaskName,
        run: u32,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        let due = match self.current_task(&name, run, worker) {
            Some((_, task)) => {
                let placement = task.placement.as_ref();
                placement.is_some_and(|placement| {
                    placement.stage != PlacementStage::Starting && placement.since <= asked_at
                })
            }
            None => true,
        };
        if due {
            self.order_stop(name, run, worker, StopReason::StartUnconfirmed, now);
        }
    }

    /// Applies the status of one listed run; stops the run if it should not be present.
    fn apply_status(&mut self, worker: WorkerKey, status: &RunStatus, now: ClockTime) {
        let Some(name) = &status.task else {
            log::warn!(
                "[run] worker={worker:?} lists a run with an unreadable task name run={}",
                status.run
            );
            self.mark_unidentified(worker);
            return;
        };
        self.mark_begun(name);
        let Some((key, task)) = self.current_task(name, status.run, worker) else {
            self.stop_unexpected(worker, name, status.run, now);
            return;
        };
        task.progress.present_since.get_or_insert(now);
        if is_storable(name, &status.checkpoint) && task.checkpoint != status.checkpoint {
            task.checkpoint = status.checkpoint.clone();
            task.progress.saved_at = Some(now);
        }
        let Some(placement) = &mut task.placement else {
            return;
        };
        if matches!(
            placement.stage,
            PlacementStage::Starting | PlacementStage::Unconfirmed
        ) {
            placement.stage = PlacementStage::Running;
            placement.since = now;
        }
        let stopping = placement.stage == PlacementStage::Stopping;
        let checkpoint = task.checkpoint.clone();
        self.update_progress(key, name, status.percent, now);
        if let Some(view) = self.workers.get_mut(worker)
            && let Some(allocation) = view.allocations.get_mut(&(name.clone(), status.run))
        {
            allocation.expected_since = Some(allocation.expected_since.unwrap_or(now));
            allocation.listed = true;
        }
        if stopping {
            self.stop_task(key, name, StopReason::Unexpected, now);
        }
        if !checkpoint.is_empty() {
            self.share_checkpoint(key, name, &checkpoint, now);
        }
    }

    fn update_progress(&mut self, key: JobKey, name: &TaskName, percent: u32, now: ClockTime) {
        let job = &mut self.jobs[key];
        let step = name.step as usize;
        let gang = job.body.steps.get(step).is_some_and(|step| step.gang);
        let occurrence = job.occurrences.get(&name.occurrence);
        let start = occurrence.and_then(|occurrence| occurrence.work_start(step, name.index as usize, gang));
        if let Some(task) = job.task_mut(name) {
            task.progress.update(percent, start, now);
            if shows_speed(&task.progress) {
                self.record_progress(key, name, now);
            }
        }
    }

    /// Copies the checkpoint of one member to its whole gang, which resumes from a single checkpoint.
    fn share_checkpoint(
        &mut self,
        key: JobKey,
        name: &TaskName,
        checkpoint: &std::sync::Arc<str>,
        now: ClockTime,
    ) {
        let step = name.step as usize;
        if !self.jobs[key].body.steps.get(step).is_some_and(|step| step.gang) {
            return;
        }
        if let Some(occurrence) = self.jobs[key].occurrences.get_mut(&name.occurrence) {
            for member in &mut occurrence.steps[step].tasks {
                if member.checkpoint != *checkpoint {
                    member.progress.saved_at = Some(now);
                }
                member.checkpoint = checkpoint.clone();
            }
        }
    }

    fn mark_unidentified(&mut self, worker: WorkerKey) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.has_unidentified_run = true;
        }
    }

    /// Stops a run that is not the current run of any known task, and counts its resources until it ends.
    fn stop_unexpected(&mut self, worker: WorkerKey, name: &TaskName, run: u32, now: ClockTime) {
        let known = self.job_index.get(&name.job).and_then(|key| self.jobs.get(*key));
        let account = known.map(|job| job.account.clone());
        let account = account.or_else(|| self.ended_jobs.get(&name.job).cloned());
        let amount = known
            .and_then(|job| job.body.steps.get(name.step as usize))
            .map(crate::StepBody::amount);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let entry = (name.clone(), run);
        if let Some(allocation) = view.allocations.get_mut(&entry) {
            allocation.listed = true;
        } else {
            // The size is not known once the job has ended, so the worker counts as full.
            let amount = amount.unwrap_or(view.report.capacity);
            log::info!(
                "[run] task={name} run={run} worker={} state=unexpected",
                view.report.id
            );
            view.allocations.insert(
                entry,
                RunAllocation {
                    amount,
                    account,
                    expected_since: Some(now),
                    ordered_stop: None,
                    listed: true,
                    unexpected_since: Some(now),
                },
            );
        }
        self.order_stop(name.clone(), run, worker, StopReason::Unexpected, now);
    }

    fn apply_end(&mut self, worker: WorkerKey, end: &RunEnd, now: ClockTime) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.applied_end = view.applied_end.max(end.number);
        }
        let Some(name) = &end.task else {
            log::warn!(
                "[run] worker listed an end with an unreadable task name number={}",
                end.number
            );
            return;
        };
        self.mark_begun(name);
        if let Some(view) = self.workers.get_mut(worker) {
            let allocation = view.allocations.remove(&(name.clone(), end.run));
            if let Some(allocation) = allocation
                && let Some(since) = allocation.unexpected_since
            {
                let lost = allocation.amount.core_equivalents() * now.millis_since(since);
                self.losses.charge(LossCause::Unexpected, lost);
            }
            match end.kind {
                EndKind::Done => view.health.record_success(),
                EndKind::Failed => view.record_failure(&name.job, now),
                _ => {}
            }
        }
        let Some((key, task)) = self.current_task(name, end.run, worker) else {
            if end.kind == EndKind::Done {
                self.finish_earlier_run(name, end.run, now);
            }
            return;
        };
        let has_checkpoint = is_storable(name, &end.checkpoint);
        if has_checkpoint {
            if task.checkpoint != end.checkpoint {
                task.progress.saved_at = Some(now);
            }
            task.checkpoint = end.checkpoint.clone();
        }
        let level = if end.kind == EndKind::Done {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(level, "[run] task={name} run={} ended={:?}", end.run, end.kind);
        if has_checkpoint {
            self.share_checkpoint(key, name, &end.checkpoint, now);
        }
        match end.kind {
            EndKind::Done => self.finish_task(key, name, now),
            EndKind::Failed => self.fail_task(key, name, worker, now),
            kind => self.requeue_task(name, end.run, worker, RunRelease::Ended(kind), now),
        }
    }

    /// Marks a task, or its whole gang, as done, and ends the job with its last occurrence. A task of an
    /// endless step waits again.
    fn finish_task(&mut self, key: JobKey, name: &TaskName, now: ClockTime) {
        self.mark_changed(key);
        let job = &mut self.jobs[key];
        let body = &job.body.steps[name.step as usize];
        let (gang, endless) = (body.gang, body.endless);
        self.record_end(key, name, now);
        let job = &mut self.jobs[key];
        let Some(occurrence) = job.occurrences.get_mut(&name.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[name.step as usize];
        if gang && !endless {
            for member in &mut step.tasks {
                member.done = true;
                member.placement = None;
            }
        } else {
            let task = &mut step.tasks[name.index as usize];
            if let Some(placement) = task.placement
                && !task.progress.is_start_unknown
                && !placement.remote
                && step.run_times.len() < MAX_RUN_TIMES
            {
                step.run_times
                    .push((placement.worker, now.millis_since(placement.since)));
            }
            task.placement = None;
            task.done = !endless;
        }
        self.close_occurrence(key, name.occurrence, now);
    }

    /// Marks a task, or its whole gang, as done by a run that is not the current one, and stops the current one.
    ///
    /// A worker that is cut off until its lease expires may have finished a run before. It lists the end when it is back,
    /// after the task was started elsewhere.
    fn finish_earlier_run(&mut self, name: &TaskName, run: u32, now: ClockTime) {
        let Some(key) = self.job_index.get(&name.job).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        let Some(body) = job.body.steps.get(name.step as usize) else {
            return;
        };
        let (gang, endless) = (body.gang, body.endless);
        let Some(occurrence) = job.occurrences.get_mut(&name.occurrence) else {
            return;
        };
        let mut lost_core_ms = 0;
        let tasks = &mut occurrence.steps[name.step as usize].tasks;
        let is_open = tasks.get(name.index as usize).is_some_and(|task| !task.done);
        if endless || !is_open {
            return;
        }
        let mut current_runs = Vec::new();
        for (index, task) in tasks.iter_mut().enumerate() {
            if gang || index == name.index as usize {
                task.done = true;
                lost_core_ms += task.placement.map_or(0, |_| run_core_ms(body, task, now));
                let placement = task.placement.take();
                current_runs.extend(placement.map(|placement| (index, task.run, placement.worker)));
            }
        }
        let cause = LossCause::of_stop(StopReason::AlreadyDone);
        self.losses.charge(cause, lost_core_ms);
        log::info!(
            "[run] task={name} run={run} ended=Done stopped_runs={}",
            current_runs.len()
        );
        for (index, current_run, worker) in current_runs {
            let member = self.jobs[key].task_name(name.occurrence, name.step as usize, index);
            self.order_stop(member, current_run, worker, StopReason::AlreadyDone, now);
        }
        self.mark_changed(key);
        self.close_occurrence(key, name.occurrence, now);
    }

    /// Counts a failed run; a task or gang that has used up its attempts fails the job.
    fn fail_task(&mut self, key: JobKey, name: &TaskName, worker: WorkerKey, now: ClockTime) {
        let job = &mut self.jobs[key];
        let limit = job.rule.max_attempts.max(1);
        let body = &job.body.steps[name.step as usize];
        let (gang, endless) = (body.gang, body.endless);
        let Some(task) = job.task_mut(name) else { return };
        let run = task.run;
        if task.last_failed_run != run {
            task.failures += 1;
        }
        task.last_failed_run = run;
        let retry_ms = if endless { SHORT_RETRY_MS } else { FAILED_RETRY_MS };
        task.avoided_worker = Some(AvoidedWorker {
            worker,
            retry_at: now + retry_ms,
        });
        let failures = task.failures;
        if gang && let Some(occurrence) = job.occurrences.get_mut(&name.occurrence) {
            let members = &mut occurrence.steps[name.step as usize].tasks;
            // A gang counts one failure for each run, whichever of its members failed first.
            for member in members.iter_mut().filter(|member| member.run == run) {
                member.failures = member.failures.max(failures);
                member.last_failed_run = run;
            }
        }
        self.mark_changed(key);
        self.requeue_task(name, run, worker, RunRelease::Ended(EndKind::Failed), now);
        if failures >= limit && !endless {
            self.end_job(key, JobStage::Failed, now);
        }
    }

    /// Applies the result of a start; `at` is the time of the answer.
    pub fn apply_start_answer(
        &mut self,
        name: &TaskName,
        run: u32,
        worker: WorkerKey,
        answer: StartAnswer,
        at: ClockTime,
    ) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let entry = (name.clone(), run);
        match answer {
            StartAnswer::Started => {
                self.mark_begun(name);
                let Some(view) = self.workers.get_mut(worker) else {
                    return;
                };
                if let Some(allocation) = view.allocations.get_mut(&entry) {
                    allocation.expected_since = Some(at);
                }
                if let Some((_, task)) = self.current_task(name, run, worker)
                    && let Some(placement) = &mut task.placement
                    && placement.stage == PlacementStage::Starting
                {
                    placement.stage = PlacementStage::Running;
                    placement.since = at;
                    task.progress.present_since = Some(at);
                }
            }
            StartAnswer::Refused | StartAnswer::NotSent => {
                if answer == StartAnswer::NotSent {
                    view.health.mark_unresponsive(at);
                }
                if let Some((_, task)) = self.current_task(name, run, worker) {
                    task.avoided_worker = Some(AvoidedWorker {
                        worker,
                        retry_at: at + SHORT_RETRY_MS,
                    });
                }
                self.requeue_task(name, run, worker, RunRelease::NotStarted, at);
            }
            StartAnswer::Unconfirmed => {
                view.health.mark_unresponsive(at);
                if let Some((_, task)) = self.current_task(name, run, worker)
                    && let Some(placement) = &mut task.placement
                    && placement.stage == PlacementStage::Starting
                {
                    placement.stage = PlacementStage::Unconfirmed;
                    placement.since = at;
                }
            }
        }
    }

    /// Applies the answer to a stop: a listing requested from now on shows whether the run has ended.
    pub fn apply_stop_answer(&mut self, name: &TaskName, run: u32, worker: WorkerKey, at: ClockTime) {
        if let Some(view) = self.workers.get_mut(worker)
            && let Some(allocation) = view.allocations.get_mut(&(name.clone(), run))
        {
            allocation.expected_since = Some(allocation.expected_since.unwrap_or(at));
        }
    }

    /// Returns the free resources of a worker.
    pub fn free_resources(&self, worker: WorkerKey) -> Option<ResourceAmount> {
        self.workers
            .get(worker)
            .map(crate::workers::worker_view::WorkerView::free)
    }
}
