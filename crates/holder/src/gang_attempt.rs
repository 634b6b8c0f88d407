use std::collections::BTreeMap;

use arbutuspick_clients::{MemberAllocation, MemberResult, WorkerRefusal};
use arbutuspick_model::{ClockTime, RefusalReason, UnknownReason, WorkerName};
use arbutuspick_sched::{AttemptEnd, GangPlacement, PreemptReason};
use statig::prelude::*;

use crate::gang_event::{AttemptOutcome, GangCommand, GangEvent};
use crate::gang_part::{GangPart, PartPhase};

/// Time within which every worker has to confirm its prepare call.
pub const PREPARE_TIMEOUT_MS: u64 = 2_000;
/// Time after which a worker releases the resources reserved by a prepare call if the attempt was not
/// started.
pub const RESERVATION_MS: u64 = 5_000;
/// Time after sending the start transaction within which the holder may send start calls.
pub const START_SEND_WINDOW_MS: u64 = 1_500;
/// Time after sending the start transaction within which workers may accept start calls.
pub const START_PERMIT_MS: u64 = 2_000;
/// Term of a gang lease. Longer than a takeover of the placement lease, so that gangs survive one.
pub const GANG_LEASE_MS: u64 = 15_000;
/// Time without a report of a part after which the attempt is stopped: three heartbeats at the longest
/// interval.
pub const PART_REPORT_TIMEOUT_MS: u64 = 9_000;

/// Time before the stop deadline at which members are stopped even if their checkpoints are not confirmed.
const STOP_MARGIN_MS: u64 = 300;
/// Time within which the workers of an adopted attempt have to report it.
const ADOPT_TIMEOUT_MS: u64 = 4_000;

/// Properties of a job that decide how its attempts may be stopped and repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRules {
    /// Whether the job may run again after an attempt that may have run.
    pub idempotent: bool,
    /// Whether the members can write checkpoints.
    pub checkpointable: bool,
}

/// Deadlines for starting a committed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StartWindow {
    /// Deadline for sending start calls.
    send_before: ClockTime,
    /// Deadline for workers to accept start calls, which is the end of the start permit.
    start_before: ClockTime,
    /// Deadline for the reports that every part has started.
    confirm_before: ClockTime,
}

/// Reason and deadline for stopping an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StopRequest {
    preempt_reason: Option<PreemptReason>,
    stop_before: ClockTime,
}

/// Time of the event being handled, and the commands that its handlers produce.
#[derive(Debug)]
pub(crate) struct GangContext {
    now: ClockTime,
    commands: Vec<GangCommand>,
}

/// Data of one attempt to run a gang; [`GangMachine`] wraps it with the state machine.
#[derive(Debug)]
pub(crate) struct GangAttempt {
    rules: AttemptRules,
    parts: Vec<GangPart>,
    failed_workers: Vec<WorkerName>,
    prepare_before: ClockTime,
    /// When the reservations of the prepare calls have expired on all workers.
    reserved_until: ClockTime,
    /// Present once the start transaction is known to be committed.
    window: Option<StartWindow>,
    /// End of the gang lease; no worker runs a member after that.
    lease_until: ClockTime,
    commit_unresolved: bool,
    stop: Option<StopRequest>,
}

impl GangAttempt {
    fn new(placement: &GangPlacement, rules: AttemptRules, now: ClockTime) -> Self {
        let mut members: BTreeMap<WorkerName, Vec<MemberAllocation>> = BTreeMap::new();
        for (index, member) in placement.members.iter().enumerate() {
            let allocation = MemberAllocation {
                index: index as u32,
                accelerators: member.accelerators,
            };
            members.entry(member.worker.clone()).or_default().push(allocation);
        }
        Self {
            rules,
            parts: members
                .into_iter()
                .map(|(worker, members)| GangPart::new(worker, members, now))
                .collect(),
            failed_workers: Vec::new(),
            prepare_before: now + PREPARE_TIMEOUT_MS,
            reserved_until: now + RESERVATION_MS,
            window: None,
            lease_until: now,
            commit_unresolved: false,
            stop: None,
        }
    }

