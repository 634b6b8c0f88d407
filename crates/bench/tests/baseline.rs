//! First-fit baseline and the check of placements.

use std::sync::Arc;

use arbutuspick_bench::{DeploymentPlan, FirstFitQueue, PlacementAudit};
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

fn queue_job(queue: &mut FirstFitQueue, number: u32, shape: GangShape) {
    let spec = JobSpec::new(AccountName::try_from("parks").unwrap()).with_shape(shape);
    let event = PlacementEvent::JobQueued {
        job: job_id(number),
        spec: Arc::new(spec),
        attempt: AttemptNumber(0),
        queued_at: ClockTime(number.into()),
    };
    queue.handle(event, ClockTime(number.into()));
}

/// Returns a queue with one rack of 8 workers.
fn rack_queue(skipping: bool) -> FirstFitQueue {
    let mut queue = FirstFitQueue::new(skipping);
    for place in 0..8 {
        let event = PlacementEvent::WorkerJoined {
            worker: WorkerName::try_from(format!("w{place}")).unwrap(),
            rack: RackName::try_from("r0").unwrap(),
            capacity: WorkerCapacity::default(),
        };
        queue.handle(event, ClockTime(0));
    }
    queue
}

fn placed(actions: &[PlacementAction]) -> Vec<JobId> {
    let job = |action: &PlacementAction| match action {
        PlacementAction::Place(placement) => Some(placement.job),
        _ => None,
    };
    actions.iter().filter_map(job).collect()
}

/// Guards against a baseline that is not first come first served, or a skipping one that is.
#[test]
fn arrival_order() {
    for (skipping, expected) in [(false, vec![1]), (true, vec![1, 3])] {
        let mut queue = rack_queue(skipping);
        for (number, tasks) in [(1, 6), (2, 4), (3, 2)] {
            queue_job(&mut queue, number, shape(tasks));
        }
        let expected: Vec<JobId> = expected.into_iter().map(job_id).collect();
        assert_eq!(placed(&queue.decide(ClockTime(10))), expected);
    }
}

/// Guards against a job that no workers can hold and that blocks the baseline for ever.
#[test]
fn impossible_job() {
    let mut queue = rack_queue(false);
    queue_job(&mut queue, 1, shape(9));
    queue_job(&mut queue, 2, shape(8));
    let actions = queue.decide(ClockTime(10));
    let (job, reason) = (job_id(1), RefusalReason::NeverFits);
    assert!(actions.contains(&PlacementAction::Refuse { job, reason }));
    assert_eq!(placed(&actions), [job_id(2)]);
}

/// Guards against a baseline that evacuates, starts work while it leaves, or keeps work after the drain.
#[test]
fn drain_deadline() {
    let mut queue = rack_queue(false);
    queue_job(&mut queue, 1, shape(8));
    queue.decide(ClockTime(10));
    queue_job(&mut queue, 2, shape(1));
    let drain_deadline = Some(ClockTime(500));
    let state = CentreState::Leaving;
    let event = PlacementEvent::CentreChanged {
        state,
        drain_deadline,
    };
    queue.handle(event, ClockTime(20));
    assert_eq!(queue.decide(ClockTime(20)), []);
    assert_eq!(queue.next_wakeup(ClockTime(20)), drain_deadline);
    let actions = queue.decide(ClockTime(500));
    let stopped = |action: &PlacementAction| matches!(action, PlacementAction::Preempt { job, .. } if *job == job_id(1));
    assert!(actions.iter().any(stopped));
    assert!(actions.contains(&PlacementAction::Transfer { job: job_id(2) }));
}

/// Guards against an audit that lets accelerators be given twice or a gang be placed in part.
#[test]
fn audit_faults() {
    let mut audit = PlacementAudit::new(&DeploymentPlan::midlands(), 0);
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
    assert_eq!(audit.place(&shape(2), &first), Ok(()));
    let twice = placement(2, vec![member("trent-r0-w1"), member("trent-r0-w2")]);
    assert!(audit.place(&shape(2), &twice).is_err());
    let part = placement(3, vec![member("trent-r0-w3")]);
    assert!(audit.place(&shape(2), &part).is_err());
    let apart = placement(4, vec![member("trent-r0-w4"), member("trent-r1-w0")]);
    assert!(audit.place(&shape(2), &apart).is_err());
    audit.release(job_id(1));
    assert_eq!(audit.place(&shape(2), &first), Ok(()));
}
