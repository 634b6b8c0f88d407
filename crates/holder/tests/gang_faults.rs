//! Guards against gangs that run only in part, are recorded with a wrong outcome, or are left running, while
//! calls and answers are lost, workers fail, restart or stop responding, and the start transaction is refused
//! or unresolved.

mod support;

use arbutuspick_holder::AttemptRules;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use support::{Fault, GangSimulation};

fn fault_strategy() -> impl Strategy<Value = Fault> {
    prop_oneof![
        300 => Just(Fault::None),
        6 => (0..3_usize).prop_map(Fault::LoseCall),
        6 => (0..3_usize).prop_map(Fault::LoseAnswer),
        2 => (0..3_usize).prop_map(Fault::StopResponding),
        1 => (0..3_usize).prop_map(Fault::Restart),
        2 => (0..3_usize).prop_map(Fault::RefusePrepare),
        2 => (0..3_usize).prop_map(Fault::FailTask),
        1 => Just(Fault::Preempt),
        1 => Just(Fault::Cancel),
        1 => Just(Fault::RefuseCommit),
        1 => Just(Fault::LoseCommitResult),
        1 => Just(Fault::PauseHolder),
    ]
}

fn runner() -> TestRunner {
    let cases = std::env::var("ARBUTUSPICK_FUZZ_CASES")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(1_000);
    let seed = std::env::var("ARBUTUSPICK_FUZZ_SEED")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(11);
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    })
}

fn check_outcomes(idempotent: bool, checkpointable: bool) {
    let faults = (1..4_usize, proptest::collection::vec(fault_strategy(), 0..240));
    let rules = AttemptRules {
        idempotent,
        checkpointable,
    };
    let result = runner().run(&faults, |(workers, faults)| {
        let mut simulation = GangSimulation::new(workers, rules);
        for fault in faults {
            simulation.step(fault);
        }
        simulation.run_to_end();
        simulation.check().map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn idempotent_gangs() {
    check_outcomes(true, false);
}

#[test]
fn non_idempotent_gangs() {
    check_outcomes(false, false);
}

#[test]
fn checkpointable_gangs() {
    check_outcomes(false, true);
}
