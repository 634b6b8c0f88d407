//! Single tasks beside a gang that waits for whole workers.

mod support;

use arbutuspick_pool::{EndKind, StepBody};
use support::{TestPool, body, step};
use yare::parameterized;

const WORKERS: usize = 8;

fn lasting(step: StepBody, estimate_ms: u64) -> StepBody {
    StepBody { estimate_ms, ..step }
}

/// Returns a pool with `used` accelerators of each worker in use, and a gang that needs all workers whole. It ranks above
/// jobs of sixteen tasks that take eight seconds or more.
fn pool_with_gang(used: u64, long: StepBody) -> TestPool {
    let mut pool = TestPool::new(WORKERS);
    let long = StepBody {
        accelerators: used,
        spread_limit: 1,
        ..long
    };
    pool.submit("long", body("urgent", "south", vec![long]));
    pool.run_decision();
    assert_eq!(pool.running_count("long"), WORKERS);
    let gang = StepBody {
        gang: true,
        ..lasting(step(8, 8), 5_000)
    };
    pool.submit("gang", body("urgent", "north", vec![gang]));
    pool
}

/// Lets the pool decide for some time; runs report no progress.
fn wait(pool: &mut TestPool, millis: u64) {
    for _ in 0..millis / 200 {
        pool.advance(200);
        pool.run_decision();
    }
}

/// Guards against single tasks that wait beside idle workers for a gang that cannot start before some run ends, for
/// hours if tasks last for hours.
#[parameterized(
    seconds = { 100_000, 60_000 },
    minutes = { 1_000_000, 600_000 },
    longer_than_wait = { 100_000, 400_000 },
    hours = { 10_000_000, 36_000_000 },
)]
fn idle_pool(long_ms: u64, single_ms: u64) {
    let mut pool = pool_with_gang(1, lasting(step(8, 1), long_ms));
    pool.submit(
        "single",
        body("bulk", "north", vec![lasting(step(16, 1), single_ms)]),
    );
    wait(&mut pool, 2_600);
    assert_eq!(pool.running_count("single"), 16);
}

/// Guards against single tasks that wait for a gang although they end before it can start; and against ones that start
/// although they would keep it waiting.
#[parameterized(
    shorter = { 60_000, 16 },
    longer = { 150_000, 0 },
)]
fn busy_pool(single_ms: u64, running: usize) {
    let mut pool = pool_with_gang(6, lasting(step(8, 1), 100_000));
    pool.submit(
        "single",
        body("bulk", "north", vec![lasting(step(16, 1), single_ms)]),
    );
    wait(&mut pool, 5_000);
    assert_eq!(pool.running_count("single"), running);
}

/// Guards against capacity that is kept for a gang that waits for runs without an end.
#[test]
fn endless_runs() {
    let endless = StepBody {
        endless: true,
        ..step(8, 1)
    };
    let mut pool = pool_with_gang(6, endless);
    pool.submit(
        "single",
        body("bulk", "north", vec![lasting(step(16, 1), 150_000)]),
    );
    pool.run_decision();
    assert_eq!(pool.running_count("single"), 16);
}

/// Guards against single tasks that wait until they are late, because a run takes far longer than its estimate and the
/// gang seems to be able to start at any moment.
#[test]
fn wrong_estimate() {
    let mut pool = pool_with_gang(6, lasting(step(8, 1), 1_000));
    pool.advance(2_000);
    // The tasks may wait for 21 s in all: their objective of 31 s less their run time.
    pool.submit(
        "single",
        body("bulk", "north", vec![lasting(step(16, 1), 10_000)]),
    );
    wait(&mut pool, 5_000);
    assert_eq!(pool.running_count("single"), 0);
    wait(&mut pool, 7_000);
    assert_eq!(pool.running_count("single"), 16);
}

/// Guards against a gang that never gets its turn, because tasks that end after it could start keep coming.
#[test]
fn stream_of_tasks() {
    let mut pool = pool_with_gang(6, lasting(step(8, 1), 10_000));
    for second in 0..10 {
        let tasks = lasting(step(16, 1), 30_000);
        pool.submit(&format!("single-{second}"), body("bulk", "north", vec![tasks]));
        wait(&mut pool, 1_000);
    }
    pool.finish_job("long");
    wait(&mut pool, 400);
    assert_eq!(
        pool.running_count("gang"),
        8,
        "the gang did not start when the runs before it had ended"
    );
}

/// Guards against a gang that is kept from its turn by tasks that were short enough, but fail and start again.
#[test]
fn failing_tasks() {
    let mut pool = pool_with_gang(6, lasting(step(8, 1), 12_000));
    pool.submit("single", body("bulk", "north", vec![lasting(step(16, 1), 8_000)]));
    wait(&mut pool, 7_000);
    assert_eq!(pool.running_count("single"), 16);
    for start in pool.starts.clone() {
        if start.task.job.as_ref() == "single" {
            pool.end_run(start.worker, &start.task, start.run, EndKind::Failed);
        }
    }
    wait(&mut pool, 1_000);
    assert_eq!(
        pool.running_count("single"),
        0,
        "started again in front of the gang"
    );
    pool.finish_job("long");
    wait(&mut pool, 400);
    assert_eq!(pool.running_count("gang"), 8);
}

/// Guards against capacity that stays idle for as long as the runs last that a gang waits for, and against a gang that
/// gives up its turn for good.
#[test]
fn expired_claim() {
    let mut pool = pool_with_gang(6, lasting(step(8, 1), 1_000));
    pool.advance(2_000);
    // The tasks may wait for minutes until half of their slack has passed.
    pool.submit(
        "single",
        body("bulk", "north", vec![lasting(step(4, 1), 300_000)]),
    );
    wait(&mut pool, 5_000);
    assert_eq!(pool.running_count("single"), 0, "capacity is left to the gang");
    wait(&mut pool, 4_000);
    assert_eq!(pool.running_count("single"), 4, "the claim has expired");
    pool.submit("later", body("bulk", "north", vec![lasting(step(4, 1), 300_000)]));
    wait(&mut pool, 5_000);
    pool.submit("last", body("bulk", "north", vec![lasting(step(4, 1), 300_000)]));
    wait(&mut pool, 1_000);
    assert_eq!(
        pool.running_count("last"),
        0,
        "the gang has no claim after the pause"
    );
}

/// Guards against capacity that is kept for a gang that could start at once without its spread limit, and with it waits
/// for a run without an end.
#[test]
fn spread_over_endless_run() {
    let mut pool = TestPool::new(4);
    let endless = StepBody {
        endless: true,
        ..step(1, 8)
    };
    pool.submit("endless", body("normal", "south", vec![endless]));
    pool.submit(
        "long",
        body("normal", "south", vec![lasting(step(8, 1), 600_000)]),
    );
    pool.run_decision();
    let gang = StepBody {
        gang: true,
        spread_limit: 1,
        ..step(4, 1)
    };
    pool.submit("gang", body("normal", "south", vec![gang]));
    pool.submit(
        "single",
        body("bulk", "north", vec![lasting(step(8, 1), 150_000)]),
    );
    pool.run_decision();
    assert_eq!(pool.running_count("gang"), 0);
    assert_eq!(
        pool.running_count("single"),
        8,
        "left to a gang that cannot start"
    );
}
