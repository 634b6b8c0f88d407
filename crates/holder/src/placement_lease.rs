use std::sync::Arc;

use arbutuspick_clients::{CallError, CallPriority, TransactionOutcome, commit_transaction};
use arbutuspick_model::{ClockTime, PlatformTime, WriteId};
use arbutuspick_records::{
    DecodeError, EpochRecord, HolderGuard, LeaseRecord, LeaseTakeover, RowKey, TableRow, Versioned,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::table_reader::decode_row;
use crate::{HolderContext, HolderOptions};

/// Interval of renewals of the placement lease, and of attempts to acquire it. Also the timeout of its
/// release.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// Timeout of the commit of a renewal or takeover.
const LEASE_COMMIT_TIMEOUT_MS: u64 = 2_500;

/// The placement lease while this process holds it.
#[derive(Clone, Debug)]
pub(crate) struct PlacementLease {
    pub(crate) guard: HolderGuard,
    row: Versioned<LeaseRecord>,
    /// End of the lease on the clock of this process.
    pub(crate) valid_until: ClockTime,
}

/// State of the lease, published by the renewal task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseValidity {
    pub(crate) valid_until: ClockTime,
    /// Whether the lease can no longer be renewed, for example because another process took it over.
    pub(crate) lost: bool,
}

struct LeaseRows {
    epoch: Option<Versioned<EpochRecord>>,
    lease: Option<Versioned<LeaseRecord>>,
    read_at: ClockTime,
    platform_time: PlatformTime,
}

fn find_row<R>(rows: &[TableRow], key: &str) -> Option<Versioned<R>>
where
    Versioned<R>: for<'a> TryFrom<&'a TableRow, Error = DecodeError>,
{
    rows.iter().find(|row| &*row.key == key).and_then(decode_row)
}

async fn read_rows(options: &HolderOptions, context: &HolderContext) -> Result<LeaseRows, CallError> {
    let epoch_key: Arc<str> = RowKey::Epoch(options.data_centre.clone()).into();
    let lease_key: Arc<str> = RowKey::Lease(options.data_centre.clone()).into();
    let read_at = context.clock.now();
    let keys = [epoch_key.clone(), lease_key.clone()];
    let answer = context.table.read(&keys, CallPriority::Essential).await?;
    Ok(LeaseRows {
        epoch: find_row(&answer.body.rows, &epoch_key),
        lease: find_row(&answer.body.rows, &lease_key),
        read_at,
        platform_time: answer.time,
    })
}

/// Waits until the lease is free and acquires it. Returns `None` on shutdown.
pub(crate) async fn acquire_lease(
    options: &HolderOptions,
    context: &HolderContext,
    shutdown: &CancellationToken,
) -> Option<PlacementLease> {
    while !shutdown.is_cancelled() {
        match try_acquire(options, context).await {
            Ok(Some(lease)) => return Some(lease),
            Ok(None) => {}
            Err(error) => log::debug!("[holder] cannot read lease rows: {error}"),
        }
        let pause = context.clock.instant(context.clock.now() + RENEW_INTERVAL_MS);
        tokio::select! {
            () = shutdown.cancelled() => return None,
            () = tokio::time::sleep_until(pause) => {}
        }
    }
    None
}

async fn try_acquire(
    options: &HolderOptions,
    context: &HolderContext,
) -> Result<Option<PlacementLease>, CallError> {
    let LeaseRows {
        epoch,
        lease,
        read_at,
        platform_time,
    } = read_rows(options, context).await?;
    let takeover = LeaseTakeover {
        data_centre: options.data_centre.clone(),
        epoch: epoch.as_ref(),
        lease: lease.as_ref(),
        holder: options.identity.clone(),
        address: options.peer_address,
        now: platform_time,
    };
    let Ok(change) = EpochRecord::take_over(takeover, WriteId::generate()) else {
        return Ok(None);
    };
    let deadline = read_at + LEASE_COMMIT_TIMEOUT_MS;
    let outcome = commit_transaction(
        &context.table,
        &change.transaction,
        deadline,
        CallPriority::Essential,
    )
    .await;
    let TransactionOutcome::Committed { version, .. } = outcome else {
        return Ok(None);
    };
    let (epoch, row) = change.committed(version).split();
    let valid_until = row.record.local_deadline(platform_time, read_at);
    Ok(epoch.guard(&options.identity).map(|guard| PlacementLease {
        guard,
        row,
        valid_until,
    }))
}

/// Renews the lease at [`RENEW_INTERVAL_MS`] until it is lost, and releases it when the token is cancelled.
pub(crate) async fn renew_lease(
    mut lease: PlacementLease,
    options: HolderOptions,
    context: HolderContext,
    validity: watch::Sender<LeaseValidity>,
    stop: CancellationToken,
) {
    loop {
        let pause = context.clock.instant(context.clock.now() + RENEW_INTERVAL_MS);
        tokio::select! {
            () = stop.cancelled() => return release_lease(&lease, &context).await,
            () = validity.closed() => return,
            () = tokio::time::sleep_until(pause) => {}
        }
        if !renew_once(&mut lease, &options, &context).await {
            validity.send_replace(LeaseValidity {
                valid_until: ClockTime(0),
                lost: true,
            });
            return;
        }
        validity.send_replace(LeaseValidity {
            valid_until: lease.valid_until,
            lost: false,
        });
    }
}

/// Renews the lease once and returns whether, as far as is known, this process still holds it.
async fn renew_once(lease: &mut PlacementLease, options: &HolderOptions, context: &HolderContext) -> bool {
    let Some(now) = context.table.platform_time() else {
        return true;
    };
    let Ok(change) = lease.row.renew(&lease.guard, now, WriteId::generate()) else {
        return false;
    };
    let deadline = context.clock.now() + LEASE_COMMIT_TIMEOUT_MS;
    let outcome = commit_transaction(
        &context.table,
        &change.transaction,
        deadline,
        CallPriority::Essential,
    )
    .await;
    if let TransactionOutcome::Committed {
        version,
        sent_at,
        answered_at,
    } = outcome
    {
        lease.row = change.committed(version);
        lease.valid_until = lease.row.record.local_deadline(answered_at, sent_at);
        return true;
    }
    // A copy of the transaction whose answer was lost may have written the row, so its version is read again.
    match read_rows(options, context).await {
        Ok(LeaseRows {
            epoch: Some(epoch),
            lease: Some(row),
            ..
        }) => {
            lease.row = row;
            epoch.version == lease.guard.version
        }
        _ => true,
    }
}

async fn release_lease(lease: &PlacementLease, context: &HolderContext) {
    let Some(now) = context.table.platform_time() else {
        return;
    };
    let Ok(change) = lease.row.release(&lease.guard, now, WriteId::generate()) else {
        return;
    };
    let deadline = context.clock.now() + RENEW_INTERVAL_MS;
    let outcome = commit_transaction(
        &context.table,
        &change.transaction,
        deadline,
        CallPriority::Essential,
    )
    .await;
    log::info!(
        "[holder] release of placement lease finished data_centre={} commit={outcome:?}",
        lease.guard.data_centre
    );
}
