//! Units that cannot start, in front of others that can.

mod support;

use arbutuspick_pool::{EndKind, JobBody, ResourceAmount, StepBody, WaitReason, WorkerReport};
use support::{TestPool, body, empty_listing, report, step};
use yare::parameterized;

/// Number of waiting units in front of the one that can start.
const BLOCKED: usize = 150;

/// A step whose tasks only workers with the label can run.
fn labelled(label: &str, accelerators: u64) -> StepBody {
    StepBody {
        required_label: label.into(),
        ..step(1, accelerators)
    }
}

fn gang(count: u32, accelerators: u64) -> StepBody {
    StepBody {
        gang: true,
        ..step(count, accelerators)
    }
}

/// Adds a worker with a label of its own, in a rack of its own.
fn add_labelled(pool: &mut TestPool, label: &str) {
    let number = 100 + pool.workers.len();
    let report = WorkerReport {
        labels: vec![label.into(), format!("r{number}").as_str().into()],
        ..report(number, "", "severn")
    };
    let now = pool.now;
    let key = pool.core.update_worker(report, now);
    pool.core.apply_listing(key, &empty_listing(now), now);
    pool.workers.push(key);
}

/// Returns a pool with a labelled worker that is in use.
fn pool_with_scarce_worker(accelerators: u64) -> TestPool {
    let mut pool = TestPool::new(4);
    add_labelled(&mut pool, "scarce");
    pool.submit(
        "occupant",
        body("urgent", "north", vec![labelled("scarce", accelerators)]),
    );
    pool.run_decision();
    assert_eq!(pool.running_count("occupant"), 1);
    pool
}

fn unknown_label(number: usize) -> StepBody {
    labelled(&format!("none{}", number % 7), 0)
}

fn too_large(number: usize) -> StepBody {
    StepBody {
        memory_mb: 300_000 + number as u64,
        ..step(1, 0)
    }
}

fn too_wide(number: usize) -> StepBody {
    gang(100 + u32::try_from(number).unwrap_or(0), 1)
}

fn scarce_label(number: usize) -> StepBody {
    StepBody {
        memory_mb: 100 + number as u64,
        ..labelled("scarce", 8)
    }
}

fn scarce_gang(number: usize) -> StepBody {
    StepBody {
        required_label: "scarce".into(),
        ..gang(2 + u32::try_from(number % 3).unwrap_or(0), 4)
    }
}

/// Guards against units that wait for something scarce or impossible and keep units behind them from starting
/// on idle workers, whatever puts them in front: a guarantee, a higher priority or their age.
#[parameterized(
    guaranteed_unknown_label = { "urgent", "north", 0, unknown_label },
    guaranteed_too_large = { "urgent", "north", 0, too_large },
    urgent_too_wide = { "urgent", "east", 0, too_wide },
    urgent_scarce_label = { "urgent", "east", 0, scarce_label },
    normal_scarce_gang = { "normal", "south", 0, scarce_gang },
    overdue_unknown_label = { "bulk", "south", 120_000, unknown_label },
    overdue_too_wide = { "normal", "south", 120_000, too_wide },
    overdue_scarce_label = { "bulk", "south", 120_000, scarce_label },
)]
fn idle_workers(queue: &str, account: &str, age_ms: u64, blocked_step: fn(usize) -> StepBody) {
    let mut pool = pool_with_scarce_worker(8);
    for number in 0..BLOCKED {
        pool.submit(
            &format!("blocked{number}"),
            body(queue, account, vec![blocked_step(number)]),
        );
    }
    pool.run_decision();
    pool.advance(age_ms);
    pool.submit("late", body("bulk", "south", vec![step(2, 1)]));
    if age_ms > 0 {
        pool.advance(30_000);
    }
    pool.submit("new", body("bulk", "south", vec![step(2, 1)]));
    pool.run_decision();
    assert_eq!(
        pool.running_count("late"),
        2,
        "waited behind units that cannot start"
    );
    assert_eq!(
        pool.running_count("new"),
        2,
        "waited behind units that cannot start"
    );
}

