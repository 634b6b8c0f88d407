//! A leaving data centre is evacuated a few jobs at a time; a returning one enables its workers in steps.

mod support;

use arbutuspick_model::GangAdjacency::Task;
use arbutuspick_model::{CentreState, ClockTime};
use arbutuspick_sched::{AttemptEnd, PlacementAction, PlacementEvent, PreemptReason};
use support::{CoreDriver, guarantee, job_id, placements, policy, preempted};

fn change_centre_state(driver: &mut CoreDriver, state: CentreState, drain_deadline: Option<ClockTime>) {
    driver.handle(PlacementEvent::CentreChanged {
        state,
        drain_deadline,
    });
}

// Guards against an evacuation that overloads the other data centres, and against the loss of queued jobs.
#[test]
fn bounded_evacuation() {
    let mut driver = CoreDriver::new()
        .with_racks(1, 8)
        .with_accounts(vec![policy("own", vec![guarantee(8, 1)])]);
    for i in 0..9 {
        let mut spec = driver.spec(if i == 7 { "own" } else { "a" }, 1, 8, Task);
        spec.checkpointable = i > 0;
        driver.submit(spec);
    }
    assert_eq!(placements(&driver.decide()).len(), 8);
    let deadline = driver.now + 60_000;
    change_centre_state(&mut driver, CentreState::Leaving, Some(deadline));
    let actions = driver.decide();
    assert!(actions.contains(&PlacementAction::Transfer { job: job_id(9) }));
    let evacuated: Vec<_> = preempted(&actions).into_iter().map(|(job, ..)| job).collect();
    assert_eq!(
        evacuated,
        [8, 2, 3, 4].map(job_id),
        "guaranteed first, then by arrival"
    );
    driver.end(job_id(8), 1, AttemptEnd::Requeued);
    let actions = driver.decide();
    assert!(actions.contains(&PlacementAction::Transfer { job: job_id(8) }));
    assert_eq!(preempted(&actions).len(), 1);
    driver.now = driver.core.next_wakeup(driver.now).unwrap();
    assert_eq!(driver.now, deadline);
    let stopped = preempted(&driver.decide());
    assert!(stopped.contains(&(job_id(1), deadline, PreemptReason::CentreLeaving)));
    assert_eq!(stopped.len(), 3);
}

// Guards against a returning data centre that starts jobs on all workers at once.
#[test]
fn stepwise_return() {
    let mut driver = CoreDriver::new().with_racks(8, 2);
    change_centre_state(&mut driver, CentreState::Out, None);
    driver.decide();
    change_centre_state(&mut driver, CentreState::Returning, None);
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
