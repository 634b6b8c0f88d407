use crate::{RowVersion, TableTransaction, Versioned};

/// A transaction to commit, and the record that its main row holds after the commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedChange<R> {
    /// Transaction.
    pub transaction: TableTransaction,
    /// Record after the transaction.
    pub record: R,
}

impl<R> PlannedChange<R> {
    /// Returns the record with the version of the committed transaction.
    pub fn committed(self, version: RowVersion) -> Versioned<R> {
        Versioned::new(self.record, version)
    }
}
