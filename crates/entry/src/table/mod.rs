//! Reads from and commits to the platform's table.

mod row_set;
mod table_commit;

pub(crate) use row_set::{ReadError, RowSet, read_rows};
pub(crate) use table_commit::commit;

/// Time for which the row of an idempotency key is kept: one day.
pub(crate) const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
