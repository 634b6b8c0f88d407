//! Random faults of workers, network, registry, store and leader in virtual time, against a task that runs
//! twice.
//!
//! Guards against starting a task again while its earlier run may go on: on a worker that is cut off, leaves,
//! restarts under its id or has a slow clock, after lost answers and orders that take effect late, and after a
//! change of the leader. `RANDOM_FAULTS_SEED` and `RANDOM_FAULTS_RUNS` override the seeds.

mod support;

use std::sync::Arc;
use std::time::Duration;

use arbutuspick_dispatch::{
    BootClock, DispatchContext, DispatchOptions, IntakeOptions, JobIntake, PolicyCache, ProcessLimits,
    UseProbe, follow_policy, run_dispatch,
};
use arbutuspick_pool::CoreOptions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::faulty_fleet::{FaultyFleet, SILENCE_MS, decode_faulty_workers};
use support::{CONFIG_TABLE, FakeStore, StoreMode, WORKER_TABLE, deadline, decode_policy, job, sleep_ms};
use tokio_util::sync::CancellationToken;

/// Workers of the pool, half of them in each data centre.
const WORKERS: usize = 8;
/// Processes that may lead.
const PROCESSES: usize = 3;
/// Faults in one history.
const FAULTS: usize = 24;
/// Histories with successive seeds.
const RUNS: u64 = 24;

fn start_process(number: usize, store: &FakeStore, fleet: &FaultyFleet) {
    let clock = BootClock::from_runtime();
    let store = store.for_process(number);
    let cache = Arc::new(PolicyCache::new(clock));
    let context = Arc::new(DispatchContext {
        store: store.clone(),
        worker_client: fleet.clone(),
        decode_workers: decode_faulty_workers,
        policy_cache: cache.clone(),
        leader: Default::default(),
        peer_probe: None,
        use_probe: UseProbe::default(),
        state_dump: Default::default(),
        clock,
        stopping: CancellationToken::new(),
        options: DispatchOptions {
            vm: format!("vm-{number}").into(),
            instance_id: 1_000 + number as u64,
            worker_table: WORKER_TABLE,
            registry_silence_ms: SILENCE_MS,
            limits: ProcessLimits::default(),
            max_row_bytes: 65_536,
            core: CoreOptions::default(),
        },
    });
    tokio::spawn(follow_policy(store, cache, CONFIG_TABLE, decode_policy));
    tokio::spawn(run_dispatch(context));
}

/// Lets a worker leave, and leave again soon after it has come back, so that a late removal by the first process meets
/// the second one.
fn leave_twice(fleet: &FaultyFleet, number: usize) {
    let fleet = fleet.clone();
    tokio::spawn(async move {
        fleet.leave(number, 200);
        sleep_ms(4_400).await;
        fleet.leave(number, 9_000);
    });
}

async fn play(seed: u64) -> (usize, Vec<String>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = FakeStore::new();
    store.put(CONFIG_TABLE, "config", b"1");
    let fleet = FaultyFleet::new(WORKERS, seed);
    tokio::spawn(fleet.clone().run_registry(store.clone()));
    for number in 1..=PROCESSES {
        start_process(number, &store, &fleet);
    }
    let intake = JobIntake::new(store.clone(), BootClock::from_runtime(), IntakeOptions::default());
    sleep_ms(1_500).await;
    let mut next_job = 0;
    // Draws of its own, so that the faults of a seed stay the same.
    let mut extra_rng = StdRng::seed_from_u64(!seed);
    for _ in 0..FAULTS {
        for _ in 0..rng.random_range(1..4) {
            next_job += 1;
            let mut body = job(rng.random_range(1..6));
            body.steps[0].accelerators = rng.random_range(1..9);
            body.steps[0].gang = rng.random_bool(0.3);
            intake
                .submit(&format!("{next_job:016x}"), &body, deadline(2_000))
                .await;
        }
        match rng.random_range(0..9) {
            0 | 1 => fleet.cut(rng.random_range(2_000..14_000)),
            2 | 3 => fleet.restart(rng.random_range(0..WORKERS), rng.random_range(0..1_600)),
            4 | 5 => fleet.leave(rng.random_range(0..WORKERS), rng.random_range(1_000..9_000)),
            6 => fleet.set_lossy(if rng.random_bool(0.5) { 25 } else { 0 }),
            7 => {
                let number = rng.random_range(1..=PROCESSES);
                let modes = [StoreMode::Refuse, StoreMode::Hang, StoreMode::LoseAnswers];
                store.set_mode(number, modes[rng.random_range(0..3)]);
                sleep_ms(rng.random_range(500..3_000)).await;
                store.set_mode(number, StoreMode::Normal);
            }
            // Clocks of idle workers are not read for a while.
            _ => sleep_ms(rng.random_range(5_000..40_000)).await,
        }
        if extra_rng.random_bool(0.2) {
            leave_twice(&fleet, extra_rng.random_range(0..WORKERS));
        }
        if extra_rng.random_bool(0.1) {
            // Only a worker that has restarted may have the label.
            for accelerators in 0..9 {
                let mut body = job(1);
                body.steps[0].required_label = "k2".into();
                body.steps[0].accelerators = accelerators;
                next_job += 1;
                intake
                    .submit(&format!("{next_job:016x}"), &body, deadline(2_000))
                    .await;
            }
        }
        sleep_ms(rng.random_range(50..1_500)).await;
    }
    sleep_ms(15_000).await;
    (fleet.starts(), fleet.violations())
}

#[test]
fn random_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse().ok());
    let first = number("RANDOM_FAULTS_SEED").unwrap_or(1);
    let runs = number("RANDOM_FAULTS_RUNS").unwrap_or(RUNS);
    let mut starts = 0;
    for seed in first..first + runs {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("no runtime");
        let (started, violations) = runtime.block_on(play(seed));
        runtime.shutdown_timeout(Duration::ZERO);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        starts += started;
    }
    assert!(starts > 50 * runs as usize, "only {starts} starts");
}

/// Plays a worker that restarts while a start is on its way to it and is then cut off, with orders that take effect
/// late.
async fn play_restart(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = FakeStore::new();
    store.put(CONFIG_TABLE, "config", b"1");
    let fleet = FaultyFleet::new(4, seed);
    tokio::spawn(fleet.clone().run_registry(store.clone()));
    start_process(1, &store, &fleet);
    let intake = JobIntake::new(store.clone(), BootClock::from_runtime(), IntakeOptions::default());
    // The clock of the process before the restart is far ahead of that of the next one.
    sleep_ms(rng.random_range(20_000..40_000)).await;
    let mut body = job(4);
    body.steps[0].accelerators = 8;
    fleet.set_lossy(100);
    intake.submit("00000000000000aa", &body, deadline(2_000)).await;
    sleep_ms(rng.random_range(0..60)).await;
    fleet.restart(0, 0);
    sleep_ms(rng.random_range(300..1_200)).await;
    fleet.cut(rng.random_range(10_000..16_000));
    fleet.set_lossy(0);
    sleep_ms(40_000).await;
    fleet.violations()
}

/// Guards against a start that reaches the next process of a worker: its lease there is one of a clock that began
/// anew, so it outlasts the time after which the leader starts the task elsewhere.
#[test]
fn restart_during_start() {
    for seed in 1..=150 {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("no runtime");
        let violations = runtime.block_on(play_restart(seed));
        runtime.shutdown_timeout(Duration::ZERO);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
