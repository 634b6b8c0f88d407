use std::sync::Arc;

use arbutuspick_model::{ClockTime, RefusalReason, UnknownReason, UpstreamName};
use statig::prelude::*;

use crate::request_lifecycle::{RequestAttempt, RequestEvent};
use crate::{AttemptResult, RequestKind, RetryBudget};

/// Event with its time.
pub(crate) struct TimedEvent {
    pub(crate) event: RequestEvent,
    pub(crate) now: ClockTime,
}

/// State machine of one request.
#[derive(Debug)]
pub(crate) struct LifecycleMachine {
    pub(crate) kind: RequestKind,
    pub(crate) deadline: ClockTime,
    pub(crate) budget: Arc<RetryBudget>,
    pub(crate) attempts: Vec<RequestAttempt>,
    /// Index of an attempt whose complete response reports a fault; returned if no later attempt succeeds.
    pub(crate) failed_attempt: Option<usize>,
    /// Why an earlier attempt may have run although it has no response, or none before the deadline.
    pub(crate) unknown_reason: Option<UnknownReason>,
}

#[state_machine(
    initial = "State::queued()",
    visibility = "pub(crate)",
    state(derive(Clone, Copy, Debug, PartialEq, Eq))
)]
impl LifecycleMachine {
    #[state(superstate = "waiting")]
    fn queued() -> Outcome<State> {
        Super
    }

    #[state(superstate = "waiting")]
    fn retrying() -> Outcome<State> {
        Super
    }

    #[superstate]
    fn waiting(&mut self, event: &TimedEvent) -> Outcome<State> {
        match &event.event {
            RequestEvent::Assigned { upstream } if event.now < self.deadline => {
                self.start_attempt(upstream.clone());
                Transition(State::sending())
            }
            RequestEvent::Assigned { .. } | RequestEvent::DeadlinePassed => {
                Transition(self.final_state(RefusalReason::DeadlinePassed))
            }
            RequestEvent::Declined { reason } => Transition(self.final_state(*reason)),
            RequestEvent::Sent | RequestEvent::Ended { .. } => Handled,
        }
    }

    #[state]
    fn sending(&mut self, event: &TimedEvent) -> Outcome<State> {
        match &event.event {
            RequestEvent::Sent => Transition(State::sent()),
            // Losing the connection before the first byte is equivalent to failing to open it.
            RequestEvent::Ended {
                result: AttemptResult::Lost | AttemptResult::NotSent,
            } => Transition(self.end_attempt(AttemptResult::NotSent, event.now)),
            RequestEvent::Ended {
                result: AttemptResult::Expired,
            }
            | RequestEvent::DeadlinePassed => {
                self.record_result(AttemptResult::NotSent);
                Transition(self.final_state(RefusalReason::DeadlinePassed))
            }
            RequestEvent::Ended { result } => Transition(self.end_attempt(*result, event.now)),
            RequestEvent::Declined { reason } => {
                self.record_result(AttemptResult::NotSent);
                Transition(self.final_state(*reason))
            }
            RequestEvent::Assigned { .. } => Handled,
        }
    }

    #[state]
    fn sent(&mut self, event: &TimedEvent) -> Outcome<State> {
        match &event.event {
            RequestEvent::Ended { result } => Transition(self.end_attempt(*result, event.now)),
            RequestEvent::DeadlinePassed => Transition(self.end_attempt(AttemptResult::Expired, event.now)),
            RequestEvent::Assigned { .. } | RequestEvent::Declined { .. } | RequestEvent::Sent => Handled,
        }
    }

    #[state]
    fn ran(attempt: &usize) -> Outcome<State> {
        Self::ignore(attempt)
    }

    #[state]
    fn not_run(reason: &RefusalReason) -> Outcome<State> {
        Self::ignore(reason)
    }

    #[state]
    fn unknown(reason: &UnknownReason) -> Outcome<State> {
        Self::ignore(reason)
    }
}

impl LifecycleMachine {
    /// Ignores events after the outcome is decided, such as late responses; the field of the state is unused.
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

    /// Records the result of the current attempt and returns either a final state or `retrying`.
    fn end_attempt(&mut self, result: AttemptResult, now: ClockTime) -> State {
        self.record_result(result);
        let attempt = self.attempts.len().saturating_sub(1);
        // A response at the deadline itself is in time, but no further attempt is started then.
        let late = now > self.deadline;
        match result {
            AttemptResult::Succeeded | AttemptResult::Failed if late => {
                self.unknown_reason = Some(UnknownReason::DeadlinePassed);
            }
            AttemptResult::Succeeded => return State::ran(attempt),
            AttemptResult::Failed => self.failed_attempt = Some(attempt),
            AttemptResult::Lost => self.unknown_reason = Some(UnknownReason::ConnectionLost),
            AttemptResult::Expired => self.unknown_reason = Some(UnknownReason::DeadlinePassed),
            AttemptResult::RefusedNotRun | AttemptResult::Leaving | AttemptResult::NotSent => {}
        }
        if now >= self.deadline {
            return self.final_state(RefusalReason::DeadlinePassed);
        }
        if RetryBudget::may_retry(self.kind, result) && self.budget.try_take(attempt) {
            return State::retrying();
        }
        self.final_state(RefusalReason::UpstreamRefused)
    }

    /// Returns the final state when there is no further attempt.
    ///
    /// It is a refusal only if no attempt can have run.
    fn final_state(&self, reason: RefusalReason) -> State {
        match (self.failed_attempt, self.unknown_reason) {
            (Some(attempt), _) => State::ran(attempt),
            (None, Some(unknown_reason)) => State::unknown(unknown_reason),
            (None, None) => State::not_run(reason),
        }
    }
}
