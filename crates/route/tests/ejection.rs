//! Ejection of failing upstreams, probes and readmission.

mod support;

use arbutuspick_model::ClockTime;
use arbutuspick_route::{AttemptResult, RequestKind, RoutingTable};
use support::{
    acquire_slot, entry, record_all_heard, run_attempt, service, table_with, upstream, upstream_report,
};
use yare::parameterized;

/// Makes upstream 0 of `count` fail five consecutive times.
fn fail_upstream_0(table: &RoutingTable, count: usize, now: u64) {
    let others: Vec<_> = (1..count).map(upstream).collect();
    for _ in 0..5 {
        run_attempt(table, &others, AttemptResult::Failed, now);
    }
}

fn ejected_until(table: &RoutingTable, index: usize) -> Option<u64> {
    upstream_report(table, index, 0)
        .ejected_until
        .map(|until| until.0)
}

/// Guards against ejection by too few failures, by refusals or by callers with short deadlines.
#[parameterized(
    four_failures = { &[AttemptResult::Failed; 4], false },
    five_failures = { &[AttemptResult::Failed; 5], true },
    not_sent = { &[AttemptResult::NotSent; 5], true },
    lost = { &[AttemptResult::Lost; 5], true },
    refused = { &[AttemptResult::RefusedNotRun; 9], false },
    short_deadline = { &[AttemptResult::Expired; 9], false },
    interrupted = { &[AttemptResult::Lost, AttemptResult::Lost, AttemptResult::Succeeded, AttemptResult::Lost,
        AttemptResult::Lost, AttemptResult::Lost], false },
)]
fn consecutive_failures(results: &[AttemptResult], ejected: bool) {
    let table = table_with(vec![entry(0), entry(1)], 8);
    for result in results {
        run_attempt(&table, &[upstream(1)], *result, 1);
    }
    assert_eq!(upstream_report(&table, 0, 1).ejected_until.is_some(), ejected);
}

/// Guards against an upstream that does not respond and is not ejected.
#[test]
fn long_expiry() {
    let table = table_with(vec![entry(0), entry(1)], 8);
    for _ in 0..5 {
        let kind = RequestKind::Idempotent;
        let permit = table
            .acquire(&service(), kind, &[upstream(1)], ClockTime(1))
            .unwrap();
        permit.finish(AttemptResult::Expired, ClockTime(1_001));
    }
    assert_eq!(ejected_until(&table, 0), Some(2_001));
}

/// Guards against an ejection back-off that does not grow, is unbounded, or is not reset after recovery.
#[test]
fn doubling_ejection() {
    let table = table_with(vec![entry(0), entry(1)], 8);
    fail_upstream_0(&table, 2, 0);
    let mut now = 0;
    for length in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        assert_eq!(ejected_until(&table, 0), Some(now + length));
        now += length;
        record_all_heard(&table, now);
        let permit = acquire_slot(&table, now).unwrap();
        assert!(permit.is_probe());
        permit.finish(AttemptResult::Failed, ClockTime(now));
    }
    now += 30_000;
    record_all_heard(&table, now);
    acquire_slot(&table, now)
        .unwrap()
        .finish(AttemptResult::Succeeded, ClockTime(now));
    now += 30_000;
    record_all_heard(&table, now);
    fail_upstream_0(&table, 2, now);
    assert_eq!(ejected_until(&table, 0), Some(now + 1_000));
}

/// Guards against more than half of the upstreams being ejected when all fail.
#[parameterized(one = { 1, 0 }, two = { 2, 1 }, three = { 3, 1 }, four = { 4, 2 }, nine = { 9, 4 })]
fn half_ejected(count: usize, expected: usize) {
    let table = table_with((0..count).map(entry).collect(), 8);
    for _ in 0..200 {
        acquire_slot(&table, 1)
            .unwrap()
            .finish(AttemptResult::Lost, ClockTime(1));
    }
    let ejected = (0..count).filter(|index| ejected_until(&table, *index).is_some());
    assert_eq!(ejected.count(), expected);
}

/// Guards against more than half of the live upstreams staying ejected after others left.
#[test]
fn excess_returns() {
    let table = table_with((0..4).map(entry).collect(), 8);
    fail_upstream_0(&table, 4, 1);
    for index in 1..4 {
        table.mark_leaving(&upstream(index), ClockTime(2));
    }
    assert_eq!(*acquire_slot(&table, 3).unwrap().upstream(), upstream(0));
}

/// Guards against non-idempotent requests or retries as probes, and against two concurrent probes.
#[test]
fn single_probe() {
    let table = table_with(vec![entry(0), entry(1), entry(2)], 8);
    fail_upstream_0(&table, 3, 0);
    let acquire = |kind, excluded: &[_]| {
        table
            .acquire(&service(), kind, excluded, ClockTime(1_000))
            .unwrap()
    };
    for _ in 0..20 {
        assert!(!acquire(RequestKind::NonIdempotent, &[]).is_probe());
        assert!(!acquire(RequestKind::Idempotent, &[upstream(1)]).is_probe());
    }
    let probe = acquire(RequestKind::Idempotent, &[]);
    assert!(probe.is_probe());
    assert!(!acquire(RequestKind::Idempotent, &[]).is_probe());
    drop(probe);
    let probe = acquire(RequestKind::Idempotent, &[]);
    assert!(probe.is_probe());
    probe.finish(AttemptResult::Succeeded, ClockTime(1_001));
    assert_eq!(ejected_until(&table, 0), None);
}

/// Guards against an upstream that stays ejected because all requests are non-idempotent.
#[test]
fn overdue_probe() {
    let table = table_with(vec![entry(0), entry(1)], 8);
    fail_upstream_0(&table, 2, 0);
    assert_eq!(table.overdue_probes(ClockTime(1_999)).len(), 0);
    let mut probes = table.overdue_probes(ClockTime(2_000));
    assert!(table.overdue_probes(ClockTime(2_000)).is_empty());
    assert!(!acquire_slot(&table, 2_000).unwrap().is_probe());
    let probe = probes.pop().unwrap();
    probe.finish(AttemptResult::Succeeded, ClockTime(2_001));
    assert_eq!((ejected_until(&table, 0), probes.len()), (None, 0));
}
