use std::future::Future;
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use bytes::Bytes;
use snafu::Snafu;

/// A stored row, or the tombstone of a removed row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowEntry {
    /// Table of the row.
    pub table: Arc<str>,
    /// Key of the row.
    pub key: Arc<str>,
    /// Value; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Version of the store as of the write or removal of the row.
    pub version: u64,
}

/// A precondition of a transaction: the version that a row must have, 0 if the row must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowCondition {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: Arc<str>,
    /// Required version.
    pub version: u64,
}

/// A row to write or remove.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: Arc<str>,
    /// New value; `None` removes the row.
    pub value: Option<Bytes>,
}

/// A transaction: either all writes are applied or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// Preconditions of the writes.
    pub conditions: Vec<RowCondition>,
    /// Rows to write or remove.
    pub writes: Vec<RowWrite>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactOutcome {
    /// All writes were applied.
    Committed {
        /// Version that the written rows have now.
        version: u64,
    },
    /// A precondition failed; nothing was written.
    Conflict {
        /// Current rows that the preconditions name.
        rows: Vec<RowEntry>,
    },
}

/// A page of rows from one consistent read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows in the order of their keys.
    pub rows: Vec<RowEntry>,
    /// Whether more rows follow the last one.
    pub has_more: bool,
    /// Newest version of the store.
    pub version: u64,
}

/// Changes of a table since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// Rows that changed.
    Changes {
        /// Changed rows, oldest first.
        rows: Vec<RowEntry>,
        /// Version to continue from.
        version: u64,
    },
    /// The store no longer keeps the changes since that version; the table has to be read again.
    HistoryGone,
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store did not carry out the call and will not.
    #[snafu(display("the store did not execute the call: {message}"))]
    NotExecuted {
        /// Cause of the failure.
        message: String,
    },
    /// The transaction may have been applied or may still be applied.
    #[snafu(display("no answer from the store: {message}"))]
    Indeterminate {
        /// Cause of the failure.
        message: String,
    },
}

/// Access to the durable rows that all processes share.
pub trait RowStore: Clone + Send + Sync + 'static {
    /// Applies a transaction if its preconditions hold.
    fn transact(
        &self,
        transaction: &RowTransaction,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<TransactOutcome, StoreError>> + Send;

    /// Reads at most `limit` rows of a table, starting at key `from`.
    fn read(
        &self,
        table: &'static str,
        from: &str,
        limit: usize,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<RowPage, StoreError>> + Send;

    /// Returns the changes of a table after version `after`; waits up to `wait_ms` for the first one.
    fn follow(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<FollowOutcome, StoreError>> + Send;
}

/// Maximum number of rows in a page.
pub(crate) const MAX_PAGE_ROWS: usize = 500;

/// Reads a whole table; returns its rows and the version of the first page, from which to follow changes.
pub(crate) async fn read_table<S>(
    store: &S,
    table: &'static str,
    deadline: ClockTime,
) -> Result<(Vec<RowEntry>, u64), StoreError>
where
    S: RowStore,
{
    let mut page = store.read(table, "", MAX_PAGE_ROWS, deadline).await?;
    let version = page.version;
    let mut rows = std::mem::take(&mut page.rows);
    while page.has_more {
        // The smallest key greater than the last one read.
        let from = rows.last().map_or(String::new(), |row| format!("{}\0", row.key));
        page = store.read(table, &from, MAX_PAGE_ROWS, deadline).await?;
        rows.append(&mut page.rows);
    }
    Ok((rows, version))
}