/// Guards against a task on which its latest worker failed keeping the other tasks of its step from that worker.
#[test]
fn avoided_worker() {
    let mut pool = TestPool::new(1);
    pool.submit("job", body("normal", "south", vec![step(2, 4)]));
    pool.run_decision();
    let first = pool.starts[0].clone();
    let second = pool.starts[1].clone();
    pool.end_run(first.worker, &first.task, first.run, EndKind::Failed);
    pool.end_run(second.worker, &second.task, second.run, EndKind::Stopped);
    pool.run_decision();
    assert_eq!(
        pool.running_count("job"),
        1,
        "the task that did not fail waits for the one that did"
    );
}

/// Guards against units that lose their rank while no worker can run them: they start before younger ones of the
/// same kind once a worker can.
#[test]
fn possible_later() {
    let mut pool = TestPool::new(4);
    for number in 0..BLOCKED {
        pool.submit(
            &format!("blocked{number}"),
            body("bulk", "south", vec![labelled("late", 4)]),
        );
        pool.advance(10);
        pool.run_decision();
    }
    add_labelled(&mut pool, "late");
    pool.submit("young", body("bulk", "south", vec![labelled("late", 4)]));
    pool.run_decision();
    assert_eq!(pool.running_count("blocked0"), 1);
    assert_eq!(pool.running_count("blocked1"), 1);
    assert_eq!(pool.running_count("young"), 0);
}

/// Guards against single tasks that leave idle workers to a gang that cannot use them.
#[parameterized(
    unknown_label = { StepBody { required_label: "none".into(), ..gang(3, 8) } },
    other_workers = { StepBody { required_label: "scarce".into(), ..gang(2, 4) } },
    wider_than_pool = { gang(80, 8) },
    larger_than_workers = { gang(2, 9) },
    more_than_one_each = { StepBody { spread_limit: 1, ..gang(6, 1) } },
)]
fn hopeless_gang(step_of_gang: StepBody) {
    let mut pool = pool_with_scarce_worker(8);
    pool.submit("gang", body("normal", "south", vec![step_of_gang]));
    pool.submit("sweep", body("bulk", "south", vec![step(12, 1)]));
    pool.advance(100);
    pool.run_decision();
    assert_eq!(
        pool.running_count("sweep"),
        12,
        "capacity was left to a gang that cannot use it"
    );
}

/// Guards against an account that loses its guarantee to urgent jobs of its own that no worker can run.
#[parameterized(
    unknown_label = { labelled("none", 8) },
    larger_than_workers = { step(1, 9) },
    wider_than_pool = { gang(9, 2) },
    more_than_one_each = { StepBody { spread_limit: 1, ..gang(3, 2) } },
)]
fn unused_guarantee(impossible: StepBody) {
    let mut pool = TestPool::new(2);
    for number in 0..4 {
        pool.submit(
            &format!("impossible{number}"),
            body("urgent", "north", vec![impossible.clone()]),
        );
    }
    pool.submit("bulk", body("bulk", "south", vec![step(16, 1)]));
    pool.advance(30_000);
    pool.run_decision();
    pool.run_decision();
    assert_eq!(pool.running_count("bulk"), 16);
    pool.advance(500);
    // Overdue when it arrives, so only its guarantee lets it preempt.
    let reclaiming = JobBody {
        stretch: 0.0,
        ..body("urgent", "north", vec![step(2, 8)])
    };
    pool.submit("reclaiming", reclaiming);
    pool.advance(10_000);
    pool.run_decision();
    pool.advance(25);
    pool.run_decision();
    assert_eq!(pool.running_count("reclaiming"), 2, "the guarantee was not met");
}

/// Guards against jobs that no worker can run and that change the value of jobs that can: a queue of small jobs
/// beside huge impossible ones keeps its order against other queues.
#[parameterized(
    unknown_label = { labelled("none", 8) },
    more_than_one_each = { StepBody { spread_limit: 1, ..gang(2, 4) } },
)]
fn mean_work(impossible: StepBody) {
    let mut pool = TestPool::new(1);
    let huge = StepBody {
        estimate_ms: 10_000_000,
        ..impossible
    };
    pool.submit("huge", body("normal", "south", vec![huge]));
    pool.submit("normal", body("normal", "south", vec![step(1, 8)]));
    pool.submit("bulk", body("bulk", "south", vec![step(1, 8)]));
    pool.run_decision();
    assert_eq!(pool.running_count("normal"), 1, "the lower priority went first");
}

