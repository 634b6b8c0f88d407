use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_clients::{CallError, CallPriority, TableClient};
use arbutuspick_model::PlatformTime;
use arbutuspick_records::{DecodeError, RowKey, TableRow, Versioned};
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Why rows could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum ReadFault {
    /// The table gave no answer.
    #[snafu(transparent)]
    Call {
        /// Cause.
        source: CallError,
    },
    /// A row holds something else than its key promises.
    #[snafu(transparent)]
    Content {
        /// Cause.
        source: DecodeError,
    },
}

/// Rows of one read.
pub(crate) struct RowSet {
    pub(crate) time: PlatformTime,
    rows: HashMap<Arc<str>, TableRow>,
}

impl RowSet {
    /// Returns a record and its version, or nothing when the row is absent.
    pub(crate) fn get<R>(&self, key: &RowKey) -> Result<Option<Versioned<R>>, DecodeError>
    where
        R: DeserializeOwned,
    {
        self.rows
            .get(key.to_string().as_str())
            .map(Versioned::try_from)
            .transpose()
    }
}

/// Reads rows in one call, at most 256.
pub(crate) async fn read_rows(
    table: &TableClient,
    keys: &[RowKey],
    priority: CallPriority,
) -> Result<RowSet, CallError> {
    let keys: Vec<Arc<str>> = keys.iter().map(Arc::from).collect();
    let answer = table.read(&keys, priority).await?;
    let rows = answer.body.rows.into_iter().map(|row| (row.key.clone(), row));
    Ok(RowSet {
        time: answer.time,
        rows: rows.collect(),
    })
}
