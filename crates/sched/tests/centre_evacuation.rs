//! A data centre that leaves is emptied at a bounded rate; one that returns is filled in steps.

mod support;

use arbutuspick_model::GangAdjacency::Task;
use arbutuspick_model::{CentreState, ClockTime};
use arbutuspick_sched::{AttemptEnd, PlacementAction, PlacementEvent, PreemptReason};
use support::{CoreDriver, guarantee, job_id, placements, preempted, share};

fn order(driver: &mut CoreDriver, state: CentreState, drain_deadline: Option<ClockTime>) {
    driver.handle(PlacementEvent::CentreChanged {
        state,
        drain_deadline,
    });
}

// Guards against receiving data centres that are flooded, and against lost queued jobs.
#[test]
fn four_at_a_time() {
    let mut driver = CoreDriver::new()
        .with_racks(1, 8)
        .with_accounts(vec![share("own", vec![guarantee(8, 1)])]);
    for i in 0..9 {
        let mut spec = driver.spec(if i == 7 { "own" } else { "a" }, 1, 8, Task);
        spec.checkpointable = i > 0;
        driver.submit(spec);
    }
    assert_eq!(placements(&driver.decide()).len(), 8);
    let deadline = driver.now + 60_000;
    order(&mut driver, CentreState::Leaving, Some(deadline));
    let actions = driver.decide();
    assert!(actions.contains(&PlacementAction::Release { job: job_id(9) }));
    let moved: Vec<_> = preempted(&actions).into_iter().map(|(job, ..)| job).collect();
    assert_eq!(
        moved,
        [8, 2, 3, 4].map(job_id),
        "guaranteed first, then by arrival"
    );
    driver.end(job_id(8), 1, AttemptEnd::Requeued);
    let actions = driver.decide();
    assert!(actions.contains(&PlacementAction::Release { job: job_id(8) }));
    assert_eq!(preempted(&actions).len(), 1);
    driver.now = driver.core.next_wakeup(driver.now).unwrap();
    assert_eq!(driver.now, deadline);
    let stopped = preempted(&driver.decide());
    assert!(stopped.contains(&(job_id(1), deadline, PreemptReason::CentreLeaving)));
    assert_eq!(stopped.len(), 3);
}

// Guards against a returning data centre that takes all work at once.
#[test]
fn paced_return() {
    let mut driver = CoreDriver::new().with_racks(8, 2);
    order(&mut driver, CentreState::Out, None);
    driver.decide();
    order(&mut driver, CentreState::Returning, None);
    for _ in 0..16 {
        let spec = driver.spec("a", 1, 8, Task);
        driver.submit(spec);
    }
    for _ in 0..4 {
        assert_eq!(placements(&driver.decide()).len(), 4);
        driver.advance(1_999);
        assert_eq!(driver.decide(), []);
        driver.advance(1);
    }
}
