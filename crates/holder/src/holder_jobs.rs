use std::sync::Arc;

use arbutuspick_clients::{MemberAllocation, PrepareRequest, StartRequest};
use arbutuspick_model::{AttemptNumber, ClockTime, JobId, WorkerName};
use arbutuspick_records::{JobNotice, JobRecord, JobState, RequeueReason, Versioned};
use arbutuspick_sched::{AttemptEnd, GangPlacement, PlacementAction, PlacementEvent};

use crate::gang_attempt::{GANG_LEASE_MS, RESERVATION_MS};
use crate::holder_event::{NoticeOutcome, WorkerCall};
use crate::job_entry::{JobEntry, LiveAttempt, WriteFollowUp, placed_members};
use crate::job_write::{AttemptStart, JobWrite, WriteOutcome};
use crate::placement_holder::PlacementHolder;
use crate::table_reader::InboxItem;
use crate::{AttemptOutcome, AttemptRules, GangCommand, GangEvent, GangMachine};

/// Maximum number of notices accepted in one transaction.
const ACCEPT_BATCH_SIZE: usize = 32;
/// Age at which a running attempt is recorded as running; shorter attempts need no such write.
const CONFIRM_AFTER_MS: u64 = 2_000;
/// Interval of the ticks of a running attempt.
const RUNNING_TICK_INTERVAL_MS: u64 = 1_000;

/// Jobs and attempts: accepting notices, placement actions, gang commands and row writes.
impl PlacementHolder {
    /// Adds a job from its row: queues it, adopts its attempt, or ignores it if it has ended.
    pub(crate) fn add_job(&mut self, row: Versioned<JobRecord>) {
        let now = self.now();
        let JobRecord {
            job, state, attempt, ..
        } = row.record;
        if row.record.data_centre != self.options.data_centre || self.jobs.contains_key(&job) {
            return;
        }
        let entry = JobEntry::new(row, self.submitted_at(&now, &job));
        match state {
            JobState::Queued => self.queue_job(entry, attempt, now),
            JobState::Starting | JobState::Running => self.adopt_job(entry, now),
            JobState::Ran | JobState::NotRun | JobState::Unknown => {}
        }
    }

    /// Returns the submission time of a job on the clock of this process, taken from the timestamp in its id.
    fn submitted_at(&self, now: &ClockTime, job: &JobId) -> ClockTime {
        let submitted = job.0.get_timestamp().map_or(0, |stamp| {
            let (seconds, nanos) = stamp.to_unix();
            seconds * 1_000 + u64::from(nanos / 1_000_000)
        });
        let age = self
            .context
            .table
            .platform_time()
            .map_or(0, |time| time.0.saturating_sub(submitted));
        *now - age
    }

    fn queue_job(&mut self, entry: JobEntry, attempt: AttemptNumber, now: ClockTime) {
        let job = entry.row.record.job;
        let (spec, queued_at) = (entry.spec.clone(), entry.queued_at);
        self.jobs.insert(job, entry);
        self.core.handle(
            PlacementEvent::JobQueued {
                job,
                spec,
                attempt,
                queued_at,
            },
            now,
        );
    }

    fn adopt_job(&mut self, mut entry: JobEntry, now: ClockTime) {
        let job = entry.row.record.job;
        let placement = entry.recorded_placement();
        let machine = GangMachine::adopt(&placement, attempt_rules(&entry.row.record), now);
        entry.live = Some(LiveAttempt::new(placement.clone(), machine, now));
        let (spec, queued_at) = (entry.spec.clone(), entry.queued_at);
        self.index_placement(&placement);
        let cancelled = entry.row.record.cancel_requested;
        self.jobs.insert(job, entry);
        self.core.handle(
            PlacementEvent::AttemptAdopted {
                job,
                spec,
                placement,
                queued_at,
            },
            now,
        );
        if cancelled {
            self.core.handle(PlacementEvent::JobCancelled { job }, now);
        }
    }

    fn index_placement(&mut self, placement: &GangPlacement) {
        for member in &placement.members {
            self.jobs_by_worker
                .entry(member.worker.clone())
                .or_default()
                .insert(placement.job);
        }
    }

