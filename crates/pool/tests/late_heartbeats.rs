//! Registry entries that were written late say nothing about the worker that answers calls.

mod support;

use arbutuspick_pool::{PoolOrder, WorkerKey, WorkerReport};
use support::{TestPool, body, step};
use yare::parameterized;

/// Applies an entry of the worker's process that started at `started_at_ms`.
fn register(pool: &mut TestPool, worker: WorkerKey, started_at_ms: u64) -> WorkerKey {
    let report = pool.core.worker_report(worker).expect("unknown worker").clone();
    let report = WorkerReport {
        started_at_ms,
        ..report
    };
    let now = pool.now;
    pool.core.update_worker(report, now)
}

/// Guards against a second run of a task when the registry shows a heartbeat of an earlier incarnation again,
/// also if that one had a clock that was ahead.
#[parameterized(
    earlier_clock = { 0 },
    later_clock = { 7_000 },
)]
fn earlier_incarnation(started_at_ms: u64) {
    let (mut pool, worker) = TestPool::with_run();
    for _ in 0..3 {
        register(&mut pool, worker, started_at_ms);
        pool.advance(100);
        pool.run_decision();
        assert_eq!(pool.starts.len(), 1, "started again although it is still listed");
        pool.list(worker);
    }
    register(&mut pool, worker, 1);
    pool.submit("next", body("normal", "south", vec![step(4, 8)]));
    pool.run_decision();
    pool.finish_job("job");
    pool.run_decision();
    assert!(!pool.core.has_job("job"));
    assert_eq!(pool.running_count("next"), 4, "the worker gets no work any more");
}

/// Guards against tasks that wait for a lease after their worker has restarted, also with a clock set back.
#[parameterized(
    next = { 2 },
    clock_set_back = { 0 },
)]
fn answered_restart(started_at_ms: u64) {
    let (mut pool, worker) = TestPool::with_run();
    let restarted = register(&mut pool, worker, started_at_ms);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 1, "started again on the word of the registry");
    pool.list(restarted);
    pool.run_decision();
    assert_eq!(
        pool.starts.len(),
        2,
        "not started again after the new process answered"
    );
    assert!(pool.core.worker_report(worker).is_none());
}

/// Guards against a restart that is noticed twice, by a call and by the registry, in either order.
#[parameterized(
    registry_first = { true },
    call_first = { false },
)]
fn restart_by_call(registry_first: bool) {
    let (mut pool, worker) = TestPool::with_run();
    let now = pool.now;
    if registry_first {
        register(&mut pool, worker, 2);
    }
    let report = pool.core.worker_report(worker).expect("unknown worker").clone();
    pool.core.mark_restarted(worker, now);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2, "not started again after a restart");
    let report = WorkerReport {
        started_at_ms: 2,
        ..report
    };
    let restarted = pool.core.update_worker(report, now);
    pool.list(restarted);
    assert_eq!(pool.core.worker_keys().len(), 4, "an incarnation was left over");
    pool.finish_job("job");
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2);
}

/// Guards against runs of a restarted worker that are held for ever when neither process answers.
#[test]
fn unanswered_restart() {
    let (mut pool, worker) = TestPool::with_run();
    let now = pool.now;
    pool.core.extend_lease_expiry(worker, now + 9_000);
    pool.core.mark_unreachable(worker, now);
    register(&mut pool, worker, 2);
    pool.advance(8_900);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 1, "started again while the lease is valid");
    pool.advance(200);
    pool.run_decision();
    assert_eq!(
        pool.starts.len(),
        2,
        "not started again after the lease has expired"
    );
}

/// Guards against starts on a worker that leaves, when an older heartbeat of the same process shows it as ready.
#[test]
fn older_heartbeat() {
    let mut pool = TestPool::new(1);
    let (worker, now) = (pool.workers[0], pool.now);
    let report = pool.core.worker_report(worker).expect("unknown worker").clone();
    let ready = |heartbeat| WorkerReport {
        heartbeat,
        ..report.clone()
    };
    let leaving = WorkerReport {
        leaves_at: Some(now + 2_000),
        ..ready(8)
    };
    for report in [ready(6), leaving, ready(7)] {
        pool.core.update_worker(report, now);
    }
    pool.submit("job", body("normal", "south", vec![step(1, 8)]));
    pool.run_decision();
    assert!(pool.starts.is_empty(), "started on a worker that leaves");
}

/// Guards against a second run of a task whose start reached the next process of a worker that then went silent:
/// its lease there began later than the last one of the process before.
#[test]
fn start_on_successor() {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step(1, 8)]));
    let PoolOrder::Start(start) = pool.decide().remove(0) else {
        panic!("no start");
    };
    let now = pool.now;
    pool.core.mark_unreachable(start.worker, now);
    let successor = register(&mut pool, start.worker, 2);
    pool.core.extend_lease_expiry(start.worker, now + 9_000);
    pool.core.mark_unreachable(successor, now);
    pool.core.mark_removed(successor);
    pool.core.mark_removed(start.worker);
    pool.advance(9_100);
    pool.run_decision();
    assert_eq!(
        pool.starts.len(),
        1,
        "started again while the successor may have the run"
    );
    let successor = register(&mut pool, successor, 2);
    pool.runs.insert(successor, vec![(start.task.clone(), 1)]);
    pool.list(successor);
    pool.finish_job("job");
    pool.run_decision();
    assert_eq!(pool.starts.len(), 1);
    assert!(!pool.core.has_job("job"));
}

/// Lets the worker announce that it leaves.
fn announce_leaving(pool: &mut TestPool, worker: WorkerKey) {
    let report = pool.core.worker_report(worker).expect("unknown worker").clone();
    let now = pool.now;
    let report = WorkerReport {
        leaves_at: Some(now + 2_000),
        ..report
    };
    pool.core.update_worker(report, now);
}

/// Guards against a second run of a task when a removal that an earlier incarnation ordered is carried out late,
/// while the present one leaves as well.
#[test]
fn late_removal() {
    let (mut pool, worker) = TestPool::with_run();
    announce_leaving(&mut pool, worker);
    let now = pool.now;
    pool.core.apply_departure(worker, now);
    for _ in 0..5 {
        pool.advance(300);
        pool.run_decision();
        assert_eq!(pool.starts.len(), 1, "started again although it is still listed");
        pool.list(worker);
    }
    // A heartbeat shows the worker again; it ends its run and leaves.
    register(&mut pool, worker, 1);
    pool.finish_job("job");
    pool.run_decision();
    assert!(!pool.core.has_job("job"));
    assert!(
        pool.core.apply_departure(worker, pool.now),
        "an idle worker is kept"
    );
}

/// Guards against runs that are held for ever when the removal was that of the present incarnation after all, and
/// against a wait for the lease where only the present incarnation can have removed its entry.
#[parameterized(
    young = { 1_000, 9_500 },
    long_known = { 30_000, 0 },
)]
fn own_removal(known_ms: u64, released_after_ms: u64) {
    let (mut pool, worker) = TestPool::with_run();
    pool.advance(known_ms);
    pool.list(worker);
    announce_leaving(&mut pool, worker);
    let now = pool.now;
    pool.core.apply_departure(worker, now);
    if released_after_ms > 0 {
        pool.core
            .extend_lease_expiry(worker, now + released_after_ms - 100);
        pool.core.mark_unreachable(worker, now);
        pool.advance(released_after_ms - 200);
        pool.run_decision();
        assert_eq!(pool.starts.len(), 1, "started again while the lease may be valid");
        pool.advance(200);
    }
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2, "not started again");
}
