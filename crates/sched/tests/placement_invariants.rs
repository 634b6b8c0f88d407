//! Random sequences of events in a data centre, checked by an oracle after every step.
//!
//! `ARBUTUSPICK_FUZZ_CASES` sets the number of cases and `ARBUTUSPICK_FUZZ_SEED` the seed.

mod support;

use std::sync::Arc;

use arbutuspick_model::*;
use arbutuspick_sched::*;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::oracle::{OracleJob, OracleWorker, PlacementOracle};
use support::{account, guarantee, job_id};

const RACK_SIZES: [usize; 3] = [8, 3, 1];
const ACCOUNTS: [&str; 3] = ["alpha", "beta", "gamma"];

/// Tasks, accelerators, cores and adjacency; the last two shapes can never fit.
const SHAPES: [(u32, u32, u32, GangAdjacency); 16] = [
    (1, 1, 1, GangAdjacency::Task),
    (1, 2, 1, GangAdjacency::Task),
    (1, 3, 1, GangAdjacency::Task),
    (1, 8, 1, GangAdjacency::Task),
    (5, 4, 2, GangAdjacency::Task),
    (12, 1, 1, GangAdjacency::Task),
    (3, 2, 1, GangAdjacency::Worker),
    (2, 8, 8, GangAdjacency::Rack),
    (4, 8, 8, GangAdjacency::Rack),
    (8, 8, 1, GangAdjacency::Rack),
    (9, 8, 1, GangAdjacency::Rack),
    (1, 1, 40, GangAdjacency::Task),
    (3, 0, 30, GangAdjacency::Task),
    (4, 0, 60, GangAdjacency::Rack),
    (13, 8, 1, GangAdjacency::Task),
    (12, 8, 1, GangAdjacency::Rack),
];

#[derive(Clone, Debug)]
enum Step {
    Join(Index),
    Lose(Index),
    /// Starts and probes on the worker fail from now on, or succeed again.
    SetBroken(Index, bool),
    Submit(Vec<(usize, usize, JobClass, bool)>),
    /// A job is transferred from another data centre, with an earlier first queueing time.
    TransferIn(usize, usize, u64),
    CancelEvery(usize),
    /// All preempted attempts stop.
    StopPreempted,
    /// A live attempt ends in one of the ways that `apply` lists.
    End(Index, usize),
    /// Every member of a live attempt has started.
    Run(Index),
    /// A repeated event, or one about an unknown job or worker.
    Stale(Index, usize),
    /// The guarantees change to a variant of `policies`.
    Accounts(usize),
    /// Operators order one of the states that `change_centre` lists.
    Centre(usize),
    /// Many small jobs in succession; one small job ends after each submission.
    Churn(usize),
    /// A new placement holder takes over.
    Restart,
    Advance(u64),
}

fn steps() -> BoxedStrategy<Step> {
    let index = any::<Index>;
    let class = prop_oneof![
        Just(JobClass::Urgent),
        Just(JobClass::Standard),
        Just(JobClass::Batch)
    ];
    let job = (0..ACCOUNTS.len(), 0..SHAPES.len(), class, any::<bool>());
    prop_oneof![
        2 => index().prop_map(Step::Join),
        1 => index().prop_map(Step::Lose),
        1 => (index(), any::<bool>()).prop_map(|(worker, broken)| Step::SetBroken(worker, broken)),
        8 => prop::collection::vec(job, 1..12).prop_map(Step::Submit),
        1 => (0..ACCOUNTS.len(), 0..SHAPES.len(), 0..60_000u64)
            .prop_map(|(name, shape, age)| Step::TransferIn(name, shape, age)),
        1 => (2..5usize).prop_map(Step::CancelEvery),
        4 => Just(Step::StopPreempted),
        8 => (index(), 0..5usize).prop_map(|(job, end)| Step::End(job, end)),
        2 => index().prop_map(Step::Run),
        2 => (index(), 0..5usize).prop_map(|(job, kind)| Step::Stale(job, kind)),
        1 => (0..5usize).prop_map(Step::Accounts),
        1 => (0..6usize).prop_map(Step::Centre),
        1 => Just(Step::Restart),
        2 => prop_oneof![Just(0usize), Just(3)].prop_map(Step::Churn),
        4 => prop_oneof![Just(100u64), Just(2_000), Just(11_000), Just(31_000), Just(700_000)].prop_map(Step::Advance),
    ]
    .boxed()
}

