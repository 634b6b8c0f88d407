//! Stops that take as long as workers may take are not ordered again.
//!
//! Guards against stops that are repeated before they can have taken effect, and against repetitions that hide why the
//! run is stopped: the log and the metrics then name a cause that does not exist.

mod support;

use std::sync::Arc;

use arbutuspick_pool::{CoreOptions, JobBody, PoolCore, StopReason};
use support::{TestPool, body, empty_listing, policy, step};

/// Longest time that a worker of these tests takes to stop a run, in milliseconds.
const STOP_MS: u64 = 900;

/// Returns a pool of one full worker whose only run was stopped for an urgent job, with its stop still under way.
fn stopping_run() -> TestPool {
    let mut pool = TestPool::new(1);
    let options = CoreOptions {
        stop_ms: STOP_MS,
        ..CoreOptions::default()
    };
    let report = pool.core.worker_report(pool.workers[0]).cloned();
    pool.core = PoolCore::new(options);
    pool.core.apply_policy(Arc::new(policy(16)));
    let now = pool.now;
    let worker = pool.core.update_worker(report.expect("no worker"), now);
    pool.core.apply_listing(worker, &empty_listing(now), now);
    pool.workers = vec![worker];
    pool.submit("batch", body("bulk", "south", vec![step(1, 8)]));
    pool.run_decision();
    pool.advance(1_000);
    pool.list(worker);
    let urgent = JobBody {
        stretch: 1.0,
        ..body("urgent", "north", vec![step(1, 8)])
    };
    pool.submit("urgent", urgent);
    pool.decide();
    assert_eq!(reasons(&pool), [StopReason::Preempted]);
    pool
}

fn reasons(pool: &TestPool) -> Vec<StopReason> {
    pool.stops.iter().map(|stop| stop.reason).collect()
}

#[test]
fn slow_stop() {
    let mut pool = stopping_run();
    pool.advance(STOP_MS - 50);
    pool.list(pool.workers[0]);
    pool.decide();
    assert_eq!(
        reasons(&pool),
        [StopReason::Preempted],
        "ordered again in the time of a stop"
    );
}

#[test]
fn lost_stop() {
    let mut pool = stopping_run();
    pool.advance(STOP_MS + 600);
    pool.list(pool.workers[0]);
    pool.decide();
    assert_eq!(
        reasons(&pool),
        [StopReason::Preempted; 2],
        "not repeated with its reason"
    );
}
