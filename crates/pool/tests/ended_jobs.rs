//! Records of jobs that have ended.

mod support;

use arbutuspick_pool::{EndKind, JobBody, JobStage, StepBody};
use support::{TestPool, WALL_START_MS, body, step};
use yare::parameterized;

/// Guards against a job that runs a second time: its body is read again after it has ended, as after the
/// store has lost its history, and is taken for a new job.
#[test]
fn reread_body() {
    let mut pool = TestPool::new(4);
    pool.submit("a", body("normal", "north", vec![step(2, 1)]));
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2);
    pool.finish_job("a");
    pool.advance(100);
    pool.run_decision();
    pool.submit("a", body("normal", "north", vec![step(2, 1)]));
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2, "the ended job started again");
}

/// Guards against final records that are never removed from the store.
#[test]
fn expired_records() {
    let mut pool = TestPool::new(4);
    pool.submit("a", body("normal", "north", vec![step(1, 1)]));
    pool.run_decision();
    pool.finish_job("a");
    pool.run_decision();
    pool.changes.clear();
    pool.advance(240_001);
    pool.run_decision();
    let removed = pool
        .changes
        .iter()
        .any(|change| change.job.as_ref() == "a" && change.record.is_none());
    assert!(removed);
}

/// Returns a job of a kind.
fn job_of(kind: &str) -> JobBody {
    let single = step(2, 8);
    let steps = match kind {
        "gang" => vec![StepBody { gang: true, ..single }],
        "endless" => vec![StepBody {
            endless: true,
            ..single
        }],
        _ => vec![single],
    };
    let mut job = body("urgent", "north", steps);
    if kind == "repeated" {
        job.occurrences = 5_000;
        job.first_due_ms = WALL_START_MS - 10_000_000;
        job.interval_ms = 1_000;
    }
    job
}

/// Guards against a job that is cancelled in the pass in which it is loaded, as by a new leader, and is started all
/// the same, or stops the runs of others for work that it never does.
#[parameterized(
    single = { "single" },
    gang = { "gang" },
    endless = { "endless" },
    repeated = { "repeated" },
)]
fn cancelled_before_start(kind: &str) {
    let mut pool = TestPool::new(4);
    pool.submit("long", body("bulk", "south", vec![step(32, 1)]));
    pool.run_decision();
    assert_eq!(pool.running_count("long"), 32);
    pool.starts.clear();
    pool.submit("a", job_of(kind));
    assert!(pool.core.cancel_job(&"a".into(), pool.now));
    for _ in 0..20 {
        pool.run_decision();
        pool.advance(200);
    }
    assert_eq!(pool.stage("a"), JobStage::Cancelled);
    assert!(pool.starts.is_empty(), "the cancelled job was started");
    assert!(pool.stops.is_empty(), "runs were preempted for the cancelled job");
}

/// Guards against a cancelled job that goes on under the next leader: new starts, or runs that are not stopped.
#[parameterized(
    single = { "single" },
    gang = { "gang" },
    endless = { "endless" },
    repeated = { "repeated" },
)]
fn cancelled_during_takeover(kind: &str) {
    let mut pool = TestPool::new(4);
    pool.submit("a", job_of(kind));
    pool.run_decision();
    let running = pool.running_count("a");
    assert!(running > 0);
    pool.starts.clear();
    pool.change_leader();
    assert!(pool.core.cancel_job(&"a".into(), pool.now));
    for _ in 0..10 {
        pool.run_decision();
        pool.advance(200);
    }
    assert!(pool.starts.is_empty(), "the cancelled job was started");
    assert_eq!(pool.stops.len(), running);
    assert_eq!(pool.running_count("a"), 0);
}

/// Guards against further occurrences of a job that has failed in the pass in which they come due.
#[test]
fn failed_while_due() {
    let mut pool = TestPool::new(4);
    let mut job = job_of("single");
    (job.occurrences, job.interval_ms) = (100, 1_000);
    job.first_due_ms = WALL_START_MS;
    pool.submit("a", job);
    pool.run_decision();
    for run in 1..=4 {
        pool.advance(1_500);
        let task = pool.starts[0].task.clone();
        let start = pool
            .starts
            .iter()
            .find(|start| start.task == task && start.run == run);
        let worker = start.expect("not started again").worker;
        if run == 4 {
            pool.starts.clear();
        }
        pool.end_run(worker, &task, run, EndKind::Failed);
        pool.run_decision();
    }
    pool.advance(5_000);
    pool.run_decision();
    assert_eq!(pool.stage("a"), JobStage::Failed);
    assert!(pool.starts.is_empty(), "the failed job was started");
    assert_eq!(pool.running_count("a"), 0);
}

/// Guards against a run of a cancelled job that goes on, because its stop was lost while the worker was cut off or the
/// leader changed.
#[parameterized(
    same_leader = { false },
    next_leader = { true },
)]
fn lost_stop(change: bool) {
    let (mut pool, worker) = TestPool::with_run();
    pool.core.cancel_job(&"job".into(), pool.now);
    assert_eq!(pool.decide().len(), 1, "no stop");
    pool.core.mark_unreachable(worker, pool.now);
    if change {
        pool.change_leader();
    }
    pool.advance(2_000);
    let worker = *pool.runs.keys().next().expect("no run");
    pool.stops.clear();
    pool.list(worker);
    pool.run_decision();
    assert_eq!(pool.stops.len(), 1, "the run was not stopped");
    assert_eq!(pool.running_count("job"), 0);
}

/// Guards against capacity that is given away while a run of a cancelled job still occupies it.
#[test]
fn occupied_until_end() {
    let (mut pool, worker) = TestPool::with_run();
    pool.core.cancel_job(&"job".into(), pool.now);
    pool.decide();
    pool.submit("next", body("normal", "south", vec![step(4, 8)]));
    pool.decide();
    let mut workers = pool
        .starts
        .iter()
        .filter(|start| start.task.job.as_ref() == "next");
    assert!(workers.all(|start| start.worker != worker));
}