/// Reference model without state: steps select their targets by index.
struct StepModel;

impl ReferenceStateMachine for StepModel {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        steps()
    }

    fn apply((): (), _: &Step) {}
}

/// The core, the oracle, and a simulation of the caller that carries out the actions of the core.
struct CentreSimulation {
    core: PlacementCore,
    oracle: PlacementOracle,
    now: ClockTime,
    next_job: u128,
    broken: std::collections::BTreeSet<WorkerName>,
    ended_attempts: Vec<(JobId, AttemptNumber)>,
}

fn worker_names() -> Vec<(WorkerName, RackName)> {
    let mut names = Vec::new();
    for (rack, size) in RACK_SIZES.iter().enumerate() {
        for place in 0..*size {
            let worker = WorkerName::try_from(format!("r{rack}-w{place}")).unwrap();
            names.push((worker, RackName::try_from(format!("r{rack}")).unwrap()));
        }
    }
    names
}

fn policies(variant: usize) -> Vec<AccountPolicy> {
    let (home, displaced): ([Vec<CellGuarantee>; 3], Vec<CellGuarantee>) = match variant {
        0 => (
            [
                vec![guarantee(8, 2), guarantee(1, 4)],
                vec![guarantee(64, 1)],
                vec![],
            ],
            vec![],
        ),
        1 => (
            [
                vec![guarantee(4, 5)],
                vec![guarantee(16, 2)],
                vec![guarantee(1, 9)],
            ],
            vec![],
        ),
        2 => (
            [vec![guarantee(8, 1)], vec![], vec![guarantee(2, 3)]],
            vec![guarantee(32, 1), guarantee(1, 3)],
        ),
        3 => (
            [vec![], vec![guarantee(8, 4)], vec![guarantee(64, 1)]],
            vec![guarantee(8, 2)],
        ),
        _ => (Default::default(), vec![]),
    };
    ACCOUNTS
        .iter()
        .zip(home)
        .map(|(name, home)| AccountPolicy {
            account: account(name),
            weight: 1 + name.len() as u32,
            max_queued_jobs: 12,
            home,
            displaced: displaced.clone(),
        })
        .collect()
}

impl CentreSimulation {
    fn new() -> Self {
        let mut simulation = Self {
            core: PlacementCore::new(PlacementOptions::default()),
            oracle: PlacementOracle::default(),
            now: ClockTime(100_000),
            next_job: 1,
            broken: Default::default(),
            ended_attempts: Vec::new(),
        };
        for i in 0..worker_names().len() {
            simulation.join(i);
        }
        simulation.change_accounts(0);
        simulation.decide();
        simulation
    }

    /// Passes an event to the core; only lost capacity and new guarantees may make guarantees unreclaimable.
    fn handle(&mut self, event: PlacementEvent) {
        let may_lose_cells = match &event {
            PlacementEvent::AttemptEnded { end, .. } => {
                matches!(end, AttemptEnd::StartFailed { .. } | AttemptEnd::RunFailed { .. })
            }
            PlacementEvent::JobQueued { .. }
            | PlacementEvent::JobCancelled { .. }
            | PlacementEvent::AttemptRunning { .. }
            | PlacementEvent::WorkerJoined { .. } => false,
            _ => true,
        };
        let before = self.oracle.missing_cells(&self.core.dump());
        self.core.handle(event.clone(), self.now);
        let after = self.oracle.missing_cells(&self.core.dump());
        if !may_lose_cells {
            assert!(
                after <= before,
                "{event:?} made guarantees unreclaimable: {before:?} became {after:?}"
            );
        }
    }

    fn decide(&mut self) {
        for _ in 0..20 {
            let before = self.core.dump();
            let missing = self.oracle.missing_cells(&before);
            let actions = self.core.decide(self.now);
            let after = self.core.dump();
            self.oracle.check_actions(&actions, &before, &after, self.now);
            self.oracle.check_state(&after);
            if !self.oracle.jobs.is_empty() && self.core.next_wakeup(self.now).is_none_or(|at| at > self.now)
            {
                self.oracle.check_waiting(&after, self.now);
            }
            // If a new placement holder binds a guaranteed cell that contains a quarantined worker, the cell
            // counts as missing.
            let rebinding = before.jobs.values().any(|job| job.rebinding);
            if before.state != CentreState::Returning && !rebinding {
                let missing_after = self.oracle.missing_cells(&after);
                assert!(
                    missing_after <= missing,
                    "placement made guarantees unreclaimable: {missing:?} became {missing_after:?}"
                );
            }
            for action in &actions {
                self.execute(action);
            }
            if self.core.next_wakeup(self.now).is_none_or(|at| at > self.now) {
                return;
            }
        }
        panic!("decide still requests a wakeup at the current time after 20 calls");
    }

