//! Life cycle of a job, from its submission to its end.

mod support;

use arbutuspick_dispatch::{CancelOutcome, StatusOutcome, SubmitOutcome};
use support::{FakeFleet, StoreMode, TestProcess, deadline, final_stage, job, sleep_ms, store_with};

const ID: &str = "00000000000000aa";

/// Guards against a job that is lost between its acceptance and its end.
#[tokio::test(start_paused = true)]
async fn job_completes() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let outcome = process.intake.submit(ID, &job(4), deadline(2_000)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted { repeated: false });
    assert_eq!(final_stage(&process, ID, 5_000).await, "completed");
    assert_eq!(fleet.started_runs().len(), 4);
    sleep_ms(500).await;
    assert!(
        store.keys("intake").is_empty(),
        "the body of an ended job was not removed"
    );
}

/// Guards against a repeated request that creates a second job or is accepted although its body differs.
#[tokio::test(start_paused = true)]
async fn repeated_request() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    let other = TestProcess::start(2, &store, &fleet);
    sleep_ms(500).await;
    process.intake.submit(ID, &job(2), deadline(2_000)).await;
    assert_eq!(final_stage(&process, ID, 5_000).await, "completed");
    let again = other.intake.submit(ID, &job(2), deadline(2_000)).await;
    assert_eq!(again, SubmitOutcome::Accepted { repeated: true });
    let changed = other.intake.submit(ID, &job(3), deadline(2_000)).await;
    assert_eq!(changed, SubmitOutcome::BodyMismatch);
    sleep_ms(3_000).await;
    assert_eq!(fleet.started_runs().len(), 2);
}

/// Guards against a cancelled job whose tasks continue to run or start later.
#[tokio::test(start_paused = true)]
async fn cancelled_job() {
    let (store, fleet) = (store_with(1), FakeFleet::new(60_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    process.intake.submit(ID, &job(12), deadline(2_000)).await;
    sleep_ms(500).await;
    assert_eq!(fleet.running(), 8);
    let other_account = process.intake.cancel(ID, Some("south"), deadline(2_000)).await;
    assert_eq!(other_account, CancelOutcome::Unknown);
    let own_account = process.intake.cancel(ID, Some("north"), deadline(2_000)).await;
    assert_eq!(own_account, CancelOutcome::Accepted);
    sleep_ms(1_000).await;
    assert_eq!(fleet.running(), 0);
    assert_eq!(fleet.started_runs().len(), 8);
    assert_eq!(final_stage(&process, ID, 1_000).await, "cancelled");
}

/// Guards against a job that was never submitted but is reported as known.
#[tokio::test(start_paused = true)]
async fn unknown_job() {
    let (store, fleet) = (store_with(1), FakeFleet::new(1_000));
    let process = TestProcess::start(1, &store, &fleet);
    assert_eq!(
        process.intake.status(ID, deadline(1_000)).await,
        StatusOutcome::Unknown
    );
    assert_eq!(
        process.intake.cancel(ID, None, deadline(1_000)).await,
        CancelOutcome::Unknown
    );
}

/// Guards against starting the tasks of a job that was cancelled while the decision to start them was being stored.
#[tokio::test(start_paused = true)]
async fn cancelled_during_commit() {
    let (store, fleet) = (store_with(2), FakeFleet::new(60_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    store.set_mode(1, StoreMode::SlowCommits);
    sleep_ms(500).await;
    other.intake.submit(ID, &job(4), deadline(2_000)).await;
    sleep_ms(100).await;
    let outcome = other.intake.cancel(ID, Some("north"), deadline(2_000)).await;
    assert_eq!(outcome, CancelOutcome::Accepted);
    sleep_ms(2_000).await;
    assert!(fleet.started_runs().is_empty(), "the cancelled job was started");
    assert_eq!(final_stage(&leader, ID, 1_000).await, "cancelled");
}
