//! Random histories of jobs and faults, judged by the books of the workers.
//!
//! Guards against room given twice, tasks that run twice or after their end, gangs in part, steps out of order,
//! spread limits, closed data centres, cancelled jobs, and work that is never taken up again.

mod support;

use arbutuspick_pool::{JobBody, StepBody};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::world::World;
use support::{body, step};

/// Workers of the pool: two racks in each of two data centres.
const WORKERS: usize = 16;
/// Histories that are played; PROPTEST_CASES sets another number.
const HISTORIES: u32 = 160;

#[derive(Clone, Debug)]
enum Action {
    Submit(JobBody),
    Cancel(usize),
    Cut(usize),
    Heal,
    Restart(usize),
    Drain(usize),
    Close(bool),
    LoseStarts(Option<usize>),
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = StepBody> {
    let size = (1u32..8, 0u64..=8, 400u64..3_000);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), 0u32..4);
    (size, flags, prop::option::of(0usize..4)).prop_map(|(size, flags, rack)| StepBody {
        gang: flags.0,
        same_rack: flags.1,
        checkpoints: flags.2,
        // Gangs of the users have no spread limit.
        spread_limit: if flags.0 { 0 } else { flags.3 },
        data_rack: rack.map_or(String::new(), |rack| format!("r{rack}")),
        millicores: 4_000,
        estimate_ms: size.2,
        ..step(size.0, size.1)
    })
}

fn any_job() -> impl Strategy<Value = JobBody> {
    let queue = prop_oneof![Just("urgent"), Just("normal"), Just("bulk")];
    let account = prop_oneof![Just("north"), Just("south")];
    (queue, account, prop::collection::vec(any_step(), 1..3)).prop_map(|(queue, account, mut steps)| {
        if let Some(second) = steps.get_mut(1) {
            second.after = vec![0];
        }
        body(queue, account, steps)
    })
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => any_job().prop_map(Action::Submit),
        1 => any::<usize>().prop_map(Action::Cancel),
        1 => any::<usize>().prop_map(Action::Cut),
        1 => Just(Action::Heal),
        1 => any::<usize>().prop_map(Action::Restart),
        1 => any::<usize>().prop_map(Action::Drain),
        1 => any::<bool>().prop_map(Action::Close),
        1 => prop::option::of(2usize..6).prop_map(Action::LoseStarts),
        8 => (50u64..1_500).prop_map(Action::Pass),
    ]
}

fn play(actions: &[Action]) {
    let mut world = World::new(WORKERS);
    let mut drained = 0;
    for action in actions {
        match action {
            Action::Submit(job) => world.submit(job.clone()),
            Action::Cancel(pick) => world.cancel(*pick),
            Action::Cut(pick) => world.cut(*pick),
            Action::Heal => world.heal(),
            Action::Restart(pick) => world.restart(*pick),
            Action::Drain(pick) if drained < 2 => {
                drained += 1;
                world.drain(*pick);
            }
            Action::Drain(_) => {}
            Action::Close(closed) => world.close_centre(*closed),
            Action::LoseStarts(every) => world.lose_start = *every,
            Action::Pass(millis) => world.pass(*millis),
        }
        world.decide();
    }
    world.heal();
    world.close_centre(false);
    world.lose_start = None;
    for at in 0..WORKERS {
        if world.workers[at].report.leaves_at.is_some() {
            world.restart(at);
        }
    }
    world.pass(120_000);
    let open = world.open_jobs();
    assert!(open.is_empty(), "jobs were not finished: {open:?}");
}

#[test]
fn random_histories() {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(HISTORIES),
        failure_persistence: None,
        ..Config::default()
    };
    let seed = std::env::var("POOL_SEED")
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = prop::collection::vec(any_action(), 1..60);
    let outcome = runner.run(&histories, |actions| {
        play(&actions);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("seed {seed}: {failure}");
    }
}
