//! Workers of different speeds and tasks of different lengths: who is placed where, and what is moved.

mod support;

use arbutuspick_pool::{JobBody, StepBody, WorkerKey, WorkerReport};
use support::pace_replay::{PaceReplay, TaskLengths};
use support::{body, empty_listing, step};
use yare::parameterized;

/// Time that a long task takes, in usual ones.
const LONG_FACTOR: f64 = 7.0;
/// Speed of a slow worker.
const SLOW: f64 = 0.4;

/// Returns tasks of two seconds, of which those from `long_from` on are long.
fn lengths(long_from: u32) -> TaskLengths {
    TaskLengths {
        usual_ms: 2_000.0,
        long_ms: 2_000.0 * LONG_FACTOR,
        long_from,
    }
}

fn gang(queue: &str, count: u32, accelerators: u64) -> JobBody {
    let gang = StepBody {
        gang: true,
        ..step(count, accelerators)
    };
    body(queue, "south", vec![gang])
}

/// Returns a pool whose every third worker is slow and was seen at work.
fn measured_pool(workers: usize) -> PaceReplay {
    let mut replay = PaceReplay::new(workers);
    for worker in replay.pool.workers.iter().skip(2).step_by(3) {
        replay.speeds.insert(*worker, SLOW);
    }
    for round in 0..3 {
        let id = format!("past{round}");
        replay.submit(&id, gang("normal", workers as u32, 8), lengths(u32::MAX));
        replay.advance(6_000);
    }
    assert!(replay.ended_at.contains_key("past2"));
    replay
}

fn is_slow(replay: &PaceReplay, worker: WorkerKey) -> bool {
    replay.speed(worker) < 1.0
}

/// Guards against moving tasks, and gangs, that are long wherever they run.
#[parameterized(
    all_listed = { None },
    listings_lost = { Some(3) },
)]
fn long_tail(lost_listing_interval: Option<u64>) {
    let mut replay = PaceReplay::new(12);
    replay.lost_listing_interval = lost_listing_interval;
    replay.submit("tail", body("normal", "south", vec![step(32, 1)]), lengths(30));
    replay.submit("long gang", gang("normal", 4, 8), lengths(0));
    replay.submit("gang", gang("urgent", 2, 8), lengths(u32::MAX));
    replay.advance(20_000);
    assert_eq!(replay.thrown_ms, 0.0);
    assert_eq!(replay.ended_at.len(), 3, "not all jobs have ended");
}

/// Guards against a late gang that stays with one member on a worker that is many times slower, and against moving it
/// although it is on time.
#[parameterized(
    late = { 1.0, true },
    on_time = { 30.0, false },
)]
fn slow_member(stretch: f64, moves: bool) {
    let mut replay = PaceReplay::new(8);
    let crawling = replay.pool.workers[0];
    replay.speeds.insert(crawling, 0.1);
    let job = JobBody {
        stretch,
        queue: "custom".into(),
        ..gang("custom", 3, 8)
    };
    let start = replay.pool.now;
    replay.submit("gang", job, lengths(u32::MAX));
    replay.advance(50);
    let workers = replay.workers_of("gang");
    if !workers.contains(&crawling) {
        replay.speeds.clear();
        replay.speeds.insert(workers[0], 0.1);
    }
    replay.advance(25_000);
    assert_eq!(replay.restarts("gang"), if moves { 3 } else { 0 });
    if moves {
        // Staying takes 20 s.
        assert!(replay.took_ms("gang", start) < 5_000);
        assert!(replay.thrown_ms < 3_000.0, "{} ms thrown away", replay.thrown_ms);
    }
}

/// Guards against placing members of an urgent gang on slow workers, and batch gangs on the fast ones that it needs.
#[test]
fn like_speeds() {
    let mut replay = measured_pool(12);
    replay.submit("batch", gang("bulk", 3, 8), lengths(u32::MAX));
    replay.submit("urgent", gang("urgent", 8, 8), lengths(u32::MAX));
    replay.advance(50);
    let on_slow = |job: &str| {
        let workers = replay.workers_of(job);
        workers.iter().filter(|worker| is_slow(&replay, **worker)).count()
    };
    assert_eq!((on_slow("urgent"), on_slow("batch")), (0, 3));
}

/// Guards against batch work with time to spare that takes the workers on which urgent work would be on time, while slow
/// ones are free.
#[parameterized(
    gang = { true },
    single_tasks = { false },
)]
fn batch_on_slow(gang: bool) {
    let mut replay = measured_pool(12);
    let batch = StepBody { gang, ..step(3, 4) };
    replay.submit("batch", body("bulk", "south", vec![batch]), lengths(u32::MAX));
    replay.advance(50);
    let workers = replay.workers_of("batch");
    assert_eq!(workers.len(), 3);
    assert!(workers.iter().all(|worker| is_slow(&replay, *worker)));
}

