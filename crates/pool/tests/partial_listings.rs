//! A listing that shows only the first ends says nothing about runs that it does not name.

mod support;

use arbutuspick_pool::{EndKind, JobRecord, RunEnd, StartOrder, WorkerListing};
use support::{TestPool, body, step};

/// Returns the listing of a worker whose runs have all ended, with the ends numbered from `first` on.
fn ends_listing(pool: &TestPool, first: u64, starts: &[StartOrder], is_complete: bool) -> WorkerListing {
    let ended = starts.iter().zip(first..).map(|(start, number)| RunEnd {
        number,
        task: Some(start.task.clone()),
        run: start.run,
        kind: EndKind::Done,
        checkpoint: "".into(),
    });
    WorkerListing {
        asked_at: pool.now,
        running: Vec::new(),
        ended: ended.collect(),
        is_complete,
    }
}

/// Guards against starting tasks again whose ends a worker has not listed yet, because it lists some at a time.
#[test]
fn later_ends() {
    let mut pool = TestPool::new(1);
    pool.submit("job", body("normal", "south", vec![step(7, 1)]));
    pool.run_decision();
    let starts = pool.starts.clone();
    let worker = starts[0].worker;
    pool.advance(3_000);
    for (page, ends) in starts.chunks(3).enumerate() {
        let is_complete = ends.len() < 3;
        let listing = ends_listing(&pool, page as u64 * 3 + 1, ends, is_complete);
        let now = pool.now;
        pool.core.apply_listing(worker, &listing, now);
        pool.run_decision();
        pool.advance(50);
    }
    assert_eq!(pool.starts.len(), starts.len(), "a task was started again");
    assert!(pool.stops.is_empty(), "a run that has ended was stopped");
    assert!(!pool.core.has_job("job"));
}

/// Guards against a new leader that takes recorded runs for lost when the worker lists their ends later.
#[test]
fn restored_runs() {
    let mut first = TestPool::new(1);
    first.submit("job", body("normal", "south", vec![step(4, 1)]));
    first.run_decision();
    let starts = first.starts.clone();
    let record: JobRecord = first
        .changes
        .pop()
        .and_then(|change| change.record)
        .expect("no record");
    let mut second = TestPool::new(1);
    let (now, wall) = (second.now, second.wall());
    let body = body("normal", "south", vec![step(4, 1)]);
    second
        .core
        .add_job(&"job".into(), body, &record, now, wall, now + 10_000);
    let worker = second.workers[0];
    for (page, ends) in starts.chunks(2).enumerate() {
        let listing = ends_listing(&second, page as u64 * 2 + 1, ends, page > 0);
        second.core.apply_listing(worker, &listing, now);
        second.run_decision();
    }
    assert!(second.starts.is_empty(), "a task that is done was started again");
    assert!(!second.core.has_job("job"));
}

/// Guards against tasks that wait for ever, because a run that is really lost does not count as absent once the
/// worker lists all its ends.
#[test]
fn lost_run() {
    let mut pool = TestPool::new(1);
    pool.submit("job", body("normal", "south", vec![step(2, 1)]));
    pool.run_decision();
    let starts = pool.starts.clone();
    let worker = starts[0].worker;
    pool.advance(500);
    for is_complete in [false, true] {
        let listing = ends_listing(&pool, 1, &starts[..1], is_complete);
        let now = pool.now;
        pool.core.apply_listing(worker, &listing, now);
        pool.run_decision();
    }
    assert_eq!(pool.starts.len(), 3);
}
