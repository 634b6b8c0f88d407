use serde::{Deserialize, Serialize};

/// Duration, in milliseconds, from which an expired attempt counts as an upstream failure.
///
/// Without it, requests with very short deadlines could cause healthy upstreams to be ejected.
const MIN_FAILURE_TIMEOUT_MS: u64 = 1_000;

/// Result of one attempt to send a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The complete response was received and checked.
    Succeeded,
    /// The complete response was received and reports an upstream fault, such as status 500.
    Failed,
    /// The upstream responded that all its slots are in use and that it did not run the request.
    RefusedNotRun,
    /// The upstream responded that it is leaving and that it did not run the request.
    Leaving,
    /// No byte of the request was sent, for example because the connection could not be opened.
    NotSent,
    /// The connection was lost, or the response was truncated or corrupt, after bytes may have been sent.
    Lost,
    /// The deadline passed after bytes may have been sent.
    Expired,
}

impl AttemptResult {
    /// Returns whether the result proves that the upstream did not run the request.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::RefusedNotRun | Self::Leaving | Self::NotSent)
    }

    /// Returns whether the upstream responded.
    pub fn is_response(self) -> bool {
        matches!(
            self,
            Self::Succeeded | Self::Failed | Self::RefusedNotRun | Self::Leaving
        )
    }

    /// Returns whether an attempt of this duration counts towards ejection.
    pub(crate) fn counts_as_failure(self, elapsed_ms: u64) -> bool {
        match self {
            Self::Failed | Self::NotSent | Self::Lost => true,
            Self::Expired => elapsed_ms >= MIN_FAILURE_TIMEOUT_MS,
            Self::Succeeded | Self::RefusedNotRun | Self::Leaving => false,
        }
    }
}
