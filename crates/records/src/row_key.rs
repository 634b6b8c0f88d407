use std::fmt;
use std::sync::Arc;

use arbutuspick_model::{AccountName, CallerKey, CentreName, ConfigRevision, FieldError, JobId};

use crate::ProposalId;

/// Key of a row of the platform's table.
///
/// ```
/// use arbutuspick_model::ConfigRevision;
/// use arbutuspick_records::RowKey;
/// let key = RowKey::Revision(ConfigRevision(7));
/// assert_eq!(key.to_string(), "config/rev/00000000000000000007");
/// assert_eq!(RowKey::try_from("config/rev/00000000000000000007")?, key);
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// `job/{job}`: a job.
    Job(JobId),
    /// `key/{account}/{key}`: use of a caller's idempotency key.
    Key(AccountName, CallerKey),
    /// `inbox/{dc}/{job}`: notice about a job to the placement holder of a data centre.
    Inbox(CentreName, JobId),
    /// `placed/{dc}/{job}`: index entry of an unfinished job in a data centre.
    Placed(CentreName, JobId),
    /// `epoch/{dc}`: epoch and holder of the placement lease.
    Epoch(CentreName),
    /// `lease/{dc}`: deadline of the placement lease.
    Lease(CentreName),
    /// `dc/{dc}`: operators' order for a data centre.
    Centre(CentreName),
    /// `proposal/{id}`: proposed configuration of an account.
    Proposal(ProposalId),
    /// `turn`: current month and the owner who decides on proposals in it.
    Turn,
    /// `config/head`: latest configuration revision.
    Head,
    /// `config/rev/{n}`: change of one revision, zero-padded so that key order is revision order.
    Revision(ConfigRevision),
}

impl RowKey {
    /// Prefix of the notices to a data centre.
    pub fn inbox_prefix(centre: &CentreName) -> Arc<str> {
        format!("inbox/{centre}/").into()
    }

    /// Prefix of the index entries of a data centre's unfinished jobs.
    pub fn placed_prefix(centre: &CentreName) -> Arc<str> {
        format!("placed/{centre}/").into()
    }

    /// Prefix of the idempotency keys of an account.
    pub fn caller_key_prefix(account: &AccountName) -> Arc<str> {
        format!("key/{account}/").into()
    }

    /// Prefix of the configuration revisions.
    pub fn revision_prefix() -> Arc<str> {
        "config/rev/".into()
    }

    /// Prefix of the proposals.
    pub fn proposal_prefix() -> Arc<str> {
        "proposal/".into()
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(job) => write!(f, "job/{job}"),
            Self::Key(account, key) => write!(f, "key/{account}/{key}"),
            Self::Inbox(centre, job) => write!(f, "inbox/{centre}/{job}"),
            Self::Placed(centre, job) => write!(f, "placed/{centre}/{job}"),
            Self::Epoch(centre) => write!(f, "epoch/{centre}"),
            Self::Lease(centre) => write!(f, "lease/{centre}"),
            Self::Centre(centre) => write!(f, "dc/{centre}"),
            Self::Proposal(id) => write!(f, "proposal/{id}"),
            Self::Turn => f.write_str("turn"),
            Self::Head => f.write_str("config/head"),
            Self::Revision(revision) => write!(f, "config/rev/{:020}", revision.0),
        }
    }
}

impl From<&RowKey> for Arc<str> {
    fn from(key: &RowKey) -> Self {
        key.to_string().into()
    }
}

impl From<RowKey> for Arc<str> {
    fn from(key: RowKey) -> Self {
        key.to_string().into()
    }
}

impl TryFrom<&str> for RowKey {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        let parts: Vec<&str> = value.split('/').collect();
        let key = match parts[..] {
            ["job", job] => Self::Job(JobId::try_from(job)?),
            ["key", account, key] => Self::Key(AccountName::try_from(account)?, CallerKey::try_from(key)?),
            ["inbox", centre, job] => Self::Inbox(CentreName::try_from(centre)?, JobId::try_from(job)?),
            ["placed", centre, job] => Self::Placed(CentreName::try_from(centre)?, JobId::try_from(job)?),
            ["epoch", centre] => Self::Epoch(CentreName::try_from(centre)?),
            ["lease", centre] => Self::Lease(CentreName::try_from(centre)?),
            ["dc", centre] => Self::Centre(CentreName::try_from(centre)?),
            ["proposal", id] => Self::Proposal(ProposalId::try_from(id)?),
            ["turn"] => Self::Turn,
            ["config", "head"] => Self::Head,
            ["config", "rev", number] => Self::Revision(parse_revision(number)?),
            _ => return Err(FieldError::new("key", value, "must be the key of a known row")),
        };
        if key.to_string() == value {
            return Ok(key);
        }
        Err(FieldError::new("key", value, format!("must be written as {key}")))
    }
}

fn parse_revision(number: &str) -> Result<ConfigRevision, FieldError> {
    let error = || FieldError::new("revision", number, "must be a number of 20 digits");
    if number.len() != 20 || !number.bytes().all(|b| b.is_ascii_digit()) {
        return Err(error());
    }
    number.parse().map(ConfigRevision).map_err(|_| error())
}
