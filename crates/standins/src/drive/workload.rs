use arbutuspick_model::{AccountName, CentreName, FieldError, GangShape, JobClass, ServiceName};
use serde::Deserialize;

/// Maximum duration of a run in seconds.
const MAX_RUN_S: u64 = 90;

/// Load of one deployment, read from YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Seconds from the start during which load is sent.
    pub load_s: u64,
    /// Seconds after which the driver stops waiting.
    pub limit_s: u64,
    /// Bearer token of the operator.
    pub operator_token: String,
    /// Planned outage of a data centre, if any.
    pub outage: Option<OutagePlan>,
    /// Load by client account.
    pub accounts: Vec<AccountLoad>,
}

/// Planned outage: when a data centre is taken out of service and back in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutagePlan {
    /// Data centre.
    pub data_centre: CentreName,
    /// Second at which it is taken out of service.
    pub out_at_s: u64,
    /// Second at which it is taken back into service.
    pub in_at_s: u64,
    /// Milliseconds that running work gets to end.
    pub drain_ms: u64,
}

/// Load of one client account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Client account.
    pub name: AccountName,
    /// Bearer token.
    pub token: String,
    /// Streams of jobs.
    #[serde(default)]
    pub jobs: Vec<JobStream>,
    /// Streams of requests.
    #[serde(default)]
    pub requests: Vec<RequestStream>,
}

/// Bursts of similar jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobStream {
    /// Name, which is part of the jobs' labels.
    pub name: String,
    /// Second of the first burst.
    #[serde(default)]
    pub from_s: u64,
    /// Number of bursts.
    pub bursts: u64,
    /// Seconds between bursts.
    #[serde(default)]
    pub every_s: u64,
    /// Number of jobs in a burst.
    pub jobs: u64,
    /// Shape of each gang.
    #[serde(default)]
    pub shape: GangShape,
    /// Class of the jobs.
    #[serde(default)]
    pub class: JobClass,
    /// Whether the tasks may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the tasks can write checkpoints.
    #[serde(default)]
    pub checkpointable: bool,
    /// Minimum and maximum run time in milliseconds.
    pub run_ms: (u64, u64),
    /// Declared run time in percent of the actual one.
    #[serde(default = "default_percent")]
    pub declared_percent: u64,
    /// Percentage of jobs that are cancelled at a random time within their run time after submission.
    #[serde(default)]
    pub cancel_percent: u64,
}

/// Requests to a service at a constant rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestStream {
    /// Service.
    pub service: ServiceName,
    /// Requests per second.
    pub per_s: u64,
    /// Minimum and maximum service time in milliseconds.
    pub work_ms: (u64, u64),
    /// Milliseconds until the caller gives up.
    pub deadline_ms: u64,
    /// Percentage of idempotent requests.
    pub idempotent_percent: u64,
    /// Percentage of requests with an idempotency key.
    pub keyed_percent: u64,
    /// Percentage of requests with an idempotency key that are sent to two entry VMs.
    #[serde(default)]
    pub duplicate_percent: u64,
}

fn default_percent() -> u64 {
    100
}

impl Workload {
    /// Parses and checks a workload.
    pub fn parse(yaml: &str) -> Result<Self, FieldError> {
        let workload: Self = serde_yaml_ng::from_str(yaml)
            .map_err(|e| FieldError::new("workload", "", format!("must be a workload: {e}")))?;
        workload.check()
    }

    fn check(self) -> Result<Self, FieldError> {
        if self.limit_s > MAX_RUN_S {
            return Err(FieldError::new("limit_s", self.limit_s, "must be at most 90"));
        }
        if self.load_s >= self.limit_s {
            return Err(FieldError::new(
                "load_s",
                self.load_s,
                "must be less than limit_s",
            ));
        }
        if let Some(outage) = &self.outage
            && (outage.out_at_s >= outage.in_at_s || outage.in_at_s >= self.limit_s)
        {
            let rule = "must be after out_at_s and before limit_s";
            return Err(FieldError::new("outage.in_at_s", outage.in_at_s, rule));
        }
        for (i, account) in self.accounts.iter().enumerate() {
            account.check().map_err(|e| e.within(format!("accounts[{i}]")))?;
        }
        Ok(self)
    }
}

impl AccountLoad {
    fn check(&self) -> Result<(), FieldError> {
        for (i, stream) in self.jobs.iter().enumerate() {
            let within = |e: FieldError| e.within(format!("jobs[{i}]"));
            stream.shape.check().map_err(within)?;
            check_range("run_ms", stream.run_ms).map_err(within)?;
        }
        for (i, stream) in self.requests.iter().enumerate() {
            check_range("work_ms", stream.work_ms).map_err(|e| e.within(format!("requests[{i}]")))?;
        }
        Ok(())
    }
}

fn check_range(field: &str, (least, longest): (u64, u64)) -> Result<(), FieldError> {
    if least <= longest {
        return Ok(());
    }
    Err(FieldError::new(
        field,
        format!("{least}, {longest}"),
        "must have the lower bound first",
    ))
}
