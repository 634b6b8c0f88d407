use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::FieldError;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

fn check_name(field: &'static str, value: &str) -> Result<(), FieldError> {
    let rule = if value.is_empty() {
        "must not be empty"
    } else if value.len() > MAX_NAME_BYTES {
        "must have at most 63 characters"
    } else if !value
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
    {
        "must consist of a-z, 0-9 and '-'"
    } else {
        return Ok(());
    };
    Err(FieldError::new(field, value, rule))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $type {
            type Error = FieldError;
            fn try_from(value: &str) -> Result<Self, FieldError> {
                check_name($field, value)?;
                Ok(Self(value.into()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = FieldError;
            fn try_from(value: String) -> Result<Self, FieldError> {
                Self::try_from(value.as_str())
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().into()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a client account.
    ///
    /// ```
    /// use arbutuspick_model::AccountName;
    /// assert!(AccountName::try_from("park-trusts").is_ok());
    /// assert!(AccountName::try_from("Park Trusts").is_err());
    /// ```
    AccountName, "account");
name_type!(
    /// Name of the owner of one or more client accounts.
    OwnerName, "owner");
name_type!(
    /// Name of a data centre.
    CentreName, "data_centre");
name_type!(
    /// Name of a rack.
    RackName, "rack");
name_type!(
    /// Name of a worker.
    WorkerName, "worker");
name_type!(
    /// Name of an upstream instance.
    UpstreamName, "upstream");
name_type!(
    /// Name of a service provided by upstreams.
    ServiceName, "service");
name_type!(
    /// Name of an entry VM.
    VmName, "vm");
