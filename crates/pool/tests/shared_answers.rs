//! Units that differ in one constraint, of which only some can start: the answer for one must not stand for the other.

mod support;

use arbutuspick_pool::StepBody;
use support::{TestPool, body, step};
use yare::parameterized;

fn gang(count: u32, accelerators: u64) -> StepBody {
    StepBody {
        gang: true,
        ..step(count, accelerators)
    }
}

fn spread(limit: u32, step: StepBody) -> StepBody {
    StepBody {
        spread_limit: limit,
        ..step
    }
}

/// Guards against a job that can never start and keeps jobs of its shape, without the constraint that stops it, from
/// idle workers for good.
#[parameterized(
    spread_gang = { spread(1, gang(10, 2)), gang(10, 2) },
    narrower_spread = { spread(1, gang(10, 2)), spread(2, gang(10, 2)) },
    spread_in_rack = { StepBody { data_rack: "r0".into(), ..spread(1, gang(10, 2)) }, StepBody { data_rack: "r0".into(), ..gang(10, 2) } },
    spread_same_rack = { StepBody { same_rack: true, ..spread(1, gang(10, 2)) }, StepBody { same_rack: true, ..gang(10, 2) } },
    labelled_gang = { StepBody { required_label: "r9".into(), ..gang(10, 2) }, gang(10, 2) },
    wider_gang = { gang(100, 2), gang(10, 2) },
)]
fn hopeless_twin(hopeless: StepBody, sound: StepBody) {
    for queue in ["urgent", "normal", "bulk"] {
        let mut pool = TestPool::new(8);
        pool.submit("hopeless", body(queue, "south", vec![hopeless.clone()]));
        pool.advance(10);
        pool.submit("sound", body(queue, "south", vec![sound.clone()]));
        pool.run_decision();
        assert_eq!(pool.running_count("hopeless"), 0);
        assert_eq!(
            pool.running_count("sound"),
            10,
            "{queue}: not started in an idle pool"
        );
    }
}

/// Guards against a search for runs to preempt whose failure for a job that can never start ends the search for jobs
/// without its constraint.
#[test]
fn hopeless_search() {
    let mut pool = TestPool::new(2);
    let saved = StepBody {
        checkpoints: true,
        ..step(16, 1)
    };
    pool.submit("bulk", body("bulk", "south", vec![saved]));
    pool.run_decision();
    assert_eq!(pool.running_count("bulk"), 16);
    pool.submit("hopeless", body("urgent", "east", vec![spread(1, gang(4, 2))]));
    pool.submit("sound", body("urgent", "east", vec![gang(4, 2)]));
    // Both are still on time, with too little slack to wait.
    pool.advance(3_800);
    pool.run_decision();
    pool.advance(25);
    pool.run_decision();
    assert_eq!(pool.running_count("hopeless"), 0);
    assert_eq!(pool.running_count("sound"), 4, "no run was preempted for it");
}
