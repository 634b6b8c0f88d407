use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use arbutuspick_model::{CentreName, ClockTime, ServiceName, UpstreamName};
use arbutuspick_route::{AttemptResult, RequestKind, RoutingOptions, RoutingTable, UpstreamEntry};

use crate::SlopeSeries;
use crate::deployment_plan::known;

/// Repetitions of each measurement, each on a new table.
const RUNS: usize = 3;
/// Candidates that all requests of a thread look at together, which bounds the time of a repetition.
const LOOKS: u64 = 20_000_000;
/// Time of all requests; every upstream was heard from then.
const NOW: ClockTime = ClockTime(1_000);

fn table(upstreams: u64, service: &ServiceName) -> RoutingTable {
    let centre = known(CentreName::try_from("trent"));
    let entries = (0..upstreams).map(|index| UpstreamEntry {
        name: known(UpstreamName::try_from(format!("u{index}"))),
        service: service.clone(),
        data_centre: centre.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_024 + index as u16)),
        leaving: false,
    });
    let entries: Vec<UpstreamEntry> = entries.collect();
    let table = RoutingTable::new(RoutingOptions::new(centre).with_seed(1));
    table.update_upstreams(entries.clone(), ClockTime(0));
    for entry in &entries {
        table.record_heard(&entry.name, NOW);
    }
    table
}

/// Returns the microseconds of one acquire with its finish, as one thread sees them.
fn measure_requests(upstreams: u64, threads: usize) -> f64 {
    let service = known(ServiceName::try_from("booking"));
    let table = table(upstreams, &service);
    let rounds = LOOKS / upstreams / threads as u64;
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                for _ in 0..rounds {
                    if let Ok(permit) = table.acquire(&service, RequestKind::Idempotent, &[], NOW) {
                        permit.finish(AttemptResult::Succeeded, NOW);
                    }
                }
            });
        }
    });
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

/// Measures one acquire and finish of the routing table against its upstreams.
pub fn route_slopes(threads: usize) -> SlopeSeries {
    let mut series = SlopeSeries::new("acquire and finish", "upstreams", "us");
    for upstreams in [50, 500, 5_000] {
        let measure = |_| measure_requests(upstreams, threads);
        series.add(upstreams, (0..RUNS).map(measure));
    }
    series
}
