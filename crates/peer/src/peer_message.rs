use prost::{Enumeration, Message, Oneof};

/// First message of a connection, and the heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Name of the entry VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// Hint: the sender knows this configuration revision.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigHead {
    /// Revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// Request for the configuration that the receiver has in force.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPull {
    /// Only when the receiver's revision is higher than this one.
    #[prost(uint64, tag = "1")]
    pub above: u64,
}

/// Answer to [`ConfigPull`].
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPage {
    /// Revision that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whole configuration as JSON; empty when the revision is not above the one asked for.
    #[prost(string, tag = "2")]
    pub config_json: String,
    /// Whether the sender has a configuration that it read from the platform or a peer.
    #[prost(bool, tag = "3")]
    pub ready: bool,
}

/// State of a data centre in a summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum SummaryState {
    /// Takes work.
    In = 0,
    /// Starts nothing; running work is moved.
    Leaving = 1,
    /// Starts nothing and runs nothing.
    Out = 2,
    /// Takes work on a growing part of its workers.
    Returning = 3,
}

/// Guaranteed cells of an account that no job uses.
#[derive(Clone, PartialEq, Message)]
pub struct UnusedCells {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Cells by level, smallest first.
    #[prost(uint32, repeated, tag = "2")]
    pub cells: Vec<u32>,
}

/// Hint: free cells and queue of a data centre, sent by the VM of its placement holder.
#[derive(Clone, PartialEq, Message)]
pub struct PoolSummary {
    /// Data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Epoch of the placement lease; a summary of a lower epoch is ignored.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// State of the data centre.
    #[prost(enumeration = "SummaryState", tag = "3")]
    pub state: i32,
    /// Free cells by level, smallest first.
    #[prost(uint32, repeated, tag = "4")]
    pub free_cells: Vec<u32>,
    /// Cells of the workers that may take work by level, free or not.
    #[prost(uint32, repeated, tag = "5")]
    pub usable_cells: Vec<u32>,
    /// Jobs in the queue.
    #[prost(uint32, tag = "6")]
    pub queued_jobs: u32,
    /// Free accelerators.
    #[prost(uint32, tag = "7")]
    pub free_accelerators: u32,
    /// Accelerators that borrowed work holds.
    #[prost(uint32, tag = "8")]
    pub borrowed_accelerators: u32,
    /// Accelerators that guaranteed work holds.
    #[prost(uint32, tag = "9")]
    pub guaranteed_accelerators: u32,
    /// Free accelerators in cells smaller than every shape that is needed.
    #[prost(uint32, tag = "10")]
    pub unusable_accelerators: u32,
    /// Accounts that have unused guaranteed cells.
    #[prost(message, repeated, tag = "11")]
    pub unused_cells: Vec<UnusedCells>,
}

/// Hint: a job was assigned to or cancelled in a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct InboxNotice {
    /// Data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Job.
    #[prost(string, tag = "2")]
    pub job: String,
}

/// Request for the state of a claim that the receiver made.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimQuery {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
}

/// State of a claim at its claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// The claimant does not know the claim, for example because it was restarted.
    Forgotten = 0,
    /// The request is in flight.
    InFlight = 1,
    /// The outcome is known.
    Ended = 2,
}

/// Answer to [`ClaimQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct ClaimAnswer {
    /// State.
    #[prost(enumeration = "ClaimState", tag = "1")]
    pub state: i32,
    /// Recorded outcome as JSON, when the claim has ended.
    #[prost(string, tag = "2")]
    pub outcome_json: String,
}

/// Hint: a job has reached a final state.
#[derive(Clone, PartialEq, Message)]
pub struct JobEnded {
    /// Job.
    #[prost(string, tag = "1")]
    pub job: String,
}

/// Content of a [`PeerEnvelope`](crate::PeerEnvelope).
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerMessage {
    /// First message and heartbeat.
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
    /// Free cells and queue.
    #[prost(message, tag = "6")]
    PoolSummary(PoolSummary),
    /// New or cancelled job.
    #[prost(message, tag = "7")]
    InboxNotice(InboxNotice),
    /// Request for a claim's state.
    #[prost(message, tag = "8")]
    ClaimQuery(ClaimQuery),
    /// A claim's state.
    #[prost(message, tag = "9")]
    ClaimAnswer(ClaimAnswer),
    /// Final state of a job.
    #[prost(message, tag = "10")]
    JobEnded(JobEnded),
}
