//! Leaders that are killed, stop, or lose contact with the store or the workers.

mod support;

use arbutuspick_dispatch::{
    BootClock, CancelOutcome, ElectionDecision, ElectionWatch, IntakeOptions, JobIntake, LeaderRecord,
};
use arbutuspick_model::ClockTime;
use prost::Message;
use support::{
    FakeFleet, FakeStore, StoreMode, TestProcess, deadline, final_stage, job, sleep_ms, store_with,
};

const ID: &str = "00000000000000aa";
const NEXT_ID: &str = "00000000000000bb";

/// Guards against running tasks that are lost or restarted because the leader was killed.
#[tokio::test(start_paused = true)]
async fn killed_leader() {
    let (store, fleet) = (store_with(2), FakeFleet::new(4_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    leader.intake.submit(ID, &job(4), deadline(2_000)).await;
    sleep_ms(500).await;
    assert_eq!(fleet.running(), 4);
    leader.kill();
    assert_eq!(final_stage(&other, ID, 6_000).await, "completed");
    assert_eq!(fleet.started_runs().len(), 4, "a task was restarted");
    assert_eq!(fleet.expired_leases(), 0, "a lease expired during the takeover");
}

/// Guards against a slow takeover: another process schedules a job within 1.5 s after the leader was killed.
#[tokio::test(start_paused = true)]
async fn fast_takeover() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(1_000).await;
    let other = TestProcess::start(2, &store, &fleet);
    sleep_ms(1_000).await;
    leader.kill();
    other.intake.submit(ID, &job(1), deadline(2_000)).await;
    sleep_ms(1_500).await;
    assert_eq!(fleet.started_runs().len(), 1);
}

/// Guards against a takeover that waits for the leader timeout although the leader was stopped gracefully.
#[tokio::test(start_paused = true)]
async fn graceful_stop() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(1_000).await;
    let other = TestProcess::start(2, &store, &fleet);
    sleep_ms(1_000).await;
    leader.stopping.cancel();
    other.intake.submit(ID, &job(1), deadline(2_000)).await;
    sleep_ms(600).await;
    assert_eq!(fleet.started_runs().len(), 1);
}

/// Guards against two leaders that both start tasks when one of them cannot reach the store.
#[tokio::test(start_paused = true)]
async fn leader_without_store() {
    let (store, fleet) = (store_with(2), FakeFleet::new(3_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    leader.intake.submit(ID, &job(4), deadline(2_000)).await;
    sleep_ms(500).await;
    store.set_mode(1, StoreMode::Hang);
    sleep_ms(1_700).await;
    other.intake.submit(NEXT_ID, &job(4), deadline(2_000)).await;
    assert_eq!(final_stage(&other, ID, 8_000).await, "completed");
    assert_eq!(final_stage(&other, NEXT_ID, 8_000).await, "completed");
    assert!(fleet.duplicated_tasks().is_empty());
    assert_eq!(fleet.started_runs().len(), 8);
    let late_starts = fleet
        .started_runs()
        .iter()
        .filter(|(task, _, by)| task.job.as_ref() == NEXT_ID && *by == 1)
        .count();
    assert_eq!(late_starts, 0, "the leader without the store started tasks");
}

/// Guards against restarted tasks and expired leases when the store is unreachable for all processes.
#[tokio::test(start_paused = true)]
async fn store_unreachable() {
    let (store, fleet) = (store_with(2), FakeFleet::new(6_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    leader.intake.submit(ID, &job(4), deadline(2_000)).await;
    sleep_ms(500).await;
    for process in [1, 2] {
        store.set_mode(process, StoreMode::Hang);
    }
    sleep_ms(5_000).await;
    for process in [1, 2] {
        store.set_mode(process, StoreMode::Normal);
    }
    assert_eq!(final_stage(&other, ID, 8_000).await, "completed");
    assert_eq!(fleet.started_runs().len(), 4);
    assert_eq!(fleet.expired_leases(), 0);
}

/// Guards against restarting tasks that may still run on workers that the new leader cannot reach.
#[tokio::test(start_paused = true)]
async fn unreachable_workers() {
    let (store, fleet) = (store_with(1), FakeFleet::new(60_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    leader.intake.submit(ID, &job(2), deadline(2_000)).await;
    sleep_ms(500).await;
    fleet.disconnect(2);
    let _other = TestProcess::start(2, &store, &fleet);
    store.put(support::WORKER_TABLE, "w9", b"1");
    leader.kill();
    sleep_ms(8_000).await;
    assert!(fleet.duplicated_tasks().is_empty());
    assert_eq!(fleet.started_runs().len(), 2, "started before the leases expired");
}

/// Guards against a new leader that starts a job although it was cancelled while that leader read the job records.
#[tokio::test(start_paused = true)]
async fn cancelled_during_load() {
    let (store, fleet) = (store_with(2), FakeFleet::new(60_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    store.set_mode(2, StoreMode::SlowRecords);
    let caller = JobIntake::new(
        store.for_process(3),
        BootClock::from_runtime(),
        IntakeOptions::default(),
    );
    leader.kill();
    caller.submit(ID, &job(4), deadline(2_000)).await;
    let epoch = |store: &FakeStore| {
        let record = store.value("seat", "holder").expect("no leader record");
        LeaderRecord::decode(record)
            .expect("unreadable leader record")
            .epoch
    };
    let former = epoch(&store);
    let until = deadline(5_000);
    while epoch(&store) == former {
        assert!(deadline(0) < until, "no other leader was elected");
        sleep_ms(20).await;
    }
    sleep_ms(300).await;
    let outcome = caller.cancel(ID, Some("north"), deadline(2_000)).await;
    assert_eq!(outcome, CancelOutcome::Accepted);
    assert_eq!(final_stage(&other, ID, 8_000).await, "cancelled");
    sleep_ms(1_000).await;
    assert!(fleet.started_runs().is_empty(), "the cancelled job was started");
}

/// Guards against a small VM that becomes leader before VMs with more capacity had time to.
#[test]
fn small_vm() {
    let mut watch = ElectionWatch::with_delay(800);
    assert_eq!(watch.observe(0, false, ClockTime(1_000)), ElectionDecision::Wait);
    assert_eq!(watch.observe(0, false, ClockTime(1_500)), ElectionDecision::Wait);
    assert_eq!(
        watch.observe(0, false, ClockTime(2_000)),
        ElectionDecision::Acquire
    );
    assert_eq!(watch.observe(9, false, ClockTime(2_500)), ElectionDecision::Wait);
    assert_eq!(watch.observe(9, true, ClockTime(3_000)), ElectionDecision::Wait);
}

/// Guards against replacing a leader that lost contact with the store at the same time as the observer.
#[test]
fn observer_gap() {
    let mut watch = ElectionWatch::default();
    watch.observe(5, false, ClockTime(1_000));
    assert_eq!(watch.observe(5, false, ClockTime(6_000)), ElectionDecision::Wait);
    assert_eq!(watch.observe(5, false, ClockTime(6_500)), ElectionDecision::Wait);
    assert_eq!(
        watch.observe(5, false, ClockTime(7_000)),
        ElectionDecision::Acquire
    );
}
