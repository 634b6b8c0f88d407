//! Preferences among workers that have to end while there is enough free capacity.

mod support;

use arbutuspick_pool::StepBody;
use support::{TestPool, body, step};
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