    fn execute(&mut self, action: &PlacementAction) {
        match action {
            PlacementAction::Probe { worker } => {
                let healthy = !self.broken.contains(worker);
                let worker = worker.clone();
                self.handle(PlacementEvent::WorkerProbed { worker, healthy });
            }
            PlacementAction::Place(placement) => {
                let members = placement.members.iter().map(|member| member.worker.clone());
                let failed_workers: Vec<WorkerName> =
                    members.filter(|worker| self.broken.contains(worker)).collect();
                if !failed_workers.is_empty() {
                    self.end(placement.job, AttemptEnd::StartFailed { failed_workers });
                }
            }
            _ => {}
        }
    }

    fn join(&mut self, index: usize) {
        let (worker, rack) = worker_names().swap_remove(index);
        let mut capacity = WorkerCapacity::default();
        // One worker has only four accelerators, another has none.
        match worker.as_str() {
            "r1-w2" => capacity.accelerators = 4,
            "r2-w0" => capacity.accelerators = 0,
            _ => {}
        }
        let entry = OracleWorker {
            rack: rack.clone(),
            capacity,
            lost: false,
        };
        self.oracle.workers.insert(worker.clone(), entry);
        self.handle(PlacementEvent::WorkerJoined {
            worker,
            rack,
            capacity,
        });
    }

    fn lose(&mut self, index: usize) {
        let (worker, _) = worker_names().swap_remove(index);
        if let Some(entry) = self.oracle.workers.get_mut(&worker) {
            entry.lost = true;
        }
        self.handle(PlacementEvent::WorkerLost {
            worker: worker.clone(),
        });
        let uses_worker =
            |placement: &GangPlacement| placement.members.iter().any(|member| member.worker == worker);
        let affected: Vec<JobId> = self.live(|job| job.live.as_ref().is_some_and(uses_worker));
        for job in affected {
            let failed_workers = vec![worker.clone()];
            let requeue = true;
            self.end(
                job,
                AttemptEnd::RunFailed {
                    failed_workers,
                    requeue,
                },
            );
        }
    }

    fn submit(&mut self, name: usize, shape: usize, class: JobClass, checkpointable: bool, age: Option<u64>) {
        let (tasks, accelerators, cores, adjacency) = SHAPES[shape];
        let shape = GangShape {
            tasks,
            accelerators,
            cores,
            adjacency,
            ..GangShape::default()
        };
        let mut spec = JobSpec::new(account(ACCOUNTS[name]))
            .with_shape(shape)
            .with_class(class);
        spec.checkpointable = checkpointable;
        let spec = Arc::new(spec);
        let job = job_id(self.next_job);
        self.next_job += 1;
        // A transferred job has had attempts in the other data centre.
        let attempt = AttemptNumber(age.map_or(0, |_| 3));
        let queued_at = self.now - age.unwrap_or(0);
        let entry = OracleJob {
            spec: spec.clone(),
            queued_at,
            waiting_since: queued_at,
            attempt,
            live: None,
            preempted: false,
            cancelled: false,
            may_be_borrowed: false,
            overtaken: 0,
        };
        self.oracle.jobs.insert(job, entry);
        self.handle(PlacementEvent::JobQueued {
            job,
            spec,
            attempt,
            queued_at,
        });
    }

    fn cancel(&mut self, job: JobId) {
        match self.oracle.jobs.get_mut(&job) {
            Some(entry) if entry.live.is_some() => entry.cancelled = true,
            _ => drop(self.oracle.jobs.remove(&job)),
        }
        self.handle(PlacementEvent::JobCancelled { job });
    }

    fn live<F>(&self, wanted: F) -> Vec<JobId>
    where
        F: Fn(&OracleJob) -> bool,
    {
        let live = self
            .oracle
            .jobs
            .iter()
            .filter(|(_, job)| job.live.is_some() && wanted(job));
        live.map(|(job, _)| *job).collect()
    }

