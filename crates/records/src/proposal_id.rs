use std::fmt;

use arbutuspick_model::FieldError;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Identifier of a proposal, generated before its first write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProposalId(pub Uuid);

impl ProposalId {
    /// Creates a new identifier; identifiers sort by creation time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl TryFrom<&str> for ProposalId {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        Uuid::parse_str(value)
            .map(Self)
            .map_err(|_| FieldError::new("proposal", value, "must be a UUID"))
    }
}
