use std::sync::Arc;

use arbutuspick_model::WriteId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{RowKey, RowVersion, TableRow};

/// A row value that does not decode as the record type of its key.
#[derive(Debug, Snafu)]
#[snafu(display("row {key:?} does not hold a valid record: {source}"))]
pub struct DecodeError {
    /// Key of the row.
    pub key: Arc<str>,
    /// Error of the JSON parser.
    pub source: serde_json::Error,
}

/// A record together with the version of the row that holds it.
///
/// ```
/// use arbutuspick_records::{LeaseRecord, RowVersion, TableRow, Versioned};
/// let row = TableRow { key: "lease/trent".into(), version: RowVersion(3), value: "[]".into() };
/// let error = Versioned::<LeaseRecord>::try_from(&row).unwrap_err();
/// assert!(error.to_string().starts_with("row \"lease/trent\" does not hold"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<R> {
    /// Record.
    pub record: R,
    /// Version of its row.
    pub version: RowVersion,
}

impl<R> Versioned<R> {
    /// Creates a record with the version of its row.
    pub fn new(record: R, version: RowVersion) -> Self {
        Self { record, version }
    }

    /// Returns the version of `row`, or [`RowVersion::ABSENT`] without one.
    pub fn version_of(row: Option<&Self>) -> RowVersion {
        row.map_or(RowVersion::ABSENT, |row| row.version)
    }
}

impl<R> Versioned<R>
where
    R: DeserializeOwned,
{
    /// Decodes the row with the given key, if it is among `rows`.
    pub fn find(rows: &[TableRow], key: &RowKey) -> Result<Option<Self>, DecodeError> {
        let key = key.to_string();
        rows.iter()
            .find(|row| *row.key == *key)
            .map(Self::try_from)
            .transpose()
    }
}

impl<R> TryFrom<&TableRow> for Versioned<R>
where
    R: DeserializeOwned,
{
    type Error = DecodeError;
    fn try_from(row: &TableRow) -> Result<Self, DecodeError> {
        let record = serde_json::from_str(&row.value).context(DecodeSnafu { key: row.key.clone() })?;
        Ok(Self::new(record, row.version))
    }
}

/// The field that all records have in common.
#[derive(Deserialize)]
struct WriteStamp {
    write_id: WriteId,
}

/// Returns whether the transaction with this id was the last to write the row.
pub fn is_written_by(row: &TableRow, write_id: WriteId) -> bool {
    serde_json::from_str::<WriteStamp>(&row.value).is_ok_and(|stamp| stamp.write_id == write_id)
}

/// Encodes a record as the value of a row.
pub(crate) fn encode<R>(record: &R) -> Arc<str>
where
    R: Serialize,
{
    // Records have only string map keys and derived implementations, so encoding cannot fail.
    serde_json::to_string(record)
        .expect("record encodes as JSON")
        .into()
}
