//! Random histories of jobs and faults, checked against the state of simulated workers.
//!
//! Guards against resources allocated twice, tasks that run twice or after their end, gangs started in part,
//! steps out of order, exceeded spread limits, starts in closed data centres, beyond the cap of an account or of cancelled jobs, attempts
//! that are counted twice or not at all after a change of the leader, jobs that never finish, and jobs that wait while an idle worker could run them and nothing else needs it.

mod support;

use arbutuspick_pool::{JobBody, StepBody};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::pool_simulation::PoolSimulation;
use support::{body, step};

/// Workers of the pool: two racks in each of two data centres.
const WORKERS: usize = 16;
/// Workers that join the pool at the end, so that all jobs can run.
const RARE_WORKERS: usize = 6;
/// Members of the widest gang, and its accelerators.
const WIDEST_COUNT: u32 = 18;
const WIDEST_GANG: i64 = 18 * 8;
/// Label that only one worker has.
const SINGLE_LABEL: &str = "single";
/// Number of histories; PROPTEST_CASES overrides it.
const HISTORIES: u32 = 160;

/// Why a job waits for other workers.
#[derive(Clone, Copy, Debug)]
enum BlockedKind {
    RareLabel,
    LargeMemory,
    WideGang,
}

impl BlockedKind {
    /// Returns one of several jobs with different needs.
    fn job(self, number: u64) -> JobBody {
        let single = StepBody {
            memory_mb: 1_000 + number,
            estimate_ms: 400,
            ..step(1, number % 8)
        };
        let step = match self {
            Self::RareLabel => StepBody {
                required_label: "rare".into(),
                ..single
            },
            Self::LargeMemory => StepBody {
                memory_mb: 300_000 + number,
                ..single
            },
            Self::WideGang => StepBody {
                gang: true,
                ..step(WIDEST_COUNT, 8)
            },
        };
        let queue = ["urgent", "normal", "bulk"][(number % 3) as usize];
        body(queue, "north", vec![step])
    }
}

/// Constraint in which two steps differ that are alike otherwise.
#[derive(Clone, Copy, Debug)]
enum TwinChange {
    Spread,
    Label,
    DataRack,
    SameRack,
    Gang,
    Memory,
    Width,
}

impl TwinChange {
    const ALL: [Self; 7] = [
        Self::Spread,
        Self::Label,
        Self::DataRack,
        Self::SameRack,
        Self::Gang,
        Self::Memory,
        Self::Width,
    ];

    /// Returns the step with another value of the constraint; the other step can often run where this one cannot.
    fn apply(self, step: &StepBody) -> StepBody {
        let mut twin = step.clone();
        match self {
            Self::Spread => twin.spread_limit = u32::from(step.spread_limit != 1),
            Self::Label if step.required_label.is_empty() => twin.required_label = "none".into(),
            Self::Label => twin.required_label.clear(),
            Self::DataRack if step.data_rack.is_empty() => twin.data_rack = "r9".into(),
            Self::DataRack => twin.data_rack.clear(),
            Self::SameRack => twin.same_rack = !step.same_rack,
            Self::Gang => twin.gang = !step.gang,
            Self::Memory => twin.memory_mb = 1_000_000,
            Self::Width => (twin.count, twin.gang) = (WIDEST_COUNT, true),
        }
        twin
    }
}

