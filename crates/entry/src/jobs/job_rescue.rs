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
use crate::table::{ReadFault, commit, read_rows};

/// Jobs of one data centre that are looked at in one round, which bounds the writes that other users miss.
const ROUND_JOBS: u32 = 32;
/// Time in which one move is repeated or read back after a lost answer, in milliseconds.
const COMMIT_LIMIT_MS: u64 = 2_000;

/// Moves queued jobs out of data centres whose holder is unreachable, until the daemon ends.
///
/// Several entry VMs may do so at once; the version of the job row lets one of them win.
pub(crate) async fn run_job_rescue(context: Arc<EntryContext>) {
    let limit = context.settings.limits.rescue_after;
    let mut heard: BTreeMap<CentreName, ClockTime> = BTreeMap::new();
    let started = context.clock.now();
    loop {
        // A random part of the interval, so that the entry VMs seldom try the same moves.
        let part = rand::rng().random_range(0.25..0.5);
        sleep(limit.mul_f64(part)).await;
        let now = context.clock.now();
        heard.extend(
            context
                .summaries
                .fresh(now)
                .into_keys()
                .map(|centre| (centre, now)),
        );
        for centre in context.centres.names() {
            let last = heard.get(&centre).copied().unwrap_or(started);
            let silent = Duration::from_millis(now.millis_since(last)) >= limit;
            if silent
                && centre != context.settings.data_centre
                && let Err(error) = rescue(&context, &centre).await
            {
                log::debug!("[router] queued jobs of {centre} cannot be read: {error}");
            }
        }
    }
}

/// Moves queued jobs when the placement lease has expired as well.
async fn rescue(context: &EntryContext, centre: &CentreName) -> Result<(), ReadFault> {
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
        limit: ROUND_JOBS,
    };
    let answer = context.table.scan(&query, CallPriority::StatusRead).await?;
    let keys = answer
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
        Err(error) => return log::warn!("[router] job {job} cannot be moved: {error}"),
    };
    let deadline = context.clock.now() + COMMIT_LIMIT_MS;
    let end = commit(
        &context.table,
        &change.transaction,
        CallPriority::StatusRead,
        deadline,
    )
    .await;
    if let CommitResolution::Committed { version } = end {
        log::info!("[router] job {job} moved from {centre} to {target}, since its holder is unreachable");
        notify_holder(context, &target, *job);
        context.jobs.record(change.committed(version)).await;
    }
}
