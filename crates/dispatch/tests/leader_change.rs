//! Holders that die, stop, or lose the store or the workers.

mod support;

use arbutuspick_dispatch::{SeatDecision, SeatWatch};
use arbutuspick_model::ClockTime;
use support::{FakeFleet, StoreMood, TestProcess, deadline, final_stage, job, pass, store_with};

const ID: &str = "00000000000000aa";
const NEXT: &str = "00000000000000bb";

/// Guards against running work that is lost or started again because its holder died.
#[tokio::test(start_paused = true)]
async fn killed_holder() {
    let (store, fleet) = (store_with(2), FakeFleet::new(4_000));
    let holder = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    holder.gate.submit(ID, &job(4), deadline(2_000)).await;
    pass(500).await;
    assert_eq!(fleet.running(), 4);
    holder.kill();
    assert_eq!(final_stage(&other, ID, 6_000).await, "completed");
    assert_eq!(fleet.began().len(), 4, "a run was started again");
    assert_eq!(fleet.lapsed(), 0, "a lease ran out during the change");
}

/// Guards against a long time without a holder: others take the seat within a second and a half.
#[tokio::test(start_paused = true)]
async fn fast_change() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let holder = TestProcess::start(1, &store, &fleet);
    pass(1_000).await;
    let other = TestProcess::start(2, &store, &fleet);
    pass(1_000).await;
    holder.kill();
    other.gate.submit(ID, &job(1), deadline(2_000)).await;
    pass(1_500).await;
    assert_eq!(fleet.began().len(), 1);
}

/// Guards against waiting for a timeout after a planned stop.
#[tokio::test(start_paused = true)]
async fn planned_stop() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let holder = TestProcess::start(1, &store, &fleet);
    pass(1_000).await;
    let other = TestProcess::start(2, &store, &fleet);
    pass(1_000).await;
    holder.stopping.cancel();
    other.gate.submit(ID, &job(1), deadline(2_000)).await;
    pass(600).await;
    assert_eq!(fleet.began().len(), 1);
}

/// Guards against two holders that both start work when the store turns one of them away.
#[tokio::test(start_paused = true)]
async fn holder_without_store() {
    let (store, fleet) = (store_with(2), FakeFleet::new(3_000));
    let holder = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    holder.gate.submit(ID, &job(4), deadline(2_000)).await;
    pass(500).await;
    store.set_mood(1, StoreMood::Silent);
    pass(1_700).await;
    other.gate.submit(NEXT, &job(4), deadline(2_000)).await;
    assert_eq!(final_stage(&other, ID, 8_000).await, "completed");
    assert_eq!(final_stage(&other, NEXT, 8_000).await, "completed");
    assert!(fleet.twice().is_empty());
    assert_eq!(fleet.began().len(), 8);
    let late = fleet
        .began()
        .iter()
        .filter(|(task, _, by)| task.job.as_ref() == NEXT && *by == 1)
        .count();
    assert_eq!(late, 0, "the holder without the store started work");
}

/// Guards against a takeover, and against lost leases, while the store is away for everybody.
#[tokio::test(start_paused = true)]
async fn store_away() {
    let (store, fleet) = (store_with(2), FakeFleet::new(6_000));
    let holder = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    holder.gate.submit(ID, &job(4), deadline(2_000)).await;
    pass(500).await;
    for process in [1, 2] {
        store.set_mood(process, StoreMood::Silent);
    }
    pass(5_000).await;
    for process in [1, 2] {
        store.set_mood(process, StoreMood::Fine);
    }
    assert_eq!(final_stage(&other, ID, 8_000).await, "completed");
    assert_eq!(fleet.began().len(), 4);
    assert_eq!(fleet.lapsed(), 0);
}

/// Guards against starting anew what may still run on workers that the new holder cannot reach.
#[tokio::test(start_paused = true)]
async fn unreachable_workers() {
    let (store, fleet) = (store_with(1), FakeFleet::new(60_000));
    let holder = TestProcess::start(1, &store, &fleet);
    pass(500).await;
    holder.gate.submit(ID, &job(2), deadline(2_000)).await;
    pass(500).await;
    fleet.cut(2);
    let _other = TestProcess::start(2, &store, &fleet);
    store.put(support::WORKER_TABLE, "w9", b"1");
    holder.kill();
    pass(8_000).await;
    assert!(fleet.twice().is_empty());
    assert_eq!(fleet.began().len(), 2, "started before the leases had run out");
}

/// Guards against a weak VM that takes the seat of a large pool while stronger ones look for it too.
#[test]
fn weak_vm() {
    let mut weak = SeatWatch::with_handicap(800);
    assert_eq!(weak.observe(0, false, ClockTime(1_000)), SeatDecision::Wait);
    assert_eq!(weak.observe(0, false, ClockTime(1_500)), SeatDecision::Wait);
    assert_eq!(weak.observe(0, false, ClockTime(2_000)), SeatDecision::Take);
    assert_eq!(weak.observe(9, false, ClockTime(2_500)), SeatDecision::Wait);
    assert_eq!(weak.observe(9, true, ClockTime(3_000)), SeatDecision::Wait);
}

/// Guards against taking the seat of a holder that was cut off together with the observer.
#[test]
fn observer_gap() {
    let mut watch = SeatWatch::default();
    watch.observe(5, false, ClockTime(1_000));
    assert_eq!(watch.observe(5, false, ClockTime(6_000)), SeatDecision::Wait);
    assert_eq!(watch.observe(5, false, ClockTime(6_500)), SeatDecision::Wait);
    assert_eq!(watch.observe(5, false, ClockTime(7_000)), SeatDecision::Take);
}
