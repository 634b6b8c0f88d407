use arbutuspick_model::{RefusalReason, UnknownReason};
use serde::{Deserialize, Serialize};

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum RequestOutcome {
    /// It ran; the caller receives the complete response of this attempt.
    Ran {
        /// Index of the attempt, from 0.
        attempt: usize,
    },
    /// It is certain that it did not run.
    NotRun {
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// It may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
}
