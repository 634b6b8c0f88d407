//! Guards the invariants of all records when processes and operators interleave and answers are lost.
//!
//! `ARBUTUSPICK_FUZZ_CASES` and `ARBUTUSPICK_FUZZ_SEED` set the number of cases and the seed.

mod action;
mod oracle;
mod plan;
mod world;

use std::cell::RefCell;
use std::collections::BTreeMap;

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use action::{Step, Steps};
use world::World;

const DEFAULT_CASES: u32 = 256;
const DEFAULT_SEED: u64 = 20_261_204;
const STEPS: std::ops::Range<usize> = 100..400;

thread_local! {
    static TALLY: RefCell<BTreeMap<&'static str, u32>> = const { RefCell::new(BTreeMap::new()) };
}

/// Events that a run of the default length must contain, so that the invariants are not checked in vain.
const EVENTS: [&str; 15] = [
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
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(&step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.finish();
        TALLY.with_borrow_mut(|tally| {
            for (event, count) in world.tally {
                *tally.entry(event).or_default() += count;
            }
        });
    }
}

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| {
        value.parse().expect("fuzz setting is a whole number")
    })
}

fn config() -> Config {
    Config {
        cases: setting("ARBUTUSPICK_FUZZ_CASES", DEFAULT_CASES.into()) as u32,
        rng_seed: RngSeed::Fixed(setting("ARBUTUSPICK_FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn all_invariants() {
    let strategy = Steps::sequential_strategy(STEPS);
    let result = TestRunner::new(config()).run(&strategy, |(state, steps, seen)| {
        Interleavings::test_sequential(config(), state, steps, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    TALLY.with_borrow(|tally| {
        println!("{tally:?}");
        let missing = EVENTS.iter().find(|event| !tally.contains_key(*event));
        assert!(
            missing.is_none() || config().cases < DEFAULT_CASES,
            "no run had event {missing:?}"
        );
    });
}
