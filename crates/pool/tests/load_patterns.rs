//! Load patterns at their worst, each replayed on a small pool.

mod support;

use std::collections::HashSet;

use arbutuspick_pool::{EndKind, PoolOrder, StepBody, StopReason};
use support::{TestPool, body, step};

/// Fills four workers with bulk work of one accelerator a task.
fn full_of_bulk() -> TestPool {
    let mut pool = TestPool::new(4);
    pool.submit("bulk", body("bulk", "south", vec![step(32, 1)]));
    pool.step();
    assert_eq!(pool.running("bulk"), 32);
    pool.pass(500);
    pool
}

/// Burst of urgent work on a full pool: guards against an account that waits for its guarantee.
#[test]
fn urgent_burst() {
    let mut pool = full_of_bulk();
    pool.submit("now", body("urgent", "north", vec![step(2, 8)]));
    pool.step();
    pool.pass(25);
    pool.step();
    assert_eq!(pool.running("now"), 2);
    assert_eq!(
        pool.stops.len(),
        16,
        "more was stopped than the urgent tasks need"
    );
    assert!(pool.stops.iter().all(|stop| stop.reason == StopReason::Preempted));
}

/// Urgent work beyond the guarantee: guards against stopping more than callers gain.
#[test]
fn small_gain() {
    let mut pool = TestPool::new(1);
    let long = StepBody {
        estimate_ms: 60_000,
        gang: true,
        ..step(8, 1)
    };
    pool.submit("long", body("bulk", "south", vec![long]));
    pool.step();
    pool.pass(50_000);
    pool.step();
    // An account without a guarantee asks for a task that would undo fifty seconds of eight accelerators.
    pool.submit("tiny", body("urgent", "east", vec![step(1, 1)]));
    pool.step();
    assert!(pool.stops.is_empty(), "{:?}", pool.stops);
}

/// Crowd of small tasks: guards against spreading them over workers that gangs need whole.
#[test]
fn whole_workers() {
    let mut pool = TestPool::new(16);
    pool.submit("wide", body("normal", "south", vec![step(14, 8)]));
    pool.step();
    pool.submit("bulk", body("bulk", "south", vec![step(12, 1)]));
    pool.step();
    assert_eq!(pool.running("bulk"), 0, "the last whole workers were taken");
    pool.submit(
        "gang",
        body(
            "normal",
            "south",
            vec![StepBody {
                gang: true,
                ..step(2, 8)
            }],
        ),
    );
    pool.step();
    assert_eq!(pool.running("gang"), 2);
    pool.finish("gang");
    pool.pass(4_500);
    pool.step();
    assert_eq!(pool.running("bulk"), 12, "work that comes last waited for ever");
}

/// Wave of cancellations: guards against room that stays taken, and against stops that come one by one.
#[test]
fn cancelled_wave() {
    let mut pool = full_of_bulk();
    pool.submit("next", body("bulk", "south", vec![step(32, 1)]));
    pool.step();
    assert_eq!(pool.running("next"), 0);
    let now = pool.now;
    assert!(pool.core.cancel_job(&"bulk".into(), now));
    pool.step();
    assert_eq!(pool.stops.len(), 32);
    pool.pass(25);
    pool.step();
    assert_eq!(pool.running("next"), 32);
}

/// Hopeless job in a crowd: guards against attempts without end, and against others that wait for it.
#[test]
fn hopeless_job() {
    let mut pool = TestPool::new(4);
    pool.submit("bad", body("normal", "south", vec![step(1, 8)]));
    pool.submit("good", body("normal", "south", vec![step(3, 8)]));
    for _ in 0..10 {
        pool.step();
        let latest = pool
            .starts
            .iter()
            .rev()
            .find(|start| start.task.job.as_ref() == "bad")
            .cloned();
        let latest = latest.expect("the hopeless job was never tried");
        pool.end(latest.worker, &latest.task, latest.run, EndKind::Failed);
        pool.pass(700);
    }
    let tried = pool
        .starts
        .iter()
        .filter(|start| start.task.job.as_ref() == "bad")
        .count();
    assert_eq!(tried, 4);
    assert_eq!(pool.running("good"), 3);
}

/// Slow worker: guards against runs that stay where they take many times as long as their siblings.
#[test]
fn slow_worker() {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step(3, 8)]));
    pool.step();
    let slow = pool.starts[0].worker;
    for tick in 1..=8 {
        pool.pass(200);
        for worker in pool.workers.clone() {
            let percent = if worker == slow { tick } else { tick * 10 };
            let listing = pool.listing(worker, percent);
            let now = pool.now;
            pool.core.apply_listing(worker, &listing, now);
        }
        pool.step();
    }
    assert_eq!(pool.stops.len(), 1);
    assert_eq!(pool.stops[0].worker, slow);
    pool.pass(25);
    pool.step();
    let moved = pool.starts.last().expect("no start");
    assert_eq!((moved.run, moved.worker == slow), (2, false));
}

/// Estimates far off: guards against moving tasks that are simply long.
#[test]
fn long_tasks() {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step(4, 8)]));
    pool.step();
    for tick in 1..=20 {
        pool.pass(500);
        for worker in pool.workers.clone() {
            let listing = pool.listing(worker, tick);
            let now = pool.now;
            pool.core.apply_listing(worker, &listing, now);
        }
        pool.step();
    }
    assert!(pool.stops.is_empty(), "{:?}", pool.stops);
}

