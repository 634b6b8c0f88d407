use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_clients::{CallError, CallPriority, TableClient};
use arbutuspick_model::PlatformTime;
use arbutuspick_records::{DecodeError, RowKey, TableRow, Versioned};
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Why rows could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum ReadError {
    /// The call to the table failed.
    #[snafu(transparent)]
    Call {
        /// Cause.
        source: CallError,
    },
    /// A row cannot be decoded as the record that its key names.
    #[snafu(transparent)]
    Decode {
        /// Cause.
        source: DecodeError,
    },
}

/// Rows of one read, and the platform time of the response.
pub(crate) struct RowSet {
    pub(crate) time: PlatformTime,
    rows: HashMap<Arc<str>, TableRow>,
}

impl RowSet {
    /// Returns a record and its version, or `None` if the row is absent.
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

/// Reads at most 256 rows in one call.
pub(crate) async fn read_rows(
    table: &TableClient,
    keys: &[RowKey],
    priority: CallPriority,
) -> Result<RowSet, CallError> {
    let keys: Vec<Arc<str>> = keys.iter().map(Arc::from).collect();
    let response = table.read(&keys, priority).await?;
    let rows = response.body.rows.into_iter().map(|row| (row.key.clone(), row));
    Ok(RowSet {
        time: response.time,
        rows: rows.collect(),
    })
}
