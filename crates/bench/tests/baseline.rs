//! First-fit baseline scheduler and placement validator.

use std::sync::Arc;

use arbutuspick_bench::{DeploymentPlan, FirstFitScheduler, PlacementValidator};
use arbutuspick_model::*;
use arbutuspick_sched::*;

fn shape(tasks: u32) -> GangShape {
    GangShape {
        tasks,
        accelerators: 8,
        adjacency: GangAdjacency::Rack,
        ..GangShape::default()
    }
}

fn job_id(number: u32) -> JobId {
    JobId::try_from(format!("00000000-0000-0000-0000-{number:012x}").as_str()).unwrap()
}

fn queue_job(scheduler: &mut FirstFitScheduler, number: u32, shape: GangShape) {
    let spec = JobSpec::new(AccountName::try_from("parks").unwrap()).with_shape(shape);
    let event = PlacementEvent::JobQueued {
        job: job_id(number),
        spec: Arc::new(spec),
        attempt: AttemptNumber(0),
        queued_at: ClockTime(number.into()),
    };
    scheduler.handle(event, ClockTime(number.into()));
}

/// Returns a scheduler with one rack of 8 workers.
fn rack_scheduler(skip_blocked: bool) -> FirstFitScheduler {
    let mut scheduler = FirstFitScheduler::new(skip_blocked);
    for position in 0..8 {
        let event = PlacementEvent::WorkerJoined {
            worker: WorkerName::try_from(format!("w{position}")).unwrap(),
            rack: RackName::try_from("r0").unwrap(),
            capacity: WorkerCapacity::default(),
        };
        scheduler.handle(event, ClockTime(0));
    }
    scheduler
}

fn placed_jobs(actions: &[PlacementAction]) -> Vec<JobId> {
    let job = |action: &PlacementAction| match action {
        PlacementAction::Place(placement) => Some(placement.job),
        _ => None,
    };
    actions.iter().filter_map(job).collect()
}

/// Guards against a baseline that starts jobs out of order, and a skipping baseline that does not.
#[test]
fn arrival_order() {
    for (skip_blocked, expected) in [(false, vec![1]), (true, vec![1, 3])] {
        let mut scheduler = rack_scheduler(skip_blocked);
        for (number, tasks) in [(1, 6), (2, 4), (3, 2)] {
            queue_job(&mut scheduler, number, shape(tasks));
        }
        let expected: Vec<JobId> = expected.into_iter().map(job_id).collect();
        assert_eq!(placed_jobs(&scheduler.decide(ClockTime(10))), expected);
    }
}

/// Guards against a job that never fits and blocks the queue of the baseline forever.
#[test]
fn unplaceable_job() {
    let mut scheduler = rack_scheduler(false);
    queue_job(&mut scheduler, 1, shape(9));
    queue_job(&mut scheduler, 2, shape(8));
    let actions = scheduler.decide(ClockTime(10));
    let (job, reason) = (job_id(1), RefusalReason::NeverFits);
    assert!(actions.contains(&PlacementAction::Refuse { job, reason }));
    assert_eq!(placed_jobs(&actions), [job_id(2)]);
}

/// Guards against a baseline that evacuates or starts jobs while its data centre leaves, or keeps jobs after
/// the drain deadline.
#[test]
fn drain_deadline() {
    let mut scheduler = rack_scheduler(false);
    queue_job(&mut scheduler, 1, shape(8));
    scheduler.decide(ClockTime(10));
    queue_job(&mut scheduler, 2, shape(1));
    let drain_deadline = Some(ClockTime(500));
    let state = CentreState::Leaving;
    let event = PlacementEvent::CentreChanged {
        state,
        drain_deadline,
    };
    scheduler.handle(event, ClockTime(20));
    assert_eq!(scheduler.decide(ClockTime(20)), []);
    assert_eq!(scheduler.next_wakeup(ClockTime(20)), drain_deadline);
    let actions = scheduler.decide(ClockTime(500));
    let stopped = |action: &PlacementAction| matches!(action, PlacementAction::Preempt { job, .. } if *job == job_id(1));
    assert!(actions.iter().any(stopped));
    assert!(actions.contains(&PlacementAction::Transfer { job: job_id(2) }));
}

/// Guards against a validator that accepts accelerators allocated twice, a partially placed gang, or a gang
/// spread over too many racks.
#[test]
fn invalid_placements() {
    let mut validator = PlacementValidator::new(&DeploymentPlan::midlands(), 0);
    let member = |worker: &str| MemberPlacement {
        worker: WorkerName::try_from(worker).unwrap(),
        accelerators: 0xff,
    };
    let placement = |number, members| GangPlacement {
        job: job_id(number),
        attempt: AttemptNumber(1),
        members,
        guaranteed: false,
    };
    let first = placement(1, vec![member("trent-r0-w0"), member("trent-r0-w1")]);
    assert_eq!(validator.place(&shape(2), &first), Ok(()));
    let duplicate = placement(2, vec![member("trent-r0-w1"), member("trent-r0-w2")]);
    assert!(validator.place(&shape(2), &duplicate).is_err());
    let partial = placement(3, vec![member("trent-r0-w3")]);
    assert!(validator.place(&shape(2), &partial).is_err());
    let spread = placement(4, vec![member("trent-r0-w4"), member("trent-r1-w0")]);
    assert!(validator.place(&shape(2), &spread).is_err());
    validator.release(job_id(1));
    assert_eq!(validator.place(&shape(2), &first), Ok(()));
}
