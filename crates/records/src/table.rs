use std::sync::Arc;

use arbutuspick_model::{PlatformTime, WriteId};
use serde::{Deserialize, Serialize};

/// Version of a row: the sequence number of the commit that wrote it, or 0 for an absent row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

impl RowVersion {
    /// Version of a row that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// A row read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key.
    pub key: Arc<str>,
    /// Version.
    pub version: RowVersion,
    /// Value, a JSON document.
    pub value: Arc<str>,
}

/// A precondition of a transaction: the row must have this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key.
    pub key: Arc<str>,
    /// Expected version, 0 for an absent row.
    pub version: RowVersion,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "write", rename_all = "snake_case")]
pub enum RowWrite {
    /// Creates or replaces a row.
    Put {
        /// Key.
        key: Arc<str>,
        /// Value, a JSON document.
        value: Arc<str>,
    },
    /// Deletes a row, if it exists.
    Delete {
        /// Key.
        key: Arc<str>,
    },
}

/// An atomic transaction: if all checks hold, all writes take effect, otherwise none.
///
/// ```
/// use arbutuspick_model::WriteId;
/// use arbutuspick_records::{RowVersion, TableTransaction};
/// let transaction = TableTransaction::new(WriteId::generate())
///     .check("turn", RowVersion(7))
///     .put("turn", "{}");
/// assert_eq!(transaction.writes.len(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Identifier; rows that the transaction writes carry it as `write_id`.
    pub id: WriteId,
    /// Preconditions.
    pub checks: Vec<RowCheck>,
    /// Writes.
    pub writes: Vec<RowWrite>,
}

impl TableTransaction {
    /// Creates an empty transaction.
    pub fn new(id: WriteId) -> Self {
        Self {
            id,
            checks: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds a precondition.
    #[must_use]
    pub fn check<K>(mut self, key: K, version: RowVersion) -> Self
    where
        K: Into<Arc<str>>,
    {
        self.checks.push(RowCheck {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds the checks and writes of another transaction, whose id is discarded.
    ///
    /// Records that the other transaction writes must already carry the id of this one.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        for check in other.checks {
            if !self.checks.contains(&check) {
                self.checks.push(check);
            }
        }
        self.writes.extend(other.writes);
        self
    }

    /// Adds a row to create or replace.
    #[must_use]
    pub fn put<K, V>(mut self, key: K, value: V) -> Self
    where
        K: Into<Arc<str>>,
        V: Into<Arc<str>>,
    {
        self.writes.push(RowWrite::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete<K>(mut self, key: K) -> Self
    where
        K: Into<Arc<str>>,
    {
        self.writes.push(RowWrite::Delete { key: key.into() });
        self
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum CommitResult {
    /// All writes took effect.
    Committed {
        /// Version of every row written.
        version: RowVersion,
    },
    /// A check failed; nothing was written.
    Conflict {
        /// First key whose check failed.
        key: Arc<str>,
    },
}

/// A response of the table with the platform time at which it was created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableResponse<T> {
    /// Platform time.
    pub time: PlatformTime,
    /// Body of the response.
    pub body: T,
}

/// Rows of a read or scan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowPage {
    /// Rows in key order, without absent ones.
    pub rows: Vec<TableRow>,
    /// Whether a scan matches more rows after the last one.
    pub more: bool,
}

/// A read of single rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadQuery {
    /// Keys of the rows, at most 256.
    pub keys: Vec<Arc<str>>,
}

/// A scan over the rows whose keys start with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanQuery {
    /// Prefix.
    pub prefix: Arc<str>,
    /// Exclusive lower bound of the keys.
    #[serde(default)]
    pub after: Option<Arc<str>>,
    /// Maximum number of rows, at most 256.
    pub limit: u32,
}
