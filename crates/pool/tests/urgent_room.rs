//! Room that is kept for urgent gangs that return every few seconds.

mod support;

use arbutuspick_pool::{StepBody, StopReason};
use support::{TestPool, body, step};

/// Interval between decisions, in milliseconds.
const TICK_MS: u64 = 250;
/// Time before the waits of urgent gangs count, in milliseconds.
const WARM_UP_MS: u64 = 15_000;
/// Estimated and actual time of a batch task, in milliseconds.
const BATCH_MS: u64 = 8_000;

/// A submitted job with the time at which it was handed in and when its runs end.
struct Submitted {
    id: String,
    submitted_ms: u64,
    run_ms: u64,
    ends_ms: Option<u64>,
}

/// Waits of the urgent gangs and the number of preempted runs in a replay.
struct Replay {
    waits_ms: Vec<u64>,
    stops: usize,
    used_percent: usize,
}

/// Replays batch tasks that fill 24 workers, with three urgent gangs each three seconds from `urgent_from_ms` on.
fn replay(urgent_from_ms: u64) -> Replay {
    let mut pool = TestPool::new(24);
    let mut jobs: Vec<Submitted> = Vec::new();
    let mut replay = Replay {
        waits_ms: Vec::new(),
        stops: 0,
        used_percent: 0,
    };
    for now_ms in (0..36_000).step_by(TICK_MS as usize) {
        for job in jobs.iter().filter(|job| job.ends_ms == Some(now_ms)) {
            pool.finish_job(&job.id);
        }
        let mut submit = |pool: &mut TestPool, (queue, number): (&str, u32), run_ms: u64, step: StepBody| {
            let id = format!("{queue}-{now_ms}-{number}");
            let step = StepBody {
                estimate_ms: run_ms,
                ..step
            };
            pool.submit(&id, body(queue, "east", vec![step]));
            jobs.push(Submitted {
                id,
                submitted_ms: now_ms,
                run_ms,
                ends_ms: None,
            });
        };
        if now_ms % 500 == 0 {
            submit(&mut pool, ("normal", 0), BATCH_MS, step(12, 1));
        }
        for number in 0..3 {
            if now_ms % 3_000 > 0 || now_ms < urgent_from_ms {
                break;
            }
            let gang = StepBody {
                gang: true,
                same_rack: true,
                ..step(2, 8)
            };
            submit(&mut pool, ("urgent", number), 2_000, gang);
        }
        let stops = pool.stops.len();
        pool.run_decision();
        for job in jobs.iter_mut().filter(|job| job.ends_ms.is_none()) {
            if pool.running_count(&job.id) > 0 {
                job.ends_ms = Some(now_ms + job.run_ms);
                if job.id.starts_with("urgent") && job.submitted_ms >= WARM_UP_MS {
                    replay.waits_ms.push(now_ms - job.submitted_ms);
                }
            }
        }
        if now_ms >= WARM_UP_MS {
            let stops = &pool.stops[stops..];
            replay.stops += stops
                .iter()
                .filter(|stop| stop.reason == StopReason::Preempted)
                .count();
        }
        let used: usize = pool.runs.values().map(Vec::len).sum();
        replay.used_percent = replay.used_percent.max(used * 100 / (24 * 8));
        pool.advance(TICK_MS);
    }
    replay
}

/// Guards against batch work that takes the room for which urgent gangs return, and is stopped for them again.
#[test]
fn returning_gangs() {
    let replay = replay(0);
    assert!(
        replay.waits_ms.len() >= 20,
        "{} gangs started",
        replay.waits_ms.len()
    );
    let late = replay.waits_ms.iter().filter(|wait_ms| **wait_ms > 0).count();
    assert_eq!((late, replay.stops), (0, 0), "{:?}", replay.waits_ms);
}

/// Guards against room that stays empty where no urgent work arrives.
#[test]
fn batch_alone() {
    assert_eq!(replay(u64::MAX).used_percent, 100);
}

/// Guards against a batch gang that is late since it leaves room to urgent work that does not come.
#[test]
fn short_slack() {
    let mut pool = TestPool::new(24);
    let long = StepBody {
        estimate_ms: 100_000,
        ..step(13, 8)
    };
    pool.submit("long", body("normal", "south", vec![long]));
    for number in 0..5 {
        pool.submit(
            &format!("urgent-{number}"),
            body("urgent", "east", vec![step(2, 8)]),
        );
    }
    pool.run_decision();
    for number in 0..5 {
        pool.finish_job(&format!("urgent-{number}"));
    }
    // Five of the eleven empty workers are kept; the objective leaves five seconds beside the run.
    let gang = StepBody {
        gang: true,
        ..step(8, 8)
    };
    pool.submit("wide", body("normal", "south", vec![gang]));
    pool.advance(3_000);
    pool.run_decision();
    assert_eq!(pool.running_count("wide"), 0, "the room was not kept");
    assert_eq!(pool.core.urgent_room(), 5);
    pool.advance(1_000);
    pool.run_decision();
    assert_eq!(pool.running_count("wide"), 8, "left waiting until it is late");
}
