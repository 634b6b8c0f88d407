use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use slotmap::SlotMap;

use crate::accounts::account_share::AccountRates;
use crate::jobs::job_entry::{JobEntry, OccurrenceEntry};
use crate::jobs::loss_ledger::{LossCause, LossLedger, run_core_ms};
use crate::jobs::placement_restore::restored_occurrence;
use crate::keys::JobKey;
use crate::placement::urgent_demand::{UrgentArrival, UrgentDemand};
use crate::placement::wait_reason::WaitReason;
use crate::preemption::capacity_reservation::CapacityReservation;
use crate::workers::label_index::LabelIndex;
use crate::workers::learned_speeds::LearnedSpeeds;
use crate::workers::rack_index::RackIndex;
use crate::workers::run_move::MoveCounts;
use crate::workers::worker_kind::WorkerKinds;
use crate::workers::worker_view::WorkerView;
use crate::{
    CoreOptions, JobBody, JobRecord, JobStage, PoolOrder, PoolPolicy, QueueRule, StopReason, WorkerKey,
    WorkerReport,
};

/// Number of open tasks of a job from which on its further occurrences wait until some of them are done.
const MAX_OPEN_TASKS: usize = 10_000;

/// A job record that has to be stored before the orders taken with it are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordChange {
    /// Id of the job.
    pub job: Arc<str>,
    /// The new record; `None` to delete the stored one.
    pub record: Option<JobRecord>,
}

/// Counts for metrics and the state dump.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreSummary {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Tasks that wait for free capacity or for earlier steps.
    pub waiting_tasks: usize,
    /// Tasks with a run on a worker.
    pub placed_tasks: usize,
    /// Workers whose list of runs is known.
    pub listed_workers: usize,
    /// All known workers.
    pub workers: usize,
}

/// A latency that callers notice, for histograms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LatencySample {
    /// From acceptance to the first start of a job, in milliseconds.
    FirstStart(u64),
    /// From when work within a guarantee was ready to run until capacity was freed for it, in milliseconds.
    Reclaim(u64),
}

/// The scheduler of one pool: its jobs, its workers and the placement of each task.
#[derive(Debug, Default)]
pub struct PoolCore {
    pub(crate) options: CoreOptions,
    pub(crate) policy: Arc<PoolPolicy>,
    pub(crate) closed_centres: HashSet<Arc<str>>,
    /// Jobs that have not ended. A job leaves when it ends, so that no further work is created for it.
    pub(crate) jobs: SlotMap<JobKey, JobEntry>,
    pub(crate) job_index: HashMap<Arc<str>, JobKey>,
    pub(crate) workers: SlotMap<WorkerKey, WorkerView>,
    pub(crate) worker_index: HashMap<Arc<str>, WorkerKey>,
    pub(crate) racks: RackIndex,
    pub(crate) labels: LabelIndex,
    pub(crate) worker_kinds: WorkerKinds,
    pub(crate) learned_speeds: LearnedSpeeds,
    pub(crate) move_counts: MoveCounts,
    pub(crate) reservations: Vec<CapacityReservation>,
    /// Round of searches for runs to preempt; every waiting unit has at most one in a round.
    pub(crate) search_round: u64,
    /// Number of waiting units for each reason, as of the latest decision.
    pub(crate) wait_counts: BTreeMap<WaitReason, usize>,
    /// Unix milliseconds at time 0 of the clock.
    wall_start_ms: u64,
    pub(crate) account_rates: AccountRates,
    pub(crate) orders: Vec<PoolOrder>,
    pub(crate) latency_samples: Vec<LatencySample>,
    pub(crate) losses: LossLedger,
    /// Urgent arrivals by service.
    pub(crate) urgent_demand: BTreeMap<Arc<str>, UrgentDemand>,
    /// Number of workers kept for urgent work at the latest decision with waiting work.
    pub(crate) urgent_room: usize,
    /// Jobs whose records have changed since `take_changes`.
    changed_jobs: BTreeSet<JobKey>,
    /// Final records of the jobs that have ended since `take_changes`.
    ended_records: Vec<RecordChange>,
    /// Stored final records with the time at which each is deleted, oldest first.
    final_records: VecDeque<(ClockTime, Arc<str>)>,
    /// Ended jobs whose final records are still stored, with their client accounts; a body that is read again must not restart them.
    pub(crate) ended_jobs: HashMap<Arc<str>, Arc<str>>,
    /// Jobs whose final records are to be deleted.
    expired_records: Vec<Arc<str>>,
}

