use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{CallError, CallPriority};
use arbutuspick_model::{CentreName, ClockTime, JobId, WriteId};
use arbutuspick_records::{CommitResolution, JobRecord, JobState, LeaseRecord, RowKey, ScanQuery, Versioned};
use rand::Rng;
use tokio::time::sleep;

use super::choose_other_centre;
use super::job_submit::notify_holder;
use crate::daemon::EntryContext;
use crate::table::{ReadError, commit, read_rows};

/// Largest number of rows of each list that one round examines, which limits its share of the table writes.
const MAX_SCANNED_ROWS: u32 = 32;
/// Time limit for committing one move, including retries and read-backs after a lost response.
const COMMIT_TIMEOUT_MS: u64 = 2_000;

/// Moves queued jobs out of data centres whose holder is unreachable, until the daemon stops.
///
/// Several entry VMs may try the same move; the version check on the job row lets only one commit.
pub(crate) async fn run_job_rescue(context: Arc<EntryContext>) {
    let rescue_after = context.settings.limits.rescue_after;
    let mut last_heard: BTreeMap<CentreName, ClockTime> = BTreeMap::new();
    let started = context.clock.now();
    loop {
        // Jitter, so that the entry VMs seldom try the same moves at the same time.
        let fraction = rand::rng().random_range(0.25..0.5);
        sleep(rescue_after.mul_f64(fraction)).await;
        let now = context.clock.now();
        last_heard.extend(
            context
                .summaries
                .fresh(now)
                .into_keys()
                .map(|centre| (centre, now)),
        );
        for centre in context.centres.names() {
            let last = last_heard.get(&centre).copied().unwrap_or(started);
            let is_unreachable = Duration::from_millis(now.millis_since(last)) >= rescue_after;
            if is_unreachable
                && centre != context.settings.data_centre
                && let Err(error) = rescue(&context, &centre).await
            {
                log::debug!("[router] reading the queued jobs of {centre} failed: {error}");
            }
        }
    }
}

/// Moves the queued jobs of a data centre, if its placement lease has expired as well.
async fn rescue(context: &EntryContext, centre: &CentreName) -> Result<(), ReadError> {
    let key = RowKey::Lease(centre.clone());
    let rows = read_rows(
        &context.table,
        std::slice::from_ref(&key),
        CallPriority::StatusRead,
    )
    .await?;
    let lease: Option<Versioned<LeaseRecord>> = rows.get(&key)?;
    if lease.is_some_and(|lease| !lease.record.has_expired(rows.time)) {
        return Ok(());
    }
    for prefix in [RowKey::inbox_prefix(centre), RowKey::placed_prefix(centre)] {
        let jobs = listed_jobs(context, prefix).await?;
        let keys: Vec<RowKey> = jobs.into_iter().map(RowKey::Job).collect();
        if keys.is_empty() {
            continue;
        }
        let rows = read_rows(&context.table, &keys, CallPriority::StatusRead).await?;
        for key in &keys {
            if let Some(row) = rows.get::<JobRecord>(key)? {
                move_job(context, centre, row).await;
            }
        }
    }
    Ok(())
}

async fn listed_jobs(context: &EntryContext, prefix: Arc<str>) -> Result<Vec<JobId>, CallError> {
    let query = ScanQuery {
        prefix,
        after: None,
        limit: MAX_SCANNED_ROWS,
    };
    let response = context.table.scan(&query, CallPriority::StatusRead).await?;
    let keys = response
        .body
        .rows
        .iter()
        .filter_map(|row| RowKey::try_from(&*row.key).ok());
    Ok(keys
        .filter_map(|key| match key {
            RowKey::Inbox(_, job) | RowKey::Placed(_, job) => Some(job),
            _ => None,
        })
        .collect())
}

async fn move_job(context: &EntryContext, centre: &CentreName, row: Versioned<JobRecord>) {
    let JobRecord {
        job,
        state,
        data_centre,
        spec,
        ..
    } = &row.record;
    if *state != JobState::Queued || data_centre != centre {
        return;
    }
    let Some(target) = choose_other_centre(context, spec, centre) else {
        return;
    };
    let change = match row.move_to(target.clone(), None, WriteId::generate()) {
        Ok(change) => change,
        Err(error) => return log::warn!("[router] job {job} cannot be moved from {centre}: {error}"),
    };
    let deadline = context.clock.now() + COMMIT_TIMEOUT_MS;
    let resolution = commit(
        &context.table,
        &change.transaction,
        CallPriority::StatusRead,
        deadline,
    )
    .await;
    if let CommitResolution::Committed { version } = resolution {
        log::info!(
            "[router] job {job} moved from {centre} to {target}: the holder of {centre} is unreachable"
        );
        notify_holder(context, &target, *job);
        context.jobs.store(change.committed(version)).await;
    }
}
