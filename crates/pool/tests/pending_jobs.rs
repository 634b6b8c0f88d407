//! The number of pending jobs: those of which no task has begun.

mod support;

use arbutuspick_pool::{EndKind, JobRecord, PoolOrder, StartAnswer, StartOrder};
use support::{TestPool, body, step};
use yare::parameterized;

fn pending(pool: &TestPool) -> u64 {
    pool.core.pending_by_queue().get("normal").copied().unwrap_or(0)
}

/// Returns a pool with one job and its start, which has not been answered.
fn pool_with_start() -> (TestPool, StartOrder) {
    let mut pool = TestPool::new(2);
    pool.submit("job", body("normal", "south", vec![step(1, 8)]));
    let PoolOrder::Start(start) = pool.decide().remove(0) else {
        panic!("no start");
    };
    (pool, start)
}

fn answer(pool: &mut TestPool, start: &StartOrder, answer: StartAnswer) {
    let now = pool.now;
    pool.core
        .apply_start_answer(&start.task, start.run, start.worker, answer, now);
}

/// Guards against jobs that are left out of the number though no worker has begun them: their starts were refused,
/// not sent, or not answered yet.
#[parameterized(
    refused = { Some(StartAnswer::Refused) },
    not_sent = { Some(StartAnswer::NotSent) },
    unconfirmed = { Some(StartAnswer::Unconfirmed) },
    unanswered = { None },
)]
fn not_begun(outcome: Option<StartAnswer>) {
    let (mut pool, start) = pool_with_start();
    if let Some(outcome) = outcome {
        answer(&mut pool, &start, outcome);
    }
    assert_eq!(pending(&pool), 1);
    pool.advance(25);
    pool.decide();
    assert_eq!(pending(&pool), 1);
}

/// Guards against jobs that stay in the number after a worker has begun them, whatever shows it first.
#[parameterized(
    answered = { false },
    listed = { true },
)]
fn begun(is_listed: bool) {
    let (mut pool, start) = pool_with_start();
    if is_listed {
        pool.runs
            .insert(start.worker, vec![(start.task.clone(), start.run)]);
        pool.list(start.worker);
    } else {
        answer(&mut pool, &start, StartAnswer::Started);
    }
    assert_eq!(pending(&pool), 0);
}

/// Guards against a job that counts again when its run has ended and another one has not begun, also after a change of
/// the leader.
#[test]
fn waits_again() {
    let (mut pool, start) = pool_with_start();
    pool.execute(PoolOrder::Start(start.clone()));
    pool.end_run(start.worker, &start.task, start.run, EndKind::Failed);
    pool.decide();
    assert_eq!(pending(&pool), 0);
    let record: Option<JobRecord> = pool.changes.pop().and_then(|change| change.record);
    let mut next = TestPool::new(2);
    let (now, wall) = (next.now, next.wall());
    next.core.add_job(
        &"job".into(),
        body("normal", "south", vec![step(1, 8)]),
        &record.expect("no record"),
        now,
        wall,
        now,
    );
    assert_eq!(pending(&next), 0);
}