impl PoolCore {
    /// Returns a scheduler without jobs or workers.
    pub fn new(options: CoreOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Applies a configuration; a version older than the current one is ignored.
    pub fn apply_policy(&mut self, policy: Arc<PoolPolicy>) {
        if policy.version < self.policy.version {
            return;
        }
        for job in self.jobs.values_mut() {
            if let Some(rule) = policy.queues.get(&job.rule.name) {
                job.rule = rule.clone();
            }
        }
        let is_new = policy.version != self.policy.version;
        self.policy = policy;
        self.worker_kinds.invalidate();
        if is_new {
            self.log_caps_below_guarantees();
        }
    }

    /// Replaces the set of data centres that are closed for new starts.
    pub fn set_closed_centres(&mut self, centres: HashSet<Arc<str>>) {
        self.closed_centres = centres;
    }

    /// Adds an accepted job, with its progress if an earlier scheduler recorded any.
    ///
    /// Workers must be added first: a recorded run on an unknown worker counts as running until
    /// `lease_expiry`.
    pub fn add_job(
        &mut self,
        id: &Arc<str>,
        body: JobBody,
        record: &JobRecord,
        now: ClockTime,
        wall: PlatformTime,
        lease_expiry: ClockTime,
    ) {
        if self.job_index.contains_key(id) || self.ended_jobs.contains_key(id) || record.stage().is_final() {
            return;
        }
        self.wall_start_ms = wall.0.saturating_sub(now.0);
        let rule = self.queue_rule(&body);
        let arrived_at = now - wall.millis_since(PlatformTime(body.accepted_at_ms));
        let mut job = JobEntry {
            id: id.clone(),
            account: body.account.as_str().into(),
            beyond_rate: false,
            spec: body.spec.as_str().into(),
            critical_path_ms: body.critical_path_ms(),
            work_core_ms: body.work_core_ms(),
            rule,
            stage: record.stage(),
            released: record.released,
            occurrences: Default::default(),
            arrived_at,
            body,
            has_begun: record.has_begun,
            step_fits: Vec::new(),
            fits_version: None,
        };
        for occurrence in &record.occurrences {
            let due_at = occurrence_due_at(&job, occurrence.number, now, wall);
            let entry = restored_occurrence(&job.body, &occurrence.tasks, due_at);
            job.occurrences.insert(occurrence.number, entry);
        }
        self.record_urgent_demand(&job);
        let key = self.jobs.insert(job);
        self.job_index.insert(id.clone(), key);
        self.account_rates.add_job(key);
        for occurrence in &record.occurrences {
            self.restore_placements(key, occurrence.number, &occurrence.tasks, now, lease_expiry);
        }
        // The record may have been stored only in part when the last task was done.
        for occurrence in &record.occurrences {
            self.close_occurrence(key, occurrence.number, now);
        }
    }

    /// Records the tasks of an urgent job for the forecast of urgent work.
    fn record_urgent_demand(&mut self, job: &JobEntry) {
        if job.rule.priority > 0 {
            return;
        }
        let largest = self.largest_capacity();
        for step in job.body.steps.iter().filter(|step| !step.endless) {
            let share = step.amount().dominant_share(&largest);
            // A task that fits nowhere takes no room.
            if let Some(share) = u64::try_from(share).ok().filter(|share| *share <= 1_000) {
                let demand = self.urgent_demand.entry(job.rule.service.clone()).or_default();
                demand.record(UrgentArrival {
                    at: job.arrived_at,
                    size: share * u64::from(step.count),
                    run_ms: step.estimate_ms,
                });
            }
        }
    }

    /// Removes an occurrence if all its tasks are done, and completes the job with its last occurrence.
    pub(crate) fn close_occurrence(&mut self, key: JobKey, number: u32, now: ClockTime) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if !job.occurrences.get(&number).is_some_and(OccurrenceEntry::is_done) {
            return;
        }
        job.occurrences.remove(&number);
        if job.occurrences.is_empty() && job.released >= job.total_occurrences() {
            self.end_job(key, JobStage::Completed, now);
        }
    }

