//! Selection of an upstream.

mod support;

use arbutuspick_model::{ClockTime, ServiceName};
use arbutuspick_route::{AcquireError, AttemptResult, RequestKind};
use support::{acquire_slot, entry, remote_entry, service, table_with, upstream};

/// Guards against requests sent to another data centre while the own one has free slots, and against waiting
/// while another one has.
#[test]
fn own_first() {
    let table = table_with(vec![entry(0), entry(1), remote_entry(2)], 2);
    let permits: Vec<_> = (0..6).map(|_| acquire_slot(&table, 1).unwrap()).collect();
    let far = |permit: &_| *arbutuspick_route::SlotPermit::upstream(permit) == upstream(2);
    assert!(!permits[..4].iter().any(far));
    assert!(permits[4..].iter().all(far));
    assert_eq!(acquire_slot(&table, 1).unwrap_err(), AcquireError::AllBusy);
}

/// Guards against a selection that ignores the load: with two candidates, both are always compared.
#[test]
fn lower_load() {
    let table = table_with(vec![entry(0), entry(1)], 8);
    let permits: Vec<_> = (0..16).map(|_| acquire_slot(&table, 1).unwrap()).collect();
    for pair in permits.chunks(2) {
        assert_ne!(pair[0].upstream(), pair[1].upstream());
    }
}

/// Guards against the slower upstream being selected at equal load.
#[test]
fn latency_tie() {
    let table = table_with(vec![entry(0), entry(1)], 8);
    for _ in 0..2 {
        let permit = acquire_slot(&table, 1).unwrap();
        let latency = if *permit.upstream() == upstream(0) { 50 } else { 5 };
        permit.finish(AttemptResult::Succeeded, ClockTime(1 + latency));
    }
    for _ in 0..20 {
        assert_eq!(*acquire_slot(&table, 60).unwrap().upstream(), upstream(1));
    }
}

/// Guards against a retry at an upstream that was tried, and against waiting for it.
#[test]
fn excluded_skipped() {
    let table = table_with(vec![entry(0), entry(1)], 8);
    let acquire = |excluded: &[_]| table.acquire(&service(), RequestKind::Idempotent, excluded, ClockTime(1));
    for _ in 0..20 {
        assert_eq!(*acquire(&[upstream(0)]).unwrap().upstream(), upstream(1));
    }
    assert_eq!(
        acquire(&[upstream(0), upstream(1)]).unwrap_err(),
        AcquireError::AllExcluded
    );
}

/// Guards against a selection that is not reproducible from its seed.
#[test]
fn seed_repeats() {
    let draw = || {
        let table = table_with((0..10).map(entry).collect(), 8);
        let permits: Vec<_> = (0..40).map(|_| acquire_slot(&table, 1).unwrap()).collect();
        permits
            .iter()
            .map(|permit| permit.upstream().clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(draw(), draw());
}

/// Guards against requests for one service that reach upstreams of another.
#[test]
fn other_service() {
    let table = table_with(vec![entry(0)], 8);
    let canopy = ServiceName::try_from("canopy").unwrap();
    let result = table.acquire(&canopy, RequestKind::Idempotent, &[], ClockTime(1));
    assert_eq!(result.unwrap_err(), AcquireError::NoUpstream);
}
