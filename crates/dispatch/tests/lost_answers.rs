//! Transactions whose answers are lost or that are applied late.

mod support;

use arbutuspick_dispatch::{StatusOutcome, SubmitOutcome};
use support::{FakeFleet, StoreMode, TestProcess, deadline, final_stage, job, sleep_ms, store_with};

const ID: &str = "00000000000000aa";
const OTHER_ID: &str = "00000000000000bb";

/// Guards against a duplicate job, or a refusal, after the answer to the first submission was lost.
#[tokio::test(start_paused = true)]
async fn lost_submission() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    store.set_mode(1, StoreMode::LoseAnswers);
    let outcome = process.intake.submit(ID, &job(2), deadline(2_500)).await;
    store.set_mode(1, StoreMode::Normal);
    assert_eq!(outcome, SubmitOutcome::Indeterminate);
    let again = process.intake.submit(ID, &job(2), deadline(2_500)).await;
    assert_eq!(again, SubmitOutcome::Accepted { repeated: true });
    assert_eq!(final_stage(&process, ID, 8_000).await, "completed");
    assert_eq!(fleet.started_runs().len(), 2);
}

/// Guards against the outcome "not stored" for a job whose transaction is applied later.
#[tokio::test(start_paused = true)]
async fn late_submission() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    store.set_mode(1, StoreMode::DelayWrites);
    let outcome = process.intake.submit(ID, &job(2), deadline(1_500)).await;
    assert_eq!(outcome, SubmitOutcome::Indeterminate);
    store.set_mode(1, StoreMode::Normal);
    assert_eq!(final_stage(&process, ID, 8_000).await, "completed");
}

/// Guards against the outcome "not stored", after which callers give up, for a repeated submission that the store refuses
/// while it still carries out the first one.
#[tokio::test(start_paused = true)]
async fn refused_repetition() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    store.set_mode(1, StoreMode::DelayWrites);
    let first = process.intake.submit(ID, &job(2), deadline(1_500)).await;
    store.set_mode(1, StoreMode::Refuse);
    let again = process.intake.submit(ID, &job(2), deadline(1_500)).await;
    let other = process.intake.submit(OTHER_ID, &job(2), deadline(1_500)).await;
    assert_eq!(
        (first, again, other),
        (
            SubmitOutcome::Indeterminate,
            SubmitOutcome::Indeterminate,
            SubmitOutcome::NotStored
        )
    );
    store.set_mode(1, StoreMode::Normal);
    assert_eq!(final_stage(&process, ID, 8_000).await, "completed");
    sleep_ms(60_000).await;
    store.set_mode(1, StoreMode::Refuse);
    let later = process.intake.submit(ID, &job(2), deadline(1_500)).await;
    assert_eq!(later, SubmitOutcome::NotStored, "remembered for good");
}

/// Guards against callers that wait until their deadline although another VM could serve them.
#[tokio::test(start_paused = true)]
async fn hanging_store() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    store.set_mode(1, StoreMode::Hang);
    let asked_at = deadline(0);
    assert_eq!(
        process.intake.status(ID, deadline(2_750)).await,
        StatusOutcome::Unavailable
    );
    assert!(deadline(0).millis_since(asked_at) < 1_700, "the status came late");
    let asked_at = deadline(0);
    let outcome = process.intake.submit(ID, &job(2), deadline(2_750)).await;
    assert_eq!(outcome, SubmitOutcome::Indeterminate);
    assert!(
        deadline(0).millis_since(asked_at) < 1_700,
        "the outcome of the submission came late"
    );
}

/// Guards against a slow outcome when the store refuses calls, and against a job that runs after its refusal.
#[tokio::test(start_paused = true)]
async fn refused_submission() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    store.set_mode(1, StoreMode::Refuse);
    let asked_at = deadline(0);
    let outcome = process.intake.submit(ID, &job(2), deadline(2_500)).await;
    assert_eq!(outcome, SubmitOutcome::NotStored);
    assert!(deadline(0).millis_since(asked_at) < 250, "the refusal came late");
    store.set_mode(1, StoreMode::Normal);
    sleep_ms(5_000).await;
    assert!(fleet.started_runs().is_empty());
}

/// Guards against a leader that resigns, or applies a commit twice, when the answers to its commits are lost.
#[tokio::test(start_paused = true)]
async fn lost_commits() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let first = TestProcess::start(1, &store, &fleet);
    let second = TestProcess::start(2, &store, &fleet);
    sleep_ms(500).await;
    let (leader, caller) = if store.value("seat", "holder").is_some() {
        (1, &second)
    } else {
        (2, &first)
    };
    caller.intake.submit(ID, &job(2), deadline(2_000)).await;
    store.set_mode(leader, StoreMode::LoseAnswers);
    sleep_ms(1_500).await;
    store.set_mode(leader, StoreMode::Normal);
    assert_eq!(final_stage(caller, ID, 20_000).await, "completed");
    assert!(fleet.duplicated_tasks().is_empty());
    assert_eq!(fleet.started_runs().len(), 2);
}
