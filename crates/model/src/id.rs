use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::FieldError;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Identifier of a job, generated before its first write.
///
/// Identifiers are ordered by creation time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub Uuid);

impl JobId {
    /// Generates a new identifier.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl TryFrom<&str> for JobId {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        Uuid::parse_str(value)
            .map(Self)
            .map_err(|_| FieldError::new("job", value, "must be a UUID"))
    }
}

/// Identifier of a table transaction.
///
/// Every row carries that of its last write, by which the writer recognises it when it reads the row back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub Uuid);

impl WriteId {
    /// Generates a new identifier.
    pub fn generate() -> Self {
        Self(Uuid::new_v4())
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Idempotency key of a job or request, chosen by the caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallerKey(std::sync::Arc<str>);

impl CallerKey {
    /// Returns the key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for CallerKey {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        let rule = if value.is_empty() {
            "must not be empty"
        } else if value.len() > MAX_KEY_BYTES {
            "must have at most 128 characters"
        } else if !value.bytes().all(|b| b.is_ascii_graphic() && b != b'/') {
            "must consist of visible ASCII characters other than '/'"
        } else {
            return Ok(Self(value.into()));
        };
        Err(FieldError::new("idempotency_key", value, rule))
    }
}

impl TryFrom<String> for CallerKey {
    type Error = FieldError;
    fn try_from(value: String) -> Result<Self, FieldError> {
        Self::try_from(value.as_str())
    }
}

impl From<CallerKey> for String {
    fn from(key: CallerKey) -> Self {
        key.0.as_ref().into()
    }
}

impl fmt::Display for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

macro_rules! counter_type {
    ($(#[$doc:meta])* $type:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(pub $inner);

        impl $type {
            /// Returns the next value.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter_type!(
    /// Fencing token of a placement lease; a worker rejects epochs lower than the highest accepted one.
    LeaseEpoch, u64);
counter_type!(
    /// Number of an attempt to run a job, starting at 1.
    AttemptNumber, u32);
counter_type!(
    /// Revision of the configuration; strictly increasing.
    ConfigRevision, u64);
counter_type!(
    /// Number of an operator's order for a data centre; strictly increasing.
    OrderNumber, u64);
