//! What the leader may conclude from a worker's clock and from its registry entry.

use std::sync::Arc;

use arbutuspick_dispatch::{RegistryWatch, WorkerClock};
use arbutuspick_model::{ClockTime, WorkerTime};
use yare::parameterized;

/// Time of silence after which the registry drops an entry, in milliseconds.
const SILENCE_MS: u64 = 4_500;

/// Returns the local time at which a worker's clock shows `until`, if it showed 0 at local time 0.
fn local_time(until: WorkerTime, speed_permille: u64) -> u64 {
    until.0 * 1_000 / speed_permille
}

/// Guards against leases that outlast their recorded end because a slow clock was read long ago.
#[parameterized(
    at_once = { 0 },
    busy = { 1_000 },
    idle = { 120_000 },
)]
fn slow_clock(idle_ms: u64) {
    const SPEED_PERMILLE: u64 = 980;
    let clock = WorkerClock::default();
    let read_at = 50_000;
    clock.update(WorkerTime(read_at * SPEED_PERMILLE / 1_000), ClockTime(read_at));
    let now = ClockTime(read_at + idle_ms);
    let until = clock.lease_until(now, 4_000).expect("no lease");
    let expiry = clock.lease_expiry();
    assert!(
        local_time(until, SPEED_PERMILLE) <= expiry.0,
        "the lease lasts until {} ms, not {expiry}",
        local_time(until, SPEED_PERMILLE)
    );
}

/// Guards against an order that grants a lease after the runs of its worker were given up.
#[test]
fn sealed_clock() {
    let clock = WorkerClock::default();
    clock.update(WorkerTime(1_000), ClockTime(1_000));
    clock.lease_until(ClockTime(1_000), 4_000);
    assert_eq!(clock.seal_expired(ClockTime(2_000)), ClockTime(5_120));
    assert!(
        clock.lease_until(ClockTime(2_000), 1_000).is_some(),
        "sealed while a lease is valid"
    );
    clock.seal_expired(ClockTime(9_000));
    assert_eq!(clock.lease_until(ClockTime(9_000), 4_000), None);
    clock.reopen();
    assert!(clock.lease_until(ClockTime(9_000), 4_000).is_some());
}

/// Guards against a reply that arrives out of order and moves the estimate ahead of the worker's clock.
#[test]
fn overtaken_reply() {
    let clock = WorkerClock::default();
    clock.update(WorkerTime(10_000), ClockTime(10_010));
    clock.update(WorkerTime(9_000), ClockTime(10_020));
    let until = clock.lease_until(ClockTime(10_020), 1_000).expect("no lease");
    assert!(until.0 <= 11_020 && until.0 >= 11_000, "{until:?}");
}

fn observe(watch: &mut RegistryWatch, rows: &[(&str, u64)], at: u64) -> Vec<Arc<str>> {
    let rows: Vec<(Arc<str>, u64)> = rows
        .iter()
        .map(|(id, version)| ((*id).into(), *version))
        .collect();
    let versions = rows.iter().map(|(id, version)| (id, *version));
    watch.observe(versions, ClockTime(at), ClockTime(at + 10))
}

/// Guards against a worker that is cut off and counts as shut down when its entry expires, and against work that
/// waits for a lease although its worker has left.
#[parameterized(
    left = { 1_500, true },
    expired = { 4_500, false },
)]
fn removed_entry(gone_after_ms: u64, has_departed: bool) {
    let mut watch = RegistryWatch::new(SILENCE_MS);
    observe(&mut watch, &[("w1", 1)], 0);
    observe(&mut watch, &[("w1", 2)], 500);
    let mut departed = Vec::new();
    let mut at = 1_000;
    while at < 500 + gone_after_ms {
        departed.extend(observe(&mut watch, &[("w1", 2)], at));
        at += 500;
    }
    departed.extend(observe(&mut watch, &[], at));
    assert_eq!(!departed.is_empty(), has_departed, "{departed:?}");
}

/// Guards against conclusions from reads before an outage of the registry, in which entries may expire at once.
#[test]
fn registry_outage() {
    let mut watch = RegistryWatch::new(SILENCE_MS);
    observe(&mut watch, &[("w1", 1)], 0);
    observe(&mut watch, &[("w1", 2)], 500);
    watch.reset();
    assert!(observe(&mut watch, &[], 1_000).is_empty());
    assert!(observe(&mut watch, &[("w1", 3)], 1_500).is_empty());
    // The age of this entry is not known.
    let mut unknown = RegistryWatch::new(SILENCE_MS);
    observe(&mut unknown, &[("w1", 1)], 20_000);
    assert!(observe(&mut unknown, &[], 20_500).is_empty());
}
