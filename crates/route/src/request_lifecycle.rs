use std::sync::Arc;

use arbutuspick_model::{ClockTime, RefusalReason, UpstreamName};
use serde::Serialize;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::lifecycle_machine::{LifecycleMachine, State, TimedEvent};
use crate::{AttemptResult, RequestKind, RequestOutcome, RetryBudget};

/// One attempt to send a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestAttempt {
    /// Upstream of the attempt.
    pub upstream: UpstreamName,
    /// Its result, or `None` while it is in progress.
    pub result: Option<AttemptResult>,
}

/// Event of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// A slot of an upstream was acquired for the request.
    Assigned {
        /// Upstream of the slot.
        upstream: UpstreamName,
    },
    /// Bytes of the request may reach the upstream from now on.
    ///
    /// To be reported before the first byte is written.
    Sent,
    /// The attempt ended.
    Ended {
        /// Result of the attempt.
        result: AttemptResult,
    },
    /// The request got no slot: it was evicted or has expired, no upstream is live, or the entry VM is
    /// stopping.
    Declined {
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// The deadline of the request passed.
    DeadlinePassed,
}

/// Next action to take for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Acquire a slot of an upstream that was not tried yet, or wait in the queue.
    Acquire,
    /// Send the request.
    Send,
    /// Wait for the response.
    Await,
    /// Return this outcome to the caller.
    Done(RequestOutcome),
}

/// State machine of one request from its arrival to its outcome.
///
/// ```
/// use std::sync::Arc;
/// use arbutuspick_model::{ClockTime, UpstreamName};
/// use arbutuspick_route::{
///     AttemptResult, NextAction, RequestEvent, RequestKind, RequestLifecycle, RequestOutcome, RetryBudget,
/// };
/// let budget = Arc::new(RetryBudget::default());
/// let mut lifecycle = RequestLifecycle::new(RequestKind::NonIdempotent, ClockTime(1_000), budget);
/// let upstream = UpstreamName::try_from("booking-1")?;
/// assert_eq!(lifecycle.handle(RequestEvent::Assigned { upstream }, ClockTime(0)), NextAction::Send);
/// assert_eq!(lifecycle.handle(RequestEvent::Sent, ClockTime(1)), NextAction::Await);
/// let action = lifecycle.handle(RequestEvent::Ended { result: AttemptResult::Succeeded }, ClockTime(9));
/// assert_eq!(action, NextAction::Done(RequestOutcome::Ran { attempt: 0 }));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
pub struct RequestLifecycle {
    machine: StateMachine<LifecycleMachine>,
}

impl RequestLifecycle {
    /// Creates the state machine of a new request and counts the request in the retry budget.
    pub fn new(kind: RequestKind, deadline: ClockTime, budget: Arc<RetryBudget>) -> Self {
        budget.record_request();
        let machine = LifecycleMachine {
            kind,
            deadline,
            budget,
            attempts: Vec::new(),
            failed_attempt: None,
            unknown_reason: None,
        };
        Self {
            machine: machine.state_machine(),
        }
    }

    /// Applies an event and returns the next action; events after the outcome are ignored.
    pub fn handle(&mut self, event: RequestEvent, now: ClockTime) -> NextAction {
        self.machine.handle(&TimedEvent { event, now });
        self.next_action()
    }

    /// Returns the next action.
    pub fn next_action(&self) -> NextAction {
        match *self.machine.state() {
            State::Queued {} | State::Retrying {} => NextAction::Acquire,
            State::Sending {} => NextAction::Send,
            State::Sent {} => NextAction::Await,
            State::Ran { attempt } => NextAction::Done(RequestOutcome::Ran { attempt }),
            State::NotRun { reason } => NextAction::Done(RequestOutcome::NotRun { reason }),
            State::Unknown { reason } => NextAction::Done(RequestOutcome::Unknown { reason }),
        }
    }

    /// Returns the outcome once it is decided.
    pub fn outcome(&self) -> Option<RequestOutcome> {
        match self.next_action() {
            NextAction::Done(outcome) => Some(outcome),
            NextAction::Acquire | NextAction::Send | NextAction::Await => None,
        }
    }

    /// Returns the attempts so far, oldest first.
    pub fn attempts(&self) -> &[RequestAttempt] {
        &self.machine.inner().attempts
    }

    /// Returns the upstreams that were tried, to be excluded from the next attempt.
    pub fn tried_upstreams(&self) -> Vec<UpstreamName> {
        self.attempts()
            .iter()
            .map(|attempt| attempt.upstream.clone())
            .collect()
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> ClockTime {
        self.machine.inner().deadline
    }

    /// Returns whether the request is idempotent.
    pub fn kind(&self) -> RequestKind {
        self.machine.inner().kind
    }
}