#[derive(Clone, Debug)]
enum Action {
    Submit(JobBody),
    /// A job with a change of its steps, and the job itself behind it.
    SubmitTwins(JobBody, TwinChange),
    /// Jobs that no worker can run until others join the pool.
    SubmitBlocked(BlockedKind, u64),
    AddRareWorker,
    /// A job and its cancel request, applied before the next decision.
    SubmitCancelled(JobBody),
    Cancel(usize),
    Disconnect(usize),
    ReconnectAll,
    Restart(usize),
    Leave(usize),
    CloseCentre(bool),
    LoseAnswers(Option<usize>),
    ChangeLeader,
    /// Limits the cores and accelerators of an account.
    SetCap(&'static str, i64, i64),
    /// A job is cancelled while there is no leader.
    CancelDuringTakeover(usize),
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = StepBody> {
    let size = (1u32..8, 0u64..=8, 400u64..3_000);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), 0u32..4);
    // All workers of a rack have its name as a label, and all have a common one; the last rack is not known.
    let label = prop_oneof![5 => Just(""), 1 => Just("a"), 1 => Just("r0"), 1 => Just(SINGLE_LABEL), 1 => Just("rare")];
    let rack = prop::option::of(0usize..5);
    (size, flags, label, rack).prop_map(|(size, flags, label, rack)| StepBody {
        gang: flags.0,
        same_rack: flags.1,
        checkpoints: flags.2,
        spread_limit: flags.3,
        required_label: label.into(),
        data_rack: rack.map_or(String::new(), |rack| format!("r{rack}")),
        millicores: 4_000,
        estimate_ms: size.2,
        ..step(size.0, size.1)
    })
}

fn any_job() -> impl Strategy<Value = JobBody> {
    let queue = prop_oneof![Just("urgent"), Just("normal"), Just("bulk")];
    let account = prop_oneof![Just("north"), Just("south")];
    let steps = prop::collection::vec(any_step(), 1..3);
    let schedule = prop_oneof![3 => Just((0, 0)), 1 => (1u32..4, 200u64..2_000)];
    (queue, account, steps, schedule).prop_map(|(queue, account, mut steps, schedule)| {
        if let Some(second) = steps.get_mut(1) {
            second.after = vec![0];
        }
        let mut job = body(queue, account, steps);
        (job.occurrences, job.interval_ms) = schedule;
        job
    })
}

fn any_twins() -> impl Strategy<Value = Action> {
    let change = prop::sample::select(TwinChange::ALL.to_vec());
    (any_job(), change).prop_map(|(job, change)| Action::SubmitTwins(job, change))
}

fn any_blocked() -> impl Strategy<Value = (BlockedKind, u64)> {
    let kinds = [
        (BlockedKind::RareLabel, 50_u64),
        (BlockedKind::LargeMemory, 50),
        (BlockedKind::WideGang, 2),
    ];
    prop::sample::select(kinds.to_vec()).prop_flat_map(|(kind, most)| (Just(kind), 1..=most))
}

fn any_cap() -> impl Strategy<Value = Action> {
    let account = prop_oneof![Just("north"), Just("south")];
    let cores = prop_oneof![1 => Just(0_i64), 1 => 1_i64..120];
    let accelerators = prop_oneof![1 => Just(1_000_000_i64), 3 => 1_i64..70];
    (account, cores, accelerators)
        .prop_map(|(account, cores, accelerators)| Action::SetCap(account, cores * 1_000, accelerators))
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => any_job().prop_map(Action::Submit),
        3 => any_twins(),
        1 => any_blocked().prop_map(|(kind, count)| Action::SubmitBlocked(kind, count)),
        1 => Just(Action::AddRareWorker),
        1 => any::<usize>().prop_map(Action::Cancel),
        1 => any::<usize>().prop_map(Action::Disconnect),
        1 => Just(Action::ReconnectAll),
        1 => any::<usize>().prop_map(Action::Restart),
        1 => any::<usize>().prop_map(Action::Leave),
        1 => any::<bool>().prop_map(Action::CloseCentre),
        1 => prop::option::of(2usize..6).prop_map(Action::LoseAnswers),
        2 => Just(Action::ChangeLeader),
        1 => any::<usize>().prop_map(Action::CancelDuringTakeover),
        1 => any_job().prop_map(Action::SubmitCancelled),
        2 => any_cap(),
        8 => (50u64..1_500).prop_map(Action::Advance),
    ]
}

