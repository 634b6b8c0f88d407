//! Runs on workers that announce that they leave.

mod support;

use arbutuspick_pool::{LossCause, StepBody, StopReason, WorkerKey};
use support::{TestPool, body, step};

/// Returns a pool with a gang of four members that has worked for two seconds, and the worker of one of them.
fn pool_with_gang(percent: u32) -> (TestPool, usize) {
    let mut pool = TestPool::new(8);
    let gang = StepBody {
        gang: true,
        estimate_ms: 10_000,
        ..step(4, 8)
    };
    pool.submit("job", body("normal", "south", vec![gang]));
    pool.run_decision();
    list_all(&mut pool, 0);
    pool.advance(2_000);
    list_all(&mut pool, percent);
    let left = pool.starts[0].worker;
    let number = pool.workers.iter().position(|key| *key == left);
    (pool, number.expect("the worker of a run is unknown"))
}

fn list_all(pool: &mut TestPool, percent: u32) {
    for worker in pool.workers.clone() {
        let listing = pool.listing(worker, percent);
        pool.core.apply_listing(worker, &listing, pool.now);
    }
}

/// Guards against a gang that works on until its worker leaves, although it cannot end by then.
#[test]
fn late_gang() {
    let (mut pool, number) = pool_with_gang(20);
    pool.announce_departure(number, 5_000);
    pool.run_decision();
    assert_eq!(pool.stops.len(), 4, "{:?}", pool.stops);
    assert!(
        pool.stops
            .iter()
            .any(|stop| stop.reason == StopReason::WorkerLeaving)
    );
    let losses = pool.core.take_losses();
    assert_eq!(
        losses.keys().copied().collect::<Vec<_>>(),
        vec![LossCause::Notice]
    );
    pool.advance(100);
    pool.run_decision();
    let workers: Vec<WorkerKey> = pool.starts[4..].iter().map(|start| start.worker).collect();
    assert_eq!(workers.len(), 4, "the gang was not started again");
    assert!(!workers.contains(&pool.workers[number]));
}

/// Guards against a gang that is stopped although it can end before its worker leaves.
#[test]
fn timely_gang() {
    let (mut pool, number) = pool_with_gang(40);
    pool.announce_departure(number, 5_000);
    pool.run_decision();
    assert!(pool.stops.is_empty(), "{:?}", pool.stops);
}

/// Guards against runs that are stopped before their pace is known; estimates are far off.
#[test]
fn unknown_pace() {
    let mut pool = TestPool::new(4);
    let long = StepBody {
        estimate_ms: 20_000,
        ..step(1, 8)
    };
    pool.submit("job", body("normal", "south", vec![long]));
    pool.run_decision();
    list_all(&mut pool, 0);
    let worker = pool.starts[0].worker;
    let number = pool.workers.iter().position(|key| *key == worker);
    pool.announce_departure(number.expect("the worker of a run is unknown"), 5_000);
    pool.run_decision();
    assert!(pool.stops.is_empty(), "{:?}", pool.stops);
}
