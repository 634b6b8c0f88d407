//! Large jobs are not starved, and accounts share what is not guaranteed by weight.

mod support;

use arbutuspick_model::GangAdjacency::{Rack, Task};
use arbutuspick_model::{AccountName, JobId};
use arbutuspick_sched::{AttemptEnd, PreemptReason};
use support::{CoreDriver, job_id, placements, preempted, share};

fn submit_small(driver: &mut CoreDriver, checkpointable: bool) -> JobId {
    let mut spec = driver.spec("small", 1, 8, Task);
    spec.checkpointable = checkpointable;
    driver.submit(spec)
}

/// Four busy workers, a job that needs all of them, and a later small job.
fn blocked_large() -> CoreDriver {
    let mut driver = CoreDriver::new().with_racks(1, 4);
    for _ in 0..4 {
        submit_small(&mut driver, false);
    }
    assert_eq!(placements(&driver.decide()).len(), 4);
    let spec = driver.spec("large", 4, 8, Rack);
    driver.submit(spec);
    driver
}

// Guards against a large job that waits for ever behind small ones.
#[test]
fn sixteen_overtakes() {
    let mut driver = blocked_large();
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

// Guards against idle reserved cells, and against backfill that does not give them back.
#[test]
fn yielding_backfill() {
    let mut driver = blocked_large();
    driver.advance(30_000);
    let rigid = submit_small(&mut driver, false);
    let yielding = submit_small(&mut driver, true);
    driver.end(job_id(1), 1, AttemptEnd::Finished);
    let placed = placements(&driver.decide());
    assert_eq!(
        placed.iter().map(|placement| placement.job).collect::<Vec<_>>(),
        [yielding]
    );
    for job in [2, 3] {
        driver.end(job_id(job), 1, AttemptEnd::Finished);
        assert_eq!(driver.decide(), []);
    }
    driver.end(job_id(4), 1, AttemptEnd::Finished);
    let stopped = preempted(&driver.decide());
    assert_eq!(
        stopped,
        [(yielding, driver.now + 10_000, PreemptReason::Reservation)]
    );
    driver.end(yielding, 1, AttemptEnd::Requeued);
    assert_eq!(placements(&driver.decide())[0].job, job_id(5));
    // Cancellation of the large job frees what it held for the others.
    driver.end(job_id(5), 1, AttemptEnd::Finished);
    let placed = placements(&driver.decide());
    assert_eq!(placed[0].job, rigid);
}

// Guards against an account that takes the whole pool, and against weights that are ignored.
#[test]
fn weighted_shares() {
    let mut heavy = share("heavy", vec![]);
    heavy.weight = 3;
    let accounts = vec![share("small", vec![]), heavy];
    let mut driver = CoreDriver::new().with_racks(1, 8).with_accounts(accounts);
    for name in ["small", "heavy"].repeat(8) {
        let spec = driver.spec(name, 1, 8, Task);
        driver.submit(spec);
    }
    driver.decide();
    let heavy = AccountName::try_from("heavy").unwrap();
    let held = driver
        .core
        .state()
        .jobs
        .into_values()
        .filter(|job| job.phase == "held");
    assert_eq!(held.filter(|job| job.account == heavy).count(), 6);
}
