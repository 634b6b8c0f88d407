use std::collections::BTreeSet;
use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, ClockTime, JobId, JobSpec, RefusalReason, WorkerName};

use crate::cell_demand::CellDemand;
use crate::gang_queue::ShapeKey;
use crate::job_entry::{JobEntry, JobKey, JobPhase};
use crate::worker_health::HealthEvent;
use crate::{AttemptEnd, PlacementAction, PlacementCore, PreemptReason};

/// Job events: queueing, cancellation, and starts and ends of attempts.
impl PlacementCore {
    pub(crate) fn queue_job(
        &mut self,
        job: JobId,
        spec: Arc<JobSpec>,
        attempt: AttemptNumber,
        queued_at: ClockTime,
    ) {
        if self.keys_by_id.contains_key(&job) {
            return;
        }
        let limit = self
            .usages
            .get(&spec.account)
            .map_or(u32::MAX, |usage| usage.max_queued_jobs);
        let queued_jobs = self.queue.quota_counts.get(&spec.account).copied().unwrap_or(0);
        // The quota applies only to jobs without an attempt. Otherwise a new placement holder, which queues
        // all unfinished jobs again, would refuse jobs that had already been accepted.
        if attempt == AttemptNumber(0) && queued_jobs >= limit {
            let reason = RefusalReason::QuotaExceeded;
            self.actions.push(PlacementAction::Refuse { job, reason });
            return;
        }
        let key = self.insert_job(job, spec, attempt, queued_at);
        self.enqueue(key, queued_at);
    }

    pub(crate) fn insert_job(
        &mut self,
        job: JobId,
        spec: Arc<JobSpec>,
        attempt: AttemptNumber,
        queued_at: ClockTime,
    ) -> JobKey {
        let key = self.jobs.insert(JobEntry {
            id: job,
            spec,
            queued_at,
            waiting_since: queued_at,
            attempt,
            phase: JobPhase::Queued { reservation: None },
            overtaken: 0,
            cancelled: false,
            failed_attempts: 0,
            retry_at: ClockTime(0),
            avoided_workers: BTreeSet::new(),
            checked: false,
        });
        self.keys_by_id.insert(job, key);
        key
    }

    /// Queues a new job, or one whose attempt ended.
    fn enqueue(&mut self, key: JobKey, now: ClockTime) {
        let entry = &mut self.jobs[key];
        entry.phase = JobPhase::Queued { reservation: None };
        if entry.retry_at > now {
            self.queue.delayed.insert((entry.retry_at, entry.id), key);
        } else {
            self.queue.insert(entry, key);
        }
        self.queue.count(entry, true);
    }

    /// Makes delayed jobs whose retry time has come eligible for placement again.
    pub(crate) fn retry_delayed(&mut self, now: ClockTime) {
        while let Some((retry, key)) = self.queue.delayed.first_key_value() {
            if retry.0 > now {
                return;
            }
            let (retry, key) = (*retry, *key);
            self.queue.delayed.remove(&retry);
            self.queue.insert(&self.jobs[key], key);
        }
    }

    /// Delays the next attempt of a job with exponential backoff.
    ///
    /// Without the delay, a job that fails immediately is restarted in a busy loop: a worker that accepted
    /// every prepare and failed every start received 22 attempts in 2.4 s.
    fn delay_retry(&mut self, key: JobKey, failed_workers: &[WorkerName], now: ClockTime) {
        let failed = failed_workers.iter().filter_map(|worker| self.pool.slot(worker));
        let entry = &mut self.jobs[key];
        entry.avoided_workers.extend(failed);
        let doublings = entry.failed_attempts.min(16);
        let delay = (self.options.retry_after_ms << doublings).min(self.options.retry_max_ms);
        entry.retry_at = now + delay;
        entry.failed_attempts += 1;
    }

    /// Removes a job that has no allocation and is not queued.
    pub(crate) fn remove_job(&mut self, key: JobKey) {
        if let Some(entry) = self.jobs.remove(key) {
            self.keys_by_id.remove(&entry.id);
        }
    }

    /// Removes a job from the queue and drops its reservation or claim.
    pub(crate) fn dequeue(&mut self, key: JobKey) {
        self.drop_reservation(key);
        self.drop_claim(key);
        let entry = &self.jobs[key];
        self.queue.remove(entry, key);
        self.queue.count(entry, false);
    }

