use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::BootClock;
use crate::row_store::{RowChange, RowCondition, RowStore, RowWrite, StoreError, TransactOutcome};
use crate::seat_authority::SeatAuthority;
use crate::seat_record::{HOLDER_KEY, SEAT_TABLE, SeatRecord};

/// Most rows written by one commit besides the row of the seat.
const COMMIT_ROWS: usize = 90;
/// Most bytes written by one commit; the store takes up to 1 MB of encoded text.
const COMMIT_BYTES: usize = 500_000;
/// A commit without an answer is repeated after this time, in milliseconds.
const ATTEMPT_MS: u64 = 500;
/// Pause after a refused commit, in milliseconds.
const RETRY_MS: u64 = 80;

/// The seat belongs to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SeatLost;

/// Commits of the holder of an epoch.
///
/// Every commit expects the row of the seat as the one before left it and rewrites it. So a commit takes
/// effect at most once, in order, and only while the seat is held, however late the store carries it out.
#[derive(Debug)]
pub(crate) struct CommitLog<S> {
    store: S,
    clock: BootClock,
    authority: Arc<SeatAuthority>,
    record: SeatRecord,
    version: u64,
}

impl<S> CommitLog<S>
where
    S: RowStore,
{
    pub(crate) fn new(
        store: S,
        clock: BootClock,
        authority: Arc<SeatAuthority>,
        record: SeatRecord,
        version: u64,
    ) -> Self {
        Self {
            store,
            clock,
            authority,
            record,
            version,
        }
    }

    /// Stores the writes, in several commits if they are many; repeats until it is done or the seat is lost.
    pub(crate) async fn commit(&mut self, writes: Vec<RowWrite>) -> Result<(), SeatLost> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for write in writes {
            let size = write.value.as_ref().map_or(0, Bytes::len);
            if batch.len() >= COMMIT_ROWS || bytes + size > COMMIT_BYTES && !batch.is_empty() {
                self.commit_batch(std::mem::take(&mut batch), false).await?;
                bytes = 0;
            }
            bytes += size;
            batch.push(write);
        }
        self.commit_batch(batch, false).await
    }

    /// Gives the seat up.
    pub(crate) async fn release(&mut self) -> Result<(), SeatLost> {
        self.commit_batch(Vec::new(), true).await
    }

    async fn commit_batch(&mut self, mut writes: Vec<RowWrite>, released: bool) -> Result<(), SeatLost> {
        let record = SeatRecord {
            sequence: self.record.sequence + 1,
            released,
            ..self.record.clone()
        };
        writes.push(RowWrite {
            table: SEAT_TABLE,
            key: HOLDER_KEY.into(),
            value: Some(record.encode_to_vec().into()),
        });
        let change = RowChange {
            conditions: vec![RowCondition {
                table: SEAT_TABLE,
                key: HOLDER_KEY.into(),
                version: self.version,
            }],
            writes,
        };
        let mut failing = false;
        loop {
            if self.authority.is_lost() {
                return Err(SeatLost);
            }
            let sent_at = self.clock.now();
            match self.store.transact(&change, sent_at + ATTEMPT_MS).await {
                Ok(TransactOutcome::Committed { version }) => {
                    self.finish(record, version, sent_at);
                    if failing {
                        log::info!("[store] regained purpose=commit epoch={}", self.record.epoch);
                    }
                    return Ok(());
                }
                Ok(TransactOutcome::Conflict { rows }) => {
                    let present = rows.first().and_then(|row| {
                        let value = row.value.as_ref()?;
                        Some((SeatRecord::decode(value.clone()).ok()?, row.version))
                    });
                    return match present {
                        // An earlier attempt of this commit took effect and its answer was lost.
                        Some((present, version)) if present == record => {
                            self.finish(record, version, sent_at);
                            Ok(())
                        }
                        present => {
                            log::warn!(
                                "[seat] lost epoch={} sequence={} present={present:?}",
                                self.record.epoch,
                                record.sequence
                            );
                            self.authority.lose();
                            Err(SeatLost)
                        }
                    };
                }
                Err(error) => {
                    if !failing {
                        log::warn!(
                            "[store] lost purpose=commit epoch={} error={error}",
                            self.record.epoch
                        );
                    }
                    failing = true;
                    if matches!(error, StoreError::NotDone { .. }) {
                        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                    }
                }
            }
        }
    }

    fn finish(&mut self, record: SeatRecord, version: u64, sent_at: arbutuspick_model::ClockTime) {
        self.record = record;
        self.version = version;
        self.authority.confirm(sent_at);
    }
}