    fn part_mut(&mut self, worker: &WorkerName) -> Option<&mut GangPart> {
        self.parts.iter_mut().find(|part| part.worker == *worker)
    }

    fn apply_report(&mut self, event: &GangEvent, now: ClockTime) {
        let committed = self.window.is_some();
        match event {
            GangEvent::PartReported { worker, status } => {
                if let Some(part) = self.part_mut(worker) {
                    part.apply_status(status, now);
                }
            }
            GangEvent::PartMissing { worker, requested_at } => {
                if let Some(part) = self.part_mut(worker) {
                    part.apply_missing(*requested_at, committed);
                }
            }
            _ => {}
        }
    }

    /// Adds a command for every part that the filter selects and whose next call is due.
    fn queue_due_calls<F, C>(&mut self, context: &mut GangContext, filter: F, command: C)
    where
        F: Fn(&GangPart) -> bool,
        C: Fn(WorkerName) -> GangCommand,
    {
        for part in self.parts.iter_mut().filter(|part| filter(part)) {
            if part.take_due_call(context.now) {
                context.commands.push(command(part.worker.clone()));
            }
        }
    }

    fn make_all_calls_due(&mut self) {
        for part in &mut self.parts {
            part.make_call_due();
        }
    }

    fn add_failed_worker(&mut self, worker: &WorkerName) {
        if !self.failed_workers.contains(worker) {
            self.failed_workers.push(worker.clone());
        }
    }

    fn request_stop(&mut self, preempt_reason: Option<PreemptReason>, stop_before: ClockTime) {
        match &mut self.stop {
            // A cancellation overrides any other reason, and the earlier deadline is kept.
            Some(request) => {
                request.stop_before = request.stop_before.min(stop_before);
                if preempt_reason == Some(PreemptReason::Cancelled) {
                    request.preempt_reason = preempt_reason;
                }
            }
            None => {
                self.stop = Some(StopRequest {
                    preempt_reason,
                    stop_before,
                });
            }
        }
    }

    fn is_cancelled(&self) -> bool {
        matches!(
            &self.stop,
            Some(StopRequest {
                preempt_reason: Some(PreemptReason::Cancelled),
                ..
            })
        )
    }

    /// Ends an attempt for which no start call was ever sent.
    fn finish_unstarted(&self, context: &mut GangContext) {
        let outcome = if self.is_cancelled() {
            AttemptOutcome::NotRun(RefusalReason::Cancelled)
        } else {
            let end = match self.failed_workers.is_empty() {
                true => AttemptEnd::Requeued,
                false => AttemptEnd::StartFailed {
                    failed_workers: self.failed_workers.clone(),
                },
            };
            let committed = self.window.is_some() || self.commit_unresolved;
            AttemptOutcome::Requeue {
                end,
                committed,
                checkpointed: false,
                unstarted: true,
            }
        };
        context.commands.push(GangCommand::Finish(outcome));
    }

    fn finish_ran(&self, context: &mut GangContext) {
        let mut results: Vec<MemberResult> = Vec::new();
        for part in &self.parts {
            if let PartPhase::Finished(part_results) = &part.phase {
                results.extend(part_results.iter().cloned());
            }
        }
        results.sort_by_key(|result| result.index);
        context
            .commands
            .push(GangCommand::Finish(AttemptOutcome::Ran(results)));
    }

