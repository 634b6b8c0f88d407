//! Runs on a slow worker, and whether a free worker is one to which they could be moved.

mod support;

use arbutuspick_pool::{StepBody, WorkerReport};
use support::{TestPool, body, empty_listing, report, step};
use yare::parameterized;

/// Workers of the first rack, which has the label of the step.
const RACK: usize = 4;

/// What is free beside the workers on which the step runs.
#[derive(Clone, Copy, Debug)]
enum FreeRoom {
    /// A worker of the same kind.
    SameKind,
    WithoutLabel,
    OtherService,
    /// Room beside the other tasks of the step, which its spread limit forbids.
    BesideSiblings,
}

fn add_free_worker(pool: &mut TestPool, room: FreeRoom) {
    let report = match room {
        FreeRoom::SameKind => report(100, "r0", "trent"),
        FreeRoom::WithoutLabel => report(100, "r9", "trent"),
        FreeRoom::OtherService => WorkerReport {
            service: "tiles".into(),
            ..report(100, "r0", "trent")
        },
        FreeRoom::BesideSiblings => return,
    };
    let now = pool.now;
    let key = pool.core.update_worker(report, now);
    pool.core.apply_listing(key, &empty_listing(now), now);
    pool.workers.push(key);
}

/// Guards against a slow run that is stopped for the sake of a free worker that cannot run it, so that it starts again
/// where it was and its work is lost.
#[parameterized(
    same_kind = { FreeRoom::SameKind, 1 },
    without_label = { FreeRoom::WithoutLabel, 0 },
    other_service = { FreeRoom::OtherService, 0 },
    beside_siblings = { FreeRoom::BesideSiblings, 0 },
)]
fn slow_run(room: FreeRoom, moved: usize) {
    let mut pool = TestPool::new(RACK);
    let accelerators = if matches!(room, FreeRoom::BesideSiblings) {
        4
    } else {
        8
    };
    let bound = StepBody {
        required_label: "r0".into(),
        spread_limit: 1,
        ..step(4, accelerators)
    };
    pool.submit("job", body("normal", "south", vec![bound]));
    pool.run_decision();
    assert_eq!(pool.running_count("job"), RACK);
    add_free_worker(&mut pool, room);
    let slow = pool.starts[0].worker;
    for tick in 1..=8 {
        pool.advance(200);
        for worker in pool.workers.clone() {
            let percent = if worker == slow { tick } else { tick * 10 };
            let listing = pool.listing(worker, percent);
            let now = pool.now;
            pool.core.apply_listing(worker, &listing, now);
        }
        pool.run_decision();
    }
    assert_eq!(pool.stops.len(), moved, "{:?}", pool.stops);
}
