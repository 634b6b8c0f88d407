//! In-memory table for tests and simulated platforms.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;

use crate::{
    CommitResult, DecodeError, ReadQuery, RowKey, RowPage, RowVersion, RowWrite, ScanQuery, TableRow,
    TableTransaction, Versioned,
};

/// In-memory table that applies transactions atomically, in call order.
///
/// ```
/// use arbutuspick_model::WriteId;
/// use arbutuspick_records::memory::MemoryTable;
/// use arbutuspick_records::{CommitResult, RowVersion, TableTransaction};
/// let mut table = MemoryTable::default();
/// let transaction = TableTransaction::new(WriteId::generate())
///     .check("turn", RowVersion::ABSENT)
///     .put("turn", "{}");
/// assert_eq!(table.commit(&transaction), CommitResult::Committed { version: RowVersion(1) });
/// assert_eq!(table.commit(&transaction), CommitResult::Conflict { key: "turn".into() });
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemoryTable {
    rows: BTreeMap<Arc<str>, TableRow>,
    last_version: RowVersion,
}

impl MemoryTable {
    /// Applies a transaction if all its checks hold.
    pub fn commit(&mut self, transaction: &TableTransaction) -> CommitResult {
        let failed_check = transaction
            .checks
            .iter()
            .find(|check| self.version(&check.key) != check.version);
        if let Some(check) = failed_check {
            let key = check.key.clone();
            return CommitResult::Conflict { key };
        }
        self.last_version.0 += 1;
        for write in &transaction.writes {
            self.apply(write);
        }
        CommitResult::Committed {
            version: self.last_version,
        }
    }

    /// Returns the row with a key.
    pub fn get(&self, key: &str) -> Option<&TableRow> {
        self.rows.get(key)
    }

    /// Decodes the record with a key.
    pub fn load<R>(&self, key: &RowKey) -> Result<Option<Versioned<R>>, DecodeError>
    where
        R: DeserializeOwned,
    {
        self.get(&key.to_string()).map(Versioned::try_from).transpose()
    }

    /// Returns the existing rows with the given keys, in key order.
    pub fn read(&self, query: &ReadQuery) -> RowPage {
        let mut keys: Vec<&Arc<str>> = query.keys.iter().collect();
        keys.sort_unstable();
        keys.dedup();
        RowPage {
            rows: keys
                .into_iter()
                .filter_map(|key| self.get(key))
                .cloned()
                .collect(),
            more: false,
        }
    }

    /// Returns a page of the rows with a key prefix, in key order.
    pub fn scan(&self, query: &ScanQuery) -> RowPage {
        let ScanQuery { prefix, after, limit } = query;
        let mut rows = self
            .rows
            .range(prefix.clone()..)
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(&**prefix))
            .filter(|row| after.as_ref().is_none_or(|after| row.key > *after));
        let limit = *limit as usize;
        let page = rows.by_ref().take(limit).cloned().collect();
        RowPage {
            rows: page,
            more: rows.next().is_some(),
        }
    }

    fn version(&self, key: &str) -> RowVersion {
        self.get(key).map_or(RowVersion::ABSENT, |row| row.version)
    }

    fn apply(&mut self, write: &RowWrite) {
        match write {
            RowWrite::Put { key, value } => {
                let row = TableRow {
                    key: key.clone(),
                    version: self.last_version,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
            RowWrite::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}
