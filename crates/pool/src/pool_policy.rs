use std::collections::HashMap;
use std::sync::Arc;

/// How the jobs of one queue are scheduled.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRule {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// 0 comes first and may preempt others.
    pub priority: u32,
    /// Failed runs after which a task or gang fails its job.
    pub max_attempts: u32,
    /// The objective is this many times the job's longest chain of work.
    pub stretch: f64,
    /// Milliseconds that the objective allows beside the stretched work.
    pub allowance_ms: u64,
}

/// What a client account is guaranteed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountRule {
    /// Name of the account.
    pub name: Arc<str>,
    /// Accelerators of the pool for the account's jobs of priority 0.
    pub guaranteed_accelerators: u64,
}

/// The part of the configuration that scheduling depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPolicy {
    /// Version of the configuration.
    pub version: u64,
    /// Rules by queue.
    pub queues: HashMap<Arc<str>, Arc<QueueRule>>,
    /// Rules by account.
    pub accounts: HashMap<Arc<str>, AccountRule>,
}
