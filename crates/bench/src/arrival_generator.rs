use std::sync::Arc;

use arbutuspick_model::{ClockTime, GangAdjacency, GangShape, JobClass, JobId, JobSpec};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::{DeploymentPlan, JobArrival};

/// Accelerators of small jobs, chosen uniformly; powers of two occur most often.
const SMALL_JOB_ACCELERATORS: [u32; 20] = [1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 3, 4, 4, 4, 5, 6, 7, 8, 8, 8];
/// Accelerators of gangs, chosen uniformly.
const GANG_ACCELERATORS: [u32; 8] = [16, 16, 24, 32, 32, 48, 64, 64];
/// Range of the log-uniform run times of small jobs.
const SMALL_RUN_MS: (u64, u64) = (20_000, 600_000);
/// Range of the log-uniform run times of gangs.
const GANG_RUN_MS: (u64, u64) = (120_000, 1_200_000);
/// Fraction of the offered accelerator time that is requested by gangs.
const GANG_WORK_FRACTION: f64 = 0.5;
/// A bulk cancellation only affects jobs of the account that arrived within this time before it.
const CANCEL_WINDOW_MS: u64 = 900_000;

/// Seeded generator of a workload of small jobs and gangs that arrive in bursts.
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
    /// Creates a generator for a deployment with a seed.
    pub fn new(plan: &'plan DeploymentPlan, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { plan, rng }
    }

    /// Returns jobs in order of arrival whose work is the fraction `load` of the accelerator time until the
    /// horizon; the last bursts may exceed it.
    pub fn generate(mut self, load: f64, horizon_ms: u64) -> Vec<JobArrival> {
        let offered = load * f64::from(self.plan.accelerators()) * horizon_ms as f64;
        let mut arrivals = Vec::new();
        for (is_gang, fraction) in [(true, GANG_WORK_FRACTION), (false, 1.0 - GANG_WORK_FRACTION)] {
            let mut remaining = offered * fraction;
            while remaining > 0.0 {
                let burst = self.burst(is_gang, horizon_ms);
                remaining -= burst.iter().map(JobArrival::work).sum::<u64>() as f64;
                arrivals.extend(burst);
            }
        }
        self.add_unplaceable_jobs(&mut arrivals, horizon_ms);
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.job));
        self.add_cancellations(&mut arrivals, horizon_ms);
        arrivals
    }

    /// Returns jobs of one account that arrive within 5 s.
    fn burst(&mut self, is_gang: bool, horizon_ms: u64) -> Vec<JobArrival> {
        let start = self.rng.random_range(0..horizon_ms);
        let account = self.choose_account();
        let count = self.rng.random_range(1..=if is_gang { 3 } else { 30 });
        let mut burst = Vec::new();
        for _ in 0..count {
            let at = (start + self.rng.random_range(0..5_000)).min(horizon_ms);
            let shape = if is_gang {
                self.gang_shape()
            } else {
                self.small_shape()
            };
            let run_range_ms = if is_gang { GANG_RUN_MS } else { SMALL_RUN_MS };
            burst.push(self.arrival(at, account, shape, run_range_ms));
        }
        burst
    }

    fn choose_account(&mut self) -> usize {
        let accounts: Vec<usize> = (0..self.plan.accounts.len()).collect();
        let weight = |account: &usize| self.plan.accounts[*account].weight;
        *accounts
            .choose_weighted(&mut self.rng, weight)
            .expect("a deployment has at least one account with a positive weight")
    }

    fn arrival(&mut self, at: u64, account: usize, shape: GangShape, run_range_ms: (u64, u64)) -> JobArrival {
        let run_ms = self.log_uniform(run_range_ms.0 as f64, run_range_ms.1 as f64);
        let estimate_error = self.log_uniform(0.1, 10.0);
        let class = match self.rng.random_range(0..10) {
            0 => JobClass::Urgent,
            1..=6 => JobClass::Standard,
            _ => JobClass::Batch,
        };
        let mut spec = JobSpec::new(self.plan.accounts[account].name.clone())
            .with_shape(shape)
            .with_class(class)
            .with_declared_run_ms((run_ms * estimate_error) as u64);
        spec.idempotent = self.rng.random_bool(0.9);
        spec.checkpointable = self.rng.random_bool(0.2);
        JobArrival {
            at: ClockTime(at),
            job: JobId(Uuid::from_u128(self.rng.random())),
            account,
            spec: Arc::new(spec),
            run_ms: run_ms as u64,
            cancel_at: None,
            placeable: true,
        }
    }

    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        low * (high / low).powf(self.rng.random::<f64>())
    }

    fn small_shape(&mut self) -> GangShape {
        let total = *SMALL_JOB_ACCELERATORS.choose(&mut self.rng).unwrap_or(&1);
        // A fifth of the jobs with an even size have two tasks, on one worker or on any workers.
        let two_tasks = total.is_multiple_of(2) && self.rng.random_bool(0.2);
        let tasks = if two_tasks { 2 } else { 1 };
        let adjacency = *[GangAdjacency::Task, GangAdjacency::Worker]
            .choose(&mut self.rng)
            .unwrap_or(&GangAdjacency::Task);
        // A tenth of the jobs may need more cores per accelerator than a worker provides.
        let core_heavy = self.rng.random_bool(0.1);
        self.random_shape(tasks, total / tasks, adjacency, if core_heavy { 12 } else { 8 })
    }

    fn gang_shape(&mut self) -> GangShape {
        let total = *GANG_ACCELERATORS.choose(&mut self.rng).unwrap_or(&16);
        let accelerators = *[4, 8, 8].choose(&mut self.rng).unwrap_or(&8);
        self.random_shape(total / accelerators, accelerators, GangAdjacency::Rack, 8)
    }

    /// Returns a shape whose cores are at most `max_eighths` eighths of the worker's cores per accelerator, and
    /// whose memory is at most the worker's memory per accelerator.
    fn random_shape(
        &mut self,
        tasks: u32,
        accelerators: u32,
        adjacency: GangAdjacency,
        max_eighths: u32,
    ) -> GangShape {
        let capacity = self.plan.capacity;
        let eighths = self.rng.random_range(max_eighths / 2..=max_eighths);
        let max_cores = match adjacency {
            GangAdjacency::Worker => capacity.cores / tasks,
            GangAdjacency::Task | GangAdjacency::Rack => capacity.cores,
        };
        let cores = (capacity.cores * accelerators * eighths / 64).clamp(1, max_cores);
        let memory_mib = capacity.memory_mib * u64::from(accelerators) * u64::from(eighths.min(8)) / 64;
        GangShape {
            tasks,
            accelerators,
            cores,
            memory_mib,
            adjacency,
        }
    }

    /// Adds jobs that are too large for any data centre.
    fn add_unplaceable_jobs(&mut self, arrivals: &mut Vec<JobArrival>, horizon_ms: u64) {
        for _ in 0..5 {
            let at = self.rng.random_range(0..horizon_ms);
            let account = self.choose_account();
            let shape = self.random_shape(40, 8, GangAdjacency::Rack, 8);
            let mut arrival = self.arrival(at, account, shape, GANG_RUN_MS);
            arrival.placeable = false;
            arrivals.push(arrival);
        }
    }

    /// Adds bulk cancellations: each cancels about a third of the recent jobs of one account.
    fn add_cancellations(&mut self, arrivals: &mut [JobArrival], horizon_ms: u64) {
        for _ in 0..4 {
            let at = ClockTime(self.rng.random_range(0..horizon_ms));
            let account = self.choose_account();
            for arrival in arrivals.iter_mut() {
                let recent = arrival.at < at && at.millis_since(arrival.at) < CANCEL_WINDOW_MS;
                if arrival.account == account && recent && self.rng.random_bool(1.0 / 3.0) {
                    arrival.cancel_at = arrival.cancel_at.or(Some(at));
                }
            }
        }
    }
}
