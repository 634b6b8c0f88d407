use std::collections::HashMap;
use std::sync::Arc;

use crate::{JobBody, ResourceAmount};

/// How the jobs of one queue are scheduled.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRule {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority of the jobs; 0 is the highest. Jobs may preempt jobs of lower priorities; jobs of priority 0
    /// within a guarantee come first and may preempt all jobs outside a guarantee.
    pub priority: u32,
    /// Number of failed runs of one task or gang that fails the job.
    pub max_attempts: u32,
    /// Factor from the critical path of a job to its objective, the time in which it should be done.
    pub stretch: f64,
    /// Time that the objective adds to the stretched critical path, in milliseconds.
    pub allowance_ms: u64,
}

/// Guarantee, limit and share of one client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountRule {
    /// Name of the account.
    pub name: Arc<str>,
    /// Accelerators guaranteed to the account's jobs of priority 0.
    pub guaranteed_accelerators: u64,
    /// Share of the account when all workers are in use, relative to other accounts, and the number of jobs a second
    /// that it may expect to be served; 0 for no share.
    pub weight: f64,
    /// Most that the account may run on all workers together; 0 for no limit of that resource.
    pub cap: ResourceAmount,
}

/// The part of the configuration that the scheduler uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPolicy {
    /// Version of the configuration.
    pub version: u64,
    /// Rules by queue.
    pub queues: HashMap<Arc<str>, Arc<QueueRule>>,
    /// Rules by account.
    pub accounts: HashMap<Arc<str>, AccountRule>,
}

impl PoolPolicy {
    /// Returns whether the cap of its account keeps a job from running, whatever else runs.
    pub fn excludes(&self, body: &JobBody) -> bool {
        let rule = self.accounts.get(body.account.as_str());
        rule.is_some_and(|rule| rule.excludes(body))
    }
}
