//! Guards against operators overwriting each other's orders, and starts in a data centre out of service.

mod support;

use arbutuspick_model::{CentreState, OrderNumber};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    CentreEvent, CentreLifecycle, CentreOrder, CentreRecord, OrderError, OrderKind, Versioned, in_force_at,
};
use support::*;

const OUT: OrderKind = OrderKind::Out { drain_deadline: NOW };

fn order(kind: OrderKind, based_on: u64) -> CentreOrder {
    CentreOrder {
        data_centre: centre("trent"),
        kind,
        based_on: OrderNumber(based_on),
        operator: format!("op-{based_on}").into(),
        now: NOW,
    }
}

#[yare::parameterized(
    in_ = { CentreState::In, [Some(CentreState::Leaving), None, None, None] },
    leaving = { CentreState::Leaving,
        [Some(CentreState::Leaving), Some(CentreState::Out), Some(CentreState::Returning), None] },
    out = { CentreState::Out, [None, None, Some(CentreState::Returning), None] },
    returning = { CentreState::Returning, [Some(CentreState::Leaving), None, None, Some(CentreState::In)] },
)]
fn all_transitions(state: CentreState, expected: [Option<CentreState>; 4]) {
    let events = [
        CentreEvent::OrderOut,
        CentreEvent::Drained,
        CentreEvent::OrderIn,
        CentreEvent::RampedUp,
    ];
    let found = events.map(|event| CentreLifecycle::default().next(state, event).ok());
    assert_eq!(found, expected);
}

#[yare::parameterized(
    in_ = { CentreState::In, true },
    leaving = { CentreState::Leaving, false },
    out = { CentreState::Out, false },
    returning = { CentreState::Returning, true },
)]
fn start_permit(state: CentreState, permitted: bool) {
    let record = CentreRecord {
        state,
        ..CentreRecord::default()
    };
    assert_eq!(record.permits_start(), permitted);
}

#[test]
fn two_operators() {
    let mut table = MemoryTable::default();
    let second = CentreRecord::order(None, order(OUT, 0), write_id(2)).unwrap();
    let row = commit(
        &mut table,
        CentreRecord::order(None, order(OUT, 0), write_id(1)).unwrap(),
    );
    assert!(conflicts(&mut table, &second.transaction));
    let refused = CentreRecord::order(Some(&row), order(OUT, 0), write_id(2));
    let Err(OrderError::Superseded { current }) = refused else {
        panic!("order based on an outdated order number was planned");
    };
    assert_eq!(*current, row.record);
}

#[test]
fn out_and_back() {
    let mut table = MemoryTable::default();
    let guard = guard(&mut table, "trent", NOW);
    let mut row: Versioned<CentreRecord>;
    row = commit(
        &mut table,
        CentreRecord::order(None, order(OUT, 0), write_id(1)).unwrap(),
    );
    row = commit(&mut table, row.record_drained(&guard, write_id(2)).unwrap());
    assert_eq!(
        (row.record.state, row.record.order),
        (CentreState::Out, OrderNumber(1))
    );
    row = commit(
        &mut table,
        CentreRecord::order(Some(&row), order(OrderKind::In, 1), write_id(3)).unwrap(),
    );
    assert_eq!(row.record.drain_deadline, None);
    row = commit(&mut table, row.record_ramped_up(&guard, write_id(4)).unwrap());
    assert_eq!(
        (row.record.state, row.record.order),
        (CentreState::In, OrderNumber(2))
    );
}

/// A holder that saw the data centre drained must not overwrite an order committed since.
#[test]
fn late_progress() {
    let mut table = MemoryTable::default();
    let guard = guard(&mut table, "trent", NOW);
    let row = commit(
        &mut table,
        CentreRecord::order(None, order(OUT, 0), write_id(1)).unwrap(),
    );
    let drained = row.record_drained(&guard, write_id(2)).unwrap();
    commit(
        &mut table,
        CentreRecord::order(Some(&row), order(OrderKind::In, 1), write_id(3)).unwrap(),
    );
    assert!(conflicts(&mut table, &drained.transaction));
}

#[test]
fn past_deadline() {
    let kind = OrderKind::Out {
        drain_deadline: NOW - 1,
    };
    let refused = CentreRecord::order(None, order(kind, 0), write_id(1));
    assert!(matches!(refused, Err(OrderError::DeadlinePassed { .. })));
    assert_eq!(in_force_at(NOW), NOW + 2_000);
}