    /// Accepts notices from the inbox in batches, leaving out jobs whose notices are already being accepted.
    pub(crate) fn accept_notices(&mut self, items: Vec<InboxItem>) {
        let mut new_items = Vec::with_capacity(items.len());
        for item in items {
            if self.accepting.insert(item.row.record.job) {
                new_items.push(item);
            }
        }
        for batch in new_items.chunks(ACCEPT_BATCH_SIZE) {
            self.request_accept(batch.to_vec());
        }
    }

    pub(crate) fn handle_notice_outcome(&mut self, outcome: NoticeOutcome) {
        let NoticeOutcome { item, accepted } = outcome;
        let InboxItem { notice, row } = item;
        let notice = notice.record.notice;
        let now = self.now();
        let job = row.record.job;
        self.accepting.remove(&job);
        if !accepted {
            return;
        }
        let cancelled = notice == JobNotice::Cancelled || row.record.cancel_requested;
        if let Some(entry) = self.jobs.get_mut(&job) {
            if !entry.writing && row.version > entry.row.version {
                entry.row = row;
            }
        } else {
            self.add_job(row);
        }
        if cancelled {
            self.core.handle(PlacementEvent::JobCancelled { job }, now);
            self.remove_ended(job);
        }
    }

    /// Removes a job whose recorded state is final and that has neither an attempt nor a write in flight.
    fn remove_ended(&mut self, job: JobId) {
        let ended = self
            .jobs
            .get(&job)
            .is_some_and(|entry| entry.row.record.state.is_final() && entry.live.is_none() && !entry.writing);
        if ended {
            self.jobs.remove(&job);
            (self.context.on_job_ended)(job);
        }
    }

    /// Runs the placement core if a decision is due and the lease is valid, and executes its actions.
    pub(crate) fn decide(&mut self) {
        let now = self.now();
        if !self.may_place(now) || self.core.next_wakeup(now).is_none_or(|at| at > now) {
            return;
        }
        for action in self.core.decide(now) {
            self.apply_action(action, now);
        }
    }

    fn apply_action(&mut self, action: PlacementAction, now: ClockTime) {
        match action {
            PlacementAction::Place(placement) => self.begin_attempt(placement, now),
            PlacementAction::Preempt {
                job,
                attempt,
                stop_before,
                reason,
            } => {
                self.notify_attempt(job, attempt, &GangEvent::StopRequested { reason, stop_before });
            }
            PlacementAction::Refuse { job, reason } => {
                log::info!("[holder] job refused job={job} reason={reason:?}");
                self.queue_write(job, JobWrite::NotRun(reason), WriteFollowUp::Nothing);
            }
            PlacementAction::Transfer { job } => self.transfer_job(job, now),
            PlacementAction::Probe { worker } => self.call_renew(&worker, WorkerCall::Probe, Vec::new()),
        }
    }

    fn begin_attempt(&mut self, placement: GangPlacement, now: ClockTime) {
        let job = placement.job;
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let mut machine = GangMachine::begin(&placement, attempt_rules(&entry.row.record), now);
        let commands = machine.handle(&GangEvent::Tick, now);
        entry.live = Some(LiveAttempt::new(placement.clone(), machine, now));
        self.index_placement(&placement);
        self.execute(job, commands, now);
    }

    /// Transfers a queued job to another data centre, or queues it again if no other one can take it.
    fn transfer_job(&mut self, job: JobId, now: ClockTime) {
        let Some(entry) = self.jobs.get(&job) else { return };
        match (self.context.choose_centre)(&entry.spec) {
            Some(target) if target != self.options.data_centre => {
                log::info!("[holder] transferring job to another data centre job={job} target={target}");
                self.queue_write(job, JobWrite::Transfer(target), WriteFollowUp::RemoveJob);
            }
            _ => self.requeue_job(job, now),
        }
    }

    /// Sends ticks to the attempts that are due for one, and records attempts that have run long enough.
    pub(crate) fn tick_attempts(&mut self, now: ClockTime) {
        let mut due = Vec::new();
        let mut confirmed = Vec::new();
        for (job, entry) in &mut self.jobs {
            let Some(live) = entry.live.as_mut().filter(|live| now >= live.next_tick_at) else {
                continue;
            };
            if live.machine.is_running() {
                live.next_tick_at = now + RUNNING_TICK_INTERVAL_MS;
            }
            if live.confirm_at.take_if(|at| now >= *at).is_some() {
                confirmed.push(*job);
            }
            due.push((*job, live.placement.attempt));
        }
        for (job, attempt) in due {
            self.notify_attempt_at(job, attempt, &GangEvent::Tick, now);
        }
        for job in confirmed {
            self.queue_write(job, JobWrite::Confirm, WriteFollowUp::Nothing);
        }
    }