/// Guards against moves of long tasks on workers of known speed, and of long gangs on slow workers only.
#[test]
fn tail_on_uneven_workers() {
    let mut replay = measured_pool(12);
    let thrown_before = replay.thrown_ms;
    let start = replay.pool.now;
    replay.submit("tail", body("normal", "south", vec![step(40, 2)]), lengths(38));
    replay.advance(45_000);
    assert!(replay.thrown_ms - thrown_before <= 2_000.0);
    // A long task takes 14 s on a fast worker and 35 s on a slow one.
    assert!(replay.took_ms("tail", start) < 36_000);
}

/// Guards against runs that stay on a worker on which everything stands still, beside a long task whose neighbours
/// gain.
#[parameterized(
    all_listed = { None },
    listings_lost = { Some(4) },
)]
fn stalled_worker(lost_listing_interval: Option<u64>) {
    let mut replay = PaceReplay::new(8);
    replay.lost_listing_interval = lost_listing_interval;
    replay.submit("long", body("bulk", "south", vec![step(1, 1)]), lengths(0));
    replay.submit(
        "neighbours",
        body("bulk", "south", vec![step(4, 1)]),
        lengths(u32::MAX),
    );
    let start = replay.pool.now;
    replay.submit("gang", gang("urgent", 3, 8), lengths(u32::MAX));
    replay.advance(200);
    let stalled = replay.workers_of("gang")[0];
    replay.speeds.insert(stalled, 0.0);
    replay.advance(18_000);
    assert!(
        replay.took_ms("gang", start) < 6_500,
        "the gang stayed on the worker"
    );
    assert_eq!(replay.restarts("gang"), 3);
    assert_eq!((replay.restarts("long"), replay.restarts("neighbours")), (0, 0));
}

/// Guards against a new leader that places urgent gangs on workers that its predecessor knew to be slow, and against
/// state that it cannot read.
#[test]
fn stored_speeds() {
    let mut replay = measured_pool(12);
    let learned = replay.pool.core.take_learned(4_096, replay.pool.now);
    let learned = learned.expect("nothing to store");
    assert!(learned.value.len() < 400, "{} bytes", learned.value.len());
    assert_eq!(
        replay.pool.core.take_learned(4_096, replay.pool.now + 60_000),
        None
    );
    let slow: Vec<_> = replay
        .pool
        .workers
        .iter()
        .map(|worker| is_slow(&replay, *worker))
        .collect();
    let mut next = PaceReplay::new(0);
    let now = next.pool.now;
    assert!(next.pool.core.restore_learned(learned.key, b"\xff", now).is_err());
    assert!(
        next.pool
            .core
            .restore_learned("unknown", &learned.value, now)
            .is_err()
    );
    next.pool
        .core
        .restore_learned(learned.key, &learned.value, now)
        .unwrap();
    for (number, is_slow) in slow.into_iter().enumerate() {
        let rack = format!("r{}", number / 4);
        let centre = if number / 4 % 2 == 0 { "trent" } else { "severn" };
        let key = next
            .pool
            .core
            .update_worker(support::report(number, &rack, centre), now);
        next.pool.core.apply_listing(key, &empty_listing(now), now);
        next.pool.workers.push(key);
        next.speeds.insert(key, if is_slow { SLOW } else { 1.0 });
    }
    next.submit("urgent", gang("urgent", 8, 8), lengths(u32::MAX));
    next.advance(50);
    let workers = next.workers_of("urgent");
    assert!(!workers.iter().any(|worker| is_slow(&next, *worker)));
}

/// Guards against a speed that is lost with a restart of the worker, or kept when the worker comes back as another
/// kind.
#[parameterized(
    same_kind = { "a", true },
    other_kind = { "b", false },
)]
fn returned_worker(label: &str, keeps_speed: bool) {
    let mut replay = measured_pool(6);
    let worker = replay.pool.workers[2];
    let report = replay.pool.core.worker_report(worker).unwrap().clone();
    let now = replay.pool.now;
    replay.pool.core.end_incarnation(worker, now);
    let report = WorkerReport {
        started_at_ms: 2,
        labels: vec![label.into(), report.labels[1].clone()],
        ..report
    };
    let key = replay.pool.core.update_worker(report, now);
    let speed = replay.pool.core.worker_speed(key).unwrap();
    assert_eq!(speed < 0.7, keeps_speed, "speed {speed}");
}
