use std::collections::BTreeMap;

use arbutuspick_clients::{MemberPart, MemberResult, WorkerRefusal};
use arbutuspick_model::{ClockTime, DoubtReason, RefusalReason, WorkerName};
use arbutuspick_sched::{AttemptEnd, GangPlacement, PreemptReason};
use statig::prelude::*;

use crate::gang_event::{AttemptVerdict, GangCommand, GangEvent};
use crate::gang_part::{GangPart, PartPhase};

/// Time in which every worker has to answer prepare.
pub const PREPARE_LIMIT_MS: u64 = 2_000;
/// Time for which a worker holds a reservation without a start.
pub const HOLD_MS: u64 = 5_000;
/// Time after the start transaction was sent in which the holder may send a start.
pub const START_SEND_MS: u64 = 1_500;
/// Time after the start transaction was sent in which a worker may accept a start.
pub const START_PERMIT_MS: u64 = 2_000;
/// Term of a gang lease; longer than a takeover of the placement lease takes.
pub const GANG_LEASE_MS: u64 = 15_000;
/// Silence of a worker after which its gangs are stopped; three missed renewals.
pub const SILENCE_LIMIT_MS: u64 = 9_000;

/// Time before the stop deadline at which tasks are stopped even if their checkpoint is not confirmed.
const STOP_MARGIN_MS: u64 = 300;
/// Time in which the workers of an adopted attempt have to report it.
const ADOPT_LIMIT_MS: u64 = 4_000;

/// Rules of a job that decide what its attempts may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRules {
    /// Whether the job may run again after an attempt was lost.
    pub idempotent: bool,
    /// Whether its tasks can write checkpoints.
    pub checkpointable: bool,
}

/// Times that bound the start of a committed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StartWindow {
    send_before: ClockTime,
    start_before: ClockTime,
    confirm_before: ClockTime,
}

/// Why and until when an attempt is being stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StopOrder {
    planned: Option<PreemptReason>,
    stop_before: ClockTime,
}

/// What a handler sees and produces besides the attempt.
#[derive(Debug)]
pub(crate) struct GangContext {
    now: ClockTime,
    commands: Vec<GangCommand>,
}

/// One attempt to run a gang; the machine of its phases is [`GangMachine`].
#[derive(Debug)]
pub(crate) struct GangAttempt {
    rules: AttemptRules,
    parts: Vec<GangPart>,
    failed_workers: Vec<WorkerName>,
    prepare_before: ClockTime,
    hold_until: ClockTime,
    window: Option<StartWindow>,
    /// Time after which no worker can still run a member.
    lease_until: ClockTime,
    commit_in_doubt: bool,
    stop: Option<StopOrder>,
}

impl GangAttempt {
    fn new(placement: &GangPlacement, rules: AttemptRules, now: ClockTime) -> Self {
        let mut members: BTreeMap<WorkerName, Vec<MemberPart>> = BTreeMap::new();
        for (index, member) in placement.members.iter().enumerate() {
            let part = MemberPart {
                index: index as u32,
                accelerators: member.accelerators,
            };
            members.entry(member.worker.clone()).or_default().push(part);
        }
        Self {
            rules,
            parts: members
                .into_iter()
                .map(|(worker, parts)| GangPart::new(worker, parts, now))
                .collect(),
            failed_workers: Vec::new(),
            prepare_before: now + PREPARE_LIMIT_MS,
            hold_until: now + HOLD_MS,
            window: None,
            lease_until: now,
            commit_in_doubt: false,
            stop: None,
        }
    }

    fn part_mut(&mut self, worker: &WorkerName) -> Option<&mut GangPart> {
        self.parts.iter_mut().find(|part| part.worker == *worker)
    }

    fn record_report(&mut self, event: &GangEvent, now: ClockTime) {
        let committed = self.window.is_some();
        match event {
            GangEvent::PartReported { worker, status } => {
                if let Some(part) = self.part_mut(worker) {
                    part.record_status(status, now);
                }
            }
            GangEvent::PartMissing { worker, asked_at } => {
                if let Some(part) = self.part_mut(worker) {
                    part.record_missing(*asked_at, committed);
                }
            }
            _ => {}
        }
    }

    /// Queues a call for every part that the filter selects and whose call is due.
    fn send_due<F, C>(&mut self, context: &mut GangContext, filter: F, command: C)
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

    fn call_all_now(&mut self) {
        for part in &mut self.parts {
            part.call_now();
        }
    }

