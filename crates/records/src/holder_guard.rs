use arbutuspick_model::{CentreName, LeaseEpoch};

use crate::{RowKey, RowVersion, TableTransaction};

/// Check that fences off a former placement holder: the transactions of a holder contain it, so that they
/// fail after a takeover.
///
/// It is created from the committed takeover, see [`EpochRecord::take_over`](crate::EpochRecord::take_over).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderGuard {
    /// Data centre.
    pub data_centre: CentreName,
    /// Epoch of the holder.
    pub epoch: LeaseEpoch,
    /// Version of row `epoch/{dc}` that the takeover wrote.
    pub version: RowVersion,
}

impl HolderGuard {
    /// Adds the check that no other process has taken over the lease.
    #[must_use]
    pub fn add_check(&self, transaction: TableTransaction) -> TableTransaction {
        transaction.check(RowKey::Epoch(self.data_centre.clone()), self.version)
    }
}
