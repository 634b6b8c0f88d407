//! Worst cases of load patterns, each on a small pool.

mod support;

use std::collections::HashSet;

use arbutuspick_pool::{EndKind, PoolOrder, StepBody, StopReason};
use support::{TestPool, body, step};

/// Returns a pool of four workers that is full of bulk tasks with one accelerator each.
fn saturated_pool() -> TestPool {
    let mut pool = TestPool::new(4);
    pool.submit("bulk", body("bulk", "south", vec![step(32, 1)]));
    pool.run_decision();
    assert_eq!(pool.running_count("bulk"), 32);
    pool.advance(500);
    pool
}

/// Guards against an account that waits for its guarantee when it submits urgent work to a full pool.
#[test]
fn urgent_burst() {
    let mut pool = saturated_pool();
    pool.submit("now", body("urgent", "north", vec![step(2, 8)]));
    pool.run_decision();
    pool.advance(25);
    pool.run_decision();
    assert_eq!(pool.running_count("now"), 2);
    assert_eq!(
        pool.stops.len(),
        16,
        "more runs were stopped than the urgent tasks need"
    );
    assert!(pool.stops.iter().all(|stop| stop.reason == StopReason::Preempted));
}

/// Guards against urgent work outside a guarantee that preempts runs at a higher cost than it gains.
#[test]
fn costly_preemption() {
    let mut pool = TestPool::new(1);
    let long = StepBody {
        estimate_ms: 60_000,
        gang: true,
        ..step(8, 1)
    };
    pool.submit("long", body("bulk", "south", vec![long]));
    pool.run_decision();
    pool.advance(50_000);
    pool.run_decision();
    // Preemption by an account without a guarantee would lose fifty seconds of eight accelerators.
    pool.submit("tiny", body("urgent", "east", vec![step(1, 1)]));
    pool.run_decision();
    assert!(pool.stops.is_empty(), "{:?}", pool.stops);
}

/// Guards against small tasks that occupy the last empty workers, which gangs need.
#[test]
fn empty_workers() {
    let mut pool = TestPool::new(16);
    pool.submit("wide", body("normal", "south", vec![step(14, 8)]));
    pool.run_decision();
    pool.submit("bulk", body("bulk", "south", vec![step(12, 1)]));
    pool.run_decision();
    assert_eq!(pool.running_count("bulk"), 0, "the last empty workers were used");
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
    pool.run_decision();
    assert_eq!(pool.running_count("gang"), 2);
    pool.finish_job("gang");
    pool.advance(4_500);
    pool.run_decision();
    assert_eq!(
        pool.running_count("bulk"),
        12,
        "low-priority work was never placed"
    );
}

/// Guards against capacity that stays allocated after a large job is cancelled, and against stops one by one.
#[test]
fn cancelled_wave() {
    let mut pool = saturated_pool();
    pool.submit("next", body("bulk", "south", vec![step(32, 1)]));
    pool.run_decision();
    assert_eq!(pool.running_count("next"), 0);
    let now = pool.now;
    assert!(pool.core.cancel_job(&"bulk".into(), now));
    pool.run_decision();
    assert_eq!(pool.stops.len(), 32);
    pool.advance(25);
    pool.run_decision();
    assert_eq!(pool.running_count("next"), 32);
}

/// Guards against a failing job that is retried without end, and against other jobs that wait for it.
#[test]
fn failing_job() {
    let mut pool = TestPool::new(4);
    pool.submit("bad", body("normal", "south", vec![step(1, 8)]));
    pool.submit("good", body("normal", "south", vec![step(3, 8)]));
    for _ in 0..10 {
        pool.run_decision();
        let latest = pool
            .starts
            .iter()
            .rev()
            .find(|start| start.task.job.as_ref() == "bad")
            .cloned();
        let latest = latest.expect("the failing job was never started");
        pool.end_run(latest.worker, &latest.task, latest.run, EndKind::Failed);
        pool.advance(700);
    }
    let attempts = pool
        .starts
        .iter()
        .filter(|start| start.task.job.as_ref() == "bad")
        .count();
    assert_eq!(attempts, 4);
    assert_eq!(pool.running_count("good"), 3);
}

