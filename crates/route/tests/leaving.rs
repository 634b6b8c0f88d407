//! Upstreams that are leaving, do not respond, or are in a closed data centre.

mod support;

use arbutuspick_model::ClockTime;
use arbutuspick_route::{AcquireError, AttemptResult, RoutingTable, UpstreamEntry};
use support::{
    acquire_slot, centre, entry, record_all_heard, remote_entry, run_attempt, table_with, upstream,
    upstream_report,
};
use yare::parameterized;

fn by_list(table: &RoutingTable) {
    let leaving = true;
    table.update_upstreams([UpstreamEntry { leaving, ..entry(0) }], ClockTime(1));
}

fn by_mark(table: &RoutingTable) {
    assert!(table.mark_leaving(&upstream(0), ClockTime(1)));
}

fn by_response(table: &RoutingTable) {
    run_attempt(table, &[], AttemptResult::Leaving, 1);
}

/// Guards against requests to a leaving upstream after a lagging list shows it as live again.
#[parameterized(list = { by_list }, mark = { by_mark }, response = { by_response })]
fn never_reverts(leave: fn(&RoutingTable)) {
    let table = table_with(vec![entry(0)], 8);
    leave(&table);
    let lists = [vec![entry(0)], vec![], vec![entry(0)], vec![remote_entry(0)]];
    for (now, list) in (2..).zip(lists) {
        assert_eq!(acquire_slot(&table, now).unwrap_err(), AcquireError::NoUpstream);
        table.update_upstreams(list, ClockTime(now));
        record_all_heard(&table, now);
    }
    assert_eq!(acquire_slot(&table, 9).unwrap_err(), AcquireError::NoUpstream);
    let address = ([127, 0, 0, 1], 9999).into();
    table.update_upstreams([UpstreamEntry { address, ..entry(0) }], ClockTime(10));
    record_all_heard(&table, 10);
    assert_eq!(acquire_slot(&table, 10).unwrap().address(), address);
}

/// Guards against a VM that gets no requests after it restarted at the same address.
#[test]
fn restart_returns() {
    let table = table_with(vec![entry(0)], 8);
    by_mark(&table);
    table.update_upstreams([], ClockTime(2));
    table.update_upstreams([entry(0)], ClockTime(60_002));
    record_all_heard(&table, 60_002);
    assert!(acquire_slot(&table, 60_002).is_ok());
}

/// Guards against new requests for an upstream that was not heard from for 3 s, or never.
#[parameterized(fresh = { 2_999, true }, silent = { 3_000, false })]
fn silent_upstream(now: u64, taken: bool) {
    let table = table_with(vec![entry(0)], 8);
    table.update_upstreams([entry(0), entry(1)], ClockTime(0));
    let permit = acquire_slot(&table, now).ok();
    assert_eq!(
        permit.map(|permit| permit.upstream().clone()),
        taken.then(|| upstream(0))
    );
}

/// Guards against missing, early or repeated health checks.
#[test]
fn due_checks() {
    let table = table_with(vec![entry(0), entry(1)], 8);
    let due = |now| {
        table
            .due_health_checks(ClockTime(now))
            .into_iter()
            .map(|(name, _)| name)
            .collect::<Vec<_>>()
    };
    assert_eq!(due(999), []);
    table.record_heard(&upstream(1), ClockTime(999));
    assert_eq!(due(1_000), [upstream(0)]);
    assert_eq!(due(1_998), []);
    assert_eq!(due(2_000), [upstream(0), upstream(1)]);
    table.mark_leaving(&upstream(0), ClockTime(2_000));
    assert_eq!(due(3_000), [upstream(1)]);
}

/// Guards against requests to a closed data centre, also after the list was replaced.
#[test]
fn centre_closed() {
    let table = table_with(vec![entry(0), remote_entry(1)], 8);
    table.set_centre_open(&centre("own"), false);
    assert_eq!(*acquire_slot(&table, 1).unwrap().upstream(), upstream(1));
    table.update_upstreams([entry(0), entry(2)], ClockTime(2));
    record_all_heard(&table, 2);
    assert_eq!(acquire_slot(&table, 2).unwrap_err(), AcquireError::NoUpstream);
    table.set_centre_open(&centre("own"), true);
    assert!(acquire_slot(&table, 2).is_ok());
}

/// Guards against counters that are lost when the list is replaced.
#[test]
fn counters_kept() {
    let table = table_with(vec![entry(0)], 4);
    let permit = acquire_slot(&table, 1).unwrap();
    table.update_upstreams([entry(1), entry(0)], ClockTime(1));
    assert_eq!(upstream_report(&table, 0, 1).in_flight, 1);
    permit.finish(AttemptResult::RefusedNotRun, ClockTime(1));
    let report = upstream_report(&table, 0, 1);
    assert_eq!((report.in_flight, report.limit), (0, 2));
}

/// Guards against a state dump without the fields that operators read.
#[test]
fn state_dump() {
    let table = table_with(vec![entry(0)], 4);
    let dump = serde_json::to_value(table.state(ClockTime(5))).unwrap();
    assert_eq!(dump["upstreams"][0]["entry"]["name"], "u-0");
    assert_eq!(dump["upstreams"][0]["limit"], 4);
    assert_eq!(dump["upstreams"][0]["last_heard"], 0);
}