/// Guards against searches for runs to preempt that reach the same units in front in every decision: a unit behind
/// them has its turn within a number of decisions.
#[test]
fn search_turns() {
    let mut pool = TestPool::new(4);
    add_labelled(&mut pool, "scarce");
    pool.submit("long", body("bulk", "south", vec![step(4, 8)]));
    pool.run_decision();
    pool.advance(60_000);
    pool.submit("short", body("bulk", "south", vec![labelled("scarce", 8)]));
    pool.run_decision();
    // Preemption of the long runs would lose more than these units gain.
    for number in 0..BLOCKED {
        let costly = StepBody {
            memory_mb: 1_000 + number as u64,
            ..labelled("a", 8)
        };
        pool.submit(&format!("costly{number}"), body("normal", "east", vec![costly]));
    }
    pool.advance(10);
    pool.submit("cheap", body("normal", "east", vec![labelled("scarce", 8)]));
    pool.advance(3_600);
    for _ in 0..6 {
        pool.run_decision();
        pool.advance(25);
    }
    assert_eq!(pool.running_count("long"), 4, "a costly run was stopped");
    assert_eq!(
        pool.running_count("cheap"),
        1,
        "no search for the unit behind the others"
    );
}

/// Guards against operators who cannot see why tasks wait, and counts that outlive the wait.
#[parameterized(
    unknown_label = { labelled("none", 1), WaitReason::NoWorker },
    too_large = { step(1, 9), WaitReason::TooLarge },
    too_wide = { gang(80, 8), WaitReason::TooLarge },
    too_spread = { StepBody { spread_limit: 1, ..gang(6, 1) }, WaitReason::TooLarge },
    scarce_label = { labelled("scarce", 8), WaitReason::NoCapacity },
)]
fn wait_reasons(waiting: StepBody, expected: WaitReason) {
    let mut pool = pool_with_scarce_worker(8);
    pool.submit("waiting", body("normal", "south", vec![waiting]));
    pool.run_decision();
    assert_eq!(pool.core.wait_counts().get(&expected), Some(&1));
    let dump = pool.core.dump(pool.now);
    let line = dump.lines().find(|line| line.contains("id=waiting"));
    let field = format!("waits_for={expected}");
    assert!(line.is_some_and(|line| line.ends_with(&field)), "{dump}");
    let now = pool.now;
    pool.core.cancel_job(&"waiting".into(), now);
    pool.run_decision();
    assert!(pool.core.wait_counts().is_empty());
}

/// Guards against a reason that stays when a worker comes or goes that could run the tasks.
#[test]
fn changed_reason() {
    let mut pool = TestPool::new(4);
    pool.submit("waiting", body("normal", "south", vec![labelled("late", 8)]));
    pool.run_decision();
    assert_eq!(pool.core.wait_counts().get(&WaitReason::NoWorker), Some(&1));
    add_labelled(&mut pool, "late");
    let worker = *pool.workers.last().expect("no worker");
    pool.core.mark_unreachable(worker, pool.now);
    pool.run_decision();
    assert_eq!(pool.core.wait_counts().get(&WaitReason::NoCapacity), Some(&1));
    pool.core.mark_removed(worker);
    pool.run_decision();
    assert_eq!(pool.core.wait_counts().get(&WaitReason::NoWorker), Some(&1));
}

/// Guards against a registry entry with an absurd capacity, and tasks that need a part of it, that exhaust the memory.
#[test]
fn absurd_capacity() {
    let mut pool = TestPool::new(4);
    let report = WorkerReport {
        capacity: ResourceAmount {
            millicores: i64::MAX / 8,
            memory_mb: i64::MAX / 8,
            accelerators: i64::MAX / 8,
        },
        ..report(100, "r100", "severn")
    };
    let now = pool.now;
    let key = pool.core.update_worker(report, now);
    pool.core.apply_listing(key, &empty_listing(now), now);
    pool.submit("large", body("normal", "south", vec![step(2, 1_000)]));
    pool.submit("small", body("normal", "south", vec![step(2, 1)]));
    pool.run_decision();
    assert_eq!(pool.running_count("large"), 2);
    assert_eq!(pool.running_count("small"), 2);
}
