use std::sync::Arc;

use arbutuspick_model::{ClockTime, JobId, JobSpec};

/// A job of a generated workload, with what the scheduler is not told.
///
/// ```
/// use arbutuspick_bench::{ArrivalGenerator, DeploymentPlan};
/// let arrivals = ArrivalGenerator::new(&DeploymentPlan::midlands(), 1).generate(0.1, 60_000);
/// assert!(arrivals.iter().all(|arrival| arrival.at.0 <= 60_000));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobArrival {
    /// When it is submitted.
    pub at: ClockTime,
    /// Job.
    pub job: JobId,
    /// Index of the account in the deployment.
    pub account: usize,
    /// What is submitted.
    pub spec: Arc<JobSpec>,
    /// Real run time; the declared one is up to ten times too short or too long.
    pub run_ms: u64,
    /// When the caller cancels it, if it has not ended.
    pub cancel_at: Option<ClockTime>,
    /// Whether any data centre can hold its shape.
    pub can_run: bool,
}

impl JobArrival {
    /// Returns the accelerator-milliseconds of the whole job.
    pub fn work(&self) -> u64 {
        u64::from(self.spec.shape.total_accelerators()) * self.run_ms
    }
}
