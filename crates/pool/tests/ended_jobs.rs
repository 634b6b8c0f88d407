//! Records of jobs that have ended.

mod support;

use support::{TestPool, body, step};

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
