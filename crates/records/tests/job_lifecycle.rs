//! Guards against transitions that the table of section 5.6 of the design page does not list.

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

/// The table: state, event, next state, and for which (idempotent, may have run) it holds.
type Rule = (JobState, JobEvent, JobState, fn(bool, bool) -> bool);

fn rules() -> Vec<Rule> {
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
fn whole_table(idempotent: bool, may_have_run: bool) {
    let lifecycle = JobLifecycle::new(idempotent, may_have_run);
    for state in STATES {
        for event in EVENTS {
            let expected = rules()
                .into_iter()
                .find(|(from, on, _, holds)| {
                    (*from, *on) == (state, event) && holds(idempotent, may_have_run)
                })
                .map(|(_, _, next, _)| next);
            let found = lifecycle.next(state, event);
            assert_eq!(found.ok(), expected, "{state:?} on {event:?}");
        }
    }
}

#[test]
fn final_states() {
    let finals: Vec<_> = STATES.into_iter().filter(|state| state.is_final()).collect();
    assert_eq!(finals, [JobState::Ran, JobState::NotRun, JobState::Unknown]);
}

#[test]
fn error_text() {
    let error = JobLifecycle::default().next(JobState::Ran, JobEvent::Start);
    assert_eq!(
        error.unwrap_err().to_string(),
        "job in state Ran does not allow Start"
    );
}
