//! Guards against transitions that are not in the table in section 5.6 of the design document.

use arbutuspick_model::UnknownReason;
use arbutuspick_records::{JobEvent, JobLifecycle, JobState, RequeueReason};

const STATES: [JobState; 6] = [
    JobState::Queued,
    JobState::Starting,
    JobState::Running,
    JobState::Ran,
    JobState::NotRun,
    JobState::Unknown,
];
const EVENTS: [JobEvent; 12] = [
    JobEvent::Start,
    JobEvent::Confirm,
    JobEvent::Requeue(RequeueReason::Unstarted),
    JobEvent::Requeue(RequeueReason::Checkpointed),
    JobEvent::Requeue(RequeueReason::Lost),
    JobEvent::Refuse,
    JobEvent::Void,
    JobEvent::Finish,
    JobEvent::Doubt(UnknownReason::WorkerLost),
    JobEvent::Doubt(UnknownReason::CancelledRunning),
    JobEvent::Move,
    JobEvent::RequestCancel,
];

/// State, event, next state, and whether the transition is allowed for (idempotent, may have run).
type AllowedTransition = (JobState, JobEvent, JobState, fn(bool, bool) -> bool);

fn allowed_transitions() -> Vec<AllowedTransition> {
    use JobState::*;
    let lost = JobEvent::Requeue(RequeueReason::Lost);
    let unstarted = JobEvent::Requeue(RequeueReason::Unstarted);
    let checkpointed = JobEvent::Requeue(RequeueReason::Checkpointed);
    let doubt = JobEvent::Doubt(UnknownReason::WorkerLost);
    let cancelled = JobEvent::Doubt(UnknownReason::CancelledRunning);
    vec![
        (Queued, JobEvent::Start, Starting, |_, _| true),
        (Queued, JobEvent::Move, Queued, |_, _| true),
        (Queued, JobEvent::Refuse, NotRun, |_, ran| !ran),
        (Queued, doubt, Unknown, |_, ran| ran),
        (Queued, cancelled, Unknown, |_, ran| ran),
        (Starting, JobEvent::Confirm, Running, |_, _| true),
        (Starting, JobEvent::RequestCancel, Starting, |_, _| true),
        (Starting, unstarted, Queued, |_, _| true),
        (Starting, lost, Queued, |idempotent, _| idempotent),
        (Starting, JobEvent::Void, NotRun, |_, ran| !ran),
        (Starting, doubt, Unknown, |_, _| true),
        (Starting, cancelled, Unknown, |_, _| true),
        (Running, JobEvent::Finish, Ran, |_, _| true),
        (Running, JobEvent::RequestCancel, Running, |_, _| true),
        (Running, checkpointed, Queued, |_, _| true),
        (Running, lost, Queued, |idempotent, _| idempotent),
        (Running, doubt, Unknown, |idempotent, _| !idempotent),
        (Running, cancelled, Unknown, |_, _| true),
    ]
}

#[yare::parameterized(
    plain = { false, false },
    idempotent = { true, false },
    resumed = { false, true },
    repeated = { true, true },
)]
fn all_transitions(idempotent: bool, may_have_run: bool) {
    let lifecycle = JobLifecycle::new(idempotent, may_have_run);
    for state in STATES {
        for event in EVENTS {
            let expected = allowed_transitions()
                .into_iter()
                .find(|(from, trigger, _, is_allowed)| {
                    (*from, *trigger) == (state, event) && is_allowed(idempotent, may_have_run)
                })
                .map(|(_, _, next, _)| next);
            let found = lifecycle.next(state, event);
            assert_eq!(found.ok(), expected, "{state:?} on {event:?}");
        }
    }
}

#[test]
fn final_states() {
    let final_states: Vec<_> = STATES.into_iter().filter(|state| state.is_final()).collect();
    assert_eq!(final_states, [JobState::Ran, JobState::NotRun, JobState::Unknown]);
}

#[test]
fn error_text() {
    let error = JobLifecycle::default().next(JobState::Ran, JobEvent::Start);
    assert_eq!(
        error.unwrap_err().to_string(),
        "job in state Ran does not allow Start"
    );
}
