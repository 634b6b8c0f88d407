//! Failed runs of gangs, counted across changes of the leader.

mod support;

use arbutuspick_pool::{EndKind, JobStage, StepBody, TaskName, WorkerKey};
use support::{TestPool, body, step};
use yare::parameterized;

/// Number of attempts that the queues of the test pool allow.
const MAX_ATTEMPTS: u32 = 4;

/// Returns a pool in which the first run of a gang is present and listed.
fn pool_with_gang(members: u32) -> TestPool {
    let mut pool = TestPool::new(8);
    let gang = StepBody {
        gang: true,
        checkpoints: true,
        ..step(members, 8)
    };
    pool.submit("a", body("normal", "north", vec![gang]));
    start_run(&mut pool, members, 1);
    pool
}

/// Decides until the gang has a run, which has to have this number.
fn start_run(pool: &mut TestPool, members: u32, run: u32) {
    // Workers on which a task has failed are accepted again after some time.
    for _ in 0..40 {
        list_all(pool);
        pool.run_decision();
        if pool.running_count("a") == members as usize {
            break;
        }
        pool.advance(100);
    }
    let runs: Vec<u32> = pool.runs.values().flatten().map(|(_, run)| *run).collect();
    assert_eq!(runs, vec![run; members as usize], "stage {:?}", pool.stage("a"));
    list_all(pool);
}

fn list_all(pool: &mut TestPool) {
    for worker in pool.workers.clone() {
        pool.list(worker);
    }
}

fn members(pool: &TestPool) -> Vec<(WorkerKey, TaskName, u32)> {
    let runs = pool.runs.iter();
    let mut members: Vec<_> = runs
        .flat_map(|(worker, runs)| runs.iter().map(|(task, run)| (*worker, task.clone(), *run)))
        .collect();
    members.sort_by_key(|(_, task, _)| task.index);
    members
}

/// Lets all members of the present run end as failed, with a change of the leader after each end in `changes`.
fn fail_run(pool: &mut TestPool, changes: &[usize]) {
    let mut ended = 0;
    let present = members(pool);
    for (_, task, run) in &present {
        let (worker, ..) = members(pool)
            .into_iter()
            .find(|(_, name, _)| name == task)
            .unwrap();
        pool.advance(100);
        pool.end_run(worker, task, *run, EndKind::Failed);
        ended += 1;
        if ended < present.len() {
            // The orders to stop the others do not arrive in time.
            pool.decide();
        } else {
            pool.run_decision();
        }
        if changes.contains(&ended) {
            pool.change_leader();
        }
    }
}

/// Guards against a gang that uses up two attempts in one run, because the leader that learns of the second failed
/// member does not know that the first one was counted.
#[parameterized(
    pair = { 2, &[1] },
    three_first = { 3, &[1] },
    three_second = { 3, &[2] },
    each_end = { 5, &[1, 2, 3, 4, 5] },
    after_run = { 2, &[2] },
    no_change = { 3, &[] },
)]
fn spread_ends(count: u32, changes: &[usize]) {
    let mut pool = pool_with_gang(count);
    for run in 1..MAX_ATTEMPTS {
        fail_run(&mut pool, changes);
        assert!(!pool.stage("a").is_final(), "failed after {run} runs");
        start_run(&mut pool, count, run + 1);
    }
    fail_run(&mut pool, changes);
    assert_eq!(
        pool.stage("a"),
        JobStage::Failed,
        "more than {MAX_ATTEMPTS} attempts"
    );
}

/// Guards against counting a failed end twice that the leader before listed but did not store.
#[test]
fn unstored_end() {
    let mut pool = pool_with_gang(2);
    for run in 1..MAX_ATTEMPTS {
        let present = members(&pool);
        let records = pool.records.clone();
        let (worker, task, run_number) = present[0].clone();
        pool.end_run(worker, &task, run_number, EndKind::Failed);
        pool.decide();
        // The commit did not take place, and the worker lists the end again to the next leader.
        pool.records = records;
        pool.runs.entry(worker).or_default().push((task, run_number));
        pool.change_leader();
        fail_run(&mut pool, &[1]);
        assert!(!pool.stage("a").is_final(), "failed after {run} runs");
        start_run(&mut pool, 2, run + 1);
    }
}