    fn queue_rule(&self, body: &JobBody) -> Arc<QueueRule> {
        let configured = self.policy.queues.get(body.queue.as_str());
        configured.cloned().unwrap_or_else(|| {
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

    /// Cancels a job; returns whether the job was known and had not ended.
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

    /// Returns whether the job is known to have ended; its final record is still stored.
    pub fn has_ended(&self, id: &str) -> bool {
        self.ended_jobs.contains_key(id)
    }

    /// Marks a worker as unreachable; its runs must be listed again before it gets new work.
    pub fn mark_unreachable(&mut self, key: WorkerKey, now: ClockTime) {
        if let Some(view) = self.workers.get_mut(key) {
            view.listed = false;
            view.health.mark_unresponsive(now);
        }
    }

    /// Raises the time until which runs on the worker may continue without another lease renewal.
    pub fn extend_lease_expiry(&mut self, key: WorkerKey, lease_expiry: ClockTime) {
        if let Some(view) = self.workers.get_mut(key) {
            view.lease_expiry = view.lease_expiry.max(lease_expiry);
        }
    }

    /// Returns the report of a worker, if the worker is known.
    pub fn worker_report(&self, key: WorkerKey) -> Option<&WorkerReport> {
        self.workers.get(key).map(|view| &view.report)
    }

    /// Returns the key of the present incarnation of a worker.
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.worker_index.get(id).copied()
    }

    /// Returns the keys of all workers that have not been removed from the registry.
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        let present = self.workers.iter().filter(|(_, view)| !view.removed);
        present.map(|(key, _)| key).collect()
    }

    /// Returns whether the worker must be listed: its runs are not known, it has any, or it may have restarted.
    pub fn needs_listing(&self, key: WorkerKey) -> bool {
        let view = self.workers.get(key);
        view.is_some_and(|view| !view.listed || view.successor.is_some() || view.is_occupied())
    }

    /// Returns whether the runs of the worker are held until its lease expires, since it cannot be listed.
    pub fn awaits_lease_expiry(&self, key: WorkerKey) -> bool {
        let view = self.workers.get(key);
        view.is_some_and(|view| !view.listed && view.is_occupied())
    }

    /// Returns the highest number of an applied end, to be acknowledged once the changed records are stored.
    pub fn applied_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |view| view.applied_end)
    }

    /// Returns the number of jobs in each queue of which no task is known to have begun.
    pub fn pending_by_queue(&self) -> HashMap<Arc<str>, u64> {
        let mut pending: HashMap<Arc<str>, u64> = HashMap::new();
        for job in self.jobs.values().filter(|job| !job.has_begun) {
            *pending.entry(job.rule.name.clone()).or_default() += 1;
        }
        pending
    }

    /// Returns the number of workers kept for urgent work at the latest decision with waiting work.
    pub fn urgent_room(&self) -> usize {
        self.urgent_room
    }

    /// Returns counts for metrics and the state dump.
    pub fn summary(&self) -> CoreSummary {
        let mut summary = CoreSummary {
            jobs: self.jobs.len(),
            workers: self.workers.len(),
            listed_workers: self.workers.values().filter(|view| view.listed).count(),
            ..CoreSummary::default()
        };
        let occurrences = self.jobs.values().flat_map(|job| job.occurrences.values());
        for task in occurrences
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| &step.tasks)
        {
            summary.waiting_tasks += usize::from(task.is_waiting());
            summary.placed_tasks += usize::from(task.placement.is_some());
        }
        summary
    }

    /// Decides what to start and stop now. The `take_*` methods return the resulting orders and records.
    pub fn decide(&mut self, now: ClockTime, wall: PlatformTime) {
        self.wall_start_ms = wall.0.saturating_sub(now.0);
        self.release_occurrences(now, wall);
        self.classify_jobs();
        self.check_leases(now);
        self.check_progress(now);
        self.update_step_fits();
        self.place_waiting_units(now);
        self.expire_final_records(now);
    }

    /// Returns the orders decided since the last call.
    pub fn take_orders(&mut self) -> Vec<PoolOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Returns the latencies measured since the last call.
    pub fn take_latency_samples(&mut self) -> Vec<LatencySample> {
        std::mem::take(&mut self.latency_samples)
    }

    /// Returns the work thrown away since the last call, in core milliseconds by cause.
    pub fn take_losses(&mut self) -> BTreeMap<LossCause, u64> {
        self.losses.take()
    }

    /// Returns the records that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<RecordChange> {
        let mut changes = std::mem::take(&mut self.ended_records);
        for key in std::mem::take(&mut self.changed_jobs) {
            let Some(job) = self.jobs.get(key) else { continue };
            let record = job.to_record(|worker| {
                let view = self.workers.get(worker)?;
                Some((view.report.id.clone(), view.report.started_at_ms))
            });
            changes.push(RecordChange {
                job: job.id.clone(),
                record: Some(record),
            });
        }
        let expired = std::mem::take(&mut self.expired_records).into_iter();
        changes.extend(expired.map(|job| RecordChange { job, record: None }));
        changes
    }

    /// Schedules a stored final record for deletion after the retention period.
    pub(crate) fn track_final_record(&mut self, id: &Arc<str>, account: &Arc<str>, now: ClockTime) {
        if self.ended_jobs.insert(id.clone(), account.clone()).is_none() {
            self.final_records
                .push_back((now + self.options.keep_final_ms, id.clone()));
        }
    }

    fn expire_final_records(&mut self, now: ClockTime) {
        while self.final_records.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, id)) = self.final_records.pop_front() else {
                return;
            };
            self.ended_jobs.remove(&id);
            self.expired_records.push(id);
        }
    }

    pub(crate) fn mark_changed(&mut self, key: JobKey) {
        self.changed_jobs.insert(key);
    }

    /// Creates the occurrences that are due, as long as the open tasks of the job are within their limit.
    fn release_occurrences(&mut self, now: ClockTime, wall: PlatformTime) {
        let mut released = Vec::new();
        for (key, job) in &mut self.jobs {
            let tasks_per_occurrence: usize = job.body.steps.iter().map(|step| step.count as usize).sum();
            // Counted only if an occurrence is due.
            let mut open_tasks = None;
            while job.released < job.total_occurrences() {
                let number = job.released;
                let due_unix_ms = due_unix_ms(&job.body, number);
                if job.body.occurrences > 0 && due_unix_ms > wall.0 {
                    break;
                }
                let open_before = *open_tasks.get_or_insert_with(|| job.open_tasks());
                if number > 0 && open_before >= MAX_OPEN_TASKS {
                    break;
                }
                open_tasks = Some(open_before + tasks_per_occurrence);
                let due_at = occurrence_due_at(job, number, now, wall);
                let entry = OccurrenceEntry::new(&job.body, due_at);
                job.occurrences.insert(number, entry);
                job.released += 1;
                released.push(key);
            }
        }
        self.changed_jobs.extend(released);
    }

    /// Ends a job and stops its runs.
    ///
    /// The runs keep their allocations until their ends are known, since the final record does not name them.
    pub(crate) fn end_job(&mut self, key: JobKey, stage: JobStage, now: ClockTime) {
        let Some(mut job) = self.jobs.remove(key) else {
            return;
        };
        log::info!(
            "[job] id={} queue={} stage={} age_ms={} objective_ms={}",
            job.id,
            job.rule.name,
            stage.name(),
            now.millis_since(job.arrived_at),
            job.objective_ms(),
        );
        self.job_index.remove(&job.id);
        self.reservations.retain(|reservation| reservation.job != key);
        let remaining = self.remaining_runs(&job);
        let cause = if stage == JobStage::Failed {
            LossCause::JobFailed
        } else {
            LossCause::Cancel
        };
        for (number, occurrence) in std::mem::take(&mut job.occurrences) {
            for (step, entry) in occurrence.steps.iter().enumerate() {
                let body = &job.body.steps[step];
                for (index, task) in entry.tasks.iter().enumerate() {
                    if let Some(placement) = task.placement {
                        let cause = task.stop_cause.unwrap_or(cause);
                        self.losses.charge(cause, run_core_ms(body, task, now));
                        let name = job.task_name(number, step, index);
                        self.order_stop(name, task.run, placement.worker, StopReason::JobEnded, now);
                    }
                }
            }
        }
        job.stage = stage;
        self.ended_records.push(RecordChange {
            job: job.id.clone(),
            record: Some(JobRecord {
                ended_at_ms: if remaining.is_empty() {
                    0
                } else {
                    self.wall_start_ms + now.0
                },
                remaining,
                ..job.to_record(|_| None)
            }),
        });
        self.track_final_record(&job.id, &job.account, now);
    }
}

/// Returns the Unix milliseconds at which an occurrence is due.
fn due_unix_ms(body: &JobBody, number: u32) -> u64 {
    if body.occurrences == 0 {
        return body.accepted_at_ms;
    }
    let passed_ms = body.interval_ms.saturating_mul(u64::from(number));
    body.first_due_ms.saturating_add(passed_ms)
}

/// Returns when an occurrence was due, on the clock of this process.
fn occurrence_due_at(job: &JobEntry, number: u32, now: ClockTime, wall: PlatformTime) -> ClockTime {
    if job.body.occurrences == 0 {
        return job.arrived_at;
    }
    now - wall.millis_since(PlatformTime(due_unix_ms(&job.body, number)))
}