    fn blame(&mut self, worker: &WorkerName) {
        if !self.failed_workers.contains(worker) {
            self.failed_workers.push(worker.clone());
        }
    }

    fn order_stop(&mut self, planned: Option<PreemptReason>, stop_before: ClockTime) {
        match &mut self.stop {
            // A cancellation replaces any other reason; the earlier deadline stays.
            Some(order) => {
                order.stop_before = order.stop_before.min(stop_before);
                if planned == Some(PreemptReason::Cancelled) {
                    order.planned = planned;
                }
            }
            None => self.stop = Some(StopOrder { planned, stop_before }),
        }
    }

    fn cancelled(&self) -> bool {
        matches!(
            &self.stop,
            Some(StopOrder {
                planned: Some(PreemptReason::Cancelled),
                ..
            })
        )
    }

    /// Ends an attempt of which no start was ever sent.
    fn conclude_unstarted(&self, context: &mut GangContext) {
        let verdict = if self.cancelled() {
            AttemptVerdict::NotRun(RefusalReason::Cancelled)
        } else {
            let end = match self.failed_workers.is_empty() {
                true => AttemptEnd::Requeued,
                false => AttemptEnd::StartFailed {
                    failed_workers: self.failed_workers.clone(),
                },
            };
            let committed = self.window.is_some() || self.commit_in_doubt;
            AttemptVerdict::Requeue {
                end,
                committed,
                checkpointed: false,
                unstarted: true,
            }
        };
        context.commands.push(GangCommand::Conclude(verdict));
    }

    fn conclude_ran(&self, context: &mut GangContext) {
        let mut results: Vec<MemberResult> = Vec::new();
        for part in &self.parts {
            if let PartPhase::Finished(part_results) = &part.phase {
                results.extend(part_results.iter().cloned());
            }
        }
        results.sort_by_key(|result| result.index);
        context
            .commands
            .push(GangCommand::Conclude(AttemptVerdict::Ran(results)));
    }

    /// Ends an attempt that was stopped after starts may have been sent.
    fn conclude_stopped(&self, context: &mut GangContext) {
        let Self {
            rules,
            parts,
            failed_workers,
            stop,
            ..
        } = self;
        let unstarted = parts.iter().all(GangPart::is_proven_unstarted);
        let checkpointed = parts.iter().all(|part| part.checkpointed);
        let planned = stop.as_ref().and_then(|order| order.planned);
        let verdict = if self.cancelled() {
            match unstarted {
                true => AttemptVerdict::NotRun(RefusalReason::Cancelled),
                false => AttemptVerdict::Unknown {
                    reason: DoubtReason::CancelledRunning,
                    failed_workers: vec![],
                },
            }
        } else if unstarted || rules.idempotent || (planned.is_some() && checkpointed) {
            let end = match (planned, failed_workers.is_empty()) {
                (Some(_), _) | (None, true) => AttemptEnd::Requeued,
                (None, false) => AttemptEnd::RunFailed {
                    failed_workers: failed_workers.clone(),
                    requeue: true,
                },
            };
            AttemptVerdict::Requeue {
                end,
                committed: true,
                checkpointed,
                unstarted,
            }
        } else {
            let reason = match planned {
                Some(PreemptReason::CentreLeaving) => DoubtReason::CentreLeft,
                Some(_) => DoubtReason::Preempted,
                None => DoubtReason::WorkerLost,
            };
            AttemptVerdict::Unknown {
                reason,
                failed_workers: failed_workers.clone(),
            }
        };
        context.commands.push(GangCommand::Conclude(verdict));
    }

    /// Marks silent parts as lost once no worker can still run a member.
    fn expire_silent(&mut self, now: ClockTime) {
        if now <= self.lease_until {
            return;
        }
        for part in self.parts.iter_mut().filter(|part| !part.is_settled()) {
            part.phase = PartPhase::Lost;
        }
    }

    /// Returns whether a part ended without a result or fell silent, and counts it against its worker.
    fn detect_loss(&mut self, now: ClockTime) -> bool {
        let lost: Vec<(WorkerName, bool)> = self
            .parts
            .iter()
            .filter_map(|part| match part.phase {
                PartPhase::Ended { failed, .. } => Some((part.worker.clone(), failed)),
                PartPhase::Lost => Some((part.worker.clone(), true)),
                PartPhase::Finished(_) => None,
                _ if now.millis_since(part.heard_at) > SILENCE_LIMIT_MS => Some((part.worker.clone(), true)),
                _ => None,
            })
            .collect();
        for (worker, failed) in &lost {
            if *failed {
                self.blame(worker);
            }
        }
        !lost.is_empty()
    }
}

