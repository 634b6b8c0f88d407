//! Preferences among workers that have to end while there is enough free capacity.

mod support;

use arbutuspick_pool::{JobBody, StepBody, WorkerReport};
use support::{TestPool, body, empty_listing, report, step};
use yare::parameterized;

/// Time within which work starts beside free capacity for it twice over, in milliseconds.
const START_BOUND_MS: u64 = 3_000;

/// Lets the pool decide for some time.
fn wait(pool: &mut TestPool, millis: u64) {
    for _ in 0..millis / 100 {
        pool.advance(100);
        pool.list_all();
        pool.run_decision();
    }
}

fn lasting(accelerators: u64) -> StepBody {
    StepBody {
        endless: true,
        estimate_ms: 600_000,
        ..step(1, accelerators)
    }
}

/// Guards against a task that lasts and leaves free capacity to a gang for minutes, in a pool more than half in use.
#[parameterized(
    urgent = { "urgent" },
    normal = { "normal" },
    bulk = { "bulk" },
)]
fn task_beside_gang(queue: &str) {
    let mut pool = TestPool::new(8);
    let long = StepBody {
        spread_limit: 1,
        estimate_ms: 100_000,
        ..step(8, 6)
    };
    pool.submit("long", body("urgent", "south", vec![long]));
    pool.run_decision();
    let gang = StepBody {
        gang: true,
        estimate_ms: 5_000,
        ..step(8, 8)
    };
    pool.submit("gang", body("urgent", "north", vec![gang]));
    pool.submit("lasting", body(queue, "south", vec![lasting(1)]));
    wait(&mut pool, START_BOUND_MS);
    assert_eq!(pool.running_count("gang"), 0);
    assert_eq!(pool.running_count("lasting"), 1);
}

/// Guards against work of low priority that leaves empty workers to others for longer than callers are promised, with
/// less than half of the pool in use.
#[parameterized(
    task = { step(1, 8) },
    task_that_lasts = { lasting(8) },
)]
fn empty_workers(work: StepBody) {
    let mut pool = TestPool::new(16);
    let spread = StepBody {
        spread_limit: 1,
        estimate_ms: 100_000,
        ..step(14, 1)
    };
    pool.submit("spread", body("normal", "south", vec![spread]));
    pool.run_decision();
    pool.submit("bulk", body("bulk", "south", vec![work]));
    wait(&mut pool, START_BOUND_MS);
    assert_eq!(pool.running_count("bulk"), 1);
}

/// Guards against a task that lasts and waits for the rack of its data as long as its estimate lasts, while tasks without
/// an end fill that rack, in a pool more than half in use.
#[parameterized(
    urgent = { "urgent" },
    bulk = { "bulk" },
)]
fn full_rack(queue: &str) {
    let mut pool = TestPool::new(8);
    let in_rack = |rack: &str, count| StepBody {
        count,
        data_rack: rack.into(),
        ..lasting(4)
    };
    pool.submit(
        "full",
        body("urgent", "north", vec![in_rack("r0", 8), in_rack("r1", 4)]),
    );
    pool.run_decision();
    assert_eq!(pool.running_count("full"), 12);
    pool.submit("lasting", body(queue, "south", vec![in_rack("r0", 2)]));
    wait(&mut pool, START_BOUND_MS);
    assert_eq!(pool.running_count("lasting"), 2);
}

/// Adds workers of another service, all in use, so that more than half of the pool is.
fn add_busy_service(pool: &mut TestPool, workers: usize) {
    let now = pool.now;
    for number in 0..workers {
        let report = WorkerReport {
            service: "tiles".into(),
            ..report(100 + number, &format!("r{}", 100 + number / 4), "severn")
        };
        let key = pool.core.update_worker(report, now);
        pool.core.apply_listing(key, &empty_listing(now), now);
        pool.workers.push(key);
    }
    let long = StepBody {
        estimate_ms: 600_000,
        ..step(u32::try_from(workers).unwrap_or(0), 8)
    };
    let tiles = JobBody {
        service: "tiles".into(),
        ..body("tiles", "south", vec![long])
    };
    pool.submit("tiles", tiles);
    pool.run_decision();
    assert_eq!(pool.running_count("tiles"), workers);
}

/// Guards against work that waits beside idle workers of its service because those of another service are busy.
#[parameterized(
    empty_worker = { step(1, 8) },
    remote = { StepBody { data_rack: "r0".into(), estimate_ms: 60_000, ..step(1, 2) } },
    behind_gang = { StepBody { estimate_ms: 150_000, ..step(1, 1) } },
)]
fn busy_service(work: StepBody) {
    let mut pool = TestPool::new(16);
    // Fills one rack, and leaves two workers empty.
    let filler = StepBody {
        data_rack: "r0".into(),
        estimate_ms: 600_000,
        ..step(4, 8)
    };
    let spread = StepBody {
        spread_limit: 1,
        estimate_ms: 100_000,
        ..step(10, 1)
    };
    pool.submit("spread", body("normal", "south", vec![filler, spread]));
    pool.run_decision();
    add_busy_service(&mut pool, 32);
    let gang = StepBody {
        gang: true,
        ..step(12, 8)
    };
    pool.submit("gang", body("urgent", "south", vec![gang]));
    pool.submit("work", body("bulk", "south", vec![work]));
    wait(&mut pool, START_BOUND_MS);
    assert_eq!(pool.running_count("gang"), 0);
    assert_eq!(pool.running_count("work"), 1);
}
