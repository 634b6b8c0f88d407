//! Guaranteed cells are reclaimed from as few borrowers as possible, preferably from checkpointable ones.

mod support;

use arbutuspick_model::GangAdjacency::Task;
use arbutuspick_model::JobClass;
use arbutuspick_sched::{AttemptEnd, PreemptReason};
use support::{CoreDriver, guarantee, placements, policy, preempted};

fn borrowed_driver(checkpointable: impl Fn(usize) -> bool) -> CoreDriver {
    let mut driver = CoreDriver::new().with_racks(1, 2).with_accounts(vec![
        policy("own", vec![guarantee(8, 1)]),
        policy("other", vec![]),
    ]);
    for i in 0..4 {
        let mut spec = driver.spec("other", 1, 4, Task);
        spec.checkpointable = checkpointable(i);
        driver.submit(spec);
    }
    assert_eq!(placements(&driver.decide()).len(), 4);
    driver
}

// Guards against a guarantee that cannot be reclaimed, and against needless preemption of jobs without
// checkpoints.
#[test]
fn checkpointable_first() {
    let mut driver = borrowed_driver(|i| i >= 2);
    let spec = driver.spec("own", 1, 8, Task);
    let owned = driver.submit(spec);
    let stopped = preempted(&driver.decide());
    let jobs: Vec<_> = stopped.iter().map(|(job, ..)| *job).collect();
    assert_eq!(jobs, [support::job_id(3), support::job_id(4)]);
    assert!(
        stopped
            .iter()
            .all(|(_, stop, reason)| *stop == driver.now + 10_000 && *reason == PreemptReason::Reclaim)
    );
    for job in jobs {
        driver.end(job, 1, AttemptEnd::Requeued);
    }
    let placed = placements(&driver.decide());
    assert_eq!(placed.len(), 1);
    assert!(placed[0].guaranteed && placed[0].job == owned);
}

// Guards against the ordinary grace period being used for an urgent guaranteed job.
#[test]
fn urgent_grace() {
    let mut driver = borrowed_driver(|_| true);
    let spec = driver.spec("own", 1, 8, Task).with_class(JobClass::Urgent);
    driver.submit(spec);
    let stopped = preempted(&driver.decide());
    assert!(stopped.iter().all(|(_, stop, _)| *stop == driver.now + 1_000));
    assert_eq!(stopped.len(), 2);
}

// Guards against guaranteed jobs that fragment the cells that another account needs.
#[test]
fn packable_guarantees() {
    let mut driver = CoreDriver::new().with_racks(1, 2).with_accounts(vec![
        policy("small", vec![guarantee(1, 8)]),
        policy("large", vec![guarantee(8, 1)]),
    ]);
    for _ in 0..8 {
        let spec = driver.spec("small", 1, 1, Task);
        driver.submit(spec);
    }
    let placed = placements(&driver.decide());
    assert_eq!(placed.len(), 8);
    let first = &placed[0].members[0].worker;
    assert!(
        placed
            .iter()
            .all(|placement| placement.members[0].worker == *first)
    );
    assert!(driver.core.shortfalls().is_empty());
}
