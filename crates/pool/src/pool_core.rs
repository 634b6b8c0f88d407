use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use slotmap::{SlotMap, new_key_type};

use crate::job_run::{JobRun, OccurrenceRun, PlaceStage, TaskRun};
use crate::room_claim::RoomClaim;
use crate::worker_view::WorkerView;
use crate::{
    CoreOptions, JobBody, JobRecord, JobStage, PoolOrder, PoolPolicy, QueueRule, StopOrder, StopReason,
    TaskName, WorkerKey, WorkerReport,
};

new_key_type! {
    pub(crate) struct JobKey;
}

/// A record that has to be stored before the orders taken with it are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordChange {
    /// Id of the job.
    pub job: Arc<str>,
    /// The new record; `None` when the record is no longer needed.
    pub record: Option<JobRecord>,
}

/// Figures for metrics and the state dump.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreSummary {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Tasks that wait for room or for earlier steps.
    pub waiting_tasks: usize,
    /// Tasks with a run on a worker.
    pub placed_tasks: usize,
    /// Workers whose runs are known.
    pub listed_workers: usize,
    /// Workers in the list.
    pub workers: usize,
}

/// A time that callers notice, for histograms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolTiming {
    /// From acceptance to the first start of a job, in milliseconds.
    FirstStart(u64),
    /// From when work inside a guarantee could run until its room was cleared, in milliseconds.
    Reclaim(u64),
}

/// Jobs, workers and what runs where.
#[derive(Debug, Default)]
pub struct PoolCore {
    pub(crate) options: CoreOptions,
    pub(crate) policy: Arc<PoolPolicy>,
    pub(crate) closed_centres: HashSet<Arc<str>>,
    pub(crate) jobs: SlotMap<JobKey, JobRun>,
    pub(crate) job_index: HashMap<Arc<str>, JobKey>,
    pub(crate) workers: SlotMap<WorkerKey, WorkerView>,
    pub(crate) worker_index: HashMap<Arc<str>, WorkerKey>,
    pub(crate) claims: Vec<RoomClaim>,
    pub(crate) orders: Vec<PoolOrder>,
    pub(crate) timings: Vec<PoolTiming>,
    changed: BTreeSet<JobKey>,
    ended: VecDeque<(ClockTime, Arc<str>)>,
    /// Jobs whose final records are kept; a body that is read late must not start them anew.
    ended_ids: HashSet<Arc<str>>,
    dropped: Vec<Arc<str>>,
}

