use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::CallPriority;
use arbutuspick_model::{CentreName, ConfigChange, ConfigRevision, PoolConfig};
use arbutuspick_peer::{ConfigHead, ConfigPage, ConfigPull, PeerMessage};
use arbutuspick_records::{HeadRecord, ObjectKey, RevisionRecord, RowKey};
use futures::future::join_all;
use tokio::sync::Notify;
use tokio::time::{MissedTickBehavior, interval};

use super::CentreView;
use crate::daemon::EntryContext;
use crate::table::{ReadError, RowSet, read_rows};

/// Interval of the read of the head and of all data centres.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for the configuration of a peer, which a VM requests when it starts without the platform.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Revisions between two snapshots; a VM that is further behind loads the snapshot first.
const REVISIONS_PER_SNAPSHOT: u64 = 256;
/// Largest number of rows of one read.
const MAX_READ_ROWS: u64 = 256;

/// Wakes the synchronization before its next interval, e.g. when a peer has a higher revision.
#[derive(Debug, Default)]
pub(crate) struct ConfigSync {
    wake: Notify,
}

impl ConfigSync {
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }
}

/// Keeps the configuration, the data centres and the epochs up to date, until the daemon stops.
pub(crate) async fn run_config_sync(context: Arc<EntryContext>) {
    let mut ticks = interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = context.config_sync.wake.notified() => {}
        }
        match sync_now(&context).await {
            Ok(true) => context.config.set_ready(),
            Ok(false) => log::debug!("[config] the table returned rows older than the head"),
            Err(error) => {
                log_read_error(&error);
                if !context.config.is_ready() {
                    pull_from_peers(&context).await;
                }
            }
        }
    }
}

fn log_read_error(error: &ReadError) {
    match error {
        ReadError::Call { source } => log::debug!("[config] reading the configuration failed: {source}"),
        ReadError::Decode { source } => log::error!("[config] reading the configuration failed: {source}"),
    }
}

/// Reads the head and the rows of all data centres, and loads missing revisions.
///
/// Returns whether the configuration in force is at least as new as the head.
pub(crate) async fn sync_now(context: &EntryContext) -> Result<bool, ReadError> {
    let centres = context.centres.names();
    let mut keys = vec![RowKey::Head];
    for centre in &centres {
        keys.push(RowKey::Centre(centre.clone()));
        keys.push(RowKey::Epoch(centre.clone()));
    }
    let rows = read_rows(&context.table, &keys, CallPriority::Essential).await?;
    update_centres(context, &rows, centres)?;
    let head = rows
        .get::<HeadRecord>(&RowKey::Head)?
        .map(|row| row.record.revision);
    let head = head.unwrap_or_default();
    pull_revisions(context, head).await?;
    Ok(context.config.revision() >= head)
}

fn update_centres(context: &EntryContext, rows: &RowSet, centres: Vec<CentreName>) -> Result<(), ReadError> {
    let mut views = Vec::new();
    for centre in centres {
        let view = CentreView {
            record: rows.get(&RowKey::Centre(centre.clone()))?,
            epoch: rows.get(&RowKey::Epoch(centre.clone()))?,
            ..CentreView::default()
        };
        views.push((centre, view));
    }
    let closed_before = context.centres.closed_others().load_full();
    context.centres.update(views, rows.time, context.clock.now());
    for (centre, view) in context.centres.views() {
        context
            .router
            .routing
            .set_centre_open(&centre, view.accepts_work());
    }
    if **context.centres.closed_others().load() != *closed_before {
        context.holder.config_changed();
    }
    Ok(())
}

