use std::sync::Arc;

use arbutuspick_model::{ClockTime, RefusalReason, UnknownReason, UpstreamName};
use statig::prelude::*;

use crate::request_plan::{PlanEvent, RequestAttempt};
use crate::{AttemptResult, RequestKind, RetryBudget};

/// Event with the time at which it happened.
pub(crate) struct PlanInput {
    pub(crate) event: PlanEvent,
    pub(crate) now: ClockTime,
}

/// State machine of one request.
#[derive(Debug)]
pub(crate) struct PlanMachine {
    pub(crate) kind: RequestKind,
    pub(crate) deadline: ClockTime,
    pub(crate) budget: Arc<RetryBudget>,
    pub(crate) attempts: Vec<RequestAttempt>,
    /// Attempt whose whole answer reports a fault; given to the caller when no later attempt succeeds.
    pub(crate) fault_answer: Option<usize>,
    /// Why an earlier attempt may have run without an answer.
    pub(crate) doubt: Option<UnknownReason>,
}

#[state_machine(
    initial = "State::queued()",
    visibility = "pub(crate)",
    state(derive(Clone, Copy, Debug, PartialEq, Eq))
)]
impl PlanMachine {
    #[state(superstate = "waiting")]
    fn queued() -> Outcome<State> {
        Super
    }

    #[state(superstate = "waiting")]
    fn retried() -> Outcome<State> {
        Super
    }

    #[superstate]
    fn waiting(&mut self, event: &PlanInput) -> Outcome<State> {
        match &event.event {
            PlanEvent::Assigned { upstream } if event.now < self.deadline => {
                self.start_attempt(upstream.clone());
                Transition(State::sending())
            }
            PlanEvent::Assigned { .. } | PlanEvent::DeadlinePassed => {
                Transition(self.conclude(RefusalReason::DeadlinePassed))
            }
            PlanEvent::Declined { reason } => Transition(self.conclude(*reason)),
            PlanEvent::Sent | PlanEvent::Ended { .. } => Handled,
        }
    }

    #[state]
    fn sending(&mut self, event: &PlanInput) -> Outcome<State> {
        match &event.event {
            PlanEvent::Sent => Transition(State::sent()),
            // A connection that is lost before the first byte is the same as one that never opened.
            PlanEvent::Ended {
                result: AttemptResult::Lost | AttemptResult::NotSent,
            } => Transition(self.end_attempt(AttemptResult::NotSent, event.now)),
            PlanEvent::Ended {
                result: AttemptResult::Expired,
            }
            | PlanEvent::DeadlinePassed => {
                self.record_result(AttemptResult::NotSent);
                Transition(self.conclude(RefusalReason::DeadlinePassed))
            }
            PlanEvent::Ended { result } => Transition(self.end_attempt(*result, event.now)),
            PlanEvent::Declined { reason } => {
                self.record_result(AttemptResult::NotSent);
                Transition(self.conclude(*reason))
            }
            PlanEvent::Assigned { .. } => Handled,
        }
    }

    #[state]
    fn sent(&mut self, event: &PlanInput) -> Outcome<State> {
        match &event.event {
            PlanEvent::Ended { result } => Transition(self.end_attempt(*result, event.now)),
            PlanEvent::DeadlinePassed => Transition(self.end_attempt(AttemptResult::Expired, event.now)),
            PlanEvent::Assigned { .. } | PlanEvent::Declined { .. } | PlanEvent::Sent => Handled,
        }
    }

    #[state]
    fn answered(attempt: &usize) -> Outcome<State> {
        Self::ignore(attempt)
    }

    #[state]
    fn refused(reason: &RefusalReason) -> Outcome<State> {
        Self::ignore(reason)
    }

    #[state]
    fn unknown(reason: &UnknownReason) -> Outcome<State> {
        Self::ignore(reason)
    }
}

impl PlanMachine {
    /// Ignores events that come after the outcome was decided, such as late answers.
    fn ignore<Detail>(_: &Detail) -> Outcome<State> {
        Handled
    }

    fn start_attempt(&mut self, upstream: UpstreamName) {
        self.attempts.push(RequestAttempt {
            upstream,
            result: None,
        });
    }

    fn record_result(&mut self, result: AttemptResult) {
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.result = Some(result);
        }
    }

    /// Records the result of the last attempt and decides between an outcome and another attempt.
    fn end_attempt(&mut self, result: AttemptResult, now: ClockTime) -> State {
        self.record_result(result);
        let attempt = self.attempts.len().saturating_sub(1);
        let late = now > self.deadline;
        match result {
            AttemptResult::Succeeded | AttemptResult::Failed if late => {
                self.doubt = Some(UnknownReason::DeadlinePassed);
            }
            AttemptResult::Succeeded => return State::answered(attempt),
            AttemptResult::Failed => self.fault_answer = Some(attempt),
            AttemptResult::Lost => self.doubt = Some(UnknownReason::ConnectionLost),
            AttemptResult::Expired => self.doubt = Some(UnknownReason::DeadlinePassed),
            AttemptResult::RefusedNotRun | AttemptResult::Leaving | AttemptResult::NotSent => {}
        }
        if now >= self.deadline {
            return self.conclude(RefusalReason::DeadlinePassed);
        }
        if RetryBudget::may_retry(self.kind, result) && self.budget.try_take(attempt) {
            return State::retried();
        }
        self.conclude(RefusalReason::UpstreamRefused)
    }

    /// Returns the final state when no further attempt is made.
    ///
    /// The refusal is given only when no attempt may have run.
    fn conclude(&self, reason: RefusalReason) -> State {
        match (self.fault_answer, self.doubt) {
            (Some(attempt), _) => State::answered(attempt),
            (None, Some(doubt)) => State::unknown(doubt),
            (None, None) => State::refused(reason),
        }
    }
}