    /// Delivers an event to an attempt, if it is the current attempt of the job.
    pub(crate) fn notify_attempt(&mut self, job: JobId, attempt: AttemptNumber, event: &GangEvent) {
        let now = self.now();
        self.notify_attempt_at(job, attempt, event, now);
    }

    fn notify_attempt_at(&mut self, job: JobId, attempt: AttemptNumber, event: &GangEvent, now: ClockTime) {
        let Some(live) = self.jobs.get_mut(&job).and_then(|entry| entry.live.as_mut()) else {
            return;
        };
        if live.placement.attempt != attempt {
            return;
        }
        let commands = live.machine.handle(event, now);
        self.execute(job, commands, now);
    }

    fn execute(&mut self, job: JobId, commands: Vec<GangCommand>, now: ClockTime) {
        for command in commands {
            let Some(live) = self.jobs.get(&job).and_then(|entry| entry.live.as_ref()) else {
                return;
            };
            let attempt = live.placement.attempt;
            match command {
                GangCommand::Prepare(worker) => self.send_prepare(job, &worker, now),
                GangCommand::CommitStart => self.commit_start(job),
                GangCommand::Start {
                    worker,
                    send_before,
                    start_before,
                } => {
                    self.send_start(job, &worker, send_before, start_before, now);
                }
                GangCommand::Void(worker) => self.call_attempt(&worker, WorkerCall::Void, job, attempt),
                GangCommand::Checkpoint(worker) => {
                    self.call_attempt(&worker, WorkerCall::Checkpoint, job, attempt);
                }
                GangCommand::Stop(worker) => self.call_attempt(&worker, WorkerCall::Stop, job, attempt),
                GangCommand::ReportRunning => {
                    self.core
                        .handle(PlacementEvent::AttemptRunning { job, attempt }, now);
                    if let Some(live) = self.jobs.get_mut(&job).and_then(|entry| entry.live.as_mut()) {
                        live.confirm_at = Some(now + CONFIRM_AFTER_MS);
                    }
                }
                GangCommand::Finish(outcome) => self.finish_attempt(job, attempt, outcome, now),
            }
        }
    }

    fn send_prepare(&mut self, job: JobId, worker: &WorkerName, now: ClockTime) {
        if !self.may_place(now) {
            return;
        }
        let Some(entry) = self.jobs.get(&job) else { return };
        let Some(live) = &entry.live else { return };
        let hold_until = live.created_at + RESERVATION_MS;
        let Some(hold_until) = self
            .workers
            .get(worker)
            .and_then(|session| session.worker_time(hold_until))
        else {
            return;
        };
        let part = live.machine.parts().iter().find(|part| part.worker == *worker);
        let request = PrepareRequest {
            epoch: self.guard.epoch,
            job,
            attempt: live.placement.attempt,
            members: part.map_or(Vec::<MemberAllocation>::new(), |part| part.members.clone()),
            cores: entry.spec.shape.cores,
            memory_mib: entry.spec.shape.memory_mib,
            payload: entry.spec.payload.clone(),
            checkpointable: entry.spec.checkpointable,
            checkpoint: entry.row.record.checkpoint.clone(),
            hold_until,
        };
        self.call_prepare(worker, request);
    }

    fn send_start(
        &mut self,
        job: JobId,
        worker: &WorkerName,
        send_before: ClockTime,
        start_before: ClockTime,
        now: ClockTime,
    ) {
        if !self.may_place(now) {
            return;
        }
        let Some(live) = self.jobs.get(&job).and_then(|entry| entry.live.as_ref()) else {
            return;
        };
        let attempt = live.placement.attempt;
        let Some(session) = self.workers.get_mut(worker) else {
            return;
        };
        session.schedule_early_heartbeat(now);
        let times = (
            session.worker_time(start_before),
            session.worker_time(now + GANG_LEASE_MS),
        );
        let (Some(start_before), Some(lease_until)) = times else {
            return;
        };
        let request = StartRequest {
            epoch: self.guard.epoch,
            job,
            attempt,
            start_before,
            lease_until,
        };
        self.call_start(worker, request, send_before);
    }