/// A data centre taken out under full load: guards against starts in it, and against work that is not taken up
/// again when it is back.
#[test]
fn closed_centre() {
    let mut pool = TestPool::new(8);
    pool.core.close_centres(HashSet::from(["trent".into()]));
    pool.submit("job", body("normal", "south", vec![step(8, 8)]));
    pool.step();
    assert_eq!(pool.running("job"), 4);
    pool.core.close_centres(HashSet::new());
    pool.pass(25);
    pool.step();
    assert_eq!(pool.running("job"), 8);
}

/// Lost answers: guards against a gang of which a part waits for a member that never came.
#[test]
fn broken_gang() {
    let mut pool = TestPool::new(4);
    pool.submit(
        "gang",
        body(
            "normal",
            "south",
            vec![StepBody {
                gang: true,
                ..step(3, 8)
            }],
        ),
    );
    let orders = pool.decide();
    let mut refused = 0;
    for order in orders {
        match order {
            PoolOrder::Start(start) if refused == 0 => {
                refused = 1;
                let now = pool.now;
                let answer = arbutuspick_pool::StartAnswer::Refused;
                pool.core
                    .apply_start_answer(&start.task, start.run, start.worker, answer, now);
            }
            order => pool.carry_out(order),
        }
    }
    for _ in 0..4 {
        pool.pass(25);
        pool.step();
    }
    assert_eq!(pool.running("gang"), 3);
    let runs: HashSet<u32> = pool.starts.iter().rev().take(3).map(|start| start.run).collect();
    assert_eq!(runs, HashSet::from([2]), "the gang did not start anew as a whole");
}

/// Return for a guarantee while a run is about to end: guards against waiting for an end that does not come.
#[test]
fn overdue_end() {
    let mut pool = TestPool::new(1);
    pool.submit("bulk", body("bulk", "south", vec![step(1, 8)]));
    pool.step();
    let worker = pool.workers[0];
    let list = |pool: &mut TestPool, percent| {
        pool.pass(100);
        let listing = pool.listing(worker, percent);
        let now = pool.now;
        pool.core.apply_listing(worker, &listing, now);
        pool.step();
    };
    for tick in 0..19 {
        list(&mut pool, tick * 5);
    }
    pool.submit("now", body("urgent", "north", vec![step(1, 8)]));
    pool.step();
    assert!(pool.stops.is_empty(), "a run about to end was stopped");
    for _ in 0..12 {
        list(&mut pool, 95);
    }
    assert_eq!(pool.running("now"), 1, "waited for a run that does not end");
}

/// Gang with a member on a worker that stands still: guards against urgent work that is late before it is moved.
#[test]
fn standing_member() {
    let mut pool = TestPool::new(8);
    let gang = StepBody {
        gang: true,
        ..step(3, 8)
    };
    pool.submit("now", body("urgent", "north", vec![gang]));
    pool.step();
    let bad = pool.starts[0].worker;
    let list = |pool: &mut TestPool, percent: u32| {
        for worker in pool.workers.clone() {
            let shown = if worker == bad { 0 } else { percent };
            let listing = pool.listing(worker, shown);
            let now = pool.now;
            pool.core.apply_listing(worker, &listing, now);
        }
        pool.step();
    };
    pool.pass(600);
    list(&mut pool, 30);
    assert_eq!(pool.stops.len(), 3, "{:?}", pool.stops);
    pool.pass(25);
    pool.step();
    assert_eq!(pool.running("now"), 3, "the gang did not start anew");
    let again = pool.starts.iter().filter(|start| start.run == 2);
    assert!(
        again.clone().all(|start| start.worker != bad),
        "a member went back to the worker that stands still"
    );
    // Later work leaves that worker alone as well.
    pool.submit("next", body("normal", "south", vec![step(4, 8)]));
    pool.step();
    assert!(pool.starts.iter().skip(3).all(|start| start.worker != bad));
}

/// Several returns for a guarantee at once: guards against room of one stopped gang that is promised twice, so that
/// later work waits for a place that does not come free and leaves others unused.
#[test]
fn promised_twice() {
    let mut pool = TestPool::new(2);
    let pairs = StepBody {
        gang: true,
        ..step(4, 4)
    };
    pool.submit("pairs", body("bulk", "south", vec![pairs]));
    pool.step();
    assert_eq!(pool.running("pairs"), 4);
    pool.pass(500);
    let mut orders = Vec::new();
    for job in ["first", "second", "third"] {
        let account = if job == "third" { "south" } else { "north" };
        pool.submit(job, body("urgent", account, vec![step(1, 8)]));
        orders.extend(pool.decide());
        pool.pass(25);
    }
    assert_eq!(pool.stops.len(), 4, "the gang was not stopped once");
    for order in orders {
        pool.carry_out(order);
    }
    pool.step();
    assert_eq!((pool.running("first"), pool.running("second")), (1, 1));
    pool.pass(100);
    pool.finish("second");
    pool.step();
    assert_eq!(pool.running("third"), 1, "free room was left unused");
}
