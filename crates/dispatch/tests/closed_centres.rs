//! Data centres that operators take out of service and back.

mod support;

use support::{
    CLOSED_PREFIX, CONFIG_TABLE, FakeFleet, StoreMode, TestProcess, deadline, final_stage, job, sleep_ms,
    store_with,
};

const ID: &str = "00000000000000aa";

/// Guards against starts in a data centre that was closed while a new leader read its tables.
#[tokio::test(start_paused = true)]
async fn closed_during_takeover() {
    for closed_at_ms in (0..1_600).step_by(40) {
        let (store, fleet) = (store_with(2), FakeFleet::new(500));
        store.set_mode(1, StoreMode::SlowReads);
        let key = format!("{CLOSED_PREFIX}trent");
        let process = TestProcess::start(1, &store, &fleet);
        sleep_ms(closed_at_ms).await;
        store.put(CONFIG_TABLE, &key, b"1");
        sleep_ms(3_000).await;
        process.intake.submit(ID, &job(2), deadline(2_000)).await;
        sleep_ms(2_000).await;
        assert!(
            fleet.started_runs().is_empty(),
            "started in a data centre closed after {closed_at_ms} ms"
        );
        store.remove(CONFIG_TABLE, &key);
        assert_eq!(final_stage(&process, ID, 5_000).await, "completed");
        process.kill();
    }
}