/// Checks, in the state at the end of a history, that a job starts behind many that no worker can run.
fn check_last_job(simulation: &mut PoolSimulation) {
    for number in 0..60 {
        let mut unlabelled = BlockedKind::RareLabel.job(number * 3);
        unlabelled.steps[0].estimate_ms = 2_000;
        let mut unknown = unlabelled.clone();
        unknown.steps[0].required_label = "none".into();
        simulation.submit(unknown);
        let mut large = unlabelled;
        large.steps[0].required_label = String::new();
        large.steps[0].memory_mb = 1_000_000 + number;
        simulation.submit(large);
    }
    // Ranks behind the others by its value for the capacity that it takes.
    let last = StepBody {
        estimate_ms: 5_000,
        ..step(2, 1)
    };
    let last = simulation.submit(body("bulk", "south", vec![last]));
    simulation.advance(100);
    let mut runs = simulation.workers.iter().flat_map(|worker| &worker.runs);
    assert!(
        runs.any(|run| run.task.job == last),
        "waits behind jobs that cannot start\n{}",
        simulation.core.dump(simulation.now)
    );
}

fn needs_single_worker(job: &JobBody) -> bool {
    job.steps.iter().any(|step| step.required_label == SINGLE_LABEL)
}

fn has_possible_job(simulation: &PoolSimulation) -> bool {
    let unfinished = simulation.unfinished_jobs();
    let mut bodies = unfinished.iter().map(|job| &simulation.bodies[job]);
    bodies.any(|body| !simulation.is_hopeless(body))
}

/// Checks that all jobs have ended, but for those that no worker can run and those that `may_last`.
fn check_unfinished<F>(simulation: &PoolSimulation, may_last: F)
where
    F: Fn(&JobBody) -> bool,
{
    for job in simulation.unfinished_jobs() {
        let body = &simulation.bodies[&job];
        assert!(
            simulation.is_hopeless(body) || may_last(body),
            "job {job} has not ended: {body:?}\n{}",
            simulation.core.dump(simulation.now)
        );
    }
}

fn replay(actions: &[Action]) {
    let mut simulation = PoolSimulation::new(WORKERS, SINGLE_LABEL);
    let mut leaving = 0;
    for action in actions {
        match action {
            Action::Submit(job) => {
                simulation.submit(job.clone());
            }
            Action::SubmitTwins(job, change) => {
                let mut twin = job.clone();
                twin.steps = job.steps.iter().map(|step| change.apply(step)).collect();
                simulation.submit(twin);
                simulation.submit(job.clone());
            }
            Action::SubmitBlocked(kind, count) => {
                for number in 0..*count {
                    simulation.submit(kind.job(number));
                }
            }
            Action::AddRareWorker => simulation.add_rare_worker(),
            Action::SubmitCancelled(job) => {
                let id = simulation.submit(job.clone());
                simulation.cancel_job(&id);
            }
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
            Action::SetCap(account, millicores, accelerators) => {
                simulation.set_cap(account, *millicores, *accelerators);
            }
            Action::LoseAnswers(interval) => simulation.lost_answer_interval = *interval,
            Action::ChangeLeader => simulation.change_leader(),
            Action::CancelDuringTakeover(choice) => {
                simulation.change_leader();
                simulation.cancel(*choice);
            }
            Action::Advance(millis) => simulation.advance(*millis),
        }
        simulation.decide();
        simulation.check_usage();
    }
    simulation.reconnect_all();
    simulation.close_centre(false);
    simulation.lost_answer_interval = None;
    // Wide enough for the widest gang, so that all jobs run under it.
    for account in ["north", "south"] {
        simulation.set_cap(account, 0, WIDEST_GANG);
    }
    for _ in 0..RARE_WORKERS {
        simulation.add_rare_worker();
    }
    for index in 0..simulation.workers.len() {
        if simulation.workers[index].report.leaves_at.is_some() {
            simulation.restart(index);
        }
    }
    simulation.advance(120_000);
    check_unfinished(&simulation, needs_single_worker);
    // One worker runs all steps with its label, task by task if these are spread.
    for _ in 0..8 {
        if has_possible_job(&simulation) {
            simulation.advance(60_000);
        }
    }
    check_unfinished(&simulation, |_| false);
    for job in simulation.unfinished_jobs() {
        simulation.cancel_job(&job);
    }
    simulation.advance(10_000);
    for account in ["north", "south"] {
        assert_eq!(
            simulation.counted_usage(account),
            Some(Default::default()),
            "{account}"
        );
        simulation.set_cap(account, 0, 1_000_000);
    }
    check_last_job(&mut simulation);
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