async fn pull_revisions(context: &EntryContext, head: ConfigRevision) -> Result<(), ReadError> {
    let before = context.config.revision();
    if head.0 > before.0 + REVISIONS_PER_SNAPSHOT {
        load_snapshot(context).await;
    }
    while context.config.revision() < head {
        let first = context.config.revision().next().0;
        let last = head.0.min(first + MAX_READ_ROWS - 1);
        let keys: Vec<RowKey> = (first..=last)
            .map(|n| RowKey::Revision(ConfigRevision(n)))
            .collect();
        let rows = read_rows(&context.table, &keys, CallPriority::Essential).await?;
        let mut changes: Vec<ConfigChange> = Vec::new();
        for key in &keys {
            changes.extend(rows.get::<RevisionRecord>(key)?.map(|row| row.record.change));
        }
        if !context.config.apply(&changes) {
            // The revisions were read from a replica that is behind the head; the next interval reads again.
            break;
        }
    }
    let after = context.config.revision();
    if after > before {
        log::info!("[config] revision {after} is in force");
        context
            .peers
            .notify_all(PeerMessage::ConfigHead(ConfigHead { revision: after.0 }));
        context.holder.config_changed();
    }
    Ok(())
}

/// Loads the snapshot, if it can be read; otherwise all missing revisions are read instead.
async fn load_snapshot(context: &EntryContext) {
    let key = ObjectKey::Snapshot.to_string();
    let bytes = match context.objects.get(&key, CallPriority::Essential).await {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return,
        Err(error) => return log::warn!("[config] reading the snapshot failed: {error}"),
    };
    match serde_json::from_slice::<PoolConfig>(&bytes) {
        Ok(config) => drop(context.config.replace(config)),
        Err(error) => log::warn!("[config] invalid snapshot ignored: {error}"),
    }
}

/// Stores a snapshot if one is due at this revision. After a failure, VMs that start read more revisions.
pub(crate) async fn store_snapshot(context: &EntryContext, committed: ConfigRevision) {
    let config = context.config.load();
    if !committed.0.is_multiple_of(REVISIONS_PER_SNAPSHOT) || config.revision < committed {
        return;
    }
    let bytes = match serde_json::to_vec(&*config) {
        Ok(bytes) => bytes.into(),
        Err(error) => return log::error!("[config] encoding the snapshot failed: {error}"),
    };
    let key = ObjectKey::Snapshot.to_string();
    if let Err(error) = context.objects.put(&key, bytes, CallPriority::Essential).await {
        log::warn!(
            "[config] storing the snapshot of revision {} failed: {error}",
            config.revision
        );
    }
}

/// Applies the highest revision among the peers that respond in time and are ready.
async fn pull_from_peers(context: &EntryContext) {
    let pulls = context.peers.peers().into_iter().map(|peer| async move {
        let pull = PeerMessage::ConfigPull(ConfigPull { above: 0 });
        match context.peers.request(&peer.vm, pull, PEER_TIMEOUT).await {
            Ok(PeerMessage::ConfigPage(page)) if page.ready => decode_page(&page),
            _ => None,
        }
    });
    let configs = join_all(pulls).await.into_iter().flatten();
    if let Some(config) = configs.max_by_key(|config| config.revision) {
        log::info!(
            "[config] revision {} loaded from a peer because the platform is unavailable",
            config.revision
        );
        context.config.replace(config);
        context.config.set_ready();
        context.holder.config_changed();
    }
}

fn decode_page(page: &ConfigPage) -> Option<PoolConfig> {
    if page.config_json.is_empty() {
        // Revision 0 is the empty configuration.
        return Some(PoolConfig::default());
    }
    serde_json::from_str(&page.config_json)
        .inspect_err(|error| log::warn!("[config] invalid configuration of a peer ignored: {error}"))
        .ok()
}

/// Returns the response to a pull of a peer, with the configuration if its revision is above the peer's.
pub(crate) fn config_page(context: &EntryContext, pull: &ConfigPull) -> ConfigPage {
    let config = context.config.load();
    let config_json = if config.revision.0 > pull.above {
        serde_json::to_string(&*config).unwrap_or_default()
    } else {
        String::new()
    };
    ConfigPage {
        revision: config.revision.0,
        config_json,
        ready: context.config.is_ready(),
    }
}
