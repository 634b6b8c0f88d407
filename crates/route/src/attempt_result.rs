use serde::{Deserialize, Serialize};

/// Shortest attempt, in milliseconds, whose missed deadline counts as a failure of the upstream.
///
/// Without it a caller with very short deadlines could have healthy upstreams ejected.
const EXPIRY_FAILURE_MS: u64 = 1_000;

/// How one attempt to send a request to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The whole answer arrived and was checked.
    Succeeded,
    /// The whole answer arrived and reports a fault of the upstream, such as status 500.
    Failed,
    /// The upstream answered that its slots are full and the request was not run.
    RefusedNotRun,
    /// The upstream answered that it is leaving and the request was not run.
    Leaving,
    /// No byte of the request was sent, for instance because the connection could not be opened.
    NotSent,
    /// The connection was lost, or the answer was cut or damaged, after bytes may have been sent.
    Lost,
    /// The deadline passed after bytes may have been sent.
    Expired,
}

impl AttemptResult {
    /// Returns whether the result proves that the upstream did not run the request.
    pub fn is_proof_of_not_run(self) -> bool {
        matches!(self, Self::RefusedNotRun | Self::Leaving | Self::NotSent)
    }

    /// Returns whether the upstream was heard from.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            Self::Succeeded | Self::Failed | Self::RefusedNotRun | Self::Leaving
        )
    }

    /// Returns whether an attempt of this length counts towards ejection.
    pub(crate) fn is_upstream_failure(self, elapsed_ms: u64) -> bool {
        match self {
            Self::Failed | Self::NotSent | Self::Lost => true,
            Self::Expired => elapsed_ms >= EXPIRY_FAILURE_MS,
            Self::Succeeded | Self::RefusedNotRun | Self::Leaving => false,
        }
    }
}
