//! Shares of client accounts by weight when all workers are in use.

mod support;

use arbutuspick_pool::EndKind;
use support::{TestPool, body, step};

/// Returns a pool of two workers with accounts of these weights, full of work of an account without a weight.
fn full_pool(north: f64, south: f64) -> TestPool {
    let mut pool = TestPool::new(2);
    for (account, weight) in [("north", north), ("south", south)] {
        pool.change_account(account, |rule| rule.weight = weight);
    }
    pool.submit("full", body("normal", "east", vec![step(16, 1)]));
    pool.run_decision();
    assert_eq!(pool.running_count("full"), 16);
    pool.advance(1_000);
    pool
}

fn count_runs(pool: &TestPool, account: &str) -> usize {
    let runs = pool.runs.values().flatten();
    runs.filter(|(task, _)| task.job.starts_with(account)).count()
}

/// Guards against an account that sends many times its rate and takes the room of others, who keep theirs.
#[test]
fn flood_beyond_rate() {
    let mut pool = full_pool(1.0, 1.0);
    for number in 0..60 {
        pool.submit(
            &format!("south{number}"),
            body("normal", "south", vec![step(1, 1)]),
        );
    }
    pool.advance(10);
    for number in 0..4 {
        // Ranks behind the others by its value for the capacity that it takes.
        pool.submit(
            &format!("north{number}"),
            body("normal", "north", vec![step(2, 1)]),
        );
    }
    pool.run_decision();
    pool.finish_job("full");
    pool.run_decision();
    assert_eq!(count_runs(&pool, "north"), 8);
    assert_eq!(count_runs(&pool, "south"), 8);
}

/// Guards against work beyond the rate of its account that waits while there is room.
#[test]
fn flood_with_room() {
    let mut pool = full_pool(1.0, 1.0);
    pool.finish_job("full");
    for number in 0..16 {
        pool.submit(
            &format!("south{number}"),
            body("normal", "south", vec![step(1, 1)]),
        );
    }
    pool.run_decision();
    assert_eq!(count_runs(&pool, "south"), 16);
}

/// Guards against a full pool that accounts do not share by their weights: as runs end one by one, each account keeps
/// its part, though the jobs of one of them rank first by value.
#[test]
fn shares_by_weight() {
    let mut pool = full_pool(120.0, 40.0);
    pool.finish_job("full");
    for number in 0..40 {
        pool.submit(
            &format!("north{number}"),
            body("normal", "north", vec![step(2, 1)]),
        );
        pool.submit(
            &format!("south{number}"),
            body("normal", "south", vec![step(1, 1)]),
        );
    }
    for round in 0..60 {
        pool.run_decision();
        let worker = pool.workers[round % 2];
        let (task, run) = pool.runs[&worker][0].clone();
        pool.end_run(worker, &task, run, EndKind::Done);
        pool.advance(20);
    }
    pool.run_decision();
    let north = count_runs(&pool, "north");
    assert!((11..=13).contains(&north), "north has {north} of 16");
}
