//! Learned states in the store: what a leader does with those that it finds.

mod support;

use arbutuspick_dispatch::SubmitOutcome;
use support::{FakeFleet, StoreMode, TestProcess, deadline, final_stage, job, sleep_ms, store_with};
use yare::parameterized;

const ID: &str = "e0000000000000ab";

/// Guards against a leader that fails, or does not start, because of a learned state that it cannot read.
#[parameterized(
    undecodable = { "worker speeds", StoreMode::Normal },
    unknown = { "of a later version", StoreMode::Normal },
    slow_reads = { "worker speeds", StoreMode::SlowPages },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn unusable_state(key: &str, mode: StoreMode) {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    store.put("learned", key, b"\xff\xff");
    store.set_mode(1, mode);
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(3_000).await;
    store.set_mode(1, StoreMode::Normal);
    let submitted = process.intake.submit(ID, &job(2), deadline(1_000)).await;
    assert!(
        matches!(submitted, SubmitOutcome::Accepted { .. }),
        "{submitted:?}"
    );
    assert_eq!(final_stage(&process, ID, 8_000).await, "completed");
    assert_eq!(
        store.keys("learned"),
        [key],
        "the state was removed or overwritten"
    );
}
