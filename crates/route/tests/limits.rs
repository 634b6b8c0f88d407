//! Adaptive limit and connection cap.

mod support;

use arbutuspick_model::ClockTime;
use arbutuspick_route::{AttemptResult, RoutingOptions, RoutingTable};
use support::{acquire_slot, centre, entry, record_all_heard, run_attempt, table_with, upstream_report};
use yare::parameterized;

/// Guards against a limit that is halved several times because all requests in flight together are refused.
#[test]
fn halved_once() {
    let table = table_with(vec![entry(0)], 8);
    for expected in [4, 2, 1, 1] {
        let permits: Vec<_> = std::iter::from_fn(|| acquire_slot(&table, 1).ok()).collect();
        for permit in permits {
            permit.finish(AttemptResult::RefusedNotRun, ClockTime(2));
        }
        assert_eq!(upstream_report(&table, 0, 2).limit, expected);
    }
}

/// Guards against a limit that is raised too fast or beyond the slots of an upstream.
#[parameterized(
    one = { 1, 1, 2 },
    short = { 4, 3, 4 },
    four = { 4, 4, 5 },
    top = { 8, 100, 8 },
)]
fn raised_after(limit: u16, successes: usize, expected: u16) {
    for rounds in [1, 16] {
        check_raise(limit, successes * usize::from(rounds), rounds, expected);
        check_raise(limit, usize::from(limit * rounds) - 1, rounds, limit);
    }
}

fn check_raise(limit: u16, successes: usize, rounds: u16, expected: u16) {
    let options = RoutingOptions::new(centre("own")).with_initial_limit(limit);
    let table = RoutingTable::new(options.with_rounds_per_raise(rounds));
    table.update_upstreams([entry(0)], ClockTime(0));
    record_all_heard(&table, 0);
    for _ in 0..successes {
        run_attempt(&table, &[], AttemptResult::Succeeded, 1);
    }
    assert_eq!(upstream_report(&table, 0, 1).limit, expected);
}

/// Guards against more connections than an upstream accepts from all entry VMs together.
#[parameterized(
    one = { 1, 64, 8 },
    seven = { 7, 9, 8 },
    twenty = { 20, 3, 3 },
    all = { 64, 1, 1 },
    more = { 100, 1, 1 },
)]
fn connection_cap(entry_vms: u32, cap: u32, in_flight: usize) {
    let table = table_with(vec![entry(0)], 8);
    table.set_entry_vms(entry_vms);
    assert_eq!(table.connection_cap(), cap);
    let permits: Vec<_> = std::iter::from_fn(|| acquire_slot(&table, 1).ok()).collect();
    assert_eq!(permits.len(), in_flight);
}

/// Guards against slots that leak when the caller disconnects.
#[test]
fn drop_releases() {
    let table = table_with(vec![entry(0)], 4);
    let permits: Vec<_> = std::iter::from_fn(|| acquire_slot(&table, 1).ok()).collect();
    assert_eq!(upstream_report(&table, 0, 1).in_flight, 4);
    drop(permits);
    let report = upstream_report(&table, 0, 1);
    assert_eq!((report.in_flight, report.limit), (0, 4));
}
