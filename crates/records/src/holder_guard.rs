use arbutuspick_model::{CentreName, LeaseEpoch};

use crate::{RowKey, RowVersion, TableTransaction};

/// A placement holder's own epoch, which each of its transactions checks.
///
/// It comes from the commit of the takeover, see [`EpochRecord::take`](crate::EpochRecord::take).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderGuard {
    /// Data centre.
    pub data_centre: CentreName,
    /// Epoch that the holder took.
    pub epoch: LeaseEpoch,
    /// Version of `epoch/{dc}` since then.
    pub version: RowVersion,
}

impl HolderGuard {
    /// Adds the condition that no other VM has taken the epoch.
    #[must_use]
    pub fn protect(&self, transaction: TableTransaction) -> TableTransaction {
        transaction.check(RowKey::Epoch(self.data_centre.clone()), self.version)
    }
}
