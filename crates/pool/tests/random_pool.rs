//! Random histories of jobs and faults, checked against the state of simulated workers.
//!
//! Guards against resources allocated twice, tasks that run twice or after their end, gangs started in part,
//! steps out of order, exceeded spread limits, starts in closed data centres or of cancelled jobs, and jobs
//! that never finish.

mod support;

use arbutuspick_pool::{JobBody, StepBody};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::pool_simulation::PoolSimulation;
use support::{body, step};

/// Workers of the pool: two racks in each of two data centres.
const WORKERS: usize = 16;
/// Number of histories; PROPTEST_CASES overrides it.
const HISTORIES: u32 = 160;

#[derive(Clone, Debug)]
enum Action {
    Submit(JobBody),
    Cancel(usize),
    Disconnect(usize),
    ReconnectAll,
    Restart(usize),
    Leave(usize),
    CloseCentre(bool),
    LoseAnswers(Option<usize>),
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = StepBody> {
    let size = (1u32..8, 0u64..=8, 400u64..3_000);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), 0u32..4);
    (size, flags, prop::option::of(0usize..4)).prop_map(|(size, flags, rack)| StepBody {
        gang: flags.0,
        same_rack: flags.1,
        checkpoints: flags.2,
        // The users give no gang a spread limit.
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
        1 => any::<usize>().prop_map(Action::Disconnect),
        1 => Just(Action::ReconnectAll),
        1 => any::<usize>().prop_map(Action::Restart),
        1 => any::<usize>().prop_map(Action::Leave),
        1 => any::<bool>().prop_map(Action::CloseCentre),
        1 => prop::option::of(2usize..6).prop_map(Action::LoseAnswers),
        8 => (50u64..1_500).prop_map(Action::Advance),
    ]
}

fn replay(actions: &[Action]) {
    let mut simulation = PoolSimulation::new(WORKERS);
    let mut leaving = 0;
    for action in actions {
        match action {
            Action::Submit(job) => simulation.submit(job.clone()),
            Action::Cancel(choice) => simulation.cancel(*choice),
            Action::Disconnect(choice) => simulation.disconnect(*choice),
            Action::ReconnectAll => simulation.reconnect_all(),
            Action::Restart(choice) => simulation.restart(*choice),
            Action::Leave(choice) if leaving < 2 => {
                leaving += 1;
                simulation.leave(*choice);
            }
            Action::Leave(_) => {}
            Action::CloseCentre(closed) => simulation.close_centre(*closed),
            Action::LoseAnswers(interval) => simulation.lost_answer_interval = *interval,
            Action::Advance(millis) => simulation.advance(*millis),
        }
        simulation.decide();
    }
    simulation.reconnect_all();
    simulation.close_centre(false);
    simulation.lost_answer_interval = None;
    for index in 0..WORKERS {
        if simulation.workers[index].report.leaves_at.is_some() {
            simulation.restart(index);
        }
    }
    simulation.advance(120_000);
    let unfinished = simulation.unfinished_jobs();
    assert!(unfinished.is_empty(), "unfinished jobs: {unfinished:?}");
}

#[test]
fn random_histories() {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|value| value.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(HISTORIES),
        failure_persistence: None,
        ..Config::default()
    };
    let seed = std::env::var("POOL_SEED")
        .ok()
        .and_then(|value| value.parse::<u64>().ok())
        .unwrap_or(1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = prop::collection::vec(any_action(), 1..60);
    let outcome = runner.run(&histories, |actions| {
        replay(&actions);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("seed {seed}: {failure}");
    }
}