impl PoolCore {
    /// Returns a core without jobs or workers.
    pub fn new(options: CoreOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Puts a configuration in force; an older version changes nothing.
    pub fn apply_policy(&mut self, policy: Arc<PoolPolicy>) {
        if policy.version < self.policy.version {
            return;
        }
        for job in self.jobs.values_mut() {
            if let Some(rule) = policy.queues.get(&job.rule.name) {
                job.rule = rule.clone();
            }
        }
        self.policy = policy;
    }

    /// Closes exactly these data centres for new starts.
    pub fn close_centres(&mut self, centres: HashSet<Arc<str>>) {
        self.closed_centres = centres;
    }

    /// Takes up an accepted job, with its progress if an earlier holder recorded any.
    ///
    /// Workers must be known first: a recorded run on a worker that is not known is held to be running until
    /// `lost_bound`.
    pub fn add_job(
        &mut self,
        id: &Arc<str>,
        body: JobBody,
        record: &JobRecord,
        now: ClockTime,
        wall: PlatformTime,
        lost_bound: ClockTime,
    ) {
        if self.job_index.contains_key(id) || self.ended_ids.contains(id) || record.stage().is_final() {
            return;
        }
        let rule = self.rule_of(&body);
        let arrived_at = now - wall.millis_since(PlatformTime(body.accepted_at_ms));
        let mut job = JobRun {
            id: id.clone(),
            spec: body.spec.as_str().into(),
            chain_ms: body.chain_ms(),
            work_core_ms: body.work_core_ms(),
            rule,
            stage: record.stage(),
            released: record.released,
            occurrences: Default::default(),
            arrived_at,
            body,
        };
        for occurrence in &record.occurrences {
            let due_at = occurrence_due(&job, occurrence.number, now, wall);
            let mut run = OccurrenceRun::new(&job.body, due_at);
            let tasks = run.steps.iter_mut().flat_map(|step| &mut step.tasks);
            for (task, record) in tasks.zip(&occurrence.tasks) {
                task.run = record.run;
                task.failures = record.failures;
                task.done = record.done;
                task.checkpoint = record.checkpoint.as_str().into();
            }
            job.occurrences.insert(occurrence.number, run);
        }
        let key = self.jobs.insert(job);
        self.job_index.insert(id.clone(), key);
        for occurrence in &record.occurrences {
            self.restore_places(key, occurrence.number, &occurrence.tasks, now, lost_bound);
        }
    }

    fn rule_of(&self, body: &JobBody) -> Arc<QueueRule> {
        let known = self.policy.queues.get(body.queue.as_str());
        known.cloned().unwrap_or_else(|| {
            Arc::new(QueueRule {
                name: body.queue.as_str().into(),
                service: body.service.as_str().into(),
                priority: body.priority,
                max_attempts: body.max_attempts,
                stretch: body.stretch,
                allowance_ms: body.allowance_ms,
            })
        })
    }

    /// Ends a job at its caller's request; returns whether the job was known and had not ended.
    pub fn cancel_job(&mut self, id: &Arc<str>, now: ClockTime) -> bool {
        let Some(key) = self.job_index.get(id).copied() else {
            return false;
        };
        self.end_job(key, JobStage::Cancelled, now);
        true
    }

    /// Returns whether the job is known and has not ended.
    pub fn has_job(&self, id: &str) -> bool {
        self.job_index.contains_key(id)
    }

    /// Takes up what the list says of a worker. A new life under a known id ends everything of the old one.
    pub fn report_worker(&mut self, report: WorkerReport, now: ClockTime) -> WorkerKey {
        if let Some(key) = self.worker_index.get(&report.id).copied() {
            if self.workers[key].report.born_ms == report.born_ms {
                let view = &mut self.workers[key];
                if view.report.leaves_at.is_none() && report.leaves_at.is_some() {
                    log::info!("[worker] id={} centre={} state=leaving", report.id, report.centre);
                }
                view.gone = false;
                view.report = report;
                return key;
            }
            log::info!(
                "[worker] id={} restarted old_born={} new_born={}",
                report.id,
                self.workers[key].report.born_ms,
                report.born_ms
            );
            self.end_worker_life(key, now);
        }
        let id = report.id.clone();
        let key = self.workers.insert(WorkerView::new(report, now));
        self.worker_index.insert(id, key);
        key
    }

    /// Notes that the list of workers has no entry for this life any more.
    pub fn remove_worker(&mut self, key: WorkerKey, now: ClockTime) {
        let Some(view) = self.workers.get_mut(key) else {
            return;
        };
        view.gone = true;
        // An entry that goes while its worker is leaving and does not answer means that the worker has left.
        if view.report.leaves_at.is_some() && !view.listed {
            self.end_worker_life(key, now);
        }
    }

    /// Notes that this life of the worker is known to have ended.
    pub fn end_worker_life(&mut self, key: WorkerKey, now: ClockTime) {
        self.release_all(key, now);
        if let Some(view) = self.workers.remove(key)
            && self.worker_index.get(&view.report.id) == Some(&key)
        {
            self.worker_index.remove(&view.report.id);
        }
    }

    /// Notes that calls to the worker get no answer; its runs must be listed again before it is used.
    pub fn lose_worker(&mut self, key: WorkerKey, now: ClockTime) {
        if let Some(view) = self.workers.get_mut(key) {
            view.listed = false;
            view.health.note_silence(now);
        }
    }

    /// Notes until when runs on the worker may go on without another renewal.
    pub fn extend_lease_bound(&mut self, key: WorkerKey, bound: ClockTime) {
        if let Some(view) = self.workers.get_mut(key) {
            view.lease_bound = view.lease_bound.max(bound);
        }
    }

    /// Returns the worker's report while the worker is known.
    pub fn worker_report(&self, key: WorkerKey) -> Option<&WorkerReport> {
        self.workers.get(key).map(|view| &view.report)
    }

    /// Returns the keys of all workers that the list names.
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        let present = self.workers.iter().filter(|(_, view)| !view.gone);
        present.map(|(key, _)| key).collect()
    }

    /// Returns whether the worker must be asked about its runs: unknown, occupied or not acknowledged.
    pub fn needs_listing(&self, key: WorkerKey) -> bool {
        let view = self.workers.get(key);
        view.is_some_and(|view| !view.listed || !view.occupants.is_empty() || view.holds_unknown)
    }