    pub(crate) fn cancel_job(&mut self, job: JobId, now: ClockTime) {
        let Some(key) = self.keys_by_id.get(&job).copied() else {
            return;
        };
        if self.jobs[key].allocation().is_some() {
            self.jobs[key].cancelled = true;
            self.preempt(key, PreemptReason::Cancelled, now + self.options.grace_ms, now);
        } else {
            self.dequeue(key);
            self.remove_job(key);
        }
    }

    pub(crate) fn mark_running(&mut self, job: JobId, attempt: AttemptNumber) {
        let Some(key) = self.live_attempt(job, attempt) else {
            return;
        };
        self.jobs[key].failed_attempts = 0;
        self.jobs[key].avoided_workers.clear();
        self.update_attempt_health(key, &HealthEvent::Started);
    }

    pub(crate) fn end_attempt(
        &mut self,
        job: JobId,
        attempt: AttemptNumber,
        end: AttemptEnd,
        now: ClockTime,
    ) {
        let Some(key) = self.live_attempt(job, attempt) else {
            return;
        };
        let requeued = match end {
            AttemptEnd::Finished => {
                self.update_attempt_health(key, &HealthEvent::Finished);
                false
            }
            AttemptEnd::Requeued => true,
            AttemptEnd::StartFailed { failed_workers } => {
                self.record_failures(job, &failed_workers, false, now);
                self.delay_retry(key, &failed_workers, now);
                true
            }
            AttemptEnd::RunFailed {
                failed_workers,
                requeue,
            } => {
                self.record_failures(job, &failed_workers, true, now);
                if requeue {
                    self.delay_retry(key, &failed_workers, now);
                }
                requeue
            }
        };
        self.release_attempt(key, now);
        self.join_waiting(now);
        if requeued && !self.jobs[key].cancelled {
            self.jobs[key].waiting_since = now;
            self.enqueue(key, now);
        } else {
            self.remove_job(key);
        }
    }

    /// Returns the key of the job if `attempt` is its live attempt.
    fn live_attempt(&self, job: JobId, attempt: AttemptNumber) -> Option<JobKey> {
        let key = *self.keys_by_id.get(&job)?;
        let entry = &self.jobs[key];
        (entry.attempt == attempt && entry.allocation().is_some()).then_some(key)
    }

    fn update_attempt_health(&mut self, key: JobKey, event: &HealthEvent) {
        let allocation = self.jobs[key].allocation();
        let slots: Vec<_> = allocation
            .iter()
            .flat_map(|allocation| allocation.loads.iter().map(|load| load.slot))
            .collect();
        for slot in slots {
            self.update_health(slot, event);
        }
    }

    /// Refuses unchecked jobs that would not fit even if all known workers were empty.
    pub(crate) fn check_shapes(&mut self, now: ClockTime) {
        let settled = now >= self.settled_at && self.pool.worker_count() > 0;
        let mut fits_by_shape = std::collections::BTreeMap::new();
        let unchecked: Vec<JobKey> = self.queue.unchecked.iter().copied().collect();
        for key in unchecked {
            let spec = self.jobs[key].spec.clone();
            let fits = *fits_by_shape.entry(ShapeKey::new(&spec)).or_insert_with(|| {
                self.demand(&spec, false)
                    .is_some_and(|demand| self.pool.fits_known_workers(&demand))
            });
            if fits {
                self.jobs[key].checked = true;
                self.queue.unchecked.remove(&key);
            } else if settled {
                let (job, reason) = (self.jobs[key].id, RefusalReason::NeverFits);
                self.dequeue(key);
                self.remove_job(key);
                self.actions.push(PlacementAction::Refuse { job, reason });
            }
        }
    }

    /// Returns the cells that a job needs as a guaranteed or as a borrowed job.
    pub(crate) fn demand(&self, spec: &JobSpec, guaranteed: bool) -> Option<CellDemand> {
        let (least, most) = self.pool.reference_workers();
        let reference = if guaranteed { least } else { most };
        CellDemand::new(spec.shape, reference, guaranteed)
    }
}