#[state_machine(initial = "State::preparing()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl GangAttempt {
    /// Asks every worker to hold what its members need.
    #[state]
    fn preparing(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.record_report(event, context.now);
        match event {
            GangEvent::Adopted => {
                let past = ClockTime(0);
                let confirm_before = context.now + ADOPT_LIMIT_MS;
                self.window = Some(StartWindow {
                    send_before: past,
                    start_before: past,
                    confirm_before,
                });
                self.lease_until = context.now + GANG_LEASE_MS;
                return Transition(State::starting());
            }
            GangEvent::PartRefused { worker, refusal } => {
                // A stale epoch says nothing about the worker.
                if *refusal != WorkerRefusal::StaleEpoch {
                    self.blame(worker);
                }
                return Transition(State::voiding());
            }
            GangEvent::StopOrdered { reason, stop_before } => {
                self.order_stop(Some(*reason), *stop_before);
                return Transition(State::voiding());
            }
            _ => {}
        }
        if self.parts.iter().all(|part| part.phase == PartPhase::Prepared) {
            context.commands.push(GangCommand::CommitStart);
            return Transition(State::committing());
        }
        if self.parts.iter().any(GangPart::is_settled) {
            return Transition(State::voiding());
        }
        if context.now >= self.prepare_before {
            let silent: Vec<WorkerName> = self
                .parts
                .iter()
                .filter(|part| part.phase == PartPhase::Unconfirmed)
                .map(|part| part.worker.clone())
                .collect();
            for worker in &silent {
                self.blame(worker);
            }
            return Transition(State::voiding());
        }
        self.send_due(
            context,
            |part| part.phase == PartPhase::Unconfirmed,
            GangCommand::Prepare,
        );
        Handled
    }

    /// Waits for the start transaction.
    #[state]
    fn committing(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.record_report(event, context.now);
        match event {
            GangEvent::StartCommitted { sent_at } => {
                let send_before = *sent_at + START_SEND_MS;
                let start_before = *sent_at + START_PERMIT_MS;
                self.window = Some(StartWindow {
                    send_before,
                    start_before,
                    confirm_before: start_before,
                });
                // A start that is sent last carries a lease that ends last.
                self.lease_until = send_before + GANG_LEASE_MS;
                self.call_all_now();
                Transition(State::starting())
            }
            GangEvent::StartRefused => Transition(State::voiding()),
            GangEvent::StartUnresolved => {
                self.commit_in_doubt = true;
                Transition(State::voiding())
            }
            GangEvent::StopOrdered { reason, stop_before } => {
                self.order_stop(Some(*reason), *stop_before);
                Handled
            }
            _ => Handled,
        }
    }

    /// Sends start to every worker until all have confirmed or the permit ends.
    #[state]
    fn starting(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        if let GangEvent::LeaseExtended { lease_until } = event {
            self.lease_until = self.lease_until.max(*lease_until);
            return Handled;
        }
        self.record_report(event, context.now);
        if let GangEvent::PartRefused { worker, refusal } = event {
            if *refusal == WorkerRefusal::UnknownAttempt {
                self.blame(worker);
            }
            return Transition(State::stopping());
        }
        if let GangEvent::StopOrdered { reason, stop_before } = event {
            self.order_stop(Some(*reason), *stop_before);
        }
        if self.parts.iter().all(GangPart::is_started) {
            context.commands.push(GangCommand::ReportRunning);
            return Transition(State::running());
        }
        if self.detect_loss(context.now) || self.stop.is_some() {
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
            self.send_due(
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

    /// Every member runs; the holder renews the lease while none is lost.
    #[state]
    fn running(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        if let GangEvent::LeaseExtended { lease_until } = event {
            self.lease_until = self.lease_until.max(*lease_until);
            return Handled;
        }
        self.record_report(event, context.now);
        if let GangEvent::StopOrdered { reason, stop_before } = event {
            self.order_stop(Some(*reason), *stop_before);
        }
        if self
            .parts
            .iter()
            .all(|part| matches!(part.phase, PartPhase::Finished(_)))
        {
            self.conclude_ran(context);
            return Transition(State::ended());
        }
        if self.detect_loss(context.now) || self.stop.is_some() {
            return Transition(State::stopping());
        }
        Handled
    }

    /// No start was sent: frees every reservation and ends.
    #[state(entry_action = "prompt_calls")]
    fn voiding(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.record_report(event, context.now);
        if let GangEvent::StopOrdered { reason, stop_before } = event {
            self.order_stop(Some(*reason), *stop_before);
        }
        if self.parts.iter().all(GangPart::is_settled) || context.now >= self.hold_until {
            self.conclude_unstarted(context);
            return Transition(State::ended());
        }
        self.send_due(context, |part| !part.is_settled(), GangCommand::Void);
        Handled
    }

    /// Starts may have been sent: checkpoints if that was planned, then stops every member.
    #[state(entry_action = "prompt_calls")]
    fn stopping(&mut self, context: &mut GangContext, event: &GangEvent) -> Outcome<State> {
        self.record_report(event, context.now);
        match event {
            GangEvent::StopOrdered { reason, stop_before } => self.order_stop(Some(*reason), *stop_before),
            GangEvent::CheckpointConfirmed { worker } => {
                if let Some(part) = self.part_mut(worker) {
                    part.checkpointed = true;
                    part.call_now();
                }
            }
            _ => {}
        }
        self.expire_silent(context.now);
        if self
            .parts
            .iter()
            .all(|part| matches!(part.phase, PartPhase::Finished(_)))
        {
            self.conclude_ran(context);
            return Transition(State::ended());
        }
        if self.parts.iter().all(GangPart::is_settled) {
            self.conclude_stopped(context);
            return Transition(State::ended());
        }
        if self.wants_checkpoints(context.now) {
            self.send_due(
                context,
                |part| !part.checkpointed && !part.is_settled(),
                GangCommand::Checkpoint,
            );
        } else {
            // Void first: it proves that a part was not started. A started part is then stopped.
            self.send_due(
                context,
                |part| matches!(part.phase, PartPhase::Unconfirmed | PartPhase::Prepared),
                GangCommand::Void,
            );
            self.send_due(
                context,
                |part| part.phase == PartPhase::Running,
                GangCommand::Stop,
            );
        }
        Handled
    }

    /// The attempt is over; late reports change nothing.
    #[state]
    fn ended(&mut self, event: &GangEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    #[action]
    fn prompt_calls(&mut self) {
        self.call_all_now();
    }
}

impl GangAttempt {
    fn wants_checkpoints(&self, now: ClockTime) -> bool {
        let Some(StopOrder {
            planned: Some(reason),
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
                .all(|part| part.checkpointed || part.is_settled())
    }
}

/// The state machine of one attempt to run a gang: prepare, start transaction, start, run, and a whole end.
///
/// It decides from reports and the time what has to be sent next; the holder does the sending.
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

    /// Takes over an attempt whose start transaction an earlier holder committed.
    ///
    /// The start permit belonged to the earlier holder, so members that it did not start are never started.
    pub fn adopt(placement: &GangPlacement, rules: AttemptRules, now: ClockTime) -> Self {
        let mut machine = Self::begin(placement, rules, now);
        machine.handle(&GangEvent::Adopted, now);
        machine
    }

    /// Extends the lease of the attempt and returns its new end, unless the attempt is not renewed any more.
    ///
    /// All members are renewed or none: once one is lost the attempt leaves the renewed phases.
    pub fn extend_lease(&mut self, now: ClockTime) -> Option<ClockTime> {
        if !matches!(self.0.state(), State::Starting {} | State::Running {}) {
            return None;
        }
        let lease_until = now + GANG_LEASE_MS;
        self.handle(&GangEvent::LeaseExtended { lease_until }, now);
        Some(lease_until)
    }

    /// Returns whether every member runs.
    pub fn is_running(&self) -> bool {
        matches!(self.0.state(), State::Running {})
    }

    /// Returns whether the attempt is over.
    pub fn is_ended(&self) -> bool {
        matches!(self.0.state(), State::Ended {})
    }

    /// Returns the name of the present phase.
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

    /// Returns the parts of the gang, one a worker.
    pub fn parts(&self) -> &[GangPart] {
        &self.0.parts
    }

    /// Handles an event and returns what has to be done.
    pub fn handle(&mut self, event: &GangEvent, now: ClockTime) -> Vec<GangCommand> {
        let mut context = GangContext {
            now,
            commands: Vec::new(),
        };
        self.0.handle_with_context(event, &mut context);
        context.commands
    }
}
