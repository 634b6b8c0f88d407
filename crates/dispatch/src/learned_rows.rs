//! Stores what the scheduler has learned, so that the next leader need not learn it again.
//!
//! Each learned state is one row under its own key. The rows belong to no record: one that is missing, outdated or
//! unreadable only makes choices worse, so nothing waits for them and no error stops a leader.

use arbutuspick_model::ClockTime;
use arbutuspick_pool::PoolCore;

use crate::row_store::{RowEntry, RowStore, RowWrite, read_table};

/// Table of the learned states, by key.
pub(crate) const LEARNED_TABLE: &str = "learned";
/// Timeout of the read at a takeover, in milliseconds; the leader starts without the states then.
const READ_TIMEOUT_MS: u64 = 1_000;
/// Maximum size of a learned state, in bytes; it is written every few seconds at most.
const MAX_LEARNED_BYTES: usize = 16_384;

/// Reads the stored states; returns none if they cannot be read in time.
pub(crate) async fn read_learned<S>(store: &S, now: ClockTime) -> Vec<RowEntry>
where
    S: RowStore,
{
    match read_table(store, LEARNED_TABLE, now + READ_TIMEOUT_MS).await {
        Ok((rows, _)) => rows,
        Err(error) => {
            log::warn!("[seat] table={LEARNED_TABLE} read failed, starting without: {error}");
            Vec::new()
        }
    }
}

/// Gives the stored states to the core; states that it cannot use are logged and ignored.
pub(crate) fn restore_learned(core: &mut PoolCore, rows: Vec<RowEntry>, now: ClockTime) {
    for row in rows {
        let Some(value) = row.value else { continue };
        if let Err(error) = core.restore_learned(&row.key, &value, now) {
            log::warn!("[seat] key={} ignored: {error}", row.key);
        }
    }
}

/// Appends the states that have changed enough to be stored again.
pub(crate) fn append_learned(
    core: &mut PoolCore,
    max_row_bytes: usize,
    now: ClockTime,
    writes: &mut Vec<RowWrite>,
) {
    // Half of a row, since the text encoding takes more than the value.
    let max_bytes = MAX_LEARNED_BYTES.min(max_row_bytes / 2);
    let learned = core.take_learned(max_bytes, now);
    writes.extend(learned.map(|state| RowWrite {
        table: LEARNED_TABLE,
        key: state.key.into(),
        value: Some(state.value.into()),
    }));
}
