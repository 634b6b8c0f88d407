#![allow(dead_code)] // Each test file uses only part of this module.

mod harness_checks;
pub(crate) mod route_harness;
pub(crate) mod upstream_oracle;

use arbutuspick_model::{CentreName, ClockTime, ServiceName, UpstreamName};
use arbutuspick_route::{
    AcquireError, AttemptResult, RequestKind, RoutingOptions, RoutingTable, SlotPermit, UpstreamEntry,
    UpstreamReport,
};

pub(crate) fn centre(name: &str) -> CentreName {
    CentreName::try_from(name).unwrap()
}

pub(crate) fn service() -> ServiceName {
    ServiceName::try_from("booking").unwrap()
}

pub(crate) fn upstream(index: usize) -> UpstreamName {
    UpstreamName::try_from(format!("u-{index}")).unwrap()
}

/// Upstream in data centre "own"; the port identifies the incarnation.
pub(crate) fn entry(index: usize) -> UpstreamEntry {
    UpstreamEntry {
        name: upstream(index),
        service: service(),
        data_centre: centre("own"),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        leaving: false,
    }
}

pub(crate) fn remote_entry(index: usize) -> UpstreamEntry {
    UpstreamEntry {
        data_centre: centre("far"),
        ..entry(index)
    }
}

/// Table whose upstreams were all heard from at time 0.
pub(crate) fn table_with(entries: Vec<UpstreamEntry>, limit: u16) -> RoutingTable {
    let options = RoutingOptions::new(centre("own"))
        .with_initial_limit(limit)
        .with_seed(7);
    let table = RoutingTable::new(options);
    table.update_upstreams(entries.clone(), ClockTime(0));
    record_all_heard(&table, 0);
    table
}

pub(crate) fn record_all_heard(table: &RoutingTable, now: u64) {
    for report in table.state(ClockTime(now)).upstreams {
        table.record_heard(&report.entry.name, ClockTime(now));
    }
}

pub(crate) fn acquire_slot(table: &RoutingTable, now: u64) -> Result<SlotPermit, AcquireError> {
    table.acquire(&service(), RequestKind::Idempotent, &[], ClockTime(now))
}

/// Sends one request to the only upstream that is not excluded.
pub(crate) fn run_attempt(table: &RoutingTable, excluded: &[UpstreamName], result: AttemptResult, now: u64) {
    let kind = RequestKind::NonIdempotent;
    let permit = table.acquire(&service(), kind, excluded, ClockTime(now)).unwrap();
    permit.finish(result, ClockTime(now));
}

pub(crate) fn upstream_report(table: &RoutingTable, index: usize, now: u64) -> UpstreamReport {
    let upstreams = table.state(ClockTime(now)).upstreams;
    upstreams
        .into_iter()
        .find(|report| report.entry.name == upstream(index))
        .unwrap()
}

/// Reads the number of cases and the seed from the environment; the defaults make runs reproducible.
pub(crate) fn fuzz_config(cases: u32) -> proptest::test_runner::Config {
    let read_variable = |name: &str| {
        std::env::var(name)
            .ok()
            .map(|value| value.parse::<u64>().expect(name))
    };
    proptest::test_runner::Config {
        cases: read_variable("ARBUTUSPICK_FUZZ_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: proptest::test_runner::RngSeed::Fixed(read_variable("ARBUTUSPICK_FUZZ_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..Default::default()
    }
}
