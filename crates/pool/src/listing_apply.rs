//! Brings the core in line with what workers say of their runs.

use std::collections::HashSet;

use arbutuspick_model::ClockTime;

use crate::WorkerListing;
use crate::job_run::PlaceStage;
use crate::pool_core::{JobKey, PoolCore};
use crate::worker_view::Occupant;
use crate::{
    EndKind, JobStage, ResourceAmount, RunEnd, RunStatus, StartAnswer, StopReason, TaskName, WorkerKey,
};

/// Most run times that are kept for a step.
const KEPT_TIMES: usize = 16;

impl PoolCore {
    /// Applies a listing of this life of the worker.
    pub fn apply_listing(&mut self, worker: WorkerKey, listing: &WorkerListing, now: ClockTime) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.listed = true;
        view.holds_unknown = false;
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
        let absent = view.occupants.iter().filter(|(name, occupant)| {
            !present.contains(*name) && occupant.listed_from.is_some_and(|from| from <= listing.asked_at)
        });
        let absent: Vec<(TaskName, u32)> = absent.map(|(name, _)| name.clone()).collect();
        let unclear = view
            .occupants
            .iter()
            .filter(|(name, occupant)| !present.contains(*name) && occupant.listed_from.is_none());
        let unclear: Vec<(TaskName, u32)> = unclear.map(|(name, _)| name.clone()).collect();
        for (name, run) in absent {
            self.return_task(&name, run, worker, "absent", now);
        }
        for (name, run) in unclear {
            self.stop_unclear(worker, name, run, listing.asked_at, now);
        }
    }

    /// A start without an answer that is not listed is stopped, so that it cannot begin later.
    fn stop_unclear(
        &mut self,
        worker: WorkerKey,
        name: TaskName,
        run: u32,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        let waits = match self.current_task(&name, run, worker) {
            Some((_, task)) => {
                let place = task.place.as_ref();
                place.is_some_and(|place| place.stage != PlaceStage::Starting && place.since <= asked_at)
            }
            None => true,
        };
        if waits {
            self.order_stop(name, run, worker, StopReason::StartUnclear, now);
        }
    }

    fn apply_status(&mut self, worker: WorkerKey, status: &RunStatus, now: ClockTime) {
        let Some(name) = &status.task else {
            log::warn!(
                "[run] worker={worker:?} has a run whose name cannot be read run={}",
                status.run
            );
            self.mark_unknown(worker);
            return;
        };
        let Some((key, task)) = self.current_task(name, status.run, worker) else {
            self.stop_unexpected(worker, name, status.run, now);
            return;
        };
        if !status.checkpoint.is_empty() {
            task.checkpoint = status.checkpoint.clone();
        }
        let Some(place) = &mut task.place else { return };
        if matches!(place.stage, PlaceStage::Starting | PlaceStage::Unclear) {
            place.stage = PlaceStage::Running;
            place.since = now;
        }
        let stopping = place.stage == PlaceStage::Stopping;
        let checkpoint = task.checkpoint.clone();
        self.note_progress(key, name, status.percent, now);
        if let Some(view) = self.workers.get_mut(worker)
            && let Some(occupant) = view.occupants.get_mut(&(name.clone(), status.run))
        {
            occupant.listed_from = Some(occupant.listed_from.unwrap_or(now));
        }
        if stopping {
            self.stop_task(key, name, StopReason::NotExpected, now);
        }
        if !checkpoint.is_empty() {
            self.share_checkpoint(key, name, &checkpoint);
        }
    }

    fn note_progress(&mut self, key: JobKey, name: &TaskName, percent: u32, now: ClockTime) {
        let job = &mut self.jobs[key];
        let step = name.step as usize;
        let gang = job.body.steps.get(step).is_some_and(|step| step.gang);
        let occurrence = job.occurrences.get(&name.occurrence);
        let start = occurrence.and_then(|run| run.work_start(step, name.index as usize, gang));
        if let Some(task) = job.task_mut(name) {
            task.progress.note(percent, start, now);
        }
    }

    /// A gang resumes from one value that any of its members saved.
    fn share_checkpoint(&mut self, key: JobKey, name: &TaskName, checkpoint: &std::sync::Arc<str>) {
        let step = name.step as usize;
        if !self.jobs[key].body.steps.get(step).is_some_and(|step| step.gang) {
            return;
        }
        if let Some(occurrence) = self.jobs[key].occurrences.get_mut(&name.occurrence) {
            for member in &mut occurrence.steps[step].tasks {
                member.checkpoint = checkpoint.clone();
            }
        }
    }

    fn mark_unknown(&mut self, worker: WorkerKey) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.holds_unknown = true;
        }
    }

    /// Stops a run that no current record names and counts its room meanwhile.
    fn stop_unexpected(&mut self, worker: WorkerKey, name: &TaskName, run: u32, now: ClockTime) {
        let known = self.job_index.get(&name.job).and_then(|key| self.jobs.get(*key));
        let amount = known
            .and_then(|job| job.body.steps.get(name.step as usize))
            .map(crate::StepBody::amount);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let entry = (name.clone(), run);
        if !view.occupants.contains_key(&entry) {
            // Of a job that has ended the size is not known, so the worker counts as full.
            let amount = amount.unwrap_or(view.report.capacity);
            log::info!(
                "[run] task={name} run={run} worker={} state=unexpected",
                view.report.id
            );
            view.occupants.insert(
                entry,
                Occupant {
                    amount,
                    listed_from: Some(now),
                    stop_ordered_at: None,
                },
            );
        }
        self.order_stop(name.clone(), run, worker, StopReason::NotExpected, now);
    }

    fn apply_end(&mut self, worker: WorkerKey, end: &RunEnd, now: ClockTime) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.applied_end = view.applied_end.max(end.number);
        }
        let Some(name) = &end.task else {
            log::warn!("[run] an end with an unreadable task name number={}", end.number);
            return;
        };
        if let Some(view) = self.workers.get_mut(worker) {
            view.occupants.remove(&(name.clone(), end.run));
            match end.kind {
                EndKind::Done => view.health.note_success(),
                EndKind::Failed => view.note_failure(&name.job, now),
                _ => {}
            }
        }
        let Some((key, task)) = self.current_task(name, end.run, worker) else {
            return;
        };
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        let level = if end.kind == EndKind::Done {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(level, "[run] task={name} run={} ended={:?}", end.run, end.kind);
        match end.kind {
            EndKind::Done => self.finish_task(key, name, now),
            EndKind::Failed => self.fail_task(key, name, worker, now),
            _ => {
                let checkpoint = end.checkpoint.clone();
                if !checkpoint.is_empty() {
                    self.share_checkpoint(key, name, &checkpoint);
                }
                self.return_task(name, end.run, worker, "ended", now);
            }
        }
    }

    /// Marks a task, or with it its whole gang, as done.
    fn finish_task(&mut self, key: JobKey, name: &TaskName, now: ClockTime) {
        self.mark_changed(key);
        let job = &mut self.jobs[key];
        let body = &job.body.steps[name.step as usize];
        let (gang, endless) = (body.gang, body.endless);
        let Some(occurrence) = job.occurrences.get_mut(&name.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[name.step as usize];
        if gang && !endless {
            for member in &mut step.tasks {
                member.done = true;
                member.place = None;
            }
        } else {
            let task = &mut step.tasks[name.index as usize];
            if let Some(place) = task.place
                && !task.progress.resumed
                && !place.remote
                && step.finished_ms.len() < KEPT_TIMES
            {
                step.finished_ms
                    .push((place.worker, now.millis_since(place.since)));
            }
            task.place = None;
            task.done = !endless;
        }
        if occurrence.is_done() {
            job.occurrences.remove(&name.occurrence);
        }
        if job.occurrences.is_empty() && job.released >= job.total_occurrences() {
            self.end_job(key, JobStage::Completed, now);
        }
    }

    /// Counts a failed run; a task or gang that failed too often fails its job.
    fn fail_task(&mut self, key: JobKey, name: &TaskName, worker: WorkerKey, now: ClockTime) {
        let job = &mut self.jobs[key];
        let limit = job.rule.max_attempts.max(1);
        let body = &job.body.steps[name.step as usize];
        let (gang, endless) = (body.gang, body.endless);
        let Some(task) = job.task_mut(name) else { return };
        let run = task.run;
        if !gang || task.failed_run != run {
            task.failures += 1;
        }
        task.failed_run = run;
        task.avoid = Some(worker);
        let failures = task.failures;
        if gang && let Some(occurrence) = job.occurrences.get_mut(&name.occurrence) {
            let members = &mut occurrence.steps[name.step as usize].tasks;
            // A gang fails once a run, whichever of its members failed first.
            for member in members.iter_mut().filter(|member| member.run == run) {
                member.failures = member.failures.max(failures);
                member.failed_run = run;
            }
        }
        self.mark_changed(key);
        if failures >= limit && !endless {
            self.return_task(name, run, worker, "failed", now);
            self.end_job(key, JobStage::Failed, now);
        } else {
            self.return_task(name, run, worker, "failed", now);
        }
    }

    /// Applies what became of a start; `at` is when the answer was known.
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
                if let Some(occupant) = view.occupants.get_mut(&entry) {
                    occupant.listed_from = Some(at);
                }
                if let Some((_, task)) = self.current_task(name, run, worker)
                    && let Some(place) = &mut task.place
                    && place.stage == PlaceStage::Starting
                {
                    place.stage = PlaceStage::Running;
                    place.since = at;
                }
            }
            StartAnswer::Refused | StartAnswer::NotSent => {
                if answer == StartAnswer::NotSent {
                    view.health.note_silence(at);
                }
                if let Some((_, task)) = self.current_task(name, run, worker) {
                    task.avoid = Some(worker);
                }
                self.return_task(name, run, worker, "not started", at);
            }
            StartAnswer::Unclear => {
                view.health.note_silence(at);
                if let Some((_, task)) = self.current_task(name, run, worker)
                    && let Some(place) = &mut task.place
                    && place.stage == PlaceStage::Starting
                {
                    place.stage = PlaceStage::Unclear;
                    place.since = at;
                }
            }
        }
    }

    /// Applies the answer to a stop: a listing asked for from now on shows whether the run is gone.
    pub fn apply_stop_answer(&mut self, name: &TaskName, run: u32, worker: WorkerKey, at: ClockTime) {
        if let Some(view) = self.workers.get_mut(worker)
            && let Some(occupant) = view.occupants.get_mut(&(name.clone(), run))
        {
            occupant.listed_from = Some(occupant.listed_from.unwrap_or(at));
        }
    }

    /// Returns what is free on a worker, for tests and the state dump.
    pub fn free_on(&self, worker: WorkerKey) -> Option<ResourceAmount> {
        self.workers.get(worker).map(crate::worker_view::WorkerView::free)
    }
}
