//! Cancel requests that are read or answered before their job is stored.

mod support;

use arbutuspick_dispatch::{
    BootClock, CancelOutcome, IntakeOptions, JobIntake, StatusOutcome, SubmitOutcome,
};
use support::{
    FakeFleet, FakeStore, StoreMode, TestProcess, deadline, final_stage, job, sleep_ms, store_with,
};
use yare::parameterized;

const ID: &str = "e0000000000000aa";
/// Rows in a page of a table.
const PAGE_ROWS: usize = 500;

fn intake(store: &FakeStore, process: usize) -> JobIntake<FakeStore> {
    let options = IntakeOptions {
        max_withdrawals: 20,
        ..IntakeOptions::default()
    };
    JobIntake::new(store.for_process(process), BootClock::from_runtime(), options)
}

/// Guards against a cancelled job that runs to its end, because a new leader reads the table of requests page by page:
/// the page of the body before the job is submitted, that of the cancel request after it.
#[tokio::test(start_paused = true)]
async fn page_boundary() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    for number in 1..PAGE_ROWS {
        store.put("intake", &format!("0{number:015}/cancel"), b"1");
    }
    // Sorts between the body and its cancel request, as the last row of the first page.
    store.put("intake", &format!("{ID}./cancel"), b"1");
    store.put("intake", "ffffffffffffffff/cancel", b"1");
    let caller = intake(&store, 3);
    store.set_mode(1, StoreMode::SlowPages);
    let process = TestProcess::start(1, &store, &fleet);
    let until = deadline(5_000);
    while store.keys("seat").is_empty() {
        assert!(deadline(0) < until, "no leader was elected");
        sleep_ms(1).await;
    }
    // Both other tables are read at the same time in 300 ms, then the pages of the requests in as long each.
    sleep_ms(450).await;
    caller.submit(ID, &job(2), deadline(1_000)).await;
    let outcome = caller.cancel(ID, Some("north"), deadline(1_000)).await;
    assert_eq!(outcome, CancelOutcome::Accepted);
    sleep_ms(1_000).await;
    store.set_mode(1, StoreMode::Normal);
    assert_eq!(final_stage(&process, ID, 8_000).await, "cancelled");
    assert!(fleet.started_runs().is_empty(), "the cancelled job was started");
}

/// Guards against cancel requests without a job that stay in the store for good.
#[tokio::test(start_paused = true)]
async fn orphaned_request() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let _process = TestProcess::start(1, &store, &fleet);
    store.put("intake", &format!("{ID}/cancel"), b"1");
    sleep_ms(20_000).await;
    assert_eq!(
        store.keys("intake").len(),
        1,
        "removed while its job may be stored late"
    );
    sleep_ms(60_000).await;
    assert!(store.keys("intake").is_empty());
}

/// Guards against a job that runs although its caller was told that there is none: the store carries out the submission
/// after the cancel request was answered, here also after a change of the leader.
#[parameterized(
    same_leader = { false },
    next_leader = { true },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn late_submission(change: bool) {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let _other = TestProcess::start(2, &store, &fleet);
    let (caller, canceller) = (intake(&store, 3), intake(&store, 4));
    store.set_mode(3, StoreMode::DelayWrites);
    let outcome = caller.submit(ID, &job(2), deadline(1_500)).await;
    assert_eq!(outcome, SubmitOutcome::Indeterminate);
    store.set_mode(3, StoreMode::Normal);
    let outcome = canceller.cancel(ID, Some("north"), deadline(1_500)).await;
    assert_eq!(outcome, CancelOutcome::Unknown);
    if change {
        leader.kill();
    }
    sleep_ms(8_000).await;
    assert!(fleet.started_runs().is_empty(), "the cancelled job was started");
    assert_eq!(
        canceller.status(ID, deadline(1_000)).await,
        StatusOutcome::Unknown
    );
}

