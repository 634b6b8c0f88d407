use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AccountName, CellLevel, CentreName, ConfigRevision, FieldError, OwnerName};

/// Guarantee of a number of cells of one level in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellGuarantee {
    /// Home data centre, in which the cells are guaranteed.
    pub data_centre: CentreName,
    /// Cell size: 1, 2, 4, 8, 16, 32 or 64 adjacent accelerators.
    pub cell: CellLevel,
    /// Number of cells.
    pub count: u32,
}

/// Configuration of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// Owner of the account.
    pub owner: OwnerName,
    /// Weight in the fair sharing of capacity that is not guaranteed, from 1 to 1000.
    pub weight: u32,
    /// Maximum number of queued jobs of the account.
    pub max_queued_jobs: u32,
    /// Guaranteed cells.
    #[serde(default)]
    pub guarantees: Vec<CellGuarantee>,
}

impl AccountConfig {
    /// Validates the rules that do not depend on the size of the pool.
    pub fn check(self) -> Result<Self, FieldError> {
        if !(1..=1000).contains(&self.weight) {
            return Err(FieldError::new("weight", self.weight, "must be from 1 to 1000"));
        }
        if self.max_queued_jobs == 0 {
            return Err(FieldError::new("max_queued_jobs", 0, "must be at least 1"));
        }
        for (i, guarantee) in self.guarantees.iter().enumerate() {
            if guarantee.count == 0 {
                return Err(FieldError::new(
                    format!("guarantees[{i}].count"),
                    0,
                    "must be at least 1",
                ));
            }
        }
        Ok(self)
    }
}

/// Change made by one revision: sets or removes the configuration of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Revision created by the change.
    pub revision: ConfigRevision,
    /// Account that is changed.
    pub account: AccountName,
    /// New configuration, or `None` to remove the account.
    pub config: Option<AccountConfig>,
}

/// Complete configuration at one revision.
///
/// ```
/// use arbutuspick_model::{AccountName, ConfigChange, ConfigRevision, PoolConfig};
/// let mut config = PoolConfig::default();
/// let change = ConfigChange { revision: ConfigRevision(1), account: AccountName::try_from("a")?, config: None };
/// assert!(config.apply(&change));
/// assert!(!config.apply(&change)); // Not the next revision.
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolConfig {
    /// Revision of the configuration.
    pub revision: ConfigRevision,
    /// Accounts by name.
    pub accounts: BTreeMap<AccountName, AccountConfig>,
}

impl PoolConfig {
    /// Applies the change if it has the next revision; returns whether it was applied.
    pub fn apply(&mut self, change: &ConfigChange) -> bool {
        if change.revision != self.revision.next() {
            return false;
        }
        self.revision = change.revision;
        match &change.config {
            Some(config) => self.accounts.insert(change.account.clone(), config.clone()),
            None => self.accounts.remove(&change.account),
        };
        true
    }
}
