//! Guards against violated record invariants when processes and operators interleave and responses are lost.
//!
//! `ARBUTUSPICK_FUZZ_CASES` and `ARBUTUSPICK_FUZZ_SEED` set the number of cases and the seed.

mod action;
mod oracle;
mod plan;
mod simulation;

use std::cell::RefCell;
use std::collections::BTreeMap;

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use action::{Step, StepSequence};
use simulation::Simulation;

const DEFAULT_CASES: u32 = 256;
const DEFAULT_SEED: u64 = 20_261_204;
const STEPS_PER_CASE: std::ops::Range<usize> = 100..400;

thread_local! {
    static EVENT_COUNTS: RefCell<BTreeMap<&'static str, u32>> = const { RefCell::new(BTreeMap::new()) };
}

/// Events that must occur in a run with the default number of cases, so that the invariants are exercised.
const REQUIRED_EVENTS: [&str; 15] = [
    "claim",
    "decision",
    "delayed transaction committed",
    "job not run",
    "job ran",
    "job unfinished",
    "job unknown",
    "key reused",
    "overwritten",
    "planned checkpoint",
    "proven not run",
    "start",
    "submission",
    "takeover",
    "turn",
];

struct Interleavings;

impl StateMachineTest for Interleavings {
    type SystemUnderTest = Simulation;
    type Reference = StepSequence;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.apply(&step);
        simulation
    }

    fn teardown(mut simulation: Simulation, (): ()) {
        simulation.finish();
        EVENT_COUNTS.with_borrow_mut(|counts| {
            for (event, count) in simulation.event_counts {
                *counts.entry(event).or_default() += count;
            }
        });
    }
}

fn env_setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| {
        value.parse().expect("fuzz setting is a whole number")
    })
}

fn config() -> Config {
    Config {
        cases: env_setting("ARBUTUSPICK_FUZZ_CASES", DEFAULT_CASES.into()) as u32,
        rng_seed: RngSeed::Fixed(env_setting("ARBUTUSPICK_FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn all_invariants() {
    let strategy = StepSequence::sequential_strategy(STEPS_PER_CASE);
    let result = TestRunner::new(config()).run(&strategy, |(state, steps, seen)| {
        Interleavings::test_sequential(config(), state, steps, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    EVENT_COUNTS.with_borrow(|counts| {
        println!("{counts:?}");
        let missing = REQUIRED_EVENTS.iter().find(|event| !counts.contains_key(*event));
        assert!(
            missing.is_none() || config().cases < DEFAULT_CASES,
            "event {missing:?} did not occur in any case"
        );
    });
}
