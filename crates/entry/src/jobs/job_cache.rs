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

/// Time for which a cached row is used without another read.
const CACHE_TTL_MS: u64 = 200;
/// Pauses between the reads for a waiting caller, which double. Most ends are reported earlier by a peer.
const FIRST_POLL_MS: u64 = 250;
const MAX_POLL_MS: u64 = 2_000;
/// Largest number of cached jobs, unless more are in use at once.
const MAX_CACHED_JOBS: usize = 8_192;

/// Why the status of a job cannot be read.
#[derive(Debug, Snafu)]
pub(crate) enum JobReadError {
    /// The call to the table failed and no row is cached.
    #[snafu(transparent)]
    Call { source: CallError },
    /// The row cannot be decoded as a job.
    #[snafu(transparent)]
    Decode { source: DecodeError },
}

/// A job row and the time at which it was read.
#[derive(Clone)]
pub(crate) struct CachedJob {
    pub(crate) row: Option<Arc<Versioned<JobRecord>>>,
    pub(crate) read_at: ClockTime,
    /// Whether a later read failed.
    pub(crate) is_stale: bool,
}

#[derive(Default)]
struct CacheEntry {
    /// Locked during a read, so that concurrent readers share its result.
    cached: AsyncMutex<Option<CachedJob>>,
    /// Set when the job is reported to have ended, so that the row is read again before its TTL is over.
    outdated: AtomicBool,
    ended: Notify,
}

/// Cache of job rows, which also wakes the callers that wait for the end of a job.
pub(crate) struct JobCache {
    table: TableClient,
    clock: ProcessClock,
    entries: Mutex<HashMap<JobId, Arc<CacheEntry>>>,
}

impl JobCache {
    pub(crate) fn new(table: TableClient, clock: ProcessClock) -> Self {
        Self {
            table,
            clock,
            entries: Mutex::default(),
        }
    }

    fn entry(&self, job: JobId) -> Arc<CacheEntry> {
        let mut entries = self.entries.lock();
        if entries.len() >= MAX_CACHED_JOBS && !entries.contains_key(&job) {
            // An entry in use has a second reference.
            entries.retain(|_, entry| Arc::strong_count(entry) > 1);
        }
        Arc::clone(entries.entry(job).or_default())
    }

    /// Returns the row of a job. If the read fails, it is the cached row, marked as stale.
    pub(crate) async fn read(&self, job: JobId) -> Result<CachedJob, JobReadError> {
        let entry = self.entry(job);
        let mut cached = entry.cached.lock().await;
        let now = self.clock.now();
        if let Some(known) = &*cached {
            let outdated = entry.outdated.swap(false, Ordering::AcqRel);
            let is_final = known.row.as_ref().is_some_and(|row| row.record.state.is_final());
            if is_final || (!known.is_stale && !outdated && now.millis_since(known.read_at) < CACHE_TTL_MS) {
                return Ok(known.clone());
            }
        }
        match self.read_row(job).await {
            Ok(row) => {
                let newest = newer(cached.as_ref().and_then(|known| known.row.clone()), row);
                Ok(cached
                    .insert(CachedJob {
                        row: newest,
                        read_at: now,
                        is_stale: false,
                    })
                    .clone())
            }
            Err(JobReadError::Call { source }) => match &mut *cached {
                Some(known) if known.row.is_some() => {
                    known.is_stale = true;
                    Ok(known.clone())
                }
                _ => Err(source.into()),
            },
            Err(error) => Err(error),
        }
    }

    async fn read_row(&self, job: JobId) -> Result<Option<Arc<Versioned<JobRecord>>>, JobReadError> {
        let key = RowKey::Job(job);
        let rows = read_rows(&self.table, std::slice::from_ref(&key), CallPriority::StatusRead).await?;
        Ok(rows.get(&key)?.map(Arc::new))
    }

    /// Caches a row that this VM has just committed.
    pub(crate) async fn store(&self, row: Versioned<JobRecord>) {
        let entry = self.entry(row.record.job);
        let mut cached = entry.cached.lock().await;
        let known = cached.take().and_then(|known| known.row);
        let read_at = self.clock.now();
        *cached = Some(CachedJob {
            row: newer(known, Some(Arc::new(row))),
            read_at,
            is_stale: false,
        });
    }

    /// Makes the callers that wait for this job read its row at once.
    pub(crate) fn notify_ended(&self, job: JobId) {
        let entry = self.entries.lock().get(&job).cloned();
        if let Some(entry) = entry {
            entry.outdated.store(true, Ordering::Release);
            entry.ended.notify_waiters();
        }
    }

    /// Waits for a final state until the deadline and returns the last row.
    pub(crate) async fn wait_final(
        &self,
        job: JobId,
        deadline: ClockTime,
    ) -> Result<CachedJob, JobReadError> {
        let entry = self.entry(job);
        let mut pause_ms = FIRST_POLL_MS;
        loop {
            let ended = entry.ended.notified();
            tokio::pin!(ended);
            // Registered before the read, so that a notification in between is not missed.
            ended.as_mut().enable();
            let cached = self.read(job).await?;
            let now = self.clock.now();
            if cached.row.as_ref().is_none_or(|row| row.record.state.is_final()) || now >= deadline {
                return Ok(cached);
            }
            let next_read = self.clock.instant(deadline.min(now + pause_ms));
            tokio::select! { () = ended => {}, () = sleep_until(next_read) => {} }
            pause_ms = (pause_ms * 2).min(MAX_POLL_MS);
        }
    }
}

/// Returns the row with the higher version; a read may return an older row than the cached one.
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
