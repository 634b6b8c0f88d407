use std::sync::Arc;

use arbutuspick_model::{ClockTime, GangAdjacency, GangShape, JobClass, JobId, JobSpec};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::{DeploymentPlan, JobArrival};

/// Accelerators of small jobs; odd sizes are rarer than powers of two.
const SMALL_SIZES: [u32; 20] = [1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 3, 4, 4, 4, 5, 6, 7, 8, 8, 8];
/// Accelerators of gangs.
const GANG_SIZES: [u32; 8] = [16, 16, 24, 32, 32, 48, 64, 64];
/// Run times of small jobs are log-uniform between these.
const SMALL_RUN_MS: (u64, u64) = (20_000, 600_000);
/// Run times of gangs are log-uniform between these.
const GANG_RUN_MS: (u64, u64) = (120_000, 1_200_000);
/// Part of the offered work that gangs make up.
const GANG_WORK: f64 = 0.5;
/// A cancellation wave hits an account's jobs that arrived at most this long before.
const WAVE_REACH_MS: u64 = 900_000;

/// Seeded generator of bursts of small jobs and of gangs.
///
/// ```
/// use arbutuspick_bench::{ArrivalGenerator, DeploymentPlan};
/// let plan = DeploymentPlan::midlands();
/// let arrivals = ArrivalGenerator::new(&plan, 7).generate(0.85, 600_000);
/// assert_eq!(arrivals, ArrivalGenerator::new(&plan, 7).generate(0.85, 600_000));
/// ```
#[derive(Debug)]
pub struct ArrivalGenerator<'plan> {
    plan: &'plan DeploymentPlan,
    rng: ChaCha8Rng,
}

impl<'plan> ArrivalGenerator<'plan> {
    /// Creates the generator of one seed.
    pub fn new(plan: &'plan DeploymentPlan, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { plan, rng }
    }

