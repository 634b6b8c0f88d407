use arbutuspick_model::{AccountName, FieldError, GangShape, JobClass, ServiceName};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::workload::{AccountLoad, JobStream, RequestStream, Workload};

/// Maximum number of jobs and requests of a run.
const MAX_CALLS: usize = 20_000;

/// One job of a load plan.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// Client account.
    pub account: AccountName,
    /// Bearer token.
    pub token: String,
    /// Unique label: the output of its tasks and its idempotency key.
    pub label: String,
    /// Shape of the gang.
    pub shape: GangShape,
    /// Class of the job.
    pub class: JobClass,
    /// Whether its tasks may run more than once.
    pub idempotent: bool,
    /// Whether its tasks can write checkpoints.
    pub checkpointable: bool,
    /// Actual run time in milliseconds.
    pub run_ms: u64,
    /// Declared run time in milliseconds.
    pub declared_run_ms: u64,
    /// Milliseconds from its submission to its cancellation, if it is cancelled.
    pub cancel_after_ms: Option<u64>,
}

/// One request of a load plan.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// Client account.
    pub account: AccountName,
    /// Bearer token.
    pub token: String,
    /// Unique label: the id in its body and its idempotency key.
    pub label: String,
    /// Service.
    pub service: ServiceName,
    /// Service time in milliseconds.
    pub work_ms: u64,
    /// Milliseconds until the caller gives up.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it is sent with an idempotency key.
    pub keyed: bool,
    /// Whether it is sent to two entry VMs.
    pub duplicate: bool,
}

/// Every job and request of a run; the seed of the workload makes the plan reproducible.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    /// Jobs.
    pub jobs: Vec<PlannedJob>,
    /// Requests.
    pub requests: Vec<PlannedRequest>,
}

impl LoadPlan {
    /// Plans a workload. `run_id` is part of every label, so that no idempotency key of an earlier run is
    /// reused.
    pub fn new(workload: &Workload, run_id: &str) -> Result<Self, FieldError> {
        let mut rng = ChaCha8Rng::seed_from_u64(workload.seed);
        let mut plan = Self::default();
        for account in &workload.accounts {
            for stream in &account.jobs {
                plan.add_jobs(account, stream, run_id, &mut rng);
            }
            for (index, stream) in account.requests.iter().enumerate() {
                let prefix = format!("{run_id}.{}.r{index}", account.name);
                plan.add_requests(account, stream, &prefix, workload.load_s, &mut rng);
            }
        }
        plan.jobs.retain(|job| job.at_ms < workload.load_s * 1000);
        let call_count = plan.jobs.len() + plan.requests.len();
        if call_count > MAX_CALLS {
            return Err(FieldError::new(
                "accounts",
                call_count,
                "must not plan more than 20000 calls",
            ));
        }
        Ok(plan)
    }

    fn add_jobs(&mut self, account: &AccountLoad, stream: &JobStream, run_id: &str, rng: &mut ChaCha8Rng) {
        for burst in 0..stream.bursts {
            for index in 0..stream.jobs {
                let run_ms = rng.random_range(stream.run_ms.0..=stream.run_ms.1);
                let is_cancelled = chance(rng, stream.cancel_percent);
                let cancel_after_ms = rng.random_range(0..=run_ms);
                self.jobs.push(PlannedJob {
                    at_ms: (stream.from_s + burst * stream.every_s) * 1000,
                    account: account.name.clone(),
                    token: account.token.clone(),
                    label: format!("{run_id}.{}.{}.{burst}.{index}", account.name, stream.name),
                    shape: stream.shape,
                    class: stream.class,
                    idempotent: stream.idempotent,
                    checkpointable: stream.checkpointable,
                    run_ms,
                    declared_run_ms: run_ms * stream.declared_percent / 100,
                    cancel_after_ms: is_cancelled.then_some(cancel_after_ms),
                });
            }
        }
    }

    fn add_requests(
        &mut self,
        account: &AccountLoad,
        stream: &RequestStream,
        prefix: &str,
        load_s: u64,
        rng: &mut ChaCha8Rng,
    ) {
        for index in 0..stream.per_s * load_s {
            let keyed = chance(rng, stream.keyed_percent);
            self.requests.push(PlannedRequest {
                at_ms: index * 1000 / stream.per_s,
                account: account.name.clone(),
                token: account.token.clone(),
                label: format!("{prefix}.{index}"),
                service: stream.service.clone(),
                work_ms: rng.random_range(stream.work_ms.0..=stream.work_ms.1),
                deadline_ms: stream.deadline_ms,
                idempotent: chance(rng, stream.idempotent_percent),
                keyed,
                duplicate: chance(rng, stream.duplicate_percent) && keyed,
            });
        }
    }
}

/// Returns `true` with a probability in percent.
fn chance(rng: &mut ChaCha8Rng, percent: u64) -> bool {
    rng.random_range(0..100) < percent
}