    fn end(&mut self, job: JobId, end: AttemptEnd) {
        let Some(entry) = self.oracle.jobs.get_mut(&job) else {
            return;
        };
        let requeued = !matches!(
            end,
            AttemptEnd::Finished | AttemptEnd::RunFailed { requeue: false, .. }
        );
        let attempt = entry.attempt;
        self.ended_attempts.push((job, attempt));
        (entry.live, entry.preempted, entry.waiting_since) = (None, false, self.now);
        if !requeued || entry.cancelled {
            self.oracle.jobs.remove(&job);
        }
        self.handle(PlacementEvent::AttemptEnded { job, attempt, end });
    }

    fn change_accounts(&mut self, variant: usize) {
        self.oracle.accounts = policies(variant);
        for job in self.oracle.jobs.values_mut() {
            job.may_be_borrowed |= job.live.is_some();
        }
        let accounts = self.oracle.accounts.clone();
        self.handle(PlacementEvent::AccountsChanged { accounts });
    }

    fn change_centre(&mut self, choice: usize) {
        let deadline = self.now + 60_000;
        let (state, drain_deadline) = match choice {
            0 => (CentreState::Leaving, Some(deadline)),
            1 => (CentreState::Out, None),
            2 | 3 => (CentreState::Returning, None),
            _ => (CentreState::In, None),
        };
        (self.oracle.state, self.oracle.drain_deadline) = (state, drain_deadline);
        self.handle(PlacementEvent::CentreChanged {
            state,
            drain_deadline,
        });
    }

    /// Rebuilds the state in a new core, as a new placement holder does.
    fn restart(&mut self) {
        self.core = PlacementCore::new(PlacementOptions::default());
        let (state, drain_deadline) = (self.oracle.state, self.oracle.drain_deadline);
        self.handle(PlacementEvent::CentreChanged {
            state,
            drain_deadline,
        });
        for (job, entry) in self.oracle.jobs.clone() {
            let oracle_job = self.oracle.jobs.get_mut(&job).unwrap();
            (
                oracle_job.preempted,
                oracle_job.may_be_borrowed,
                oracle_job.overtaken,
            ) = (entry.cancelled, true, 0);
            oracle_job.waiting_since = entry.queued_at;
            let OracleJob {
                spec,
                queued_at,
                attempt,
                ..
            } = entry;
            match entry.live {
                Some(placement) => self.handle(PlacementEvent::AttemptAdopted {
                    job,
                    spec,
                    placement,
                    queued_at,
                }),
                None => self.handle(PlacementEvent::JobQueued {
                    job,
                    spec,
                    attempt,
                    queued_at,
                }),
            }
            if entry.cancelled {
                self.oracle.jobs.get_mut(&job).unwrap().preempted = false;
                self.handle(PlacementEvent::JobCancelled { job });
            }
        }
        let accounts = self.oracle.accounts.clone();
        self.handle(PlacementEvent::AccountsChanged { accounts });
        for (worker, entry) in self.oracle.workers.clone() {
            let OracleWorker { rack, capacity, lost } = entry;
            self.handle(PlacementEvent::WorkerJoined {
                worker: worker.clone(),
                rack,
                capacity,
            });
            if lost {
                self.handle(PlacementEvent::WorkerLost { worker });
            }
        }
    }

    fn send_stale(&mut self, index: Index, kind: usize) {
        if self.ended_attempts.is_empty() {
            return;
        }
        let is_live = |job: &JobId| {
            self.oracle
                .jobs
                .get(job)
                .is_some_and(|entry| entry.live.is_some())
        };
        let live: Vec<_> = self
            .ended_attempts
            .iter()
            .copied()
            .filter(|(job, _)| is_live(job))
            .collect();
        let ended_attempts = if live.is_empty() {
            &self.ended_attempts
        } else {
            &live
        };
        let (job, attempt) = *index.get(ended_attempts);
        let failed_workers = vec![worker_names()[0].0.clone()];
        let spec = Arc::new(JobSpec::new(account(ACCOUNTS[0])));
        let queued_at = self.now;
        let unknown = job_id(u128::from(u32::MAX));
        self.handle(match kind {
            0 => PlacementEvent::AttemptEnded {
                job,
                attempt,
                end: AttemptEnd::StartFailed { failed_workers },
            },
            1 => PlacementEvent::AttemptRunning { job, attempt },
            2 => PlacementEvent::JobCancelled { job: unknown },
            3 => PlacementEvent::WorkerLost {
                worker: WorkerName::try_from("nobody").unwrap(),
            },
            _ if self.oracle.jobs.contains_key(&job) => PlacementEvent::JobQueued {
                job,
                spec,
                attempt,
                queued_at,
            },
            _ => return,
        });
    }

