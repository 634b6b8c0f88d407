use std::sync::Arc;

use arbutuspick_clients::{MemberPart, PrepareRequest, StartRequest};
use arbutuspick_model::{AttemptNumber, ClockTime, JobId, WorkerName};
use arbutuspick_records::{JobNotice, JobRecord, JobState, RequeueReason, Versioned};
use arbutuspick_sched::{AttemptEnd, GangPlacement, PlacementAction, PlacementEvent};

use crate::gang_attempt::{GANG_LEASE_MS, HOLD_MS};
use crate::holder_event::{TakenNotice, WorkerCall};
use crate::job_entry::{AfterWrite, JobEntry, LiveAttempt, placed_members};
use crate::job_reader::NoticedJob;
use crate::job_write::{AttemptStart, JobWrite, WriteEnd};
use crate::placement_holder::PlacementHolder;
use crate::{AttemptRules, AttemptVerdict, GangCommand, GangEvent, GangMachine};

/// Most notices that are taken up in one transaction.
const TAKE_UP_BATCH: usize = 32;
/// Age of a running attempt at which its row says so; shorter attempts save the write.
const CONFIRM_AFTER_MS: u64 = 2_000;
/// Time between ticks of an attempt that runs.
const RUNNING_TICK_MS: u64 = 1_000;

/// Jobs and attempts: taking up, decisions, commands and writes.
impl PlacementHolder {
    /// Adds a job whose row was read, in whatever state it is.
    pub(crate) fn add_job(&mut self, row: Versioned<JobRecord>) {
        let now = self.now();
        let JobRecord {
            job, state, attempt, ..
        } = row.record;
        if row.record.data_centre != self.options.data_centre || self.jobs.contains_key(&job) {
            return;
        }
        let entry = JobEntry::new(row, self.queued_since(&now, &job));
        match state {
            JobState::Queued => self.queue_job(entry, attempt, now),
            JobState::Starting | JobState::Running => self.adopt_job(entry, now),
            JobState::Ran | JobState::NotRun | JobState::Unknown => {}
        }
    }

