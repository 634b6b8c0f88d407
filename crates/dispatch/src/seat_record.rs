use prost::Message;

/// The row that says which process places work. Every commit of the holder rewrites it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SeatRecord {
    /// Name of the VM whose process holds the seat.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Random number of that process's life.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Grows with every change of the holder; workers refuse orders of lower epochs.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Grows with every commit of an epoch.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// The holder has given the seat up.
    #[prost(bool, tag = "5")]
    pub released: bool,
}

/// Jobs without a started task, by queue.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct PendingRecord {
    #[prost(map = "string, uint64", tag = "1")]
    pub(crate) queues: std::collections::HashMap<String, u64>,
}

/// Table of the seat and of the counts of waiting jobs.
pub(crate) const SEAT_TABLE: &str = "seat";
/// Key of the [`SeatRecord`].
pub(crate) const HOLDER_KEY: &str = "holder";
/// Key of the [`PendingRecord`].
pub(crate) const PENDING_KEY: &str = "pending";
/// Table of job bodies and cancel requests.
pub(crate) const INTAKE_TABLE: &str = "intake";
/// Table of job records.
pub(crate) const PROGRESS_TABLE: &str = "progress";
/// What the key of a cancel request has after the id of its job.
pub(crate) const CANCEL_SUFFIX: &str = "/cancel";
