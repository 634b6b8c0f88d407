//! Tasks that wait for the rack of their data, or run elsewhere.

mod support;

use arbutuspick_pool::StepBody;
use support::{TestPool, body, step};
use yare::parameterized;

/// Returns a pool of two racks in different data centres, with more than half of the second rack in use, and a job
/// whose data is in the first one.
fn pool_with_job(gang: bool, count: u32, filled: bool) -> TestPool {
    let mut pool = TestPool::new(8);
    let long = |rack: &str, count| StepBody {
        data_rack: rack.into(),
        estimate_ms: 600_000,
        ..step(count, 1)
    };
    pool.submit("long", body("normal", "south", vec![long("r1", 24)]));
    if filled {
        pool.submit("filler", body("normal", "south", vec![long("r0", 32)]));
    }
    pool.run_decision();
    let job = StepBody {
        data_rack: "r0".into(),
        estimate_ms: 300_000,
        gang,
        ..step(count, 1)
    };
    pool.submit("a", body("normal", "north", vec![job]));
    pool
}

/// Lets the pool decide for some time.
fn wait(pool: &mut TestPool, millis: u64) {
    for _ in 0..millis / 200 {
        pool.advance(200);
        for worker in pool.workers.clone() {
            pool.list(worker);
        }
        pool.run_decision();
    }
}

/// Guards against a gang that waits for the rack of its data until its slack has passed, though that rack has fewer
/// workers than the gang needs for its spread.
#[test]
fn narrow_rack() {
    let mut pool = pool_with_job(true, 7, false);
    pool.submit("other", body("normal", "south", vec![step(1, 5)]));
    pool.run_decision();
    let wide = StepBody {
        data_rack: "r0".into(),
        estimate_ms: 300_000,
        gang: true,
        spread_limit: 1,
        ..step(5, 1)
    };
    pool.submit("wide", body("normal", "north", vec![wide]));
    wait(&mut pool, 2_000);
    assert_eq!(pool.running_count("wide"), 5);
}

/// How the workers of the first rack take no new work.
#[derive(Clone, Copy)]
enum Closing {
    Evacuated,
    Leaving,
    /// All but one worker, which cannot hold a gang alone.
    LeavingButOne,
}

fn close_rack(pool: &mut TestPool, closing: Closing) {
    let leaving = match closing {
        Closing::Evacuated => {
            let now_closed = std::collections::HashSet::from(["trent".into()]);
            pool.core.set_closed_centres(now_closed);
            return;
        }
        Closing::Leaving => 4,
        Closing::LeavingButOne => 3,
    };
    for number in 0..leaving {
        pool.announce_departure(number, 60_000);
    }
}

/// Guards against a job that waits until its slack has passed, hours for long tasks, beside idle workers: no worker
/// near its data may be given work, and the use of the others keeps it from them.
#[parameterized(
    evacuated = { Closing::Evacuated, false, 4 },
    leaving = { Closing::Leaving, false, 4 },
    evacuated_gang = { Closing::Evacuated, true, 4 },
    part_of_rack = { Closing::LeavingButOne, true, 10 },
)]
fn closed_rack(closing: Closing, gang: bool, count: u32) {
    let mut pool = pool_with_job(gang, count, false);
    close_rack(&mut pool, closing);
    wait(&mut pool, 2_000);
    assert_eq!(pool.running_count("a"), count as usize);
}

/// Guards against a job that runs away from its data at once when its rack is only full, in a busy pool: the remote run
/// would take the capacity three times as long.
#[test]
fn full_rack() {
    let mut pool = pool_with_job(false, 4, true);
    assert_eq!(pool.running_count("filler"), 32);
    wait(&mut pool, 4_000);
    assert_eq!(
        pool.running_count("a"),
        0,
        "ran remotely although its rack is open"
    );
    pool.finish_job("filler");
    wait(&mut pool, 400);
    assert_eq!(pool.running_count("a"), 4);
}

/// Guards against a job that starts away from its data in the first moment in which its rack takes no work, as while
/// its workers restart one by one.
#[test]
fn short_closing() {
    let mut pool = pool_with_job(false, 4, false);
    close_rack(&mut pool, Closing::Evacuated);
    wait(&mut pool, 600);
    assert_eq!(pool.running_count("a"), 0);
    pool.core.set_closed_centres(Default::default());
    wait(&mut pool, 200);
    assert_eq!(pool.running_count("a"), 4);
    assert!(
        pool.starts
            .iter()
            .filter(|start| start.task.job.as_ref() == "a")
            .all(|start| { pool.workers[..4].contains(&start.worker) })
    );
}
