//! Jobs that have ended stay ended.

mod support;

use support::{TestPool, body, step};

/// Guards against a body that is read again after its job ended, as after the store lost its history:
/// the job was taken for a new one and ran a second time.
#[test]
fn late_body() {
    let mut pool = TestPool::new(4);
    pool.submit("a", body("normal", "north", vec![step(2, 1)]));
    pool.step();
    assert_eq!(pool.starts.len(), 2);
    pool.finish("a");
    pool.pass(100);
    pool.step();
    pool.submit("a", body("normal", "north", vec![step(2, 1)]));
    pool.step();
    assert_eq!(pool.starts.len(), 2, "the ended job started again");
}

/// Guards against final records that stay in the store for ever.
#[test]
fn old_records() {
    let mut pool = TestPool::new(4);
    pool.submit("a", body("normal", "north", vec![step(1, 1)]));
    pool.step();
    pool.finish("a");
    pool.step();
    pool.changes.clear();
    pool.pass(240_001);
    pool.step();
    let removed = pool
        .changes
        .iter()
        .any(|change| change.job.as_ref() == "a" && change.record.is_none());
    assert!(removed);
}