    /// Ends an attempt that was stopped after start calls may have been sent.
    fn finish_stopped(&self, context: &mut GangContext) {
        let Self {
            rules,
            parts,
            failed_workers,
            stop,
            ..
        } = self;
        let unstarted = parts.iter().all(GangPart::is_confirmed_unstarted);
        let checkpointed = parts.iter().all(|part| part.checkpointed);
        let preempt_reason = stop.as_ref().and_then(|request| request.preempt_reason);
        let outcome = if self.is_cancelled() {
            match unstarted {
                true => AttemptOutcome::NotRun(RefusalReason::Cancelled),
                false => AttemptOutcome::Unknown {
                    reason: UnknownReason::CancelledRunning,
                    failed_workers: vec![],
                },
            }
        } else if unstarted || rules.idempotent || (preempt_reason.is_some() && checkpointed) {
            let end = match (preempt_reason, failed_workers.is_empty()) {
                (Some(_), _) | (None, true) => AttemptEnd::Requeued,
                (None, false) => AttemptEnd::RunFailed {
                    failed_workers: failed_workers.clone(),
                    requeue: true,
                },
            };
            AttemptOutcome::Requeue {
                end,
                committed: true,
                checkpointed,
                unstarted,
            }
        } else {
            let reason = match preempt_reason {
                Some(PreemptReason::CentreLeaving) => UnknownReason::CentreLeft,
                Some(_) => UnknownReason::Preempted,
                None => UnknownReason::WorkerLost,
            };
            AttemptOutcome::Unknown {
                reason,
                failed_workers: failed_workers.clone(),
            }
        };
        context.commands.push(GangCommand::Finish(outcome));
    }

    /// Marks parts without a reported end as lost once the gang lease has expired.
    fn mark_expired_parts(&mut self, now: ClockTime) {
        if now <= self.lease_until {
            return;
        }
        for part in self.parts.iter_mut().filter(|part| !part.is_terminal()) {
            part.phase = PartPhase::Lost;
        }
    }

    /// Returns whether a part ended without a result or stopped reporting, and records the failed workers.
    fn detect_lost_parts(&mut self, now: ClockTime) -> bool {
        let lost: Vec<(WorkerName, bool)> = self
            .parts
            .iter()
            .filter_map(|part| match part.phase {
                PartPhase::Ended { failed, .. } => Some((part.worker.clone(), failed)),
                PartPhase::Lost => Some((part.worker.clone(), true)),
                PartPhase::Finished(_) => None,
                _ if now.millis_since(part.last_report_at) > PART_REPORT_TIMEOUT_MS => {
                    Some((part.worker.clone(), true))
                }
                _ => None,
            })
            .collect();
        for (worker, failed) in &lost {
            if *failed {
                self.add_failed_worker(worker);
            }
        }
        !lost.is_empty()
    }
}