/// Guards against a record of an earlier version, without the number of the failed run, from which an attempt is
/// counted twice; or not at all, if no member had ended in the present run.
#[parameterized(
    one_ended = { true },
    none_ended = { false },
)]
fn earlier_record(ended: bool) {
    let mut pool = pool_with_gang(2);
    fail_run(&mut pool, &[]);
    start_run(&mut pool, 2, 2);
    if ended {
        let (worker, task, run) = members(&pool)[0].clone();
        pool.end_run(worker, &task, run, EndKind::Failed);
        pool.decide();
    }
    let record = pool.records.get_mut("a").unwrap();
    for task in &mut record.occurrences[0].tasks {
        task.last_failed_run = 0;
    }
    pool.change_leader();
    fail_run(&mut pool, &[]);
    let failures = pool.records["a"].occurrences[0]
        .tasks
        .iter()
        .map(|task| task.failures);
    assert_eq!(failures.collect::<Vec<_>>(), [2, 2]);
}

/// Guards against members that resume from different checkpoints, because that of a failed end was kept for one
/// member only.
#[parameterized(
    same_leader = { false },
    next_leader = { true },
)]
fn failed_checkpoint(change: bool) {
    let mut pool = pool_with_gang(3);
    let (worker, task, run) = members(&pool)[1].clone();
    pool.end_run_with(worker, &task, run, EndKind::Failed, "c7");
    pool.run_decision();
    if change {
        pool.change_leader();
    }
    fail_run(&mut pool, &[]);
    start_run(&mut pool, 3, 2);
    let resumed = pool.starts.iter().filter(|start| start.run == 2);
    let checkpoints: Vec<&str> = resumed.map(|start| start.checkpoint.as_ref()).collect();
    assert_eq!(checkpoints, ["c7"; 3]);
}

/// Guards against members that resume from different checkpoints after a restore from a record that was stored in
/// part, or by a version that kept the checkpoint of a failed end for one member.
#[test]
fn mixed_checkpoints() {
    let mut pool = pool_with_gang(3);
    fail_run(&mut pool, &[]);
    let record = pool.records.get_mut("a").unwrap();
    for (task, checkpoint) in record.occurrences[0].tasks.iter_mut().zip(["", "c3", "c4"]) {
        // The commit of the next run did not take place.
        (task.worker, task.run) = (String::new(), 1);
        task.checkpoint = checkpoint.into();
    }
    pool.change_leader();
    pool.runs.clear();
    pool.starts.clear();
    start_run(&mut pool, 3, 2);
    let checkpoints: Vec<&str> = pool
        .starts
        .iter()
        .map(|start| start.checkpoint.as_ref())
        .collect();
    assert_eq!(checkpoints, ["c3"; 3]);
}

/// Guards against a gang that neither completes nor starts again, because its leader was killed between the commits of
/// a record that takes several rows: some members are stored as done, the others are not.
#[parameterized(
    last_step = { false },
    earlier_step = { true },
)]
fn partly_stored(followed: bool) {
    let mut pool = TestPool::new(8);
    let gang = StepBody {
        gang: true,
        ..step(3, 8)
    };
    let next = StepBody {
        after: vec![0],
        ..step(1, 1)
    };
    let steps = if followed { vec![gang, next] } else { vec![gang] };
    pool.submit("a", body("normal", "north", steps));
    start_run(&mut pool, 3, 1);
    let mut record = pool.records["a"].clone();
    let first = &mut record.occurrences[0].tasks[0];
    (first.done, first.worker) = (true, String::new());
    pool.records.insert("a".into(), record);
    // The ends are not listed again, as after a restart of the workers.
    pool.runs.clear();
    pool.change_leader();
    list_all(&mut pool);
    pool.run_decision();
    if followed {
        list_all(&mut pool);
        assert_eq!(pool.running_count("a"), 1, "the next step did not start");
        pool.finish_job("a");
        pool.decide();
    }
    assert_eq!(pool.stage("a"), JobStage::Completed);
}
