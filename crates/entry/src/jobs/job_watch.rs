use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arbutuspick_clients::{CallError, CallPriority, ProcessClock, TableClient};
use arbutuspick_model::{ClockTime, JobId};
use arbutuspick_records::{DecodeError, JobRecord, RowKey, Versioned};
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::{Mutex as AsyncMutex, Notify};
use tokio::time::sleep_until;

use crate::table::read_rows;

/// Time for which a row that was read is used again, in milliseconds.
const CACHE_MS: u64 = 200;
/// Pauses between the reads for one waiting caller, in milliseconds. Most ends are reported by a peer.
const FIRST_PAUSE_MS: u64 = 250;
const LAST_PAUSE_MS: u64 = 2_000;
/// Jobs whose last status is kept.
const MAX_JOBS: usize = 8_192;

/// Why the status of a job cannot be given.
#[derive(Debug, Snafu)]
pub(crate) enum WatchFault {
    /// The table gave no answer and no earlier status is known.
    #[snafu(transparent)]
    Call { source: CallError },
    /// The row is not a job.
    #[snafu(transparent)]
    Content { source: DecodeError },
}

/// A job row and the time at which it was read.
#[derive(Clone)]
pub(crate) struct SeenJob {
    pub(crate) row: Option<Arc<Versioned<JobRecord>>>,
    pub(crate) read_at: ClockTime,
    /// Whether the table failed to answer after that time.
    pub(crate) is_old: bool,
}

#[derive(Default)]
struct WatchEntry {
    /// Held during a read, so that concurrent readers share it.
    seen: AsyncMutex<Option<SeenJob>>,
    /// Set when the job is reported to have ended, so that the row is read again.
    outdated: AtomicBool,
    ended: Notify,
}

/// Job rows that were read lately, and the callers who wait for the end of a job.
pub(crate) struct JobWatch {
    table: TableClient,
    clock: ProcessClock,
    entries: Mutex<HashMap<JobId, Arc<WatchEntry>>>,
}

impl JobWatch {
    pub(crate) fn new(table: TableClient, clock: ProcessClock) -> Self {
        Self {
            table,
            clock,
            entries: Mutex::default(),
        }
    }

    fn entry(&self, job: JobId) -> Arc<WatchEntry> {
        let mut entries = self.entries.lock();
        if entries.len() >= MAX_JOBS && !entries.contains_key(&job) {
            // Entries that a caller uses have a second reference.
            entries.retain(|_, entry| Arc::strong_count(entry) > 1);
        }
        Arc::clone(entries.entry(job).or_default())
    }

    /// Returns the row of a job. Without the platform it is the last one that was read, marked as old.
    pub(crate) async fn read(&self, job: JobId) -> Result<SeenJob, WatchFault> {
        let entry = self.entry(job);
        let mut seen = entry.seen.lock().await;
        let now = self.clock.now();
        if let Some(known) = &*seen {
            let outdated = entry.outdated.swap(false, Ordering::AcqRel);
            let is_final = known.row.as_ref().is_some_and(|row| row.record.state.is_final());
            if is_final || (!known.is_old && !outdated && now.millis_since(known.read_at) < CACHE_MS) {
                return Ok(known.clone());
            }
        }
        match self.read_row(job).await {
            Ok(row) => {
                let newest = newer(seen.as_ref().and_then(|known| known.row.clone()), row);
                Ok(seen
                    .insert(SeenJob {
                        row: newest,
                        read_at: now,
                        is_old: false,
                    })
                    .clone())
            }
            Err(WatchFault::Call { source }) => match &mut *seen {
                Some(known) if known.row.is_some() => {
                    known.is_old = true;
                    Ok(known.clone())
                }
                _ => Err(source.into()),
            },
            Err(error) => Err(error),
        }
    }

    async fn read_row(&self, job: JobId) -> Result<Option<Arc<Versioned<JobRecord>>>, WatchFault> {
        let key = RowKey::Job(job);
        let rows = read_rows(&self.table, std::slice::from_ref(&key), CallPriority::StatusRead).await?;
        Ok(rows.get(&key)?.map(Arc::new))
    }

    /// Takes a row that this VM has just written.
    pub(crate) async fn record(&self, row: Versioned<JobRecord>) {
        let entry = self.entry(row.record.job);
        let mut seen = entry.seen.lock().await;
        let known = seen.take().and_then(|known| known.row);
        let read_at = self.clock.now();
        *seen = Some(SeenJob {
            row: newer(known, Some(Arc::new(row))),
            read_at,
            is_old: false,
        });
    }

    /// Lets the callers who wait for this job read its row at once.
    pub(crate) fn wake(&self, job: JobId) {
        let entry = self.entries.lock().get(&job).cloned();
        if let Some(entry) = entry {
            entry.outdated.store(true, Ordering::Release);
            entry.ended.notify_waiters();
        }
    }

    /// Waits for a final state until the deadline and returns the last row.
    pub(crate) async fn wait_final(&self, job: JobId, deadline: ClockTime) -> Result<SeenJob, WatchFault> {
        let entry = self.entry(job);
        let mut pause_ms = FIRST_PAUSE_MS;
        loop {
            let ended = entry.ended.notified();
            tokio::pin!(ended);
            // Registered before the read, so that an end in between is not missed.
            ended.as_mut().enable();
            let seen = self.read(job).await?;
            let now = self.clock.now();
            if seen.row.as_ref().is_none_or(|row| row.record.state.is_final()) || now >= deadline {
                return Ok(seen);
            }
            let next_read = self.clock.instant(deadline.min(now + pause_ms));
            tokio::select! { () = ended => {}, () = sleep_until(next_read) => {} }
            pause_ms = (pause_ms * 2).min(LAST_PAUSE_MS);
        }
    }
}

/// Returns the row with the higher version; a read may have come from before the last one.
fn newer(
    known: Option<Arc<Versioned<JobRecord>>>,
    read: Option<Arc<Versioned<JobRecord>>>,
) -> Option<Arc<Versioned<JobRecord>>> {
    match (known, read) {
        (Some(known), Some(read)) if read.version < known.version => Some(known),
        (known, None) => known,
        (_, read) => read,
    }
}
