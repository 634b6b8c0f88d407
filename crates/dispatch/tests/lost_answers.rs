//! Writes whose answers are lost or that happen late.

mod support;

use arbutuspick_dispatch::{StatusOutcome, SubmitOutcome};
use support::{FakeFleet, StoreMood, TestProcess, deadline, final_stage, job, pass, store_with};

const ID: &str = "00000000000000aa";

/// Guards against a second job, or a refusal, after the answer to the first write was lost.
#[tokio::test(start_paused = true)]
async fn lost_submission() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    store.set_mood(1, StoreMood::LosesAnswers);
    let outcome = process.gate.submit(ID, &job(2), deadline(2_500)).await;
    store.set_mood(1, StoreMood::Fine);
    assert_eq!(outcome, SubmitOutcome::Unclear);
    let again = process.gate.submit(ID, &job(2), deadline(2_500)).await;
    assert_eq!(again, SubmitOutcome::Accepted { repeated: true });
    assert_eq!(final_stage(&process, ID, 8_000).await, "completed");
    assert_eq!(fleet.began().len(), 2);
}

/// Guards against "not stored" for a job whose row appears later.
#[tokio::test(start_paused = true)]
async fn late_submission() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    store.set_mood(1, StoreMood::LateWrites);
    let outcome = process.gate.submit(ID, &job(2), deadline(1_500)).await;
    assert_eq!(outcome, SubmitOutcome::Unclear);
    store.set_mood(1, StoreMood::Fine);
    assert_eq!(final_stage(&process, ID, 8_000).await, "completed");
}

/// Guards against callers that are held until their deadline while another VM could serve them.
#[tokio::test(start_paused = true)]
async fn silent_store() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    store.set_mood(1, StoreMood::Silent);
    let asked_at = deadline(0);
    assert_eq!(
        process.gate.status(ID, deadline(2_750)).await,
        StatusOutcome::Unavailable
    );
    assert!(deadline(0).millis_since(asked_at) < 1_700, "the status was held");
    let asked_at = deadline(0);
    let outcome = process.gate.submit(ID, &job(2), deadline(2_750)).await;
    assert_eq!(outcome, SubmitOutcome::Unclear);
    assert!(
        deadline(0).millis_since(asked_at) < 1_700,
        "the submission was held"
    );
}

/// Guards against waiting for a store that refuses, and against a job that runs after its refusal.
#[tokio::test(start_paused = true)]
async fn refused_submission() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    store.set_mood(1, StoreMood::Refuses);
    let asked_at = deadline(0);
    let outcome = process.gate.submit(ID, &job(2), deadline(2_500)).await;
    assert_eq!(outcome, SubmitOutcome::NotStored);
    assert!(
        deadline(0).millis_since(asked_at) < 250,
        "the caller waited for a refusal"
    );
    store.set_mood(1, StoreMood::Fine);
    pass(5_000).await;
    assert!(fleet.began().is_empty());
}

/// Guards against a holder that gives up, or does a step twice, when the answers to its commits are lost.
#[tokio::test(start_paused = true)]
async fn lost_commits() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let holder = TestProcess::start(1, &store, &fleet);
    let other = TestProcess::start(2, &store, &fleet);
    pass(500).await;
    let (holding, caller) = if store.value("seat", "holder").is_some() {
        (1, &other)
    } else {
        (2, &holder)
    };
    caller.gate.submit(ID, &job(2), deadline(2_000)).await;
    store.set_mood(holding, StoreMood::LosesAnswers);
    pass(1_500).await;
    store.set_mood(holding, StoreMood::Fine);
    assert_eq!(final_stage(caller, ID, 20_000).await, "completed");
    assert!(fleet.twice().is_empty());
    assert_eq!(fleet.began().len(), 2);
}