    fn commit_start(&mut self, job: JobId) {
        let Some(live) = self.jobs.get(&job).and_then(|entry| entry.live.as_ref()) else {
            return;
        };
        let write = JobWrite::Start(AttemptStart {
            attempt: live.placement.attempt,
            placement: placed_members(&live.placement),
            guaranteed: live.placement.guaranteed,
            centre: self.centre.clone(),
        });
        self.queue_write(job, write, WriteFollowUp::Start);
    }

    pub(crate) fn queue_write(&mut self, job: JobId, write: JobWrite, follow_up: WriteFollowUp) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.writes.push_back((write, follow_up));
        self.start_next_write(job);
    }

    /// Records the end of an attempt. If every member finished, its accelerators are freed before the write.
    fn finish_attempt(
        &mut self,
        job: JobId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        now: ClockTime,
    ) {
        log::info!(
            "[holder] attempt ended job={job} attempt={attempt} outcome={}",
            describe(&outcome)
        );
        let finished = AttemptEnd::Finished;
        match outcome {
            AttemptOutcome::Ran(results) => {
                self.core.handle(
                    PlacementEvent::AttemptEnded {
                        job,
                        attempt,
                        end: finished,
                    },
                    now,
                );
                self.queue_write(job, JobWrite::Ran(results), WriteFollowUp::Nothing);
            }
            AttemptOutcome::Requeue {
                end,
                committed,
                checkpointed,
                unstarted,
            } => {
                let reason = match (unstarted, checkpointed) {
                    (true, _) => RequeueReason::Unstarted,
                    (false, true) => RequeueReason::Checkpointed,
                    (false, false) => RequeueReason::Lost,
                };
                if let Some(entry) = self.jobs.get_mut(&job).filter(|_| unstarted) {
                    entry.last_unsent_attempt = entry.last_unsent_attempt.max(attempt);
                }
                if committed {
                    let checkpoint = checkpointed.then(|| Self::checkpoint_prefix(job, attempt));
                    self.queue_write(
                        job,
                        JobWrite::Requeue { reason, checkpoint },
                        WriteFollowUp::ReportEnd(end),
                    );
                } else {
                    self.report_attempt_end(job, attempt, end, now);
                }
            }
            AttemptOutcome::NotRun(reason) => {
                self.queue_write(job, JobWrite::NotRun(reason), WriteFollowUp::ReportEnd(finished));
            }
            AttemptOutcome::Unknown {
                reason,
                failed_workers,
            } => {
                let end = AttemptEnd::RunFailed {
                    failed_workers,
                    requeue: false,
                };
                self.queue_write(job, JobWrite::Unknown(reason), WriteFollowUp::ReportEnd(end));
            }
        }
    }

    /// Releases the attempt and reports to the placement core how it ended.
    fn report_attempt_end(&mut self, job: JobId, attempt: AttemptNumber, end: AttemptEnd, now: ClockTime) {
        self.release_attempt(job);
        self.core
            .handle(PlacementEvent::AttemptEnded { job, attempt, end }, now);
    }

    /// Drops the current attempt and tells its workers to release it.
    fn release_attempt(&mut self, job: JobId) {
        let Some(live) = self.jobs.get_mut(&job).and_then(|entry| entry.live.take()) else {
            return;
        };
        for part in live.machine.parts() {
            if let Some(jobs) = self.jobs_by_worker.get_mut(&part.worker) {
                jobs.remove(&job);
            }
            self.call_attempt(&part.worker, WorkerCall::Release, job, live.placement.attempt);
        }
    }

    pub(crate) fn handle_write_outcome(
        &mut self,
        job: JobId,
        follow_up: WriteFollowUp,
        outcome: WriteOutcome,
    ) {
        let now = self.now();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.writing = false;
        match outcome {
            WriteOutcome::Superseded => self.superseded = true,
            WriteOutcome::Committed { row, sent_at } => {
                entry.row = row;
                self.handle_commit(job, follow_up, sent_at, now);
            }
            WriteOutcome::Refused { row } => {
                if let Some(row) = row {
                    entry.row = row;
                }
                self.handle_refusal(job, follow_up, now);
            }
            // Only the write of a start can stay unresolved.
            WriteOutcome::Unresolved => self.notify_start(job, &GangEvent::StartUnresolved),
        }
        self.start_next_write(job);
        self.remove_ended(job);
    }

    fn handle_commit(&mut self, job: JobId, follow_up: WriteFollowUp, sent_at: ClockTime, now: ClockTime) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let ended = entry.row.record.state.is_final();
        let attempt = entry.live.as_ref().map(|live| live.placement.attempt);
        match follow_up {
            WriteFollowUp::Start if !ended => self.notify_start(job, &GangEvent::StartCommitted { sent_at }),
            WriteFollowUp::Start => self.notify_start(job, &GangEvent::StartRefused),
            WriteFollowUp::RemoveJob => {
                self.jobs.remove(&job);
            }
            WriteFollowUp::ReportEnd(end) => {
                // A job that was cancelled during the write is not queued again.
                let end = if ended && end == AttemptEnd::Requeued {
                    AttemptEnd::Finished
                } else {
                    end
                };
                if let Some(attempt) = attempt {
                    self.report_attempt_end(job, attempt, end, now);
                }
            }
            WriteFollowUp::Requeue if !ended => self.requeue_job(job, now),
            WriteFollowUp::Requeue => {}
            WriteFollowUp::Nothing if ended => self.release_attempt(job),
            WriteFollowUp::Nothing => {}
        }
    }

    fn handle_refusal(&mut self, job: JobId, follow_up: WriteFollowUp, now: ClockTime) {
        self.refresh_centre();
        match follow_up {
            WriteFollowUp::Start => {
                self.notify_start(job, &GangEvent::StartRefused);
                self.revert_unsent_start(job);
            }
            WriteFollowUp::ReportEnd(end) => {
                let live = self.jobs.get(&job).and_then(|entry| entry.live.as_ref());
                if let Some(attempt) = live.map(|live| live.placement.attempt) {
                    self.report_attempt_end(job, attempt, end, now);
                }
            }
            WriteFollowUp::RemoveJob => self.handle_refused_transfer(job, now),
            WriteFollowUp::Requeue | WriteFollowUp::Nothing => {}
        }
    }

    /// Handles a refused transfer to another data centre according to the current row of the job.
    fn handle_refused_transfer(&mut self, job: JobId, now: ClockTime) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let JobRecord {
            state,
            attempt,
            data_centre,
            ..
        } = &entry.row.record;
        if *data_centre != self.options.data_centre {
            self.jobs.remove(&job);
        } else if *state == JobState::Queued {
            self.requeue_job(job, now);
        } else if *state == JobState::Starting && *attempt <= entry.last_unsent_attempt {
            // An unresolved start transaction of an abandoned attempt took effect after all.
            let write = JobWrite::Requeue {
                reason: RequeueReason::Unstarted,
                checkpoint: None,
            };
            self.queue_write(job, write, WriteFollowUp::Requeue);
        }
    }

    /// Queues a job again in the placement core.
    fn requeue_job(&mut self, job: JobId, now: ClockTime) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let attempt = entry.row.record.attempt;
        let (spec, queued_at) = (entry.spec.clone(), entry.queued_at);
        self.core.handle(
            PlacementEvent::JobQueued {
                job,
                spec,
                attempt,
                queued_at,
            },
            now,
        );
    }

    /// Requeues a job whose row records the start of an attempt for which no start call was ever sent.
    ///
    /// This happens when the unresolved start transaction of that attempt takes effect later.
    fn revert_unsent_start(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let JobRecord { state, attempt, .. } = entry.row.record;
        if state == JobState::Starting && attempt <= entry.last_unsent_attempt {
            let write = JobWrite::Requeue {
                reason: RequeueReason::Unstarted,
                checkpoint: None,
            };
            self.queue_write(job, write, WriteFollowUp::Nothing);
        }
    }

    fn notify_start(&mut self, job: JobId, event: &GangEvent) {
        let live = self.jobs.get(&job).and_then(|entry| entry.live.as_ref());
        if let Some(attempt) = live.map(|live| live.placement.attempt) {
            self.notify_attempt(job, attempt, event);
        }
    }
}

fn attempt_rules(record: &JobRecord) -> AttemptRules {
    AttemptRules {
        idempotent: record.spec.idempotent,
        checkpointable: record.spec.checkpointable,
    }
}

fn describe(outcome: &AttemptOutcome) -> Arc<str> {
    match outcome {
        AttemptOutcome::Ran(results) => format!("ran with {} results", results.len()).into(),
        other => format!("{other:?}").into(),
    }
}
