//! Guards against two processes that use the placement lease of a data centre at the same time.

mod support;

use arbutuspick_model::{ClockTime, LeaseEpoch, PlatformTime};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{EpochRecord, LeaseError, LeaseRecord, LeaseTakeover, RowKey, Versioned};
use support::*;

fn lease(table: &MemoryTable) -> Versioned<LeaseRecord> {
    table.load(&RowKey::Lease(centre("trent"))).unwrap().unwrap()
}

fn try_take(table: &MemoryTable, now: PlatformTime) -> Result<LeaseEpoch, LeaseError> {
    let epoch: Option<Versioned<EpochRecord>> = table.load(&RowKey::Epoch(centre("trent"))).unwrap();
    let takeover = LeaseTakeover {
        data_centre: centre("trent"),
        epoch: epoch.as_ref(),
        lease: Some(&lease(table)),
        holder: process("vm-2"),
        address: address(),
        now,
    };
    EpochRecord::take_over(takeover, write_id(1)).map(|change| change.record.epoch.epoch)
}

#[test]
fn takeover_time() {
    let mut table = MemoryTable::default();
    guard(&mut table, "trent", NOW);
    assert!(matches!(
        try_take(&table, NOW + 3_999),
        Err(LeaseError::StillHeld { .. })
    ));
    assert_eq!(try_take(&table, NOW + 4_000), Ok(LeaseEpoch(2)));
}

#[test]
fn renewal() {
    let mut table = MemoryTable::default();
    let guard = guard(&mut table, "trent", NOW);
    let change = lease(&table).renew(&guard, NOW + 1_000, write_id(2)).unwrap();
    let renewed = commit(&mut table, change);
    assert_eq!(renewed.record.deadline, NOW + 5_000);
    let earlier = renewed.renew(&guard, NOW, write_id(3)).unwrap();
    assert_eq!(earlier.record.deadline, NOW + 5_000);
}

#[test]
fn released_lease() {
    let mut table = MemoryTable::default();
    let guard = guard(&mut table, "trent", NOW);
    let renewal = lease(&table).renew(&guard, NOW + 10, write_id(2)).unwrap();
    let change = lease(&table).release(&guard, NOW + 10, write_id(3)).unwrap();
    commit(&mut table, change);
    assert!(
        conflicts(&mut table, &renewal.transaction),
        "a delayed renewal extended a released lease"
    );
    assert_eq!(try_take(&table, NOW + 10), Ok(LeaseEpoch(2)));
}

#[test]
fn late_renewal() {
    let mut table = MemoryTable::default();
    let guard = guard(&mut table, "trent", NOW);
    let renewal = lease(&table).renew(&guard, NOW + 5_000, write_id(2)).unwrap();
    take_over(&mut table, "trent", &process("vm-2"), NOW + 5_000);
    assert!(conflicts(&mut table, &renewal.transaction));
    assert!(matches!(
        lease(&table).renew(&guard, NOW, write_id(3)),
        Err(LeaseError::EpochMismatch { .. })
    ));
}

#[test]
fn concurrent_takeovers() {
    let mut table = MemoryTable::default();
    let takeover = |holder| LeaseTakeover {
        data_centre: centre("trent"),
        epoch: None,
        lease: None,
        holder: process(holder),
        address: address(),
        now: NOW,
    };
    let first = EpochRecord::take_over(takeover("vm-1"), write_id(1)).unwrap();
    let second = EpochRecord::take_over(takeover("vm-2"), write_id(2)).unwrap();
    let (epoch, lease) = commit(&mut table, first).split();
    assert_eq!(lease.version, epoch.version);
    assert!(conflicts(&mut table, &second.transaction));
}

/// A restarted process must not use the lease that its predecessor acquired.
#[test]
fn restarted_holder() {
    let mut table = MemoryTable::default();
    let holder = process("vm-1");
    take_over(&mut table, "trent", &holder, NOW);
    let epoch: Versioned<EpochRecord> = table.load(&RowKey::Epoch(centre("trent"))).unwrap().unwrap();
    assert!(epoch.guard(&holder).is_some());
    assert_eq!(epoch.guard(&process("vm-1")), None);
}

#[test]
fn local_deadline() {
    let record = LeaseRecord {
        epoch: LeaseEpoch(1),
        deadline: NOW + 4_000,
        write_id: write_id(1),
    };
    assert_eq!(record.local_deadline(NOW + 300, ClockTime(50)), ClockTime(3_750));
    assert_eq!(record.local_deadline(NOW + 9_000, ClockTime(50)), ClockTime(50));
}