    /// Restores all workers and the data centre, and advances time until no more jobs can start.
    fn settle(&mut self) {
        self.broken.clear();
        // Orders the state `In`.
        self.change_centre(4);
        for i in 0..worker_names().len() {
            self.join(i);
        }
        for _ in 0..16 {
            self.apply(Step::StopPreempted);
            self.apply(Step::Advance(31_000));
        }
        self.oracle.check_settled(&self.core.dump());
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Join(index) => self.join(index.index(worker_names().len())),
            Step::Lose(index) => self.lose(index.index(worker_names().len())),
            Step::SetBroken(index, broken) => {
                let (worker, _) = worker_names().swap_remove(index.index(worker_names().len()));
                if broken && self.broken.len() < 3 {
                    self.broken.insert(worker);
                } else {
                    self.broken.remove(&worker);
                }
            }
            Step::Submit(jobs) => {
                for (name, shape, class, checkpointable) in jobs {
                    self.submit(name, shape, class, checkpointable, None);
                }
            }
            Step::TransferIn(name, shape, age) => {
                self.submit(name, shape, JobClass::Standard, false, Some(age));
            }
            Step::CancelEvery(n) => {
                let jobs: Vec<JobId> = self.oracle.jobs.keys().copied().step_by(n).collect();
                for job in jobs {
                    self.cancel(job);
                }
            }
            Step::StopPreempted => {
                for job in self.live(|job| job.preempted) {
                    self.end(job, AttemptEnd::Requeued);
                }
            }
            Step::End(index, end) => {
                let live = self.live(|_| true);
                if !live.is_empty() {
                    let job = *index.get(&live);
                    let worker = self.oracle.jobs[&job].live.as_ref().unwrap().members[0]
                        .worker
                        .clone();
                    let failed_workers = vec![worker];
                    self.end(
                        job,
                        match end {
                            0 => AttemptEnd::StartFailed { failed_workers },
                            1 => AttemptEnd::RunFailed {
                                failed_workers,
                                requeue: false,
                            },
                            2 => AttemptEnd::RunFailed {
                                failed_workers,
                                requeue: true,
                            },
                            _ => AttemptEnd::Finished,
                        },
                    );
                }
            }
            Step::Run(index) => {
                let live = self.live(|_| true);
                if !live.is_empty() {
                    let job = *index.get(&live);
                    let attempt = self.oracle.jobs[&job].attempt;
                    self.handle(PlacementEvent::AttemptRunning { job, attempt });
                }
            }
            Step::Stale(index, kind) => self.send_stale(index, kind),
            Step::Accounts(variant) => self.change_accounts(variant),
            Step::Centre(choice) => self.change_centre(choice),
            Step::Churn(shape) => {
                for _ in 0..24 {
                    self.submit(2, shape, JobClass::Standard, false, None);
                    self.decide();
                    let small = self.live(|job| job.spec.shape.tasks == 1 && !job.preempted);
                    if let Some(job) = small.first() {
                        self.end(*job, AttemptEnd::Finished);
                        self.decide();
                    }
                }
            }
            Step::Restart => self.restart(),
            Step::Advance(millis) => self.now = self.now + millis,
        }
        self.decide();
    }
}

struct PlacementTest;

impl StateMachineTest for PlacementTest {
    type SystemUnderTest = CentreSimulation;
    type Reference = StepModel;

    fn init_test((): &()) -> CentreSimulation {
        CentreSimulation::new()
    }

    fn apply(mut simulation: CentreSimulation, (): &(), step: Step) -> CentreSimulation {
        simulation.apply(step);
        simulation
    }

    fn teardown(mut simulation: CentreSimulation, (): ()) {
        simulation.settle();
    }
}

fn config() -> Config {
    let variable = |name: &str| std::env::var(name).ok().and_then(|value| value.parse().ok());
    Config {
        cases: variable("ARBUTUSPICK_FUZZ_CASES").unwrap_or(64) as u32,
        rng_seed: RngSeed::Fixed(variable("ARBUTUSPICK_FUZZ_SEED").unwrap_or(20_261_204)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]
    // Guards against violations of the placement invariants in `PlacementOracle` under any order of events.
    #[test]
    fn random_history(sequential 1..80 => PlacementTest);
}
