use serde::{Deserialize, Serialize};

/// Whether a request is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
}

impl RequestKind {
    /// Returns whether a request of this kind may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}