    /// Returns jobs in order of arrival that offer this part of all accelerators over the time.
    pub fn generate(mut self, load: f64, horizon_ms: u64) -> Vec<JobArrival> {
        let offered = load * f64::from(self.plan.accelerators()) * horizon_ms as f64;
        let mut arrivals = Vec::new();
        for (gangs, part) in [(true, GANG_WORK), (false, 1.0 - GANG_WORK)] {
            let mut left = offered * part;
            while left > 0.0 {
                let burst = self.burst(gangs, horizon_ms);
                left -= burst.iter().map(JobArrival::work).sum::<u64>() as f64;
                arrivals.extend(burst);
            }
        }
        self.add_impossible(&mut arrivals, horizon_ms);
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.job));
        self.add_waves(&mut arrivals, horizon_ms);
        arrivals
    }

    /// Returns jobs of one account that arrive within seconds of each other.
    fn burst(&mut self, gangs: bool, horizon_ms: u64) -> Vec<JobArrival> {
        let start = self.rng.random_range(0..horizon_ms);
        let account = self.account();
        let count = self.rng.random_range(1..=if gangs { 3 } else { 30 });
        let mut burst = Vec::new();
        for _ in 0..count {
            let at = (start + self.rng.random_range(0..5_000)).min(horizon_ms);
            let shape = if gangs {
                self.gang_shape()
            } else {
                self.small_shape()
            };
            let run = if gangs { GANG_RUN_MS } else { SMALL_RUN_MS };
            burst.push(self.arrival(at, account, shape, run));
        }
        burst
    }

    fn account(&mut self) -> usize {
        let accounts: Vec<usize> = (0..self.plan.accounts.len()).collect();
        let weight = |account: &usize| self.plan.accounts[*account].weight;
        *accounts
            .choose_weighted(&mut self.rng, weight)
            .expect("a deployment has accounts with a weight")
    }

    fn arrival(&mut self, at: u64, account: usize, shape: GangShape, run: (u64, u64)) -> JobArrival {
        let run_ms = self.log_uniform(run.0 as f64, run.1 as f64);
        let error = self.log_uniform(0.1, 10.0);
        let class = match self.rng.random_range(0..10) {
            0 => JobClass::Urgent,
            1..=6 => JobClass::Standard,
            _ => JobClass::Batch,
        };
        let mut spec = JobSpec::new(self.plan.accounts[account].name.clone())
            .with_shape(shape)
            .with_class(class)
            .with_declared_run_ms((run_ms * error) as u64);
        spec.idempotent = self.rng.random_bool(0.9);
        spec.checkpointable = self.rng.random_bool(0.2);
        JobArrival {
            at: ClockTime(at),
            job: JobId(Uuid::from_u128(self.rng.random())),
            account,
            spec: Arc::new(spec),
            run_ms: run_ms as u64,
            cancel_at: None,
            can_run: true,
        }
    }

    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        low * (high / low).powf(self.rng.random::<f64>())
    }

    fn small_shape(&mut self) -> GangShape {
        let total = *SMALL_SIZES.choose(&mut self.rng).unwrap_or(&1);
        // A fifth of the even ones are gangs of two tasks on one worker or on any two.
        let split = total.is_multiple_of(2) && self.rng.random_bool(0.2);
        let tasks = if split { 2 } else { 1 };
        let adjacency = *[GangAdjacency::Task, GangAdjacency::Worker]
            .choose(&mut self.rng)
            .unwrap_or(&GangAdjacency::Task);
        // A tenth of the jobs need more than their part of the worker's cores.
        let heavy = self.rng.random_bool(0.1);
        self.shape(tasks, total / tasks, adjacency, if heavy { 12 } else { 8 })
    }

    fn gang_shape(&mut self) -> GangShape {
        let total = *GANG_SIZES.choose(&mut self.rng).unwrap_or(&16);
        let accelerators = *[4, 8, 8].choose(&mut self.rng).unwrap_or(&8);
        self.shape(total / accelerators, accelerators, GangAdjacency::Rack, 8)
    }

    /// Returns a shape whose cores and memory are up to `eighths` of an accelerator's part.
    fn shape(&mut self, tasks: u32, accelerators: u32, adjacency: GangAdjacency, eighths: u32) -> GangShape {
        let capacity = self.plan.capacity;
        let part = self.rng.random_range(eighths / 2..=eighths);
        let most = match adjacency {
            GangAdjacency::Worker => capacity.cores / tasks,
            GangAdjacency::Task | GangAdjacency::Rack => capacity.cores,
        };
        let cores = (capacity.cores * accelerators * part / 64).clamp(1, most);
        let memory_mib = capacity.memory_mib * u64::from(accelerators) * u64::from(part.min(8)) / 64;
        GangShape {
            tasks,
            accelerators,
            cores,
            memory_mib,
            adjacency,
        }
    }

    /// Adds jobs that no data centre can hold.
    fn add_impossible(&mut self, arrivals: &mut Vec<JobArrival>, horizon_ms: u64) {
        for _ in 0..5 {
            let at = self.rng.random_range(0..horizon_ms);
            let account = self.account();
            let shape = self.shape(40, 8, GangAdjacency::Rack, 8);
            let mut arrival = self.arrival(at, account, shape, GANG_RUN_MS);
            arrival.can_run = false;
            arrivals.push(arrival);
        }
    }

    /// Cancels a third of the recent jobs of one account at several times.
    fn add_waves(&mut self, arrivals: &mut [JobArrival], horizon_ms: u64) {
        for _ in 0..4 {
            let at = ClockTime(self.rng.random_range(0..horizon_ms));
            let account = self.account();
            for arrival in arrivals.iter_mut() {
                let recent = arrival.at < at && at.millis_since(arrival.at) < WAVE_REACH_MS;
                if arrival.account == account && recent && self.rng.random_bool(1.0 / 3.0) {
                    arrival.cancel_at = arrival.cancel_at.or(Some(at));
                }
            }
        }
    }
}
