use arbutuspick_model::{AccountName, CentreName, FieldError, GangShape, JobClass, ServiceName};
use serde::Deserialize;

/// Longest whole run in seconds.
const MAX_RUN_S: u64 = 90;

/// Load of one deployment, read from YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of every random choice.
    pub seed: u64,
    /// Seconds in which load is sent.
    pub load_s: u64,
    /// Seconds after which the driver stops waiting.
    pub limit_s: u64,
    /// Bearer token of the operator.
    pub operator_token: String,
    /// Data centre to take out and bring back.
    pub outage: Option<OutagePlan>,
    /// Client accounts.
    pub accounts: Vec<AccountLoad>,
}

/// When a data centre is taken out and brought back.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutagePlan {
    /// Data centre.
    pub data_centre: CentreName,
    /// Second at which it is taken out.
    pub out_at_s: u64,
    /// Second at which it is brought back.
    pub in_at_s: u64,
    /// Milliseconds for running work to end.
    pub drain_ms: u64,
}

/// Load of one client account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Account.
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

/// Bursts of alike jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobStream {
    /// Name, part of the labels.
    pub name: String,
    /// Second of the first burst.
    #[serde(default)]
    pub from_s: u64,
    /// Number of bursts.
    pub bursts: u64,
    /// Seconds between bursts.
    #[serde(default)]
    pub every_s: u64,
    /// Jobs of a burst.
    pub jobs: u64,
    /// Shape.
    #[serde(default)]
    pub shape: GangShape,
    /// Class.
    #[serde(default)]
    pub class: JobClass,
    /// Whether the jobs may be run again.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the tasks can write checkpoints.
    #[serde(default)]
    pub checkpointable: bool,
    /// Least and longest run time in milliseconds.
    pub run_ms: (u64, u64),
    /// Declared run time in percent of the true one.
    #[serde(default = "hundred")]
    pub declared_percent: u64,
    /// Share of jobs that are cancelled a little later.
    #[serde(default)]
    pub cancel_percent: u64,
}

/// Requests to a service at a steady rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestStream {
    /// Service.
    pub service: ServiceName,
    /// Requests a second.
    pub per_s: u64,
    /// Least and longest service time in milliseconds.
    pub work_ms: (u64, u64),
    /// Milliseconds until the caller gives up.
    pub deadline_ms: u64,
    /// Share of idempotent requests.
    pub idempotent_percent: u64,
    /// Share of requests with a key.
    pub keyed_percent: u64,
    /// Share of keyed requests that are sent to two entry VMs.
    #[serde(default)]
    pub duplicate_percent: u64,
}

fn hundred() -> u64 {
    100
}

impl Workload {
    /// Reads and checks a workload.
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
