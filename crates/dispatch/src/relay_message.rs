//! Wire messages of the relay, through which a process makes calls to a store that it cannot reach directly.

use prost::{Message, Oneof};

use crate::leader_record::{INTAKE_TABLE, LEADER_TABLE, PROGRESS_TABLE};
use crate::learned_rows::LEARNED_TABLE;
use crate::member_list::MEMBER_TABLE;
use crate::row_store::{
    FollowOutcome, RowCondition, RowEntry, RowPage, RowTransaction, RowWrite, StoreError, TransactOutcome,
};

/// A call to the store on behalf of another process.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RelayCall {
    /// Time until the deadline of the caller, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub(crate) remaining_ms: u64,
    #[prost(oneof = "CallBody", tags = "2, 3, 4, 5")]
    pub(crate) body: Option<CallBody>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum CallBody {
    #[prost(message, tag = "2")]
    Transact(TransactionMessage),
    #[prost(message, tag = "3")]
    Read(ReadMessage),
    #[prost(message, tag = "4")]
    Follow(FollowMessage),
    /// Asks whether the process is ready to succeed the leader that calls; always true.
    #[prost(bool, tag = "5")]
    Succeed(bool),
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct TransactionMessage {
    #[prost(message, repeated, tag = "1")]
    conditions: Vec<RowMessage>,
    #[prost(message, repeated, tag = "2")]
    writes: Vec<RowMessage>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ReadMessage {
    #[prost(string, tag = "1")]
    pub(crate) table: String,
    #[prost(string, tag = "2")]
    pub(crate) from: String,
    #[prost(uint64, tag = "3")]
    pub(crate) limit: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct FollowMessage {
    #[prost(string, tag = "1")]
    pub(crate) table: String,
    #[prost(uint64, tag = "2")]
    pub(crate) after: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) wait_ms: u64,
}

/// A row, a condition or a write.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RowMessage {
    #[prost(string, tag = "1")]
    table: String,
    #[prost(string, tag = "2")]
    key: String,
    /// Absent for a condition, and for a row that was removed or is to be removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    value: Option<bytes::Bytes>,
    /// Version of a row, or the version that a condition requires; 0 for a write.
    #[prost(uint64, tag = "4")]
    version: u64,
}

/// Reply to a [`RelayCall`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RelayReply {
    #[prost(oneof = "ReplyBody", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub(crate) body: Option<ReplyBody>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum ReplyBody {
    /// Version written by a committed transaction.
    #[prost(uint64, tag = "1")]
    Committed(u64),
    #[prost(message, tag = "2")]
    Conflict(RowsMessage),
    #[prost(message, tag = "3")]
    Page(RowsMessage),
    #[prost(message, tag = "4")]
    Changes(RowsMessage),
    #[prost(bool, tag = "5")]
    HistoryGone(bool),
    /// The call was not executed; the text gives the cause.
    #[prost(string, tag = "6")]
    NotExecuted(String),
    /// The call may have been executed; the text gives the cause.
    #[prost(string, tag = "7")]
    Indeterminate(String),
    /// Whether the process is ready to succeed the leader.
    #[prost(bool, tag = "8")]
    Accepted(bool),
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RowsMessage {
    #[prost(message, repeated, tag = "1")]
    rows: Vec<RowMessage>,
    #[prost(bool, tag = "2")]
    has_more: bool,
    #[prost(uint64, tag = "3")]
    version: u64,
}

/// Tables that a relayed call may access besides those of this crate.
pub(crate) type KnownTables = &'static [&'static str];

/// Tables of this crate.
const OWN_TABLES: [&str; 5] = [
    LEADER_TABLE,
    INTAKE_TABLE,
    PROGRESS_TABLE,
    MEMBER_TABLE,
    LEARNED_TABLE,
];

/// Returns the static name of a table that relayed calls may access: one of this crate or of `tables`.
pub(crate) fn known_table(tables: KnownTables, name: &str) -> Option<&'static str> {
    let mut known = OWN_TABLES.iter().chain(tables).copied();
    known.find(|table| *table == name)
}

