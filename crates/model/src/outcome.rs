use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Why work did not run. Every reason is given only when nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The shape fits in no data centre.
    NeverFits,
    /// The caller cancelled it before it started.
    Cancelled,
    /// The account has as much queued as its quota allows.
    QuotaExceeded,
    /// The queue is full, or the account's share of it is.
    Overloaded,
    /// It could not start before its deadline.
    DeadlinePassed,
    /// No upstream that may take work is known.
    NoUpstream,
    /// Every upstream that was tried refused it.
    UpstreamRefused,
    /// The platform's table did not answer, so the work was not recorded.
    PlatformUnavailable,
    /// The entry VM is stopping.
    Stopping,
    /// The attempt could not be started as often as the limit allows.
    AttemptsExhausted,
}

/// Why it is not known whether work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DoubtReason {
    /// A worker was lost after the attempt started.
    WorkerLost,
    /// The connection to the upstream was lost after the request was sent.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// Another entry VM has claimed the request and its outcome is not recorded.
    ClaimedElsewhere,
    /// It was cancelled after it had started.
    CancelledRunning,
    /// It was stopped for guaranteed or reserved work and could not be checkpointed.
    Preempted,
    /// It was stopped when its data centre was taken out.
    CentreLeft,
    /// The use of the idempotency key could not be looked up; this call ran nothing, an earlier one may have.
    KeyUnresolved,
    /// The write may have taken effect and could not be read back.
    WriteUnresolved,
}

/// Final outcome of a job or request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum FinalOutcome {
    /// It ran, with the whole result.
    Ran {
        /// The result.
        result: ResultRef,
    },
    /// It provably did not run.
    NotRun {
        /// Why.
        reason: RefusalReason,
    },
    /// It may have run.
    Unknown {
        /// Why it is not known.
        reason: DoubtReason,
    },
}

/// Reference to a stored result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRef {
    /// Key in the object store.
    pub object: Arc<str>,
    /// Length in bytes.
    pub bytes: u64,
    /// SHA-256 in hexadecimal.
    pub sha256: Arc<str>,
}
