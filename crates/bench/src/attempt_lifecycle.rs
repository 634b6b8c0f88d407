use arbutuspick_model::{AttemptNumber, CentreState, ClockTime};
use arbutuspick_sched::{AttemptEnd, GangPlacement, PlacementEvent, PreemptReason};

use crate::PlacementSimulation;
use crate::fragmentation_gauge::{FragmentationGauge, guarantee_shape};
use crate::job_tracker::{JobEnd, JobPhase};
use crate::simulation_event::SimulationEvent;

/// Time to prepare and start a gang.
const START_DURATION_MS: u64 = 300;
/// Time to stop a gang without writing a checkpoint.
const STOP_DURATION_MS: u64 = 300;
/// Time to write a checkpoint and stop a gang; the gang makes no progress meanwhile.
const CHECKPOINT_DURATION_MS: u64 = 2_000;
/// Interval of the periodic checkpoints of checkpointable jobs, which take no time in the simulation.
const CHECKPOINT_INTERVAL_MS: u64 = 60_000;

/// Lifecycle of attempts: start, end, and preemption with or without a checkpoint.
impl PlacementSimulation<'_> {
    pub(crate) fn place_gang(&mut self, centre: usize, placement: &GangPlacement) -> Result<(), String> {
        let GangPlacement { job, attempt, .. } = placement;
        let simulated = &mut self.centres[centre];
        if matches!(simulated.state, CentreState::Leaving | CentreState::Out) {
            return Err(format!(
                "job {job} was placed in {}, which is leaving or out of service",
                simulated.name
            ));
        }
        let job = self.job_indexes[job];
        let tracker = &mut self.trackers[job];
        if tracker.phase != JobPhase::Waiting || tracker.centre != Some(centre) {
            return Err(format!(
                "job {} was placed in phase {:?} or in a data centre it is not assigned to",
                placement.job, tracker.phase
            ));
        }
        simulated
            .validator
            .place(&self.arrivals[job].spec.shape, placement)?;
        (tracker.attempt, tracker.phase) = (*attempt, JobPhase::Starting);
        tracker.first_start = tracker.first_start.or(Some(self.now));
        self.outcome.starts += 1;
        let started = SimulationEvent::AttemptStarted {
            job,
            attempt: *attempt,
        };
        self.events.schedule(self.now + START_DURATION_MS, started);
        Ok(())
    }

    pub(crate) fn handle_started(&mut self, job: usize, attempt: AttemptNumber) -> Result<(), String> {
        let (tracker, arrival) = (&mut self.trackers[job], &self.arrivals[job]);
        let Some(centre) = tracker.centre else {
            return Ok(());
        };
        if tracker.attempt != attempt || tracker.phase != JobPhase::Starting {
            return Ok(());
        }
        let workers = self.centres[centre].validator.workers_of(arrival.job);
        if self.now >= self.settings.faulty_from() && workers.contains(&self.faulty_worker) {
            tracker.phase = JobPhase::Waiting;
            self.outcome.failed_starts += 1;
            let failed_workers = vec![self.faulty_worker.clone()];
            return self.end_attempt(job, AttemptEnd::StartFailed { failed_workers });
        }
        tracker.phase = JobPhase::Running { since: self.now };
        let finish_at = self.now + (arrival.run_ms - tracker.progress_ms);
        self.events
            .schedule(finish_at, SimulationEvent::AttemptFinished { job, attempt });
        let job = arrival.job;
        self.deliver_event(centre, PlacementEvent::AttemptRunning { job, attempt })
    }

    pub(crate) fn handle_finished(&mut self, job: usize, attempt: AttemptNumber) -> Result<(), String> {
        let tracker = &mut self.trackers[job];
        if tracker.attempt != attempt || !matches!(tracker.phase, JobPhase::Running { .. }) {
            return Ok(());
        }
        tracker.record_progress(u64::MAX, self.now);
        self.end_job(job, JobEnd::Ran);
        self.end_attempt(job, AttemptEnd::Finished)
    }

    pub(crate) fn preempt_attempt(
        &mut self,
        job: usize,
        attempt: AttemptNumber,
        stop_before: ClockTime,
        reason: PreemptReason,
    ) {
        let (tracker, spec) = (&mut self.trackers[job], &self.arrivals[job].spec);
        if tracker.attempt != attempt {
            return;
        }
        let (requeue, delay_ms) = match tracker.phase {
            JobPhase::Starting => {
                self.outcome.stopped_starts += 1;
                (true, STOP_DURATION_MS)
            }
            JobPhase::Running { since } => {
                let can_resume =
                    self.kind.keeps_progress() && spec.checkpointable && reason != PreemptReason::Cancelled;
                let in_time = can_resume && self.now + CHECKPOINT_DURATION_MS <= stop_before;
                let elapsed_ms = self.now.millis_since(since);
                let kept_ms = match (in_time, can_resume) {
                    (true, _) => elapsed_ms,
                    (false, true) => elapsed_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS,
                    (false, false) => 0,
                };
                tracker.record_progress(kept_ms, self.now);
                self.outcome.count_preemption(reason);
                let delay_ms = if in_time {
                    CHECKPOINT_DURATION_MS
                } else {
                    STOP_DURATION_MS
                };
                (spec.idempotent || in_time, delay_ms)
            }
            JobPhase::Waiting | JobPhase::Stopping { .. } | JobPhase::Ended(_) => return,
        };
        tracker.phase = JobPhase::Stopping { requeue };
        let stopped = SimulationEvent::AttemptStopped { job, attempt };
        self.events.schedule(self.now + delay_ms, stopped);
    }

    pub(crate) fn handle_stopped(&mut self, job: usize, attempt: AttemptNumber) -> Result<(), String> {
        let tracker = &mut self.trackers[job];
        let JobPhase::Stopping { requeue } = tracker.phase else {
            return Ok(());
        };
        if tracker.attempt != attempt {
            return Ok(());
        }
        let end = match (tracker.cancelled, requeue) {
            (true, _) => Some(JobEnd::Cancelled),
            (false, true) => None,
            (false, false) => Some(JobEnd::Unknown),
        };
        tracker.phase = JobPhase::Waiting;
        match end {
            Some(end) => {
                self.end_job(job, end);
                self.end_attempt(job, AttemptEnd::Finished)
            }
            None => self.end_attempt(job, AttemptEnd::Requeued),
        }
    }

    fn end_attempt(&mut self, job: usize, end: AttemptEnd) -> Result<(), String> {
        let attempt = self.trackers[job].attempt;
        let Some(centre) = self.trackers[job].centre else {
            return Ok(());
        };
        let job = self.arrivals[job].job;
        self.centres[centre].validator.release(job);
        self.deliver_event(centre, PlacementEvent::AttemptEnded { job, attempt, end })
    }

    /// Samples the free and the unusable accelerators of the data centres that are in service.
    pub(crate) fn sample_fragmentation(&mut self) {
        let (mut unusable, mut free, mut waiting) = (0, 0, false);
        for (index, centre) in self.centres.iter().enumerate() {
            if matches!(centre.state, CentreState::Leaving | CentreState::Out) {
                continue;
            }
            let mut pool = centre.validator.pool.clone();
            pool.hosts.retain(|host| host.worker != self.faulty_worker);
            let actual_free: u32 = pool.hosts.iter().map(|host| host.free_mask.count_ones()).sum();
            let allocated = centre.policy.allocated_masks();
            for (worker, mask) in allocated.iter().flatten() {
                if let Some(host) = pool.host_mut(worker) {
                    host.free_mask &= !mask;
                }
            }
            let policy_free: u32 = pool.hosts.iter().map(|host| host.free_mask.count_ones()).sum();
            let queued = self.trackers.iter().zip(self.arrivals);
            let queued = queued
                .filter(|(tracker, _)| tracker.centre == Some(index) && tracker.phase == JobPhase::Waiting);
            let mut shapes: Vec<_> = queued.map(|(_, arrival)| arrival.spec.shape).collect();
            waiting |= !shapes.is_empty();
            let policies = self.plan.account_policies(index, None);
            let guaranteed = policies.iter().flat_map(|policy| &policy.home);
            shapes.extend(guaranteed.map(guarantee_shape));
            let gauge = FragmentationGauge {
                pool: &pool,
                aligned: allocated.is_some(),
            };
            // Accelerators that the policy allocates beyond the members, by rounding up to cells, also count as
            // unusable.
            unusable += gauge.unusable_accelerators(&shapes) + actual_free - policy_free;
            free += actual_free;
        }
        self.outcome.unusable.push(unusable);
        self.outcome.free.push(free);
        if waiting {
            self.outcome.free_while_waiting.push(free);
        }
    }
}