/// Guards against runs that stay on a slow worker, where they take many times as long as their siblings.
#[test]
fn slow_worker() {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step(3, 8)]));
    pool.run_decision();
    let slow = pool.starts[0].worker;
    for tick in 1..=8 {
        pool.advance(200);
        for worker in pool.workers.clone() {
            let percent = if worker == slow { tick } else { tick * 10 };
            let listing = pool.listing(worker, percent);
            let now = pool.now;
            pool.core.apply_listing(worker, &listing, now);
        }
        pool.run_decision();
    }
    assert_eq!(pool.stops.len(), 1);
    assert_eq!(pool.stops[0].worker, slow);
    pool.advance(25);
    pool.run_decision();
    let moved = pool.starts.last().expect("no start");
    assert_eq!((moved.run, moved.worker == slow), (2, false));
}

/// Guards against moving tasks that are only longer than their estimate.
#[test]
fn long_tasks() {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step(4, 8)]));
    pool.run_decision();
    for tick in 1..=20 {
        pool.advance(500);
        for worker in pool.workers.clone() {
            let listing = pool.listing(worker, tick);
            let now = pool.now;
            pool.core.apply_listing(worker, &listing, now);
        }
        pool.run_decision();
    }
    assert!(pool.stops.is_empty(), "{:?}", pool.stops);
}

/// Guards against starts in a closed data centre, and against work that is not placed there once it is open
/// again.
#[test]
fn closed_centre() {
    let mut pool = TestPool::new(8);
    pool.core.set_closed_centres(HashSet::from(["trent".into()]));
    pool.submit("job", body("normal", "south", vec![step(8, 8)]));
    pool.run_decision();
    assert_eq!(pool.running_count("job"), 4);
    pool.core.set_closed_centres(HashSet::new());
    pool.advance(25);
    pool.run_decision();
    assert_eq!(pool.running_count("job"), 8);
}

/// Guards against gang members that wait for a member whose start was refused.
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
            order => pool.execute(order),
        }
    }
    for _ in 0..4 {
        pool.advance(25);
        pool.run_decision();
    }
    assert_eq!(pool.running_count("gang"), 3);
    let runs: HashSet<u32> = pool.starts.iter().rev().take(3).map(|start| start.run).collect();
    assert_eq!(runs, HashSet::from([2]), "the gang was not restarted as a whole");
}

/// Guards against an account that waits for its guarantee until a run ends that was expected to end soon but
/// has stalled.
#[test]
fn stalled_end() {
    let mut pool = TestPool::new(1);
    pool.submit("bulk", body("bulk", "south", vec![step(1, 8)]));
    pool.run_decision();
    let worker = pool.workers[0];
    let apply_listings = |pool: &mut TestPool, percent| {
        pool.advance(100);
        let listing = pool.listing(worker, percent);
        let now = pool.now;
        pool.core.apply_listing(worker, &listing, now);
        pool.run_decision();
    };
    for tick in 0..19 {
        apply_listings(&mut pool, tick * 5);
    }
    pool.submit("now", body("urgent", "north", vec![step(1, 8)]));
    pool.run_decision();
    assert!(pool.stops.is_empty(), "a run about to end was stopped");
    for _ in 0..12 {
        apply_listings(&mut pool, 95);
    }
    assert_eq!(pool.running_count("now"), 1, "waited for a run that does not end");
}

/// Guards against an urgent gang that is late because a member on a stalled worker is moved too late.
#[test]
fn stalled_member() {
    let mut pool = TestPool::new(8);
    let gang = StepBody {
        gang: true,
        ..step(3, 8)
    };
    pool.submit("now", body("urgent", "north", vec![gang]));
    pool.run_decision();
    let stalled = pool.starts[0].worker;
    let apply_listings = |pool: &mut TestPool, percent: u32| {
        for worker in pool.workers.clone() {
            let reported = if worker == stalled { 0 } else { percent };
            let listing = pool.listing(worker, reported);
            let now = pool.now;
            pool.core.apply_listing(worker, &listing, now);
        }
        pool.run_decision();
    };
    pool.advance(600);
    apply_listings(&mut pool, 30);
    assert_eq!(pool.stops.len(), 3, "{:?}", pool.stops);
    pool.advance(25);
    pool.run_decision();
    assert_eq!(pool.running_count("now"), 3, "the gang was not restarted");
    let restarted = pool.starts.iter().filter(|start| start.run == 2);
    assert!(
        restarted.clone().all(|start| start.worker != stalled),
        "a member was placed on the stalled worker again"
    );
    // Later work avoids that worker, too.
    pool.submit("next", body("normal", "south", vec![step(4, 8)]));
    pool.run_decision();
    assert!(pool.starts.iter().skip(3).all(|start| start.worker != stalled));
}

