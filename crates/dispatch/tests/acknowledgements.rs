//! Acknowledgements of ended runs and grants of leases, which a process that has restarted since must not receive.

mod support;

use support::{FakeFleet, TestProcess, deadline, final_stage, job, sleep_ms, store_with};

const ID: &str = "00000000000000aa";

/// Guards against an acknowledgement that reaches the next process of a worker, which would drop ends of its own.
#[tokio::test(start_paused = true)]
async fn pinned_to_connection() {
    let (store, fleet) = (store_with(2), FakeFleet::new(700));
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    process.intake.submit(ID, &job(60), deadline(2_000)).await;
    for _ in 0..40 {
        fleet.close_connections(false);
        sleep_ms(130).await;
    }
    assert_eq!(final_stage(&process, ID, 5_000).await, "completed");
    let (all, unpinned) = fleet.acknowledgements();
    assert!(all >= 8, "only {all} acknowledgements");
    assert_eq!(unpinned, 0, "of {all} acknowledgements");
    // The clock of the next process begins anew, so a lease of the clock before would outlast its bound.
    assert_eq!(fleet.unpinned_grants(), (0, 0), "starts and renewals");
    assert_eq!(fleet.started_runs().len(), 60);
}

/// Guards against starts that are never sent, and ends that are never acknowledged, because the worker closes each
/// connection after an answer.
#[tokio::test(start_paused = true)]
async fn short_connections() {
    let (store, fleet) = (store_with(1), FakeFleet::new(300));
    fleet.close_connections(true);
    let process = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    process.intake.submit(ID, &job(8), deadline(2_000)).await;
    assert_eq!(final_stage(&process, ID, 5_000).await, "completed");
    sleep_ms(1_000).await;
    let (all, unpinned) = fleet.acknowledgements();
    assert!(all > 0, "no acknowledgement");
    assert_eq!(unpinned, all);
}
