use prost::{Enumeration, Message, Oneof};

/// Handshake, sent as the first message of a connection, and heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Name of the entry VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Data centre of the entry VM.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// Notification: the sender has this configuration revision.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigHead {
    /// Revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// Request for the active configuration of the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPull {
    /// The configuration is returned only if its revision is higher than this one.
    #[prost(uint64, tag = "1")]
    pub above: u64,
}

/// Response to [`ConfigPull`].
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPage {
    /// Active revision of the sender.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Complete configuration as JSON; empty if the revision is not higher than the requested one.
    #[prost(string, tag = "2")]
    pub config_json: String,
    /// Whether the sender has read a configuration from the platform or a peer.
    #[prost(bool, tag = "3")]
    pub ready: bool,
}

/// State of a data centre in a [`PoolSummary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum SummaryState {
    /// Accepts work.
    In = 0,
    /// Draining: starts no work, running work is moved away.
    Leaving = 1,
    /// Starts and runs no work.
    Out = 2,
    /// Accepts work on a gradually growing share of its workers.
    Returning = 3,
}

/// Guaranteed cells of an account that are not in use.
#[derive(Clone, PartialEq, Message)]
pub struct UnusedCells {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of cells by level, smallest level first.
    #[prost(uint32, repeated, tag = "2")]
    pub cells: Vec<u32>,
}

/// Notification: free cells and queue of a data centre, sent by the VM that holds its placement lease.
#[derive(Clone, PartialEq, Message)]
pub struct PoolSummary {
    /// Data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Epoch of the placement lease; summaries with a lower epoch are ignored.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// State of the data centre.
    #[prost(enumeration = "SummaryState", tag = "3")]
    pub state: i32,
    /// Number of free cells by level, smallest level first.
    #[prost(uint32, repeated, tag = "4")]
    pub free_cells: Vec<u32>,
    /// Number of cells, free or occupied, by level on the workers that accept work.
    #[prost(uint32, repeated, tag = "5")]
    pub usable_cells: Vec<u32>,
    /// Number of queued jobs.
    #[prost(uint32, tag = "6")]
    pub queued_jobs: u32,
    /// Number of free accelerators.
    #[prost(uint32, tag = "7")]
    pub free_accelerators: u32,
    /// Accelerators used by work on borrowed capacity.
    #[prost(uint32, tag = "8")]
    pub borrowed_accelerators: u32,
    /// Accelerators used by work on guaranteed capacity.
    #[prost(uint32, tag = "9")]
    pub guaranteed_accelerators: u32,
    /// Free accelerators in cells that are too small for any requested shape.
    #[prost(uint32, tag = "10")]
    pub unusable_accelerators: u32,
    /// Unused guaranteed cells by account.
    #[prost(message, repeated, tag = "11")]
    pub unused_cells: Vec<UnusedCells>,
}

/// Notification: a job was assigned to a data centre or cancelled there.
#[derive(Clone, PartialEq, Message)]
pub struct InboxNotice {
    /// Data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Job.
    #[prost(string, tag = "2")]
    pub job: String,
}

/// Request for the state of a claim made by the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimQuery {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
}

/// State of a claim on the entry VM that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// The claimant does not know the claim, for example after a restart.
    Forgotten = 0,
    /// The request is in flight.
    InFlight = 1,
    /// The outcome is known.
    Ended = 2,
}

/// Response to [`ClaimQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct ClaimAnswer {
    /// State of the claim.
    #[prost(enumeration = "ClaimState", tag = "1")]
    pub state: i32,
    /// Recorded outcome as JSON, if the claim has ended.
    #[prost(string, tag = "2")]
    pub outcome_json: String,
}

/// Notification: a job has reached a final state.
#[derive(Clone, PartialEq, Message)]
pub struct JobEnded {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
}

/// Content of a [`PeerEnvelope`](crate::PeerEnvelope).
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerMessage {
    /// Handshake and heartbeat.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Configuration revision.
    #[prost(message, tag = "3")]
    ConfigHead(ConfigHead),
    /// Request for the configuration.
    #[prost(message, tag = "4")]
    ConfigPull(ConfigPull),
    /// The configuration.
    #[prost(message, tag = "5")]
    ConfigPage(ConfigPage),
    /// Free cells and queue of a data centre.
    #[prost(message, tag = "6")]
    PoolSummary(PoolSummary),
    /// Job assigned or cancelled.
    #[prost(message, tag = "7")]
    InboxNotice(InboxNotice),
    /// Request for the state of a claim.
    #[prost(message, tag = "8")]
    ClaimQuery(ClaimQuery),
    /// State of a claim.
    #[prost(message, tag = "9")]
    ClaimAnswer(ClaimAnswer),
    /// Job reached a final state.
    #[prost(message, tag = "10")]
    JobEnded(JobEnded),
}