/// Guards against outcomes that contradict each other when a job is submitted and cancelled at the same time.
#[tokio::test(start_paused = true)]
async fn concurrent_requests() {
    let (store, fleet) = (store_with(2), FakeFleet::new(60_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let (caller, canceller) = (intake(&store, 3), intake(&store, 4));
    for delay_ms in 0..20 {
        let id = format!("{delay_ms:016x}");
        let body = job(1);
        let (submitted, cancelled) = tokio::join!(
            async {
                sleep_ms(10).await;
                caller.submit(&id, &body, deadline(2_000)).await
            },
            async {
                sleep_ms(delay_ms).await;
                canceller.cancel(&id, Some("north"), deadline(2_000)).await
            },
        );
        match (submitted, cancelled) {
            (SubmitOutcome::Accepted { .. }, CancelOutcome::Accepted) => {
                assert_eq!(final_stage(&process, &id, 5_000).await, "cancelled");
            }
            (SubmitOutcome::Withdrawn, CancelOutcome::Unknown) => {}
            outcomes => panic!("after {delay_ms} ms: {outcomes:?}"),
        }
    }
    sleep_ms(3_000).await;
    assert_eq!(fleet.running(), 0, "a cancelled job is running");
}

/// Guards against a cancel request by which one account keeps out a job of another one, or learns of it.
#[tokio::test(start_paused = true)]
async fn other_account() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let caller = intake(&store, 3);
    let before = caller.cancel(ID, Some("south"), deadline(1_000)).await;
    let submitted = caller.submit(ID, &job(2), deadline(1_000)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted { repeated: false });
    let after = caller.cancel(ID, Some("south"), deadline(1_000)).await;
    assert_eq!((before, after), (CancelOutcome::Unknown, CancelOutcome::Unknown));
    assert_eq!(final_stage(&process, ID, 5_000).await, "completed");
}

/// Guards against a withdrawn id that is accepted too early, or never again, and against rows that stay for good.
#[tokio::test(start_paused = true)]
async fn repeated_submission() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let caller = intake(&store, 3);
    for _ in 0..2 {
        let outcome = caller.cancel(ID, Some("north"), deadline(1_000)).await;
        assert_eq!(outcome, CancelOutcome::Unknown);
        sleep_ms(30_000).await;
        // The second cancel request extends the withdrawal.
        let outcome = process.intake.submit(ID, &job(2), deadline(1_000)).await;
        assert_eq!(outcome, SubmitOutcome::Withdrawn);
    }
    sleep_ms(31_000).await;
    assert!(store.keys("intake").is_empty(), "the withdrawal was not removed");
    let outcome = process.intake.submit(ID, &job(2), deadline(1_000)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted { repeated: false });
    assert_eq!(final_stage(&process, ID, 5_000).await, "completed");
}

/// Guards against a store filled by cancel requests for unknown jobs.
#[tokio::test(start_paused = true)]
async fn many_withdrawals() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let _process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let caller = intake(&store, 3);
    let mut outcomes = Vec::new();
    for number in 0..25 {
        let id = format!("{number:016x}");
        outcomes.push(caller.cancel(&id, Some("south"), deadline(1_000)).await);
    }
    let refused = CancelOutcome::TooMany {
        limit: 20,
        period_ms: 60_000,
    };
    assert_eq!(outcomes[..20], [CancelOutcome::Unknown; 20]);
    assert_eq!(outcomes[20..], [refused; 5]);
    assert_eq!(store.keys("intake").len(), 20);
    let other = caller.cancel(ID, Some("north"), deadline(1_000)).await;
    assert_eq!(other, CancelOutcome::Unknown);
    sleep_ms(61_000).await;
    let later = caller.cancel(ID, Some("south"), deadline(1_000)).await;
    assert_eq!(later, CancelOutcome::Unknown);
    assert_eq!(store.keys("intake").len(), 1);
}

/// Guards against telling a caller that a cancel request had no effect although the store carries it out.
#[parameterized(
    lost_answers = { StoreMode::LoseAnswers },
    late_writes = { StoreMode::DelayWrites },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn unanswered_cancel(mode: StoreMode) {
    let (store, fleet) = (store_with(2), FakeFleet::new(60_000));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let caller = intake(&store, 3);
    caller.submit(ID, &job(2), deadline(1_000)).await;
    store.set_mode(3, mode);
    let outcome = caller.cancel(ID, Some("north"), deadline(2_000)).await;
    assert_eq!(outcome, CancelOutcome::Indeterminate);
    assert_eq!(final_stage(&process, ID, 5_000).await, "cancelled");
    store.set_mode(3, StoreMode::Refuse);
    let outcome = caller.cancel(ID, Some("north"), deadline(2_000)).await;
    assert_eq!(outcome, CancelOutcome::Unavailable);
}

/// Guards against keys beyond the limit of the store for accounts with long names.
#[tokio::test(start_paused = true)]
async fn long_account() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let _process = TestProcess::start(1, &store, &fleet);
    let caller = intake(&store, 3);
    let account = "ü".repeat(150);
    caller.cancel(ID, Some(&account), deadline(1_000)).await;
    let keys = store.keys("intake");
    assert!(keys[0].len() <= 200, "{} bytes", keys[0].len());
    let mut body = job(2);
    body.account = account;
    let outcome = caller.submit(ID, &body, deadline(1_000)).await;
    assert_eq!(outcome, SubmitOutcome::Withdrawn);
}
