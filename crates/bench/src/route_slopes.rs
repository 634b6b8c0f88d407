use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use arbutuspick_model::{CentreName, ClockTime, ServiceName, UpstreamName};
use arbutuspick_route::{AttemptResult, RequestKind, RoutingOptions, RoutingTable, UpstreamEntry};

use crate::SlopeSeries;
use crate::deployment_plan::expect_valid;

/// Repetitions of each measurement, each with a new table.
const REPETITIONS: usize = 3;
/// Candidate upstreams that all requests of a repetition examine together; bounds its time.
const CANDIDATE_CHECKS: u64 = 20_000_000;
/// Time of all requests, at which all upstreams have just been heard from.
const REQUEST_TIME: ClockTime = ClockTime(1_000);

fn build_table(upstreams: u64, service: &ServiceName) -> RoutingTable {
    let centre = expect_valid(CentreName::try_from("trent"));
    let entries = (0..upstreams).map(|index| UpstreamEntry {
        name: expect_valid(UpstreamName::try_from(format!("u{index}"))),
        service: service.clone(),
        data_centre: centre.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_024 + index as u16)),
        leaving: false,
    });
    let entries: Vec<UpstreamEntry> = entries.collect();
    let table = RoutingTable::new(RoutingOptions::new(centre).with_seed(1));
    table.update_upstreams(entries.clone(), ClockTime(0));
    for entry in &entries {
        table.record_heard(&entry.name, REQUEST_TIME);
    }
    table
}

/// Returns the time of one acquire and finish in microseconds, as measured by one thread.
fn measure_requests(upstreams: u64, threads: usize) -> f64 {
    let service = expect_valid(ServiceName::try_from("booking"));
    let table = build_table(upstreams, &service);
    let requests = CANDIDATE_CHECKS / upstreams / threads as u64;
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                for _ in 0..requests {
                    if let Ok(permit) = table.acquire(&service, RequestKind::Idempotent, &[], REQUEST_TIME) {
                        permit.finish(AttemptResult::Succeeded, REQUEST_TIME);
                    }
                }
            });
        }
    });
    start.elapsed().as_secs_f64() * 1e6 / requests as f64
}

/// Measures one acquire and finish on the routing table against the number of upstreams.
pub fn route_slopes(threads: usize) -> SlopeSeries {
    let mut series = SlopeSeries::new("acquire and finish", "upstreams", "us");
    for upstreams in [50, 500, 5_000] {
        let measure = |_| measure_requests(upstreams, threads);
        series.add(upstreams, (0..REPETITIONS).map(measure));
    }
    series
}
