use std::sync::Arc;

use arbutuspick_model::{ClockTime, RefusalReason, UpstreamName};
use serde::Serialize;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::plan_machine::{PlanInput, PlanMachine, State};
use crate::{AttemptResult, RequestKind, RequestOutcome, RetryBudget};

/// One attempt to send a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestAttempt {
    /// Upstream.
    pub upstream: UpstreamName,
    /// How it ended, or nothing while it is under way.
    pub result: Option<AttemptResult>,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanEvent {
    /// A slot of an upstream was taken for it.
    Assigned {
        /// Upstream.
        upstream: UpstreamName,
    },
    /// Its bytes may reach the upstream from now on; to be reported before the first write.
    Sent,
    /// The attempt ended.
    Ended {
        /// How.
        result: AttemptResult,
    },
    /// It got no slot: displaced, expired, no upstream, or the entry VM is stopping.
    Declined {
        /// Why.
        reason: RefusalReason,
    },
    /// Its deadline passed.
    DeadlinePassed,
}

/// What the caller of a plan does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Take a slot of an upstream that was not tried, or wait in the queue.
    Acquire,
    /// Send the request.
    Send,
    /// Wait for the answer.
    Await,
    /// Tell the caller this outcome.
    Done(RequestOutcome),
}

/// Course of one request, which decides what its caller is told.
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
    /// Starts the plan of a new request and counts it in the retry budget.
    pub fn new(kind: RequestKind, deadline: ClockTime, budget: Arc<RetryBudget>) -> Self {
        budget.record_request();
        let machine = PlanMachine {
            kind,
            deadline,
            budget,
            attempts: Vec::new(),
            fault_answer: None,
            doubt: None,
        };
        Self {
            machine: machine.state_machine(),
        }
    }

    /// Applies an event and returns what to do next; events after the outcome change nothing.
    pub fn handle(&mut self, event: PlanEvent, now: ClockTime) -> PlanStep {
        self.machine.handle(&PlanInput { event, now });
        self.step()
    }

    /// Returns what to do next.
    pub fn step(&self) -> PlanStep {
        match *self.machine.state() {
            State::Queued {} | State::Retried {} => PlanStep::Acquire,
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

    /// Returns the upstreams that were tried, which the next attempt excludes.
    pub fn tried(&self) -> Vec<UpstreamName> {
        self.attempts()
            .iter()
            .map(|attempt| attempt.upstream.clone())
            .collect()
    }

    /// Returns the deadline.
    pub fn deadline(&self) -> ClockTime {
        self.machine.inner().deadline
    }

    /// Returns whether the request may run more than once.
    pub fn kind(&self) -> RequestKind {
        self.machine.inner().kind
    }
}
