use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use arbutuspick_records::{
    CommitResult, ReadQuery, RowCheck, RowPage, RowVersion, RowWrite, ScanQuery, TableRow, TableTransaction,
};

/// Maximum number of keys in a read and of rows in a page of a scan.
pub(crate) const MAX_ROWS: usize = 256;

/// In-memory table with conditional transactions.
#[derive(Debug, Default)]
pub(crate) struct StandinTable {
    rows: BTreeMap<Arc<str>, TableRow>,
    last_version: RowVersion,
}

impl StandinTable {
    pub(crate) fn transact(&mut self, transaction: &TableTransaction) -> CommitResult {
        let failed_check = transaction.checks.iter().find(|check| !self.check_passes(check));
        if let Some(check) = failed_check {
            return CommitResult::Conflict {
                key: Arc::clone(&check.key),
            };
        }
        self.last_version.0 += 1;
        let version = self.last_version;
        for write in &transaction.writes {
            match write {
                RowWrite::Put { key, value } => {
                    let (key, value) = (Arc::clone(key), Arc::clone(value));
                    let row = TableRow {
                        key: Arc::clone(&key),
                        version,
                        value,
                    };
                    self.rows.insert(key, row);
                }
                RowWrite::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        CommitResult::Committed { version }
    }

    fn check_passes(&self, check: &RowCheck) -> bool {
        let version = self
            .rows
            .get(&check.key)
            .map_or(RowVersion::ABSENT, |row| row.version);
        version == check.version
    }

    pub(crate) fn row(&self, key: &str) -> Option<&TableRow> {
        self.rows.get(key)
    }

    pub(crate) fn read(&self, query: &ReadQuery) -> RowPage {
        let mut keys: Vec<_> = query.keys.iter().collect();
        keys.sort_unstable();
        keys.dedup();
        RowPage {
            rows: keys
                .into_iter()
                .filter_map(|key| self.rows.get(key))
                .cloned()
                .collect(),
            more: false,
        }
    }

    pub(crate) fn scan(&self, query: &ScanQuery) -> RowPage {
        let limit = (query.limit as usize).min(MAX_ROWS);
        let start = match &query.after {
            Some(after) if **after >= *query.prefix => Bound::Excluded(Arc::clone(after)),
            _ => Bound::Included(Arc::clone(&query.prefix)),
        };
        let mut rows = self
            .rows
            .range((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(&*query.prefix));
        let page: Vec<_> = rows.by_ref().take(limit).cloned().collect();
        RowPage {
            rows: page,
            more: rows.next().is_some(),
        }
    }
}