/// Guards against reserving the capacity of one stopped gang twice when several jobs reclaim a guarantee at
/// once: later work then waits for capacity that does not become free, while other capacity stays unused.
#[test]
fn double_reservation() {
    let mut pool = TestPool::new(2);
    let pairs = StepBody {
        gang: true,
        ..step(4, 4)
    };
    pool.submit("pairs", body("bulk", "south", vec![pairs]));
    pool.run_decision();
    assert_eq!(pool.running_count("pairs"), 4);
    pool.advance(500);
    let mut orders = Vec::new();
    for job in ["first", "second", "third"] {
        let account = if job == "third" { "south" } else { "north" };
        pool.submit(job, body("urgent", account, vec![step(1, 8)]));
        orders.extend(pool.decide());
        pool.advance(25);
    }
    assert_eq!(pool.stops.len(), 4, "the gang was not stopped once");
    for order in orders {
        pool.execute(order);
    }
    pool.run_decision();
    assert_eq!(
        (pool.running_count("first"), pool.running_count("second")),
        (1, 1)
    );
    pool.advance(100);
    pool.finish_job("second");
    pool.run_decision();
    assert_eq!(pool.running_count("third"), 1, "free capacity was left unused");
}

/// Guards against single tasks that take capacity as soon as it is free, so that a gang never finds enough of it
/// at once.
#[test]
fn sweep_beside_gang() {
    let mut pool = TestPool::new(4);
    pool.submit("first", body("normal", "south", vec![step(2, 8)]));
    pool.run_decision();
    let gang = StepBody {
        gang: true,
        ..step(3, 8)
    };
    pool.submit("gang", body("normal", "south", vec![gang]));
    pool.submit("sweep", body("bulk", "south", vec![step(12, 1)]));
    pool.run_decision();
    assert_eq!(
        pool.running_count("sweep"),
        0,
        "single tasks took the capacity of the gang"
    );
    pool.advance(25);
    pool.finish_job("first");
    pool.run_decision();
    assert_eq!(pool.running_count("gang"), 3);
    assert_eq!(pool.running_count("sweep"), 8, "the rest of the pool stayed idle");
}

/// Guards against single tasks that wait for a gang until they are late themselves.
#[test]
fn overdue_sweep() {
    let mut pool = TestPool::new(4);
    pool.submit("first", body("normal", "south", vec![step(2, 8)]));
    pool.run_decision();
    let gang = StepBody {
        gang: true,
        ..step(3, 8)
    };
    pool.submit("gang", body("normal", "south", vec![gang]));
    pool.submit("sweep", body("bulk", "south", vec![step(12, 1)]));
    // The sweep may wait for 5 s in all: its objective of 7 s less its run time of 2 s.
    pool.advance(2_600);
    pool.run_decision();
    assert_eq!(pool.running_count("sweep"), 12);
}

/// Guards against gangs that run at the speed of one slow worker although enough fast ones are free.
#[test]
fn mixed_speeds() {
    let mut pool = TestPool::new(4);
    let slow = pool.workers[1];
    for round in 0..8 {
        let job = format!("single{round}");
        pool.submit(&job, body("normal", "south", vec![step(4, 8)]));
        pool.run_decision();
        let runs: Vec<_> = pool.starts.iter().rev().take(4).cloned().collect();
        pool.advance(1_600);
        for start in runs.iter().filter(|start| start.worker != slow) {
            pool.end_run(start.worker, &start.task, start.run, EndKind::Done);
        }
        pool.advance(900);
        pool.finish_job(&job);
        pool.run_decision();
    }
    let gang = StepBody {
        gang: true,
        ..step(3, 8)
    };
    pool.submit("gang", body("urgent", "north", vec![gang]));
    pool.run_decision();
    let members = pool.starts.iter().rev().take(3);
    assert!(
        members.clone().all(|start| start.worker != slow),
        "a member was placed on the slow worker"
    );
}
