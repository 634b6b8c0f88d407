//! Workers on which starts fail are quarantined and probed; new workers are probed before their first job.

mod support;

use arbutuspick_model::GangAdjacency::Task;
use arbutuspick_model::WorkerName;
use arbutuspick_sched::{AttemptEnd, PlacementAction, PlacementEvent};
use support::{CoreDriver, placements};

fn fail_starts(driver: &mut CoreDriver, jobs: usize, failures: usize) {
    for _ in 0..jobs {
        let spec = driver.spec("a", 1, 8, Task);
        driver.submit(spec);
    }
    for _ in 0..failures {
        let placed = placements(&driver.decide()).remove(0);
        let failed_workers = vec![placed.members[0].worker.clone()];
        driver.end(
            placed.job,
            placed.attempt.0,
            AttemptEnd::StartFailed { failed_workers },
        );
        driver.advance(100);
    }
}

fn health_state(driver: &CoreDriver) -> &'static str {
    driver.core.dump().workers[&WorkerName::try_from("r0-w0").unwrap()].health
}

// Guards against a broken worker that keeps receiving jobs, and against probes without backoff.
#[test]
fn quarantine_and_probe() {
    let mut driver = CoreDriver::new().with_racks(1, 1);
    fail_starts(&mut driver, 2, 3);
    assert_eq!(health_state(&driver), "quarantined");
    let worker = WorkerName::try_from("r0-w0").unwrap();
    let mut waits = Vec::new();
    for _ in 0..7 {
        let due = driver.core.dump().workers[&worker].probe_at.unwrap();
        waits.push(due.millis_since(driver.now));
        driver.now = due;
        let probe = PlacementAction::Probe {
            worker: worker.clone(),
        };
        assert_eq!(driver.core.decide(driver.now), [probe]);
        driver.handle(PlacementEvent::WorkerProbed {
            worker: worker.clone(),
            healthy: false,
        });
    }
    // `fail_starts` advances the time by 100 ms after the last failure.
    waits[0] += 100;
    assert_eq!(waits, [10_000, 20_000, 40_000, 80_000, 160_000, 300_000, 300_000]);
}

// Guards against the quarantine of a worker because of a single job that can never start.
#[test]
fn single_failing_job() {
    let mut driver = CoreDriver::new().with_racks(1, 1);
    fail_starts(&mut driver, 1, 1);
    for delay in [200, 400, 800] {
        driver.advance(delay);
        fail_starts(&mut driver, 0, 1);
    }
    assert_eq!(health_state(&driver), "healthy");
}

// Guards against a retry on the worker that just failed the job while another worker is free.
#[test]
fn failed_worker_avoided() {
    let mut driver = CoreDriver::new().with_racks(1, 2);
    fail_starts(&mut driver, 1, 1);
    let placed = placements(&driver.decide());
    assert_eq!(placed[0].members[0].worker.as_str(), "r0-w1");
}

// Guards against jobs on a worker that has joined but has not been probed.
#[test]
fn probed_first() {
    let mut driver = CoreDriver::new();
    driver.join(0, 0);
    let spec = driver.spec("a", 1, 1, Task);
    driver.submit(spec);
    let worker = WorkerName::try_from("r0-w0").unwrap();
    assert_eq!(
        driver.core.decide(driver.now),
        [PlacementAction::Probe {
            worker: worker.clone()
        }]
    );
    driver.handle(PlacementEvent::WorkerProbed {
        worker,
        healthy: true,
    });
    assert_eq!(placements(&driver.decide()).len(), 1);
}

// Guards against a busy loop of attempts that fail while they run.
#[test]
fn run_retry_delay() {
    let mut driver = CoreDriver::new().with_racks(1, 1);
    let spec = driver.spec("a", 1, 8, Task);
    driver.submit(spec);
    let mut starts = 0;
    for _ in 0..20 {
        for placed in placements(&driver.decide()) {
            starts += 1;
            let failed_workers = vec![placed.members[0].worker.clone()];
            let end = AttemptEnd::RunFailed {
                failed_workers,
                requeue: true,
            };
            driver.end(placed.job, placed.attempt.0, end);
        }
        driver.advance(100);
    }
    // Delays that double from 100 ms allow at most 5 starts in 2 s.
    assert!((2..=5).contains(&starts), "{starts} starts in 2 s");
}
