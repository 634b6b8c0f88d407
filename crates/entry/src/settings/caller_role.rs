use std::fmt;

use arbutuspick_model::{AccountName, FieldError, OwnerName};

/// Role of a caller, and its name.
///
/// ```
/// use arbutuspick_entry::CallerRole;
/// let role = CallerRole::try_from("account:parks").unwrap();
/// assert!(matches!(role, CallerRole::Account(_)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRole {
    /// A client account.
    Account(AccountName),
    /// An owner of client accounts, who decides on proposals in the owner's month.
    Owner(OwnerName),
    /// An operator.
    Operator(OwnerName),
}

impl TryFrom<&str> for CallerRole {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        match value.split_once(':') {
            Some(("account", name)) => AccountName::try_from(name).map(Self::Account),
            Some(("owner", name)) => OwnerName::try_from(name).map(Self::Owner),
            Some(("operator", name)) => operator_name(name).map(Self::Operator),
            _ => Err(FieldError::new(
                "role",
                value,
                "must be account:NAME, owner:NAME or operator:NAME",
            )),
        }
    }
}

/// Checks the name of an operator, which has the syntax of an owner's name.
pub(super) fn operator_name(name: &str) -> Result<OwnerName, FieldError> {
    OwnerName::try_from(name).map_err(|error| FieldError {
        field: "operator".into(),
        ..error
    })
}

impl fmt::Display for CallerRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Account(name) => write!(f, "account:{name}"),
            Self::Owner(name) => write!(f, "owner:{name}"),
            Self::Operator(name) => write!(f, "operator:{name}"),
        }
    }
}