impl From<&RowTransaction> for TransactionMessage {
    fn from(transaction: &RowTransaction) -> Self {
        let conditions = transaction.conditions.iter().map(|condition| RowMessage {
            table: condition.table.into(),
            key: condition.key.to_string(),
            value: None,
            version: condition.version,
        });
        let writes = transaction.writes.iter().map(|write| RowMessage {
            table: write.table.into(),
            key: write.key.to_string(),
            value: write.value.clone(),
            version: 0,
        });
        Self {
            conditions: conditions.collect(),
            writes: writes.collect(),
        }
    }
}

impl TransactionMessage {
    /// Returns the transaction; `None` if it names an unknown table.
    pub(crate) fn into_transaction(self, tables: KnownTables) -> Option<RowTransaction> {
        let conditions = self.conditions.into_iter().map(|row| {
            Some(RowCondition {
                table: known_table(tables, &row.table)?,
                key: row.key.into(),
                version: row.version,
            })
        });
        let writes = self.writes.into_iter().map(|row| {
            Some(RowWrite {
                table: known_table(tables, &row.table)?,
                key: row.key.into(),
                value: row.value,
            })
        });
        Some(RowTransaction {
            conditions: conditions.collect::<Option<_>>()?,
            writes: writes.collect::<Option<_>>()?,
        })
    }
}

impl From<RowEntry> for RowMessage {
    fn from(row: RowEntry) -> Self {
        Self {
            table: row.table.to_string(),
            key: row.key.to_string(),
            value: row.value,
            version: row.version,
        }
    }
}

impl From<RowMessage> for RowEntry {
    fn from(row: RowMessage) -> Self {
        Self {
            table: row.table.into(),
            key: row.key.into(),
            value: row.value,
            version: row.version,
        }
    }
}

impl RowsMessage {
    fn new(rows: Vec<RowEntry>, has_more: bool, version: u64) -> Self {
        Self {
            rows: rows.into_iter().map(RowMessage::from).collect(),
            has_more,
            version,
        }
    }

    fn into_entries(self) -> Vec<RowEntry> {
        self.rows.into_iter().map(RowEntry::from).collect()
    }
}

impl From<StoreError> for ReplyBody {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::NotExecuted { message } => Self::NotExecuted(message),
            StoreError::Indeterminate { message } => Self::Indeterminate(message),
        }
    }
}

impl From<TransactOutcome> for ReplyBody {
    fn from(outcome: TransactOutcome) -> Self {
        match outcome {
            TransactOutcome::Committed { version } => Self::Committed(version),
            TransactOutcome::Conflict { rows } => Self::Conflict(RowsMessage::new(rows, false, 0)),
        }
    }
}

impl From<RowPage> for ReplyBody {
    fn from(page: RowPage) -> Self {
        Self::Page(RowsMessage::new(page.rows, page.has_more, page.version))
    }
}

impl From<FollowOutcome> for ReplyBody {
    fn from(follow: FollowOutcome) -> Self {
        match follow {
            FollowOutcome::Changes { rows, version } => Self::Changes(RowsMessage::new(rows, false, version)),
            FollowOutcome::HistoryGone => Self::HistoryGone(true),
        }
    }
}

impl ReplyBody {
    pub(crate) fn into_outcome(self) -> Result<TransactOutcome, StoreError> {
        match self {
            Self::Committed(version) => Ok(TransactOutcome::Committed { version }),
            Self::Conflict(rows) => Ok(TransactOutcome::Conflict {
                rows: rows.into_entries(),
            }),
            other => Err(other.into_error()),
        }
    }

    pub(crate) fn into_page(self) -> Result<RowPage, StoreError> {
        match self {
            Self::Page(rows) => Ok(RowPage {
                has_more: rows.has_more,
                version: rows.version,
                rows: rows.into_entries(),
            }),
            other => Err(other.into_error()),
        }
    }

    pub(crate) fn into_follow(self) -> Result<FollowOutcome, StoreError> {
        match self {
            Self::Changes(rows) => Ok(FollowOutcome::Changes {
                version: rows.version,
                rows: rows.into_entries(),
            }),
            Self::HistoryGone(_) => Ok(FollowOutcome::HistoryGone),
            other => Err(other.into_error()),
        }
    }

    fn into_error(self) -> StoreError {
        match self {
            Self::NotExecuted(message) => StoreError::NotExecuted { message },
            Self::Indeterminate(message) => StoreError::Indeterminate { message },
            other => StoreError::Indeterminate {
                message: format!("the reply of a peer does not match the call: {other:?}"),
            },
        }
    }
}