#[state_machine(initial = "State::preparing()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl GangAttempt {
    /// Asks every worker to reserve the resources of its members.
    #[state]
    fn preparing(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.apply_report(event, context.now);
        match event {
            GangEvent::Adopted => {
                let past = ClockTime(0);
                let confirm_before = context.now + ADOPT_TIMEOUT_MS;
                self.window = Some(StartWindow {
                    send_before: past,
                    start_before: past,
                    confirm_before,
                });
                self.lease_until = context.now + GANG_LEASE_MS;
                return Transition(State::starting());
            }
            GangEvent::PartRefused { worker, refusal } => {
                // A stale epoch is no fault of the worker.
                if *refusal != WorkerRefusal::StaleEpoch {
                    self.add_failed_worker(worker);
                }
                return Transition(State::voiding());
            }
            GangEvent::StopRequested { reason, stop_before } => {
                self.request_stop(Some(*reason), *stop_before);
                return Transition(State::voiding());
            }
            _ => {}
        }
        if self.parts.iter().all(|part| part.phase == PartPhase::Prepared) {
            context.commands.push(GangCommand::CommitStart);
            return Transition(State::committing());
        }
        if self.parts.iter().any(GangPart::is_terminal) {
            return Transition(State::voiding());
        }
        if context.now >= self.prepare_before {
            let unreported: Vec<WorkerName> = self
                .parts
                .iter()
                .filter(|part| part.phase == PartPhase::Unconfirmed)
                .map(|part| part.worker.clone())
                .collect();
            for worker in &unreported {
                self.add_failed_worker(worker);
            }
            return Transition(State::voiding());
        }
        self.queue_due_calls(
            context,
            |part| part.phase == PartPhase::Unconfirmed,
            GangCommand::Prepare,
        );
        Handled
    }

    /// Waits for the result of the start transaction.
    #[state]
    fn committing(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.apply_report(event, context.now);
        match event {
            GangEvent::StartCommitted { sent_at } => {
                let send_before = *sent_at + START_SEND_WINDOW_MS;
                let start_before = *sent_at + START_PERMIT_MS;
                self.window = Some(StartWindow {
                    send_before,
                    start_before,
                    confirm_before: start_before,
                });
                // The latest possible start call carries the latest lease end.
                self.lease_until = send_before + GANG_LEASE_MS;
                self.make_all_calls_due();
                Transition(State::starting())
            }
            GangEvent::StartRefused => Transition(State::voiding()),
            GangEvent::StartUnresolved => {
                self.commit_unresolved = true;
                Transition(State::voiding())
            }
            GangEvent::StopRequested { reason, stop_before } => {
                self.request_stop(Some(*reason), *stop_before);
                Handled
            }
            _ => Handled,
        }
    }

    /// Sends start calls until all workers have confirmed or the start permit expires.
    #[state]
    fn starting(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        if let GangEvent::LeaseExtended { lease_until } = event {
            self.lease_until = self.lease_until.max(*lease_until);
            return Handled;
        }
        self.apply_report(event, context.now);
        if let GangEvent::PartRefused { worker, refusal } = event {
            if *refusal == WorkerRefusal::UnknownAttempt {
                self.add_failed_worker(worker);
            }
            return Transition(State::stopping());
        }
        if let GangEvent::StopRequested { reason, stop_before } = event {
            self.request_stop(Some(*reason), *stop_before);
        }
        if self.parts.iter().all(GangPart::is_started) {
            context.commands.push(GangCommand::ReportRunning);
            return Transition(State::running());
        }
        if self.detect_lost_parts(context.now) || self.stop.is_some() {
            return Transition(State::stopping());
        }
        let Some(window) = self.window else {
            return Transition(State::stopping());
        };
        if context.now > window.confirm_before {
            return Transition(State::stopping());
        }
        if context.now < window.send_before {
            let StartWindow {
                send_before,
                start_before,
                ..
            } = window;
            self.queue_due_calls(
                context,
                |part| !part.is_started(),
                |worker| GangCommand::Start {
                    worker,
                    send_before,
                    start_before,
                },
            );
        }
        Handled
    }

    /// Every member is running; the holder renews the gang lease while none is lost.
    #[state]
    fn running(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        if let GangEvent::LeaseExtended { lease_until } = event {
            self.lease_until = self.lease_until.max(*lease_until);
            return Handled;
        }
        self.apply_report(event, context.now);
        if let GangEvent::StopRequested { reason, stop_before } = event {
            self.request_stop(Some(*reason), *stop_before);
        }
        if self
            .parts
            .iter()
            .all(|part| matches!(part.phase, PartPhase::Finished(_)))
        {
            self.finish_ran(context);
            return Transition(State::ended());
        }
        if self.detect_lost_parts(context.now) || self.stop.is_some() {
            return Transition(State::stopping());
        }
        Handled
    }

    /// No start call was sent: cancels every reservation, then ends.
    #[state(entry_action = "reset_call_times")]
    fn voiding(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.apply_report(event, context.now);
        if let GangEvent::StopRequested { reason, stop_before } = event {
            self.request_stop(Some(*reason), *stop_before);
        }
        if self.parts.iter().all(GangPart::is_terminal) || context.now >= self.reserved_until {
            self.finish_unstarted(context);
            return Transition(State::ended());
        }
        self.queue_due_calls(context, |part| !part.is_terminal(), GangCommand::Void);
        Handled
    }

    /// Start calls may have been sent: requests checkpoints if the stop allows it, then stops every member.
    #[state(entry_action = "reset_call_times")]
    fn stopping(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.apply_report(event, context.now);
        match event {
            GangEvent::StopRequested { reason, stop_before } => {
                self.request_stop(Some(*reason), *stop_before);
            }
            GangEvent::CheckpointConfirmed { worker } => {
                if let Some(part) = self.part_mut(worker) {
                    part.checkpointed = true;
                    part.make_call_due();
                }
            }
            _ => {}
        }
        self.mark_expired_parts(context.now);
        if self
            .parts
            .iter()
            .all(|part| matches!(part.phase, PartPhase::Finished(_)))
        {
            self.finish_ran(context);
            return Transition(State::ended());
        }
        if self.parts.iter().all(GangPart::is_terminal) {
            self.finish_stopped(context);
            return Transition(State::ended());
        }
        if self.awaits_checkpoints(context.now) {
            self.queue_due_calls(
                context,
                |part| !part.checkpointed && !part.is_terminal(),
                GangCommand::Checkpoint,
            );
        } else {
            // Void calls come first: they confirm which parts were not started. Started parts are stopped.
            self.queue_due_calls(
                context,
                |part| matches!(part.phase, PartPhase::Unconfirmed | PartPhase::Prepared),
                GangCommand::Void,
            );
            self.queue_due_calls(
                context,
                |part| part.phase == PartPhase::Running,
                GangCommand::Stop,
            );
        }
        Handled
    }

    /// The attempt has ended; late events are ignored.
    #[state]
    fn ended(&mut self, event: &GangEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    #[action]
    fn reset_call_times(&mut self) {
        self.make_all_calls_due();
    }
}

