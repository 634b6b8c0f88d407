use std::fmt;
use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, FieldError, JobId};

/// Key of an object in the platform's object store.
///
/// ```
/// use arbutuspick_records::ObjectKey;
/// assert_eq!(ObjectKey::try_from("config/snapshot")?, ObjectKey::Snapshot);
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKey {
    /// `result/{job}/{attempt}`: complete result of a gang.
    Result(JobId, AttemptNumber),
    /// `checkpoint/{job}/{attempt}`: prefix of the checkpoints of a gang's members.
    Checkpoint(JobId, AttemptNumber),
    /// `config/snapshot`: snapshot of the full configuration.
    Snapshot,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Result(job, attempt) => write!(f, "result/{job}/{attempt}"),
            Self::Checkpoint(job, attempt) => write!(f, "checkpoint/{job}/{attempt}"),
            Self::Snapshot => f.write_str("config/snapshot"),
        }
    }
}

impl From<ObjectKey> for Arc<str> {
    fn from(key: ObjectKey) -> Self {
        key.to_string().into()
    }
}

impl TryFrom<&str> for ObjectKey {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        let parts: Vec<&str> = value.split('/').collect();
        let key = match parts[..] {
            ["result", job, attempt] => Self::Result(JobId::try_from(job)?, parse_attempt(attempt)?),
            ["checkpoint", job, attempt] => Self::Checkpoint(JobId::try_from(job)?, parse_attempt(attempt)?),
            ["config", "snapshot"] => Self::Snapshot,
            _ => {
                return Err(FieldError::new(
                    "object",
                    value,
                    "must be the key of a known object",
                ));
            }
        };
        if key.to_string() == value {
            return Ok(key);
        }
        Err(FieldError::new(
            "object",
            value,
            format!("must be written as {key}"),
        ))
    }
}

fn parse_attempt(number: &str) -> Result<AttemptNumber, FieldError> {
    number
        .parse()
        .map(AttemptNumber)
        .map_err(|_| FieldError::new("attempt", number, "must be a whole number"))
}
