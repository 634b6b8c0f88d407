use std::sync::Arc;

use arbutuspick_model::{ClockTime, JobId, JobSpec};

/// A job of a generated workload, with properties that the scheduler does not know.
///
/// ```
/// use arbutuspick_bench::{ArrivalGenerator, DeploymentPlan};
/// let arrivals = ArrivalGenerator::new(&DeploymentPlan::midlands(), 1).generate(0.1, 60_000);
/// assert!(arrivals.iter().all(|arrival| arrival.at.0 <= 60_000));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobArrival {
    /// When the job is submitted.
    pub at: ClockTime,
    /// Identifier of the job.
    pub job: JobId,
    /// Index of the account in the deployment.
    pub account: usize,
    /// Specification of the job.
    pub spec: Arc<JobSpec>,
    /// Actual run time; the declared run time is wrong by a factor of up to 10 in either direction.
    pub run_ms: u64,
    /// When the client cancels the job, unless it has ended.
    pub cancel_at: Option<ClockTime>,
    /// Whether the shape fits in any data centre.
    pub placeable: bool,
}

impl JobArrival {
    /// Returns the work of the job in accelerator-milliseconds.
    pub fn work(&self) -> u64 {
        u64::from(self.spec.shape.total_accelerators()) * self.run_ms
    }
}
