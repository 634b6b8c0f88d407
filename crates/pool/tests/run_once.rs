//! A task is started again only when its latest run is known to have ended.

mod support;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{EndKind, JobRecord, PoolOrder, RunStatus, StartAnswer, WorkerKey, WorkerReport};
use support::{TestPool, body, report, step};

fn worker_report(pool: &TestPool, worker: WorkerKey) -> WorkerReport {
    pool.core.worker_report(worker).expect("unknown worker").clone()
}

/// Returns the report of the worker after a restart under its id.
fn restarted_report(pool: &TestPool, worker: WorkerKey) -> WorkerReport {
    let report = worker_report(pool, worker);
    WorkerReport {
        started_at_ms: report.started_at_ms + 1,
        ..report
    }
}

/// Guards against a second run of a task whose worker was about to leave when it was cut off from the store and
/// the scheduler: its registry entry expires although it goes on with its runs.
#[test]
fn silent_leaver() {
    let (mut pool, worker) = TestPool::with_run();
    let now = pool.now;
    let leaving = WorkerReport {
        leaves_at: Some(now + 2_000),
        ..worker_report(&pool, worker)
    };
    pool.core.update_worker(leaving, now);
    pool.core.extend_lease_expiry(worker, now + 9_000);
    pool.core.mark_unreachable(worker, now);
    pool.advance(4_500);
    pool.core.mark_removed(worker);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 1, "started again while the lease is valid");
    pool.advance(4_600);
    pool.run_decision();
    assert_eq!(
        pool.starts.len(),
        2,
        "not started again after the lease has expired"
    );
}

/// Guards against a second run of a task whose start reached a worker after its restart under the same id.
#[test]
fn start_after_restart() {
    for answered in [false, true] {
        let mut pool = TestPool::new(4);
        pool.submit("job", body("normal", "south", vec![step(1, 8)]));
        let PoolOrder::Start(start) = pool.decide().remove(0) else {
            panic!("no start");
        };
        let now = pool.now;
        if answered {
            pool.core
                .apply_start_answer(&start.task, 1, start.worker, StartAnswer::Started, now);
        }
        let report = restarted_report(&pool, start.worker);
        let restarted = pool.core.update_worker(report, now);
        pool.runs.insert(restarted, vec![(start.task.clone(), 1)]);
        pool.run_decision();
        assert_eq!(
            pool.starts.len(),
            1,
            "started again before the new process was listed"
        );
        pool.list(restarted);
        pool.run_decision();
        assert!(pool.stops.is_empty(), "the run on the new process was stopped");
        pool.finish_job("job");
        pool.run_decision();
        assert_eq!(pool.starts.len(), 1);
        assert!(!pool.core.has_job("job"));
    }
}

/// Guards against a task that waits for ever, or starts twice, when its start was lost with a restart.
#[test]
fn lost_with_restart() {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step(1, 8)]));
    let PoolOrder::Start(start) = pool.decide().remove(0) else {
        panic!("no start");
    };
    let now = pool.now;
    let report = restarted_report(&pool, start.worker);
    let restarted = pool.core.update_worker(report, now);
    pool.advance(50);
    pool.list(restarted);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 1, "a late start was not ruled out");
    assert_eq!(pool.stops.len(), 1, "the late start was not prevented");
    pool.advance(50);
    pool.list(restarted);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2);
}

/// Guards against runs that are held although the restart of their worker has ended them.
#[test]
fn listed_before_restart() {
    let (mut pool, worker) = TestPool::with_run();
    let (report, now) = (restarted_report(&pool, worker), pool.now);
    let restarted = pool.core.update_worker(report, now);
    pool.run_decision();
    assert_eq!(
        pool.starts.len(),
        1,
        "started again before the new process was listed"
    );
    pool.list(restarted);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2);
}

/// Guards against a second run when a call shows a restart before the registry does.
#[test]
fn restart_seen_first() {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step(1, 8)]));
    let PoolOrder::Start(start) = pool.decide().remove(0) else {
        panic!("no start");
    };
    let report = restarted_report(&pool, start.worker);
    let now = pool.now;
    pool.core.mark_restarted(start.worker, now);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 1);
    let restarted = pool.core.update_worker(report, now);
    pool.runs.insert(restarted, vec![(start.task.clone(), 1)]);
    pool.list(restarted);
    pool.run_decision();
    pool.finish_job("job");
    assert_eq!(pool.starts.len(), 1);
}

/// Guards against a second run of a task that a malformed row of a listing hides.
#[test]
fn unreadable_row() {
    let (mut pool, worker) = TestPool::with_run();
    let mut listing = pool.listing(worker, 10);
    listing.running = vec![RunStatus {
        task: None,
        run: 0,
        checkpoint: "".into(),
        percent: 0,
    }];
    let now = pool.now;
    pool.core.apply_listing(worker, &listing, now);
    pool.run_decision();
    assert_eq!(
        pool.starts.len(),
        1,
        "started again although the run may be the unreadable one"
    );
    pool.list(worker);
    pool.run_decision();
    let task = pool.starts[0].task.clone();
    pool.end_run(worker, &task, 1, EndKind::Done);
    pool.run_decision();
    assert!(!pool.core.has_job("job"));
}

/// Guards against a second run by a new leader when the worker of a recorded run has restarted and the start
/// may have reached its new process.
#[test]
fn restored_after_restart() {
    let mut first = TestPool::new(1);
    first.submit("job", body("normal", "south", vec![step(1, 8)]));
    let orders = first.decide();
    assert_eq!(orders.len(), 1);
    let record = first.changes.pop().and_then(|change| change.record);
    let mut second = TestPool::new(2);
    let now = second.now;
    let restarted = WorkerReport {
        started_at_ms: 2,
        ..report(0, "r0", "trent")
    };
    let worker = second.core.update_worker(restarted, now);
    let body = body("normal", "south", vec![step(1, 8)]);
    let record: JobRecord = record.expect("no record");
    let wall = second.wall();
    second
        .core
        .add_job(&"job".into(), body, &record, now, wall, ClockTime(now.0 + 10_000));
    second.run_decision();
    assert!(
        second.starts.is_empty(),
        "started again before the worker was listed"
    );
    second.advance(50);
    second.list(worker);
    second.run_decision();
    assert_eq!(second.starts.len(), 1);
}
