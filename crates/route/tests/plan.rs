//! Outcomes that callers are told.

mod support;

use std::sync::Arc;

use arbutuspick_model::{ClockTime, RefusalReason, UnknownReason};
use arbutuspick_route::AttemptResult::{Expired, Failed, Leaving, Lost, NotSent, RefusedNotRun, Succeeded};
use arbutuspick_route::{
    AttemptResult, PlanEvent, PlanStep, RequestKind, RequestOutcome, RequestPlan, RetryBudget,
};
use support::upstream;
use yare::parameterized;

/// What happens to a request, in short form.
#[derive(Clone, Copy, Debug)]
enum Step {
    Assign,
    Send,
    End(AttemptResult),
    Decline(RefusalReason),
    Deadline,
    /// Lets the deadline pass without an event.
    Wait,
}
use Step::{Assign, Deadline, Decline, End, Send, Wait};

const RETRY: PlanStep = PlanStep::Acquire;
const STOPPING: RefusalReason = RefusalReason::Stopping;

fn ran(attempt: usize) -> PlanStep {
    PlanStep::Done(RequestOutcome::Ran { attempt })
}

fn not_run(reason: RefusalReason) -> PlanStep {
    PlanStep::Done(RequestOutcome::NotRun { reason })
}

fn unknown(reason: UnknownReason) -> PlanStep {
    PlanStep::Done(RequestOutcome::Unknown { reason })
}

fn run(plan: &mut RequestPlan, steps: &[Step]) -> PlanStep {
    let mut now = ClockTime(0);
    for (index, step) in steps.iter().enumerate() {
        let event = match *step {
            Assign => PlanEvent::Assigned {
                upstream: upstream(index),
            },
            Send => PlanEvent::Sent,
            End(result) => PlanEvent::Ended { result },
            Decline(reason) => PlanEvent::Declined { reason },
            Deadline => PlanEvent::DeadlinePassed,
            Wait => {
                now = plan.deadline() + 1;
                continue;
            }
        };
        plan.handle(event, now);
    }
    plan.step()
}

fn plan(kind: RequestKind) -> RequestPlan {
    RequestPlan::new(kind, ClockTime(100), Arc::new(RetryBudget::default()))
}

/// Guards against a wrong outcome or an unsafe retry of a request that may run once only.
#[parameterized(
    answered = { &[Assign, Send, End(Succeeded)], ran(0) },
    fault_answer = { &[Assign, Send, End(Failed)], ran(0) },
    answered_early = { &[Assign, End(Succeeded)], ran(0) },
    late_answer = { &[Assign, Send, Wait, End(Succeeded)], unknown(UnknownReason::DeadlinePassed) },
    after_deadline = { &[Assign, Send, Deadline, End(Succeeded)], unknown(UnknownReason::DeadlinePassed) },
    late_refusal = { &[Assign, Send, Wait, End(RefusedNotRun)], not_run(RefusalReason::DeadlinePassed) },
    deadline_queued = { &[Deadline], not_run(RefusalReason::DeadlinePassed) },
    deadline_assigned = { &[Wait, Assign], not_run(RefusalReason::DeadlinePassed) },
    deadline_sending = { &[Assign, Deadline], not_run(RefusalReason::DeadlinePassed) },
    expired_sending = { &[Assign, End(Expired)], not_run(RefusalReason::DeadlinePassed) },
    lost_sending = { &[Assign, End(Lost)], RETRY },
    lost_sent = { &[Assign, Send, End(Lost)], unknown(UnknownReason::ConnectionLost) },
    expired_sent = { &[Assign, Send, End(Expired)], unknown(UnknownReason::DeadlinePassed) },
    refused = { &[Assign, Send, End(RefusedNotRun)], RETRY },
    leaving = { &[Assign, Send, End(Leaving), Assign, Send, End(Succeeded)], ran(1) },
    thrice_refused = { &[Assign, Send, End(Leaving), Assign, Send, End(RefusedNotRun), Assign, Send,
        End(RefusedNotRun)], not_run(RefusalReason::UpstreamRefused) },
    displaced = { &[Decline(RefusalReason::Overloaded)], not_run(RefusalReason::Overloaded) },
    stop_waiting = { &[Decline(STOPPING), Assign], not_run(STOPPING) },
    stop_sending = { &[Assign, Decline(STOPPING)], not_run(STOPPING) },
    stop_sent = { &[Assign, Send, Decline(STOPPING), End(Succeeded)], ran(0) },
)]
fn sent_once(steps: &[Step], expected: PlanStep) {
    assert_eq!(run(&mut plan(RequestKind::NonIdempotent), steps), expected);
}

/// Guards against "not run" after an attempt that may have run, and against a lost answer.
#[parameterized(
    lost_sent = { &[Assign, Send, End(Lost)], RETRY },
    lost_answered = { &[Assign, Send, End(Lost), Assign, Send, End(Succeeded)], ran(1) },
    lost_refused = { &[Assign, Send, End(Lost), Assign, Send, End(RefusedNotRun), Decline(STOPPING)],
        unknown(UnknownReason::ConnectionLost) },
    lost_displaced = { &[Assign, Send, End(Lost), Decline(STOPPING)], unknown(UnknownReason::ConnectionLost) },
    fault_kept = { &[Assign, Send, End(Failed), Assign, Send, End(Lost), Decline(STOPPING)], ran(0) },
    fault_retried = { &[Assign, Send, End(Failed), Assign, Send, End(Succeeded)], ran(1) },
    late_loss = { &[Assign, Send, Wait, End(Lost)], unknown(UnknownReason::ConnectionLost) },
)]
fn sent_again(steps: &[Step], expected: PlanStep) {
    assert_eq!(run(&mut plan(RequestKind::Idempotent), steps), expected);
}

/// Guards against retries beyond the budget.
#[test]
fn empty_budget() {
    let budget = Arc::new(RetryBudget::default());
    let spent = (0..1_000).filter(|_| budget.try_take(0)).count();
    assert!(spent < 1_000);
    let mut plan = RequestPlan::new(RequestKind::Idempotent, ClockTime(100), budget);
    let step = run(&mut plan, &[Assign, End(NotSent)]);
    assert_eq!(step, not_run(RefusalReason::UpstreamRefused));
    assert_eq!(plan.tried(), [upstream(0)]);
}
