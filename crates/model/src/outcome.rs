use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Why a job or request was not run. Used only if it is certain that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The shape does not fit in any data centre.
    NeverFits,
    /// The caller cancelled the work before it started.
    Cancelled,
    /// The account has reached its maximum number of queued jobs.
    QuotaExceeded,
    /// The queue, or the account's share of it, is full.
    Overloaded,
    /// The work could not start before its deadline.
    DeadlinePassed,
    /// No upstream of the service is live.
    NoUpstream,
    /// No upstream ran the request, and no further attempt is possible: every live upstream was tried or is
    /// ejected, or the limit of retries is reached.
    UpstreamRefused,
    /// The platform's table did not respond, so the work was not recorded.
    PlatformUnavailable,
    /// The entry VM is shutting down.
    Stopping,
    /// Every attempt failed to start, up to the limit of attempts.
    AttemptsExhausted,
}

/// Why it is unknown whether a job or request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// A worker was lost after the attempt started.
    WorkerLost,
    /// The connection to the upstream was lost after the request was sent.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// Another entry VM has claimed the request and has not recorded its outcome.
    ClaimedElsewhere,
    /// The work was cancelled after it had started.
    CancelledRunning,
    /// The job was preempted by guaranteed or reserved work and could not write a checkpoint.
    Preempted,
    /// The job was stopped because its data centre was taken out of service.
    CentreLeft,
    /// The idempotency key could not be looked up: this call ran nothing, but an earlier one may have.
    KeyUnresolved,
    /// A write may have taken effect and could not be read back.
    WriteUnresolved,
}

/// Final outcome of a job or request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum FinalOutcome {
    /// The work ran and its complete result is stored.
    Ran {
        /// Reference to the result.
        result: ResultRef,
    },
    /// The work is known not to have run.
    NotRun {
        /// Reason.
        reason: RefusalReason,
    },
    /// The work may or may not have run.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: UnknownReason,
    },
}

/// Reference to a result in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRef {
    /// Object key.
    pub object: Arc<str>,
    /// Length in bytes.
    pub bytes: u64,
    /// SHA-256 digest in hexadecimal.
    pub sha256: Arc<str>,
}