    /// Returns when a job was submitted, on the clock of this process; its id begins with that time.
    fn queued_since(&self, now: &ClockTime, job: &JobId) -> ClockTime {
        let submitted = job.0.get_timestamp().map_or(0, |stamp| {
            let (seconds, nanos) = stamp.to_unix();
            seconds * 1_000 + u64::from(nanos / 1_000_000)
        });
        let age = self
            .links
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
        let machine = GangMachine::adopt(&placement, rules(&entry.row.record), now);
        entry.live = Some(LiveAttempt::new(placement.clone(), machine, now));
        let (spec, queued_at) = (entry.spec.clone(), entry.queued_at);
        self.settle_residents(&placement);
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

    fn settle_residents(&mut self, placement: &GangPlacement) {
        for member in &placement.members {
            self.residents
                .entry(member.worker.clone())
                .or_default()
                .insert(placement.job);
        }
    }

    /// Takes up the notices of the inbox, several in a transaction.
    pub(crate) fn take_up(&mut self, notices: Vec<NoticedJob>) {
        let mut fresh = Vec::with_capacity(notices.len());
        for noticed in notices {
            if self.taking_up.insert(noticed.row.record.job) {
                fresh.push(noticed);
            }
        }
        for batch in fresh.chunks(TAKE_UP_BATCH) {
            self.request_take_up(batch.to_vec());
        }
    }

    pub(crate) fn handle_taken_up(&mut self, taken: TakenNotice) {
        let TakenNotice { noticed, done } = taken;
        let NoticedJob { notice, row } = noticed;
        let notice = notice.record.notice;
        let now = self.now();
        let job = row.record.job;
        self.taking_up.remove(&job);
        if !done {
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
            self.drop_ended(job);
        }
    }

    /// Removes a job whose row is final and that has neither an attempt nor a write.
    fn drop_ended(&mut self, job: JobId) {
        let ended = self
            .jobs
            .get(&job)
            .is_some_and(|entry| entry.row.record.state.is_final() && entry.live.is_none() && !entry.writing);
        if ended {
            self.jobs.remove(&job);
            (self.links.job_ended)(job);
        }
    }

    /// Lets the placement core decide while the lease is valid, and carries its actions out.
    pub(crate) fn decide(&mut self) {
        let now = self.now();
        if !self.may_place(now) || self.core.next_wakeup(now).is_none_or(|at| at > now) {
            return;
        }
        for action in self.core.decide(now) {
            self.carry_out(action, now);
        }
    }

    fn carry_out(&mut self, action: PlacementAction, now: ClockTime) {
        match action {
            PlacementAction::Place(placement) => self.begin_attempt(placement, now),
            PlacementAction::Preempt {
                job,
                attempt,
                stop_before,
                reason,
            } => {
                self.feed(job, attempt, &GangEvent::StopOrdered { reason, stop_before });
            }
            PlacementAction::Refuse { job, reason } => {
                log::info!("[holder] Job {job} refused: {reason:?}.");
                self.write(job, JobWrite::NotRun(reason), AfterWrite::Nothing);
            }
            PlacementAction::Transfer { job } => self.release_job(job, now),
            PlacementAction::Probe { worker } => self.call_renew(&worker, WorkerCall::Probe, Vec::new()),
        }
    }

    fn begin_attempt(&mut self, placement: GangPlacement, now: ClockTime) {
        let job = placement.job;
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let mut machine = GangMachine::begin(&placement, rules(&entry.row.record), now);
        let commands = machine.handle(&GangEvent::Ticked, now);
        entry.live = Some(LiveAttempt::new(placement.clone(), machine, now));
        self.settle_residents(&placement);
        self.execute(job, commands, now);
    }

    /// Gives a queued job to another data centre, or queues it again when there is none.
    fn release_job(&mut self, job: JobId, now: ClockTime) {
        let Some(entry) = self.jobs.get(&job) else { return };
        match (self.links.choose_centre)(&entry.spec) {
            Some(target) if target != self.options.data_centre => {
                log::info!("[holder] Job {job} moves to {target}.");
                self.write(job, JobWrite::Move(target), AfterWrite::Leave);
            }
            _ => self.rejoin(job, now),
        }
    }

    /// Lets time pass for every attempt that waits for something.
    pub(crate) fn tick_attempts(&mut self, now: ClockTime) {
        let mut due = Vec::new();
        let mut confirmed = Vec::new();
        for (job, entry) in &mut self.jobs {
            let Some(live) = entry.live.as_mut().filter(|live| now >= live.tick_at) else {
                continue;
            };
            if live.machine.is_running() {
                live.tick_at = now + RUNNING_TICK_MS;
            }
            if live.confirm_at.take_if(|at| now >= *at).is_some() {
                confirmed.push(*job);
            }
            due.push((*job, live.placement.attempt));
        }
        for (job, attempt) in due {
            self.feed_at(job, attempt, &GangEvent::Ticked, now);
        }
        for job in confirmed {
            self.write(job, JobWrite::Confirm, AfterWrite::Nothing);
        }
    }

    /// Gives an event to an attempt, if it is the job's live one.
    pub(crate) fn feed(&mut self, job: JobId, attempt: AttemptNumber, event: &GangEvent) {
        let now = self.now();
        self.feed_at(job, attempt, event, now);
    }

    fn feed_at(&mut self, job: JobId, attempt: AttemptNumber, event: &GangEvent, now: ClockTime) {
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
                GangCommand::Conclude(verdict) => self.conclude(job, attempt, verdict, now),
            }
        }
    }

    fn send_prepare(&mut self, job: JobId, worker: &WorkerName, now: ClockTime) {
        if !self.may_place(now) {
            return;
        }
        let Some(entry) = self.jobs.get(&job) else { return };
        let Some(live) = &entry.live else { return };
        let hold_until = live.began_at + HOLD_MS;
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
            members: part.map_or(Vec::<MemberPart>::new(), |part| part.members.clone()),
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
        session.heartbeat_soon(now);
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
        self.write(job, write, AfterWrite::Start);
    }

    pub(crate) fn write(&mut self, job: JobId, write: JobWrite, after: AfterWrite) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.writes.push_back((write, after));
        self.start_next_write(job);
    }

    /// Records the end of an attempt; its accelerators are free as soon as every member has ended.
    fn conclude(&mut self, job: JobId, attempt: AttemptNumber, verdict: AttemptVerdict, now: ClockTime) {
        log::info!(
            "[holder] Attempt {attempt} of job {job} ended: {}.",
            describe(&verdict)
        );
        let finished = AttemptEnd::Finished;
        match verdict {
            AttemptVerdict::Ran(results) => {
                self.core.handle(
                    PlacementEvent::AttemptEnded {
                        job,
                        attempt,
                        end: finished,
                    },
                    now,
                );
                self.write(job, JobWrite::Ran(results), AfterWrite::Nothing);
            }
            AttemptVerdict::Requeue {
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
                    entry.unsent_attempt = entry.unsent_attempt.max(attempt);
                }
                if committed {
                    let checkpoint = checkpointed.then(|| Self::object_prefix(job, attempt));
                    self.write(
                        job,
                        JobWrite::Requeue { reason, checkpoint },
                        AfterWrite::Report(end),
                    );
                } else {
                    self.end_attempt(job, attempt, end, now);
                }
            }
            AttemptVerdict::NotRun(reason) => {
                self.write(job, JobWrite::NotRun(reason), AfterWrite::Report(finished));
            }
            AttemptVerdict::Unknown {
                reason,
                failed_workers,
            } => {
                let end = AttemptEnd::RunFailed {
                    failed_workers,
                    requeue: false,
                };
                self.write(job, JobWrite::Unknown(reason), AfterWrite::Report(end));
            }
        }
    }

    /// Frees what the attempt held and tells the placement core how it ended.
    fn end_attempt(&mut self, job: JobId, attempt: AttemptNumber, end: AttemptEnd, now: ClockTime) {
        self.release_live(job);
        self.core
            .handle(PlacementEvent::AttemptEnded { job, attempt, end }, now);
    }

    /// Lets the workers forget the live attempt.
    fn release_live(&mut self, job: JobId) {
        let Some(live) = self.jobs.get_mut(&job).and_then(|entry| entry.live.take()) else {
            return;
        };
        for part in live.machine.parts() {
            if let Some(residents) = self.residents.get_mut(&part.worker) {
                residents.remove(&job);
            }
            self.call_attempt(&part.worker, WorkerCall::Release, job, live.placement.attempt);
        }
    }

    pub(crate) fn handle_written(&mut self, job: JobId, after: AfterWrite, end: WriteEnd) {
        let now = self.now();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.writing = false;
        match end {
            WriteEnd::Superseded => self.superseded = true,
            WriteEnd::Committed { row, sent_at } => {
                entry.row = row;
                self.after_commit(job, after, sent_at, now);
            }
            WriteEnd::Refused { row } => {
                if let Some(row) = row {
                    entry.row = row;
                }
                self.after_refusal(job, after, now);
            }
            WriteEnd::Unresolved => self.feed_start(job, &GangEvent::StartUnresolved),
        }
        self.start_next_write(job);
        self.drop_ended(job);
    }

    fn after_commit(&mut self, job: JobId, after: AfterWrite, sent_at: ClockTime, now: ClockTime) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let ended = entry.row.record.state.is_final();
        let attempt = entry.live.as_ref().map(|live| live.placement.attempt);
        match after {
            AfterWrite::Start if !ended => self.feed_start(job, &GangEvent::StartCommitted { sent_at }),
            AfterWrite::Start => self.feed_start(job, &GangEvent::StartRefused),
            AfterWrite::Leave => {
                self.jobs.remove(&job);
            }
            AfterWrite::Report(end) => {
                // A job that was cancelled meanwhile is not queued again.
                let end = if ended && end == AttemptEnd::Requeued {
                    AttemptEnd::Finished
                } else {
                    end
                };
                if let Some(attempt) = attempt {
                    self.end_attempt(job, attempt, end, now);
                }
            }
            AfterWrite::Rejoin if !ended => self.rejoin(job, now),
            AfterWrite::Rejoin => {}
            AfterWrite::Nothing if ended => self.release_live(job),
            AfterWrite::Nothing => {}
        }
    }

    fn after_refusal(&mut self, job: JobId, after: AfterWrite, now: ClockTime) {
        self.refresh_centre();
        match after {
            AfterWrite::Start => {
                self.feed_start(job, &GangEvent::StartRefused);
                self.undo_committed_start(job);
            }
            AfterWrite::Report(end) => {
                let live = self.jobs.get(&job).and_then(|entry| entry.live.as_ref());
                if let Some(attempt) = live.map(|live| live.placement.attempt) {
                    self.end_attempt(job, attempt, end, now);
                }
            }
            AfterWrite::Leave => self.keep_released(job, now),
            AfterWrite::Rejoin | AfterWrite::Nothing => {}
        }
    }

    /// Takes a released job back whose move was refused.
    fn keep_released(&mut self, job: JobId, now: ClockTime) {
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
            self.rejoin(job, now);
        } else if *state == JobState::Starting && *attempt <= entry.unsent_attempt {
            // The start transaction of an attempt that was given up took effect late.
            let write = JobWrite::Requeue {
                reason: RequeueReason::Unstarted,
                checkpoint: None,
            };
            self.write(job, write, AfterWrite::Rejoin);
        }
    }

    /// Queues a job in the placement core again.
    fn rejoin(&mut self, job: JobId, now: ClockTime) {
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

    /// Queues a job again whose row says that an attempt started of which no start was ever sent.
    ///
    /// The start transaction of that attempt was unresolved and took effect later.
    fn undo_committed_start(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let JobRecord { state, attempt, .. } = entry.row.record;
        if state == JobState::Starting && attempt <= entry.unsent_attempt {
            let write = JobWrite::Requeue {
                reason: RequeueReason::Unstarted,
                checkpoint: None,
            };
            self.write(job, write, AfterWrite::Nothing);
        }
    }

    fn feed_start(&mut self, job: JobId, event: &GangEvent) {
        let live = self.jobs.get(&job).and_then(|entry| entry.live.as_ref());
        if let Some(attempt) = live.map(|live| live.placement.attempt) {
            self.feed(job, attempt, event);
        }
    }
}

fn rules(record: &JobRecord) -> AttemptRules {
    AttemptRules {
        idempotent: record.spec.idempotent,
        checkpointable: record.spec.checkpointable,
    }
}

fn describe(verdict: &AttemptVerdict) -> Arc<str> {
    match verdict {
        AttemptVerdict::Ran(results) => format!("ran with {} results", results.len()).into(),
        other => format!("{other:?}").into(),
    }
}
