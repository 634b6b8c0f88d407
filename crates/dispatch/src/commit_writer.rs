use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::BootClock;
use crate::leader_authority::LeaderAuthority;
use crate::leader_record::{LEADER_KEY, LEADER_TABLE, LeaderRecord};
use crate::row_store::{RowCondition, RowStore, RowTransaction, RowWrite, StoreError, TransactOutcome};

/// Maximum number of rows written by one commit besides the leader row.
const MAX_COMMIT_ROWS: usize = 90;
/// Maximum size of the values in one commit, in bytes; the store accepts up to 1 MB of encoded text.
const MAX_COMMIT_BYTES: usize = 500_000;
/// Timeout after which a commit without an answer is retried, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 500;
/// Delay before a refused commit is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 80;

/// Leadership has ended: another process has become leader, or a takeover could not read the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeadershipLost;

/// Writes the commits of the leader of an epoch.
///
/// Every commit requires the version of the leader row that the previous commit wrote, and rewrites the row.
/// So a commit is applied at most once, in order, and only during the epoch, however late the store executes
/// it.
#[derive(Debug)]
pub(crate) struct CommitWriter<S> {
    store: S,
    clock: BootClock,
    authority: Arc<LeaderAuthority>,
    record: LeaderRecord,
    version: u64,
}

impl<S> CommitWriter<S>
where
    S: RowStore,
{
    pub(crate) fn new(
        store: S,
        clock: BootClock,
        authority: Arc<LeaderAuthority>,
        record: LeaderRecord,
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

    /// Stores the writes in as many commits as needed; retries until all are stored or leadership is lost.
    pub(crate) async fn commit(&mut self, writes: Vec<RowWrite>) -> Result<(), LeadershipLost> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for write in writes {
            let size = write.value.as_ref().map_or(0, Bytes::len);
            if batch.len() >= MAX_COMMIT_ROWS || bytes + size > MAX_COMMIT_BYTES && !batch.is_empty() {
                self.commit_batch(std::mem::take(&mut batch), false).await?;
                bytes = 0;
            }
            bytes += size;
            batch.push(write);
        }
        self.commit_batch(batch, false).await
    }

    /// Sets the number of workers that the next commits record.
    pub(crate) fn set_workers(&mut self, workers: u64) {
        self.record.workers = workers;
    }

    /// Resigns from leadership, in favour of a VM if there is one.
    pub(crate) async fn resign(&mut self, successor: Option<&str>) -> Result<(), LeadershipLost> {
        self.record.successor = successor.unwrap_or_default().into();
        self.commit_batch(Vec::new(), true).await
    }

    async fn commit_batch(
        &mut self,
        mut writes: Vec<RowWrite>,
        resigned: bool,
    ) -> Result<(), LeadershipLost> {
        let record = LeaderRecord {
            sequence: self.record.sequence + 1,
            resigned,
            ..self.record.clone()
        };
        writes.push(RowWrite {
            table: LEADER_TABLE,
            key: LEADER_KEY.into(),
            value: Some(record.encode_to_vec().into()),
        });
        let transaction = RowTransaction {
            conditions: vec![RowCondition {
                table: LEADER_TABLE,
                key: LEADER_KEY.into(),
                version: self.version,
            }],
            writes,
        };
        let mut is_retry = false;
        loop {
            if self.authority.is_revoked() {
                return Err(LeadershipLost);
            }
            let sent_at = self.clock.now();
            match self
                .store
                .transact(&transaction, sent_at + ATTEMPT_TIMEOUT_MS)
                .await
            {
                Ok(TransactOutcome::Committed { version }) => {
                    self.advance(record, version, sent_at);
                    if is_retry {
                        log::info!("[store] regained purpose=commit epoch={}", self.record.epoch);
                    }
                    return Ok(());
                }
                Ok(TransactOutcome::Conflict { rows }) => {
                    let current = rows.first().and_then(|row| {
                        let value = row.value.as_ref()?;
                        Some((LeaderRecord::decode(value.clone()).ok()?, row.version))
                    });
                    return match current {
                        // An earlier attempt of this commit was applied and its answer was lost.
                        Some((current, version)) if current == record => {
                            self.advance(record, version, sent_at);
                            Ok(())
                        }
                        current => {
                            log::warn!(
                                "[seat] lost epoch={} sequence={} present={current:?}",
                                self.record.epoch,
                                record.sequence
                            );
                            self.authority.revoke();
                            Err(LeadershipLost)
                        }
                    };
                }
                Err(error) => {
                    if !is_retry {
                        log::warn!(
                            "[store] lost purpose=commit epoch={} error={error}",
                            self.record.epoch
                        );
                    }
                    is_retry = true;
                    if matches!(error, StoreError::NotExecuted { .. }) {
                        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    }
                }
            }
        }
    }

    fn advance(&mut self, record: LeaderRecord, version: u64, sent_at: arbutuspick_model::ClockTime) {
        self.record = record;
        self.version = version;
        self.authority.confirm(sent_at);
    }
}