impl GangAttempt {
    fn awaits_checkpoints(&self, now: ClockTime) -> bool {
        let Some(StopRequest {
            preempt_reason: Some(reason),
            stop_before,
        }) = &self.stop
        else {
            return false;
        };
        self.rules.checkpointable
            && *reason != PreemptReason::Cancelled
            && now + STOP_MARGIN_MS < *stop_before
            && self.parts.iter().all(GangPart::is_started)
            && !self
                .parts
                .iter()
                .all(|part| part.checkpointed || part.is_terminal())
    }
}

/// The state machine of one attempt to run a gang: prepare, commit the start transaction, start, run, and end
/// all members.
///
/// It does no I/O: it takes events and the time and returns commands, which the placement holder executes.
pub struct GangMachine(StateMachine<GangAttempt>);

impl std::fmt::Debug for GangMachine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GangMachine")
            .field("state", self.0.state())
            .field("parts", &self.0.parts)
            .finish()
    }
}

impl GangMachine {
    /// Begins a new attempt.
    pub fn begin(placement: &GangPlacement, rules: AttemptRules, now: ClockTime) -> Self {
        Self(GangAttempt::new(placement, rules, now).state_machine())
    }

    /// Adopts an attempt whose start transaction was committed by an earlier holder.
    ///
    /// The start permit was given to the earlier holder, so members that it did not start are never started.
    pub fn adopt(placement: &GangPlacement, rules: AttemptRules, now: ClockTime) -> Self {
        let mut machine = Self::begin(placement, rules, now);
        machine.handle(&GangEvent::Adopted, now);
        machine
    }

    /// Extends the gang lease and returns its new end, if the attempt is starting or running.
    ///
    /// The lease is renewed for all members or for none: once one is lost, the attempt leaves these phases.
    pub fn extend_lease(&mut self, now: ClockTime) -> Option<ClockTime> {
        if !matches!(self.0.state(), State::Starting {} | State::Running {}) {
            return None;
        }
        let lease_until = now + GANG_LEASE_MS;
        self.handle(&GangEvent::LeaseExtended { lease_until }, now);
        Some(lease_until)
    }

    /// Returns whether the attempt is in the running phase.
    pub fn is_running(&self) -> bool {
        matches!(self.0.state(), State::Running {})
    }

    /// Returns whether the attempt has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.0.state(), State::Ended {})
    }

    /// Returns the name of the current phase.
    pub fn phase_name(&self) -> &'static str {
        match self.0.state() {
            State::Preparing {} => "preparing",
            State::Committing {} => "committing",
            State::Starting {} => "starting",
            State::Running {} => "running",
            State::Voiding {} => "voiding",
            State::Stopping {} => "stopping",
            State::Ended {} => "ended",
        }
    }

    /// Returns the parts of the gang, one for each worker.
    pub fn parts(&self) -> &[GangPart] {
        &self.0.parts
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, event: &GangEvent, now: ClockTime) -> Vec<GangCommand> {
        let mut context = GangContext {
            now,
            commands: Vec::new(),
        };
        self.0.handle_with_context(event, &mut context);
        context.commands
    }
}
