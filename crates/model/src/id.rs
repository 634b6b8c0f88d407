use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::FieldError;

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Identifier of a job, chosen before its first write.
///
/// Identifiers sort by creation time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub Uuid);

impl JobId {
    /// Creates a new identifier.
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

/// Identifier of one write, by which the writer recognises it when it reads the row back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub Uuid);

impl WriteId {
    /// Creates a new identifier.
    pub fn generate() -> Self {
        Self(Uuid::new_v4())
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Idempotency key that a caller chose for a job or request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallerKey(std::sync::Arc<str>);

impl CallerKey {
    /// Returns the key as text.
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
            /// Returns the following value.
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
    /// Fencing number of a placement lease; a worker refuses numbers lower than the highest it accepted.
    LeaseEpoch, u64);
counter_type!(
    /// Number of an attempt to run a job; the first is 1.
    AttemptNumber, u32);
counter_type!(
    /// Revision of the configuration; it only grows.
    ConfigRevision, u64);
counter_type!(
    /// Number of an operator's order for a data centre; it only grows.
    OrderNumber, u64);
