use arbutuspick_model::{AttemptNumber, CentreState, ClockTime};
use arbutuspick_sched::{AttemptEnd, GangPlacement, PlacementEvent, PreemptReason};

use crate::VirtualRun;
use crate::fragment_gauge::{FragmentGauge, guarantee_shape};
use crate::job_course::{CourseEnd, CoursePhase};
use crate::run_event::RunEvent;

/// Time to prepare and start a gang.
const START_MS: u64 = 300;
/// Time to stop a gang without a checkpoint.
const STOP_MS: u64 = 300;
/// Time to write a checkpoint and stop; no work is done in it.
const CHECKPOINT_MS: u64 = 2_000;
/// Checkpointable jobs also write a checkpoint at this interval, without cost.
const CHECKPOINT_INTERVAL_MS: u64 = 60_000;

/// Attempts: start, end, and stop with or without a checkpoint.
impl VirtualRun<'_> {
    pub(crate) fn place(&mut self, centre: usize, placement: &GangPlacement) -> Result<(), String> {
        let GangPlacement { job, attempt, .. } = placement;
        let entry = &mut self.centres[centre];
        if matches!(entry.state, CentreState::Leaving | CentreState::Out) {
            return Err(format!("job {job} starts in {}, which is taken out", entry.name));
        }
        let job = self.indexes[job];
        let course = &mut self.courses[job];
        if course.phase != CoursePhase::Waiting || course.centre != Some(centre) {
            return Err(format!("job {} is placed in {:?}", placement.job, course.phase));
        }
        entry.audit.place(&self.arrivals[job].spec.shape, placement)?;
        (course.attempt, course.phase) = (*attempt, CoursePhase::Starting);
        course.first_start = course.first_start.or(Some(self.now));
        self.outcome.starts += 1;
        let started = RunEvent::Started {
            job,
            attempt: *attempt,
        };
        self.events.schedule(self.now + START_MS, started);
        Ok(())
    }

    pub(crate) fn started(&mut self, job: usize, attempt: AttemptNumber) -> Result<(), String> {
        let (course, arrival) = (&mut self.courses[job], &self.arrivals[job]);
        let Some(centre) = course.centre else {
            return Ok(());
        };
        if course.attempt != attempt || course.phase != CoursePhase::Starting {
            return Ok(());
        }
        let workers = self.centres[centre].audit.workers(arrival.job);
        if self.now >= self.settings.bad_from() && workers.contains(&self.bad_worker) {
            course.phase = CoursePhase::Waiting;
            self.outcome.failed_starts += 1;
            let failed_workers = vec![self.bad_worker.clone()];
            return self.end_attempt(job, AttemptEnd::StartFailed { failed_workers });
        }
        course.phase = CoursePhase::Running { since: self.now };
        let finish_at = self.now + (arrival.run_ms - course.progress_ms);
        self.events.schedule(finish_at, RunEvent::Finish { job, attempt });
        let job = arrival.job;
        self.tell(centre, PlacementEvent::AttemptRunning { job, attempt })
    }

    pub(crate) fn finish(&mut self, job: usize, attempt: AttemptNumber) -> Result<(), String> {
        let course = &mut self.courses[job];
        if course.attempt != attempt || !matches!(course.phase, CoursePhase::Running { .. }) {
            return Ok(());
        }
        course.bank(u64::MAX, self.now);
        self.end_course(job, CourseEnd::Ran);
        self.end_attempt(job, AttemptEnd::Finished)
    }

    pub(crate) fn preempt(
        &mut self,
        job: usize,
        attempt: AttemptNumber,
        stop_before: ClockTime,
        reason: PreemptReason,
    ) {
        let (course, spec) = (&mut self.courses[job], &self.arrivals[job].spec);
        if course.attempt != attempt {
            return;
        }
        let (requeue, delay_ms) = match course.phase {
            CoursePhase::Starting => {
                self.outcome.stopped_starts += 1;
                (true, STOP_MS)
            }
            CoursePhase::Running { since } => {
                let may_resume =
                    self.kind.keeps_progress() && spec.checkpointable && reason != PreemptReason::Cancelled;
                let planned = may_resume && self.now + CHECKPOINT_MS <= stop_before;
                let elapsed_ms = self.now.millis_since(since);
                let kept_ms = match (planned, may_resume) {
                    (true, _) => elapsed_ms,
                    (false, true) => elapsed_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS,
                    (false, false) => 0,
                };
                course.bank(kept_ms, self.now);
                self.outcome.count_preemption(reason);
                let delay_ms = if planned { CHECKPOINT_MS } else { STOP_MS };
                (spec.idempotent || planned, delay_ms)
            }
            CoursePhase::Waiting | CoursePhase::Stopping { .. } | CoursePhase::Ended(_) => return,
        };
        course.phase = CoursePhase::Stopping { requeue };
        let stopped = RunEvent::Stopped { job, attempt };
        self.events.schedule(self.now + delay_ms, stopped);
    }

    pub(crate) fn stopped(&mut self, job: usize, attempt: AttemptNumber) -> Result<(), String> {
        let course = &mut self.courses[job];
        let CoursePhase::Stopping { requeue } = course.phase else {
            return Ok(());
        };
        if course.attempt != attempt {
            return Ok(());
        }
        let end = match (course.cancelled, requeue) {
            (true, _) => Some(CourseEnd::Cancelled),
            (false, true) => None,
            (false, false) => Some(CourseEnd::Unknown),
        };
        course.phase = CoursePhase::Waiting;
        match end {
            Some(end) => {
                self.end_course(job, end);
                self.end_attempt(job, AttemptEnd::Finished)
            }
            None => self.end_attempt(job, AttemptEnd::Requeued),
        }
    }

    fn end_attempt(&mut self, job: usize, end: AttemptEnd) -> Result<(), String> {
        let attempt = self.courses[job].attempt;
        let Some(centre) = self.courses[job].centre else {
            return Ok(());
        };
        let job = self.arrivals[job].job;
        self.centres[centre].audit.release(job);
        self.tell(centre, PlacementEvent::AttemptEnded { job, attempt, end })
    }

    /// Samples the free and the unusable accelerators of the data centres in service.
    pub(crate) fn sample_fragments(&mut self) {
        let (mut unusable, mut free, mut waiting) = (0, 0, false);
        for (index, centre) in self.centres.iter().enumerate() {
            if matches!(centre.state, CentreState::Leaving | CentreState::Out) {
                continue;
            }
            let mut pool = centre.audit.pool.clone();
            pool.hosts.retain(|host| host.worker != self.bad_worker);
            let really_free: u32 = pool.hosts.iter().map(|host| host.free.count_ones()).sum();
            let held = centre.policy.held_masks();
            for (worker, mask) in held.iter().flatten() {
                if let Some(host) = pool.host_mut(worker) {
                    host.free &= !mask;
                }
            }
            let offered: u32 = pool.hosts.iter().map(|host| host.free.count_ones()).sum();
            let queued = self.courses.iter().zip(self.arrivals);
            let queued = queued
                .filter(|(course, _)| course.centre == Some(index) && course.phase == CoursePhase::Waiting);
            let mut shapes: Vec<_> = queued.map(|(_, arrival)| arrival.spec.shape).collect();
            waiting |= !shapes.is_empty();
            let shares = self.plan.shares(index, None);
            let promised = shares.iter().flat_map(|share| &share.home);
            shapes.extend(promised.map(guarantee_shape));
            let gauge = FragmentGauge {
                pool: &pool,
                aligned: held.is_some(),
            };
            // What the policy holds beyond the members, by rounding up to cells, is unusable too.
            unusable += gauge.unusable(&shapes) + really_free - offered;
            free += really_free;
        }
        self.outcome.unusable.push(unusable);
        self.outcome.free.push(free);
        if waiting {
            self.outcome.free_while_waiting.push(free);
        }
    }
}
