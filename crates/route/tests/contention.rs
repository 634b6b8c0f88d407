//! Concurrency and ejection limits under contention between threads.

mod support;

use std::sync::Barrier;
use std::sync::atomic::{AtomicUsize, Ordering};

use arbutuspick_model::ClockTime;
use arbutuspick_route::{AttemptResult, SlotPermit, UpstreamEntry};
use support::{acquire_slot, centre, entry, record_all_heard, table_with};

const UPSTREAMS: usize = 4;
const THREADS: usize = 8;
const ROUNDS: usize = 3_000;

/// Guards against slots taken twice or leaked when threads race with each other and with list updates.
#[test]
fn limits_hold() {
    let table = table_with((0..UPSTREAMS).map(entry).collect(), 3);
    let in_flight: Vec<_> = (0..UPSTREAMS).map(|_| AtomicUsize::new(0)).collect();
    let index_of = |address: std::net::SocketAddr| usize::from(address.port()) - 9_000;
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (table, in_flight) = (&table, &in_flight);
            scope.spawn(move || {
                for round in 0..ROUNDS {
                    let Ok(permit) = acquire_slot(table, 1) else {
                        continue;
                    };
                    let index = index_of(permit.address());
                    let held = in_flight[index].fetch_add(1, Ordering::SeqCst) + 1;
                    assert!(held <= 8, "{held} requests in flight");
                    in_flight[index].fetch_sub(1, Ordering::SeqCst);
                    match (thread + round) % 5 {
                        0 => permit.finish(AttemptResult::RefusedNotRun, ClockTime(1)),
                        1 => permit.finish(AttemptResult::Lost, ClockTime(1)),
                        2 => drop(permit),
                        _ => permit.finish(AttemptResult::Succeeded, ClockTime(1)),
                    }
                }
            });
        }
        scope.spawn(|| {
            for _ in 0..200 {
                table.update_upstreams(
                    (0..UPSTREAMS).map(entry).collect::<Vec<UpstreamEntry>>(),
                    ClockTime(1),
                );
                table.set_centre_open(&centre("own"), true);
            }
        });
    });
    record_all_heard(&table, 1);
    for report in table.state(ClockTime(1)).upstreams {
        assert_eq!(report.in_flight, 0);
        assert!((1..=8).contains(&report.limit));
    }
}

/// Guards against a limit that is exceeded when threads acquire slots at the same time.
#[test]
fn held_slots() {
    for limit in [1, 3, 8] {
        let table = table_with((0..UPSTREAMS).map(entry).collect(), limit);
        let permits = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..THREADS)
                .map(|_| {
                    scope.spawn(|| {
                        (0..20)
                            .filter_map(|_| acquire_slot(&table, 1).ok())
                            .collect::<Vec<_>>()
                    })
                })
                .collect();
            let results = threads.into_iter().map(|thread| thread.join().unwrap());
            results.flatten().collect::<Vec<_>>()
        });
        assert_eq!(permits.len(), UPSTREAMS * usize::from(limit));
    }
}

/// Guards against more than half of the upstreams being ejected by simultaneous failures.
#[test]
fn half_ejected() {
    for _ in 0..ROUNDS / 10 {
        let table = table_with((0..UPSTREAMS).map(entry).collect(), 8);
        let permits: Vec<_> = std::iter::from_fn(|| acquire_slot(&table, 1).ok()).collect();
        let barrier = Barrier::new(UPSTREAMS);
        std::thread::scope(|scope| {
            for (index, own) in by_upstream(permits).into_iter().enumerate() {
                let barrier = &barrier;
                scope.spawn(move || {
                    for (failure, permit) in own.into_iter().enumerate() {
                        if failure == 4 {
                            barrier.wait();
                        }
                        permit.finish(AttemptResult::Lost, ClockTime(1 + index as u64));
                    }
                });
            }
        });
        let upstreams = table.state(ClockTime(1)).upstreams;
        let ejected = upstreams
            .iter()
            .filter(|report| report.ejected_until.is_some())
            .count();
        assert!(ejected <= UPSTREAMS / 2, "{ejected} of {UPSTREAMS} ejected");
    }
}

fn by_upstream(permits: Vec<SlotPermit>) -> Vec<Vec<SlotPermit>> {
    let mut groups: Vec<_> = (0..UPSTREAMS).map(|_| Vec::new()).collect();
    for permit in permits {
        groups[usize::from(permit.address().port()) - 9_000].push(permit);
    }
    groups
}
