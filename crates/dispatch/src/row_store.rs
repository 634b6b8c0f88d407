use std::future::Future;
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use bytes::Bytes;
use snafu::Snafu;

/// A stored row, or the mark of one that was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowEntry {
    /// Table of the row.
    pub table: Arc<str>,
    /// Key of the row.
    pub key: Arc<str>,
    /// Value; `None` when the row was removed.
    pub value: Option<Bytes>,
    /// Version that wrote it.
    pub version: u64,
}

/// The version that a row must have; 0 for a row that must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowCondition {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: Arc<str>,
    /// Version that it must have.
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

/// A transaction: all of it happens or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowChange {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What is written.
    pub writes: Vec<RowWrite>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactOutcome {
    /// Everything was written with this version.
    Committed {
        /// Version of the written rows.
        version: u64,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// Present rows of the conditions.
        rows: Vec<RowEntry>,
    },
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows by key.
    pub rows: Vec<RowEntry>,
    /// Further rows follow the last one.
    pub has_more: bool,
    /// Newest version of the store.
    pub version: u64,
}

/// What changed in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowFollow {
    /// Changed rows, oldest first.
    Changes {
        /// The rows.
        rows: Vec<RowEntry>,
        /// Version to continue from.
        version: u64,
    },
    /// The store no longer knows what changed since; the table has to be read anew.
    HistoryGone,
}

/// Why a call to the store has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// Nothing was done.
    #[snafu(display("the store did nothing: {message}"))]
    NotDone {
        /// What happened.
        message: String,
    },
    /// The change may have been made or may still be made.
    #[snafu(display("no answer from the store: {message}"))]
    Unclear {
        /// What happened.
        message: String,
    },
}

/// Access to rows that are shared by all processes and survive them.
pub trait RowStore: Clone + Send + Sync + 'static {
    /// Makes a change if its conditions hold.
    fn transact(
        &self,
        change: &RowChange,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<TransactOutcome, StoreError>> + Send;

    /// Reads rows of a table from a key on.
    fn read(
        &self,
        table: &'static str,
        from: &str,
        limit: usize,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<RowPage, StoreError>> + Send;

    /// Waits until a table changes after a version, at most `wait_ms`.
    fn follow(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
        deadline: ClockTime,
    ) -> impl Future<Output = Result<RowFollow, StoreError>> + Send;
}

/// Most rows that a page may have.
pub(crate) const PAGE_ROWS: usize = 500;

/// Reads a whole table; returns the rows and the version of the first page, from which changes can be followed.
pub(crate) async fn read_table<S>(
    store: &S,
    table: &'static str,
    deadline: ClockTime,
) -> Result<(Vec<RowEntry>, u64), StoreError>
where
    S: RowStore,
{
    let mut page = store.read(table, "", PAGE_ROWS, deadline).await?;
    let version = page.version;
    let mut rows = std::mem::take(&mut page.rows);
    while page.has_more {
        // The smallest key after the last one.
        let from = rows.last().map_or(String::new(), |row| format!("{}\0", row.key));
        page = store.read(table, &from, PAGE_ROWS, deadline).await?;
        rows.append(&mut page.rows);
    }
    Ok((rows, version))
}
