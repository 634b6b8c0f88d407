use arbutuspick_model::{RefusalReason, UnknownReason};
use serde::{Deserialize, Serialize};

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum RequestOutcome {
    /// It ran; the caller gets the whole answer of this attempt.
    Ran {
        /// Index of the attempt, from 0.
        attempt: usize,
    },
    /// It provably did not run.
    NotRun {
        /// Why.
        reason: RefusalReason,
    },
    /// It may have run.
    Unknown {
        /// Why it is not known.
        reason: UnknownReason,
    },
}
