//! Work that is thrown away, by cause.

mod support;

use std::collections::BTreeMap;

use arbutuspick_pool::{EndKind, LossCause, RunStatus, StepBody, TaskName};
use support::{TestPool, body, step};

/// Core equivalents of a task of `step(_, 8)`: one processor, and 8 accelerators that count as 8 cores each.
const WIDE_TASK_CORES: u64 = 65;

fn gang(count: u32) -> StepBody {
    StepBody {
        gang: true,
        ..step(count, 8)
    }
}

fn losses(entries: &[(LossCause, u64)]) -> BTreeMap<LossCause, u64> {
    entries.iter().copied().collect()
}

/// Returns a pool in which the runs of one job have been present for a second.
fn pool_with_job(step: StepBody) -> TestPool {
    let mut pool = TestPool::new(4);
    pool.submit("job", body("normal", "south", vec![step]));
    pool.run_decision();
    pool.advance(1_000);
    pool
}

/// Guards against work that makes room for a guarantee and is charged to ordinary preemption.
#[test]
fn reclaimed_capacity() {
    let mut pool = pool_with_job(step(4, 8));
    pool.submit("now", body("urgent", "north", vec![step(2, 8)]));
    pool.run_decision();
    let lost = 2 * WIDE_TASK_CORES * 1_000;
    assert_eq!(pool.core.take_losses(), losses(&[(LossCause::Reclaim, lost)]));
    assert!(pool.core.take_losses().is_empty(), "taken twice");
}

/// Guards against the members of a preempted gang that are charged to another cause than the preemption.
#[test]
fn broken_gangs() {
    let mut pool = pool_with_job(gang(4));
    pool.submit("now", body("urgent", "north", vec![step(1, 8)]));
    pool.run_decision();
    let lost = 4 * WIDE_TASK_CORES * 1_000;
    assert_eq!(pool.core.take_losses(), losses(&[(LossCause::Reclaim, lost)]));

    let mut pool = pool_with_job(gang(4));
    let failed = pool.starts[0].clone();
    pool.end_run(failed.worker, &failed.task, failed.run, EndKind::Failed);
    pool.run_decision();
    let lost = 3 * WIDE_TASK_CORES * 1_000;
    assert_eq!(pool.core.take_losses(), losses(&[(LossCause::MemberLost, lost)]));
}

/// Guards against saved progress that counts as lost, and against progress since a checkpoint that does not.
#[test]
fn saved_progress() {
    let saving = StepBody {
        checkpoints: true,
        ..step(1, 8)
    };
    let mut pool = pool_with_job(saving.clone());
    let run = pool.starts[0].clone();
    pool.end_run_with(run.worker, &run.task, run.run, EndKind::Stopped, "saved");
    assert!(pool.core.take_losses().is_empty());

    let mut pool = pool_with_job(saving);
    let run = pool.starts[0].clone();
    let mut listing = pool.listing(run.worker, 20);
    listing.running[0].checkpoint = "saved".into();
    pool.core.apply_listing(run.worker, &listing, pool.now);
    pool.advance(300);
    pool.end_run_with(run.worker, &run.task, run.run, EndKind::LeaseExpired, "saved");
    let lost = WIDE_TASK_CORES * 300;
    assert_eq!(pool.core.take_losses(), losses(&[(LossCause::WorkerLost, lost)]));
}

/// Guards against finished work that counts as lost, and against a cancelled job whose runs do not.
#[test]
fn ended_jobs() {
    let mut pool = pool_with_job(step(2, 8));
    let first = pool.starts[0].clone();
    pool.end_run(first.worker, &first.task, first.run, EndKind::Done);
    assert!(pool.core.cancel_job(&"job".into(), pool.now));
    pool.run_decision();
    let lost = WIDE_TASK_CORES * 1_000;
    assert_eq!(pool.core.take_losses(), losses(&[(LossCause::Cancel, lost)]));
}

/// Guards against runs of no known task that are not counted.
#[test]
fn unexpected_runs() {
    let mut pool = TestPool::new(1);
    let worker = pool.workers[0];
    let task = TaskName {
        job: "unknown".into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let mut listing = pool.listing(worker, 0);
    listing.running.push(RunStatus {
        task: Some(task.clone()),
        run: 1,
        checkpoint: "".into(),
        percent: 50,
    });
    pool.runs.insert(worker, vec![(task.clone(), 1)]);
    pool.core.apply_listing(worker, &listing, pool.now);
    pool.advance(200);
    pool.end_run(worker, &task, 1, EndKind::Stopped);
    let losses = pool.core.take_losses();
    assert!(losses[&LossCause::Unexpected] > 0, "{losses:?}");
}
