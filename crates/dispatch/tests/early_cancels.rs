//! Cancel requests that are read or answered before their job is stored.

mod support;

use arbutuspick_dispatch::{BootClock, CancelOutcome, IntakeOptions, JobIntake};
use support::{FakeFleet, StoreMode, TestProcess, deadline, final_stage, job, sleep_ms, store_with};

const ID: &str = "e0000000000000aa";
/// Rows in a page of a table.
const PAGE_ROWS: usize = 500;

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
    let caller = JobIntake::new(
        store.for_process(3),
        BootClock::from_runtime(),
        IntakeOptions::default(),
    );
    store.set_mode(1, StoreMode::SlowPages);
    let process = TestProcess::start(1, &store, &fleet);
    while store.keys("seat").is_empty() {
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
