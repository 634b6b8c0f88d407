use arbutuspick_model::{AccountName, FieldError, GangShape, JobClass, ServiceName};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::workload::{AccountLoad, JobStream, RequestStream, Workload};

/// Most jobs and requests of a run.
const MAX_CALLS: usize = 20_000;

/// One job of the load.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// Account.
    pub account: AccountName,
    /// Bearer token.
    pub token: String,
    /// Unique label: the output of its tasks and its key.
    pub label: String,
    /// Shape.
    pub shape: GangShape,
    /// Class.
    pub class: JobClass,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// Whether its tasks can write checkpoints.
    pub checkpointable: bool,
    /// True run time in milliseconds.
    pub run_ms: u64,
    /// Declared run time in milliseconds.
    pub declared_run_ms: u64,
    /// Milliseconds from its submission to its cancellation, if it is cancelled.
    pub cancel_after_ms: Option<u64>,
}

/// One request of the load.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// Account.
    pub account: AccountName,
    /// Bearer token.
    pub token: String,
    /// Unique label: the id in its body and its key.
    pub label: String,
    /// Service.
    pub service: ServiceName,
    /// Service time in milliseconds.
    pub work_ms: u64,
    /// Milliseconds until the caller gives up.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it is sent with a key.
    pub keyed: bool,
    /// Whether it is sent to two entry VMs.
    pub duplicate: bool,
}

/// Every job and request of a run; the same workload gives the same plan.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    /// Jobs.
    pub jobs: Vec<PlannedJob>,
    /// Requests.
    pub requests: Vec<PlannedRequest>,
}

impl LoadPlan {
    /// Plans a workload; `run` is part of every label, so that keys of an earlier run are not met again.
    pub fn new(workload: &Workload, run: &str) -> Result<Self, FieldError> {
        let mut random = ChaCha8Rng::seed_from_u64(workload.seed);
        let mut plan = Self::default();
        for account in &workload.accounts {
            for stream in &account.jobs {
                plan.add_jobs(account, stream, run, &mut random);
            }
            for (index, stream) in account.requests.iter().enumerate() {
                let prefix = format!("{run}.{}.r{index}", account.name);
                plan.add_requests(account, stream, &prefix, workload.load_s, &mut random);
            }
        }
        plan.jobs.retain(|job| job.at_ms < workload.load_s * 1000);
        let calls = plan.jobs.len() + plan.requests.len();
        if calls > MAX_CALLS {
            return Err(FieldError::new(
                "accounts",
                calls,
                "must not plan more than 20000 calls",
            ));
        }
        Ok(plan)
    }

    fn add_jobs(&mut self, account: &AccountLoad, stream: &JobStream, run: &str, random: &mut ChaCha8Rng) {
        for burst in 0..stream.bursts {
            for index in 0..stream.jobs {
                let run_ms = random.random_range(stream.run_ms.0..=stream.run_ms.1);
                let cancelled = percent(random, stream.cancel_percent);
                let cancel_after_ms = random.random_range(0..=run_ms);
                self.jobs.push(PlannedJob {
                    at_ms: (stream.from_s + burst * stream.every_s) * 1000,
                    account: account.name.clone(),
                    token: account.token.clone(),
                    label: format!("{run}.{}.{}.{burst}.{index}", account.name, stream.name),
                    shape: stream.shape,
                    class: stream.class,
                    idempotent: stream.idempotent,
                    checkpointable: stream.checkpointable,
                    run_ms,
                    declared_run_ms: run_ms * stream.declared_percent / 100,
                    cancel_after_ms: cancelled.then_some(cancel_after_ms),
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
        random: &mut ChaCha8Rng,
    ) {
        for index in 0..stream.per_s * load_s {
            let keyed = percent(random, stream.keyed_percent);
            self.requests.push(PlannedRequest {
                at_ms: index * 1000 / stream.per_s,
                account: account.name.clone(),
                token: account.token.clone(),
                label: format!("{prefix}.{index}"),
                service: stream.service.clone(),
                work_ms: random.random_range(stream.work_ms.0..=stream.work_ms.1),
                deadline_ms: stream.deadline_ms,
                idempotent: percent(random, stream.idempotent_percent),
                keyed,
                duplicate: percent(random, stream.duplicate_percent) && keyed,
            });
        }
    }
}

fn percent(random: &mut ChaCha8Rng, share: u64) -> bool {
    random.random_range(0..100) < share
}
