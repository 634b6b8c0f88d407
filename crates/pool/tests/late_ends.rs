//! A worker that was cut off until its lease expired lists an end after the task was started elsewhere.
//!
//! Guards against the end being ignored: work that is done runs a second time to its end, and the steps that depend on
//! it wait for that beside free capacity.

mod support;

use arbutuspick_pool::{EndKind, JobStage, RunEnd, StepBody, StopReason, TaskName, WorkerKey, WorkerListing};
use support::{TestPool, body, empty_listing, step};
use yare::parameterized;

/// Starts a job with two steps whose first run is cut off, and starts that step again on other workers.
fn restarted_step(tasks: u32, gang: bool) -> TestPool {
    let mut pool = TestPool::new(8);
    let first = StepBody {
        gang,
        ..step(tasks, 8)
    };
    let second = StepBody {
        after: vec![0],
        ..step(1, 1)
    };
    pool.submit("job", body("normal", "south", vec![first, second]));
    pool.run_decision();
    let now = pool.now;
    for worker in cut_workers(&pool, tasks) {
        pool.core.mark_unreachable(worker, now);
        pool.runs.remove(&worker);
        pool.core.mark_removed(worker);
    }
    pool.advance(10_000);
    pool.run_decision();
    assert_eq!(pool.starts.len(), 2 * tasks as usize, "not started again");
    pool
}

fn cut_workers(pool: &TestPool, tasks: u32) -> Vec<WorkerKey> {
    let first = &pool.starts[..tasks as usize];
    first.iter().map(|start| start.worker).collect()
}

/// Lets the worker of the first start register again and list the end of that run.
fn list_late_end(pool: &mut TestPool) {
    let worker = pool.starts[0].worker;
    let number = pool.workers.iter().position(|key| *key == worker);
    let report = support::report(number.expect("unknown worker"), "r0", "trent");
    let now = pool.now;
    let returned = pool.core.update_worker(report, now);
    let end = RunEnd {
        number: 1,
        task: Some(TaskName {
            job: "job".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        }),
        run: 1,
        kind: EndKind::Done,
        checkpoint: "".into(),
    };
    let listing = WorkerListing {
        ended: vec![end],
        ..empty_listing(now)
    };
    pool.core.apply_listing(returned, &listing, now);
    pool.ends.insert(returned, 1);
}

#[parameterized(
    single_task = { 1, false },
    gang = { 2, true },
)]
fn started_again(tasks: u32, gang: bool) {
    let mut pool = restarted_step(tasks, gang);
    pool.stops.clear();
    list_late_end(&mut pool);
    pool.run_decision();
    let reasons: Vec<StopReason> = pool.stops.iter().map(|stop| stop.reason).collect();
    assert_eq!(reasons, vec![StopReason::AlreadyDone; tasks as usize]);
    let next = pool.starts.last().expect("no start");
    assert_eq!(next.task.step, 1, "the next step waits for work that is done");
    pool.finish_job("job");
    pool.run_decision();
    assert_eq!(pool.stage("job"), JobStage::Completed);
}

/// Guards against a second end that completes the step twice, and against a stop that is counted as a failure.
#[test]
fn both_done() {
    let mut pool = restarted_step(1, false);
    list_late_end(&mut pool);
    let second = pool.starts[1].clone();
    pool.end_run(second.worker, &second.task, second.run, EndKind::Done);
    pool.run_decision();
    assert_eq!(pool.running_count("job"), 1, "only the second step runs");
}

/// Guards against other tasks of the step being taken as done.
#[test]
fn other_tasks() {
    let mut pool = restarted_step(2, false);
    list_late_end(&mut pool);
    pool.run_decision();
    assert_eq!(pool.stops.len(), 1);
    assert_eq!(pool.running_count("job"), 1, "the other task goes on");
}
