//! Large jobs are not starved, and unguaranteed capacity is divided among accounts by weight.

mod support;

use arbutuspick_model::GangAdjacency::{Rack, Task};
use arbutuspick_model::{AccountName, JobId};
use arbutuspick_sched::{AttemptEnd, PreemptReason};
use support::{CoreDriver, job_id, placements, policy, preempted};

fn submit_small(driver: &mut CoreDriver, checkpointable: bool) -> JobId {
    let mut spec = driver.spec("small", 1, 8, Task);
    spec.checkpointable = checkpointable;
    driver.submit(spec)
}

/// Four busy workers and a queued job that needs all of them.
fn blocked_driver() -> CoreDriver {
    let mut driver = CoreDriver::new().with_racks(1, 4);
    for _ in 0..4 {
        submit_small(&mut driver, false);
    }
    assert_eq!(placements(&driver.decide()).len(), 4);
    let spec = driver.spec("large", 4, 8, Rack);
    driver.submit(spec);
    driver
}

// Guards against starvation of a large job by a steady supply of small ones.
#[test]
fn bounded_overtaking() {
    let mut driver = blocked_driver();
    let mut last = job_id(1);
    for _ in 0..16 {
        submit_small(&mut driver, false);
        driver.end(last, 1, AttemptEnd::Finished);
        last = placements(&driver.decide())[0].job;
    }
    submit_small(&mut driver, false);
    driver.end(last, 1, AttemptEnd::Finished);
    assert_eq!(driver.decide(), []);
    for job in [2, 3, 4] {
        driver.end(job_id(job), 1, AttemptEnd::Finished);
    }
    assert_eq!(placements(&driver.decide())[0].job, job_id(5));
}

// Guards against reserved cells that stay idle, and against backfill that is not preempted for the
// reservation.
#[test]
fn yielding_backfill() {
    let mut driver = blocked_driver();
    driver.advance(30_000);
    let uncheckpointable = submit_small(&mut driver, false);
    let backfill = submit_small(&mut driver, true);
    driver.end(job_id(1), 1, AttemptEnd::Finished);
    let placed = placements(&driver.decide());
    assert_eq!(
        placed.iter().map(|placement| placement.job).collect::<Vec<_>>(),
        [backfill]
    );
    for job in [2, 3] {
        driver.end(job_id(job), 1, AttemptEnd::Finished);
        assert_eq!(driver.decide(), []);
    }
    driver.end(job_id(4), 1, AttemptEnd::Finished);
    let stopped = preempted(&driver.decide());
    assert_eq!(
        stopped,
        [(backfill, driver.now + 10_000, PreemptReason::Reservation)]
    );
    driver.end(backfill, 1, AttemptEnd::Requeued);
    assert_eq!(placements(&driver.decide())[0].job, job_id(5));
    // The end of the large job frees its workers for the small job that was blocked by its reservation.
    driver.end(job_id(5), 1, AttemptEnd::Finished);
    let placed = placements(&driver.decide());
    assert_eq!(placed[0].job, uncheckpointable);
}

// Guards against one account occupying the whole pool, and against ignored weights.
#[test]
fn weighted_shares() {
    let mut heavy = policy("heavy", vec![]);
    heavy.weight = 3;
    let accounts = vec![policy("small", vec![]), heavy];
    let mut driver = CoreDriver::new().with_racks(1, 8).with_accounts(accounts);
    for name in ["small", "heavy"].repeat(8) {
        let spec = driver.spec(name, 1, 8, Task);
        driver.submit(spec);
    }
    driver.decide();
    let heavy = AccountName::try_from("heavy").unwrap();
    let allocated = driver
        .core
        .dump()
        .jobs
        .into_values()
        .filter(|job| job.phase == "held");
    assert_eq!(allocated.filter(|job| job.account == heavy).count(), 6);
}
