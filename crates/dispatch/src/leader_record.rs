use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use prost::Message;

/// The row that names the leader. Every commit of the leader rewrites it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaderRecord {
    /// Name of the VM whose process is the leader.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Random id of that process, new at every start.
    #[prost(fixed64, tag = "2")]
    pub instance_id: u64,
    /// Incremented when the leader changes; workers reject orders of lower epochs.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Incremented by every commit of an epoch.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Whether the leader has resigned.
    #[prost(bool, tag = "5")]
    pub resigned: bool,
    /// Number of workers in the registry; 0 until the leader has read it.
    #[prost(uint64, tag = "6")]
    pub workers: u64,
    /// VM in whose favour the leader has resigned; empty for none.
    #[prost(string, tag = "7")]
    pub successor: String,
}

/// Number of jobs without a started task, by queue.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct PendingRecord {
    #[prost(map = "string, uint64", tag = "1")]
    pub(crate) queues: HashMap<String, u64>,
}

impl PendingRecord {
    /// Returns the counts of as many queues as fit a row, the largest counts first.
    pub(crate) fn new(pending: &HashMap<Arc<str>, u64>, max_row_bytes: usize) -> Self {
        let mut counts: Vec<(&Arc<str>, u64)> =
            pending.iter().map(|(queue, count)| (queue, *count)).collect();
        counts.sort_by_key(|(queue, count)| (Reverse(*count), (*queue).clone()));
        let mut bytes = 0;
        let stored = counts.iter().take_while(|(queue, _)| {
            bytes += queue.len() + MAX_COUNT_BYTES;
            bytes <= max_row_bytes
        });
        let queues: HashMap<String, u64> = stored.map(|(queue, count)| (queue.to_string(), *count)).collect();
        if queues.len() < counts.len() {
            log::warn!(
                "[store] counts of pending jobs left out queues={} stored={}",
                counts.len() - queues.len(),
                queues.len()
            );
        }
        Self { queues }
    }
}

/// Maximum encoded size of a count with its field headers, in bytes.
const MAX_COUNT_BYTES: usize = 24;

/// Table of the [`LeaderRecord`] and the [`PendingRecord`]. Stored names and logs call leadership a seat.
pub(crate) const LEADER_TABLE: &str = "seat";
/// Key of the [`LeaderRecord`].
pub(crate) const LEADER_KEY: &str = "holder";
/// Key of the [`PendingRecord`].
pub(crate) const PENDING_KEY: &str = "pending";
/// Table of submitted job bodies, cancel requests and withdrawals; see [`IntakeKey`](crate::intake_key::IntakeKey).
pub(crate) const INTAKE_TABLE: &str = "intake";
/// Table of job records.
pub(crate) const PROGRESS_TABLE: &str = "progress";
