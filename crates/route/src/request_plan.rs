use std::sync::Arc;

use arbutuspick_model::{ClockTime, RefusalReason, UpstreamName};
use serde::Serialize;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::plan_machine::{PlanInput, PlanMachine, State};
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
pub enum PlanEvent {
    /// A slot of an upstream was acquired for it.
    Assigned {
        /// Upstream of the slot.
        upstream: UpstreamName,
    },
    /// Its bytes may reach the upstream from now on; to be reported before the first byte is written.
    Sent,
    /// The attempt ended.
    Ended {
        /// Result of the attempt.
        result: AttemptResult,
    },
    /// It got no slot: it was evicted or has expired, no upstream is available, or the entry VM is stopping.
    Declined {
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// Its deadline passed.
    DeadlinePassed,
}

/// Next action to take for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanStep {
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
/// use arbutuspick_route::{AttemptResult, PlanEvent, PlanStep, RequestKind, RequestOutcome, RequestPlan, RetryBudget};
/// let budget = Arc::new(RetryBudget::default());
/// let mut plan = RequestPlan::new(RequestKind::NonIdempotent, ClockTime(1_000), budget);
/// let upstream = UpstreamName::try_from("booking-1")?;
/// assert_eq!(plan.handle(PlanEvent::Assigned { upstream }, ClockTime(0)), PlanStep::Send);
/// assert_eq!(plan.handle(PlanEvent::Sent, ClockTime(1)), PlanStep::Await);
/// let step = plan.handle(PlanEvent::Ended { result: AttemptResult::Succeeded }, ClockTime(9));
/// assert_eq!(step, PlanStep::Done(RequestOutcome::Ran { attempt: 0 }));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
pub struct RequestPlan {
    machine: StateMachine<PlanMachine>,
}

impl RequestPlan {
    /// Creates the state machine of a new request and counts the request in the retry budget.
    pub fn new(kind: RequestKind, deadline: ClockTime, budget: Arc<RetryBudget>) -> Self {
        budget.record_request();
        let machine = PlanMachine {
            kind,
            deadline,
            budget,
            attempts: Vec::new(),
            failed_attempt: None,
            doubt: None,
        };
        Self {
            machine: machine.state_machine(),
        }
    }

    /// Applies an event and returns the next action; events after the outcome are ignored.
    pub fn handle(&mut self, event: PlanEvent, now: ClockTime) -> PlanStep {
        self.machine.handle(&PlanInput { event, now });
        self.step()
    }

    /// Returns the next action.
    pub fn step(&self) -> PlanStep {
        match *self.machine.state() {
            State::Queued {} | State::Retrying {} => PlanStep::Acquire,
            State::Sending {} => PlanStep::Send,
            State::Sent {} => PlanStep::Await,
            State::Answered { attempt } => PlanStep::Done(RequestOutcome::Ran { attempt }),
            State::Refused { reason } => PlanStep::Done(RequestOutcome::NotRun { reason }),
            State::Unknown { reason } => PlanStep::Done(RequestOutcome::Unknown { reason }),
        }
    }

    /// Returns the outcome once it is decided.
    pub fn outcome(&self) -> Option<RequestOutcome> {
        match self.step() {
            PlanStep::Done(outcome) => Some(outcome),
            PlanStep::Acquire | PlanStep::Send | PlanStep::Await => None,
        }
    }

    /// Returns the attempts so far, oldest first.
    pub fn attempts(&self) -> &[RequestAttempt] {
        &self.machine.inner().attempts
    }

    /// Returns the upstreams that were tried, to be excluded from the next attempt.
    pub fn tried(&self) -> Vec<UpstreamName> {
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
