//! Request state machine: outcomes and retries.

mod support;

use std::sync::Arc;

use arbutuspick_model::{ClockTime, RefusalReason, UnknownReason};
use arbutuspick_route::AttemptResult::{Expired, Failed, Leaving, Lost, NotSent, RefusedNotRun, Succeeded};
use arbutuspick_route::{
    AttemptResult, NextAction, RequestEvent, RequestKind, RequestLifecycle, RequestOutcome, RetryBudget,
};
use support::upstream;
use yare::parameterized;

/// Short form of a request event.
#[derive(Clone, Copy, Debug)]
enum TestStep {
    Assign,
    Send,
    End(AttemptResult),
    Decline(RefusalReason),
    PassDeadline,
    /// Advances the time past the deadline without an event.
    Lapse,
}
use TestStep::{Assign, Decline, End, Lapse, PassDeadline, Send};

const RETRY: NextAction = NextAction::Acquire;
const STOPPING: RefusalReason = RefusalReason::Stopping;

fn ran(attempt: usize) -> NextAction {
    NextAction::Done(RequestOutcome::Ran { attempt })
}

fn not_run(reason: RefusalReason) -> NextAction {
    NextAction::Done(RequestOutcome::NotRun { reason })
}

fn unknown(reason: UnknownReason) -> NextAction {
    NextAction::Done(RequestOutcome::Unknown { reason })
}

fn run_steps(lifecycle: &mut RequestLifecycle, steps: &[TestStep]) -> NextAction {
    let mut now = ClockTime(0);
    for (index, step) in steps.iter().enumerate() {
        let event = match *step {
            Assign => RequestEvent::Assigned {
                upstream: upstream(index),
            },
            Send => RequestEvent::Sent,
            End(result) => RequestEvent::Ended { result },
            Decline(reason) => RequestEvent::Declined { reason },
            PassDeadline => RequestEvent::DeadlinePassed,
            Lapse => {
                now = lifecycle.deadline() + 1;
                continue;
            }
        };
        lifecycle.handle(event, now);
    }
    lifecycle.next_action()
}

fn new_lifecycle(kind: RequestKind) -> RequestLifecycle {
    RequestLifecycle::new(kind, ClockTime(100), Arc::new(RetryBudget::default()))
}

/// Guards against a wrong outcome or an unsafe retry of a non-idempotent request.
#[parameterized(
    response = { &[Assign, Send, End(Succeeded)], ran(0) },
    fault_response = { &[Assign, Send, End(Failed)], ran(0) },
    early_response = { &[Assign, End(Succeeded)], ran(0) },
    late_response = { &[Assign, Send, Lapse, End(Succeeded)], unknown(UnknownReason::DeadlinePassed) },
    after_deadline = { &[Assign, Send, PassDeadline, End(Succeeded)], unknown(UnknownReason::DeadlinePassed) },
    late_refusal = { &[Assign, Send, Lapse, End(RefusedNotRun)], not_run(RefusalReason::DeadlinePassed) },
    deadline_queued = { &[PassDeadline], not_run(RefusalReason::DeadlinePassed) },
    deadline_assigned = { &[Lapse, Assign], not_run(RefusalReason::DeadlinePassed) },
    deadline_sending = { &[Assign, PassDeadline], not_run(RefusalReason::DeadlinePassed) },
    expired_sending = { &[Assign, End(Expired)], not_run(RefusalReason::DeadlinePassed) },
    lost_sending = { &[Assign, End(Lost)], RETRY },
    lost_sent = { &[Assign, Send, End(Lost)], unknown(UnknownReason::ConnectionLost) },
    expired_sent = { &[Assign, Send, End(Expired)], unknown(UnknownReason::DeadlinePassed) },
    refused = { &[Assign, Send, End(RefusedNotRun)], RETRY },
    leaving = { &[Assign, Send, End(Leaving), Assign, Send, End(Succeeded)], ran(1) },
    thrice_refused = { &[Assign, Send, End(Leaving), Assign, Send, End(RefusedNotRun), Assign, Send,
        End(RefusedNotRun)], not_run(RefusalReason::UpstreamRefused) },
    evicted = { &[Decline(RefusalReason::Overloaded)], not_run(RefusalReason::Overloaded) },
    stop_waiting = { &[Decline(STOPPING), Assign], not_run(STOPPING) },
    stop_sending = { &[Assign, Decline(STOPPING)], not_run(STOPPING) },
    stop_sent = { &[Assign, Send, Decline(STOPPING), End(Succeeded)], ran(0) },
)]
fn non_idempotent_outcome(steps: &[TestStep], expected: NextAction) {
    assert_eq!(
        run_steps(&mut new_lifecycle(RequestKind::NonIdempotent), steps),
        expected
    );
}

/// Guards against outcome "not run" after an attempt that may have run, and against a lost response.
#[parameterized(
    lost_sent = { &[Assign, Send, End(Lost)], RETRY },
    lost_succeeded = { &[Assign, Send, End(Lost), Assign, Send, End(Succeeded)], ran(1) },
    lost_refused = { &[Assign, Send, End(Lost), Assign, Send, End(RefusedNotRun), Decline(STOPPING)],
        unknown(UnknownReason::ConnectionLost) },
    lost_declined = { &[Assign, Send, End(Lost), Decline(STOPPING)], unknown(UnknownReason::ConnectionLost) },
    fault_kept = { &[Assign, Send, End(Failed), Assign, Send, End(Lost), Decline(STOPPING)], ran(0) },
    fault_retried = { &[Assign, Send, End(Failed), Assign, Send, End(Succeeded)], ran(1) },
    late_loss = { &[Assign, Send, Lapse, End(Lost)], unknown(UnknownReason::ConnectionLost) },
)]
fn idempotent_outcome(steps: &[TestStep], expected: NextAction) {
    assert_eq!(
        run_steps(&mut new_lifecycle(RequestKind::Idempotent), steps),
        expected
    );
}

/// Guards against retries beyond the budget.
#[test]
fn empty_budget() {
    let budget = Arc::new(RetryBudget::default());
    let spent = (0..1_000).filter(|_| budget.try_take(0)).count();
    assert!(spent < 1_000);
    let mut lifecycle = RequestLifecycle::new(RequestKind::Idempotent, ClockTime(100), budget);
    let action = run_steps(&mut lifecycle, &[Assign, End(NotSent)]);
    assert_eq!(action, not_run(RefusalReason::UpstreamRefused));
    assert_eq!(lifecycle.tried_upstreams(), [upstream(0)]);
}