    /// Returns the highest end that may be acknowledged once the records taken now are stored.
    pub fn applied_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |view| view.applied_end)
    }

    /// Returns the jobs that wait for their first start, by queue.
    pub fn pending_by_queue(&self) -> HashMap<Arc<str>, u64> {
        let mut pending: HashMap<Arc<str>, u64> = HashMap::new();
        for job in self.jobs.values().filter(|job| !job.has_begun()) {
            *pending.entry(job.rule.name.clone()).or_default() += 1;
        }
        pending
    }

    /// Returns figures for metrics and the state dump.
    pub fn summary(&self) -> CoreSummary {
        let mut summary = CoreSummary {
            jobs: self.jobs.len(),
            workers: self.workers.len(),
            listed_workers: self.workers.values().filter(|view| view.listed).count(),
            ..CoreSummary::default()
        };
        let occurrences = self.jobs.values().flat_map(|job| job.occurrences.values());
        for task in occurrences
            .flat_map(|run| &run.steps)
            .flat_map(|step| &step.tasks)
        {
            summary.waiting_tasks += usize::from(task.is_waiting());
            summary.placed_tasks += usize::from(task.place.is_some());
        }
        summary
    }

    /// Decides what to start and stop now; orders and records are taken with the methods below.
    pub fn decide(&mut self, now: ClockTime, wall: PlatformTime) {
        self.release_occurrences(now, wall);
        self.check_leases(now);
        self.check_progress(now);
        self.place_waiting(now);
        self.drop_ended(now);
    }

    /// Returns the orders decided since the last call.
    pub fn take_orders(&mut self) -> Vec<PoolOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Returns the times noted since the last call.
    pub fn take_timings(&mut self) -> Vec<PoolTiming> {
        std::mem::take(&mut self.timings)
    }

    /// Returns the records that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<RecordChange> {
        let mut changes = Vec::new();
        for key in std::mem::take(&mut self.changed) {
            let Some(job) = self.jobs.get(key) else { continue };
            let record = job.to_record(|worker| {
                let view = self.workers.get(worker)?;
                Some((view.report.id.clone(), view.report.born_ms))
            });
            changes.push(RecordChange {
                job: job.id.clone(),
                record: Some(record),
            });
            if job.stage.is_final() {
                let id = job.id.clone();
                self.job_index.remove(&id);
                self.jobs.remove(key);
            }
        }
        let dropped = std::mem::take(&mut self.dropped).into_iter();
        changes.extend(dropped.map(|job| RecordChange { job, record: None }));
        changes
    }

    /// Notes a final record found in the store, so that it is removed when it is no longer needed.
    pub fn note_ended_job(&mut self, id: &Arc<str>, now: ClockTime) {
        if self.ended_ids.insert(id.clone()) {
            self.ended
                .push_back((now + self.options.keep_final_ms, id.clone()));
        }
    }

    fn drop_ended(&mut self, now: ClockTime) {
        while self.ended.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, id)) = self.ended.pop_front() else {
                return;
            };
            self.ended_ids.remove(&id);
            self.dropped.push(id);
        }
    }

    pub(crate) fn mark_changed(&mut self, key: JobKey) {
        self.changed.insert(key);
    }

    /// Releases occurrences that are due.
    fn release_occurrences(&mut self, now: ClockTime, wall: PlatformTime) {
        let mut released = Vec::new();
        for (key, job) in &mut self.jobs {
            while job.released < job.total_occurrences() {
                let number = job.released;
                let due_ms = due_wall_ms(&job.body, number);
                if job.body.occurrences > 0 && due_ms > wall.0 {
                    break;
                }
                let due_at = occurrence_due(job, number, now, wall);
                let run = OccurrenceRun::new(&job.body, due_at);
                job.occurrences.insert(number, run);
                job.released += 1;
                released.push(key);
            }
        }
        self.changed.extend(released);
    }

    /// Ends a job and stops what runs of it.
    pub(crate) fn end_job(&mut self, key: JobKey, stage: JobStage, now: ClockTime) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        log::info!(
            "[job] id={} queue={} stage={} age_ms={} objective_ms={}",
            job.id,
            job.rule.name,
            stage.name(),
            now.millis_since(job.arrived_at),
            job.objective_ms(),
        );
        job.stage = stage;
        let mut stops = Vec::new();
        for (number, occurrence) in &job.occurrences {
            for (step, run) in occurrence.steps.iter().enumerate() {
                for (index, task) in run.tasks.iter().enumerate() {
                    if let Some(place) = task.place {
                        stops.push((job.task_name(*number, step, index), task.run, place.worker));
                    }
                }
            }
        }
        job.occurrences.clear();
        let id = job.id.clone();
        for (task, run, worker) in stops {
            self.order_stop(task, run, worker, StopReason::JobEnded, now);
        }
        self.claims.retain(|claim| claim.job != key);
        self.note_ended_job(&id, now);
        self.mark_changed(key);
    }

    /// Orders a stop unless one was ordered a moment ago.
    pub(crate) fn order_stop(
        &mut self,
        task: TaskName,
        run: u32,
        worker: WorkerKey,
        reason: StopReason,
        now: ClockTime,
    ) {
        /// A stop is ordered again after this time while its run is still listed, in milliseconds.
        const REPEAT_MS: u64 = 700;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(occupant) = view.occupants.get_mut(&(task.clone(), run)) {
            if occupant
                .stop_ordered_at
                .is_some_and(|at| now.millis_since(at) < REPEAT_MS)
            {
                return;
            }
            occupant.stop_ordered_at = Some(now);
        }
        self.orders.push(PoolOrder::Stop(StopOrder {
            task,
            run,
            worker,
            reason,
        }));
    }

    /// Stops the current run of a task and keeps its room until its end is known.
    pub(crate) fn stop_task(&mut self, key: JobKey, name: &TaskName, reason: StopReason, now: ClockTime) {
        let Some(task) = self.jobs.get_mut(key).and_then(|job| job.task_mut(name)) else {
            return;
        };
        let run = task.run;
        let Some(place) = &mut task.place else { return };
        if place.stage != PlaceStage::Stopping {
            place.stage = PlaceStage::Stopping;
            place.since = now;
        }
        let worker = place.worker;
        self.order_stop(name.clone(), run, worker, reason, now);
    }

    /// Returns the job and the task of a name, if `run` on `worker` is the task's current run.
    pub(crate) fn current_task(
        &mut self,
        name: &TaskName,
        run: u32,
        worker: WorkerKey,
    ) -> Option<(JobKey, &mut TaskRun)> {
        let key = self.job_index.get(&name.job).copied()?;
        let task = self.jobs.get_mut(key)?.task_mut(name)?;
        let current = task.run == run && task.place.is_some_and(|place| place.worker == worker);
        current.then_some((key, task))
    }

    /// Frees everything on a worker; tasks without an end wait again.
    pub(crate) fn release_all(&mut self, worker: WorkerKey, now: ClockTime) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.holds_unknown = false;
        let names: Vec<(TaskName, u32)> = view.occupants.drain().map(|(name, _)| name).collect();
        for (name, run) in names {
            self.return_task(&name, run, worker, "lost", now);
        }
    }

    /// Lets a task wait again whose run ended without being done; the other members of its gang are stopped.
    pub(crate) fn return_task(
        &mut self,
        name: &TaskName,
        run: u32,
        worker: WorkerKey,
        cause: &'static str,
        now: ClockTime,
    ) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.occupants.remove(&(name.clone(), run));
        }
        let Some((key, task)) = self.current_task(name, run, worker) else {
            return;
        };
        task.place = None;
        task.progress = Default::default();
        log::debug!("[run] task={name} run={run} state=waiting cause={cause}");
        self.mark_changed(key);
        let step = name.step as usize;
        if self.jobs[key].body.steps.get(step).is_some_and(|step| step.gang) {
            self.break_gang(key, name, now);
        }
    }

    /// Stops the members of the gang that still have a place.
    pub(crate) fn break_gang(&mut self, key: JobKey, member: &TaskName, now: ClockTime) {
        let Some(occurrence) = self.jobs[key].occurrences.get(&member.occurrence) else {
            return;
        };
        let tasks = occurrence.steps[member.step as usize].tasks.iter().enumerate();
        let placed: Vec<usize> = tasks
            .filter(|(_, task)| {
                task.place
                    .is_some_and(|place| place.stage != PlaceStage::Stopping)
            })
            .map(|(index, _)| index)
            .collect();
        for index in placed {
            let name = self.jobs[key].task_name(member.occurrence, member.step as usize, index);
            self.stop_task(key, &name, StopReason::GangBroken, now);
        }
    }
}

/// Returns the Unix milliseconds at which an occurrence is due.
fn due_wall_ms(body: &JobBody, number: u32) -> u64 {
    if body.occurrences == 0 {
        return body.accepted_at_ms;
    }
    body.first_due_ms + body.interval_ms * u64::from(number)
}

/// Returns when an occurrence was due on the clock of this process.
fn occurrence_due(job: &JobRun, number: u32, now: ClockTime, wall: PlatformTime) -> ClockTime {
    if job.body.occurrences == 0 {
        return job.arrived_at;
    }
    now - wall.millis_since(PlatformTime(due_wall_ms(&job.body, number)))
}
