use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arbutuspick_model::ClockTime;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::row_store::read_table;
use crate::{BootClock, FollowOutcome, FrontendPolicy, RowEntry, RowStore, StoreError};

/// Wait for changes in one long-poll call, in milliseconds; each answer confirms the configuration.
const FOLLOW_WAIT_MS: u64 = 1_000;
/// Time that a long-poll call may take beyond its wait, in milliseconds.
const FOLLOW_GRACE_MS: u64 = 900;
/// Timeout of a call while the store is unreachable, in milliseconds; short, to notice a recovery soon.
const PROBE_TIMEOUT_MS: u64 = 500;
/// Delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// A snapshot of the configuration and the operators' orders.
#[derive(Clone, Debug, Default)]
pub struct PolicyView {
    /// Newest configuration; `None` until the first one is read.
    pub frontend: Option<Arc<FrontendPolicy>>,
    /// Data centres that operators have taken out of service; no tasks are started there.
    pub closed_centres: HashSet<Arc<str>>,
}

/// Configuration decoded from a set of rows.
#[derive(Clone, Debug, Default)]
pub struct PolicyRows {
    /// Newest configuration among the rows, if any.
    pub frontend: Option<Arc<FrontendPolicy>>,
    /// Data centres, each with whether it is out of service.
    pub centres: Vec<(Arc<str>, bool)>,
}

/// Lock-free cache of the newest configuration and the time when it was last confirmed.
#[derive(Debug)]
pub struct PolicyCache {
    view: ArcSwap<PolicyView>,
    confirmed_at: AtomicU64,
    changes: watch::Sender<u64>,
    clock: BootClock,
}

impl PolicyCache {
    /// Returns a cache without a configuration.
    pub fn new(clock: BootClock) -> Self {
        Self {
            view: ArcSwap::default(),
            confirmed_at: AtomicU64::new(0),
            changes: watch::Sender::new(0),
            clock,
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<PolicyView> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the milliseconds since the view was last confirmed as the newest; `u64::MAX` if never.
    pub fn age_ms(&self) -> u64 {
        let confirmed = self.confirmed_at.load(Ordering::Acquire);
        if confirmed == 0 {
            return u64::MAX;
        }
        self.clock.now().millis_since(ClockTime(confirmed))
    }

    fn confirm(&self, sent_at: ClockTime) {
        self.confirmed_at.fetch_max(sent_at.0, Ordering::AcqRel);
    }

    /// Applies rows to the view; an older version of the configuration is ignored.
    fn apply(&self, rows: PolicyRows, is_snapshot: bool) {
        let mut view = PolicyView::clone(&self.view.load());
        let previous = (version_of(&view), view.closed_centres.clone());
        if let Some(frontend) = rows.frontend
            && version_of(&view).is_none_or(|version| frontend.pool.version >= version)
        {
            view.frontend = Some(frontend);
        }
        if is_snapshot {
            view.closed_centres.clear();
        }
        for (centre, closed) in rows.centres {
            if closed {
                view.closed_centres.insert(centre);
            } else {
                view.closed_centres.remove(&centre);
            }
        }
        if previous == (version_of(&view), view.closed_centres.clone()) {
            return;
        }
        log::info!(
            "[config] applied version={:?} previous={:?} closed_centres={:?}",
            version_of(&view),
            previous.0,
            view.closed_centres
        );
        self.view.store(Arc::new(view));
        self.changes.send_modify(|count| *count += 1);
    }
}

fn version_of(view: &PolicyView) -> Option<u64> {
    view.frontend.as_ref().map(|frontend| frontend.pool.version)
}

/// Updates the cache from a table for as long as the process runs.
///
/// `decode` turns rows into configuration and skips rows that it cannot decode.
pub async fn follow_policy<S, D>(store: S, cache: Arc<PolicyCache>, table: &'static str, decode: D)
where
    S: RowStore,
    D: Fn(&[RowEntry]) -> PolicyRows + Send + Sync,
{
    let mut version = None;
    let mut connected = true;
    loop {
        let result = follow_once(&store, &cache, table, &decode, version, connected).await;
        match result {
            Ok(next) => {
                if !connected {
                    log::info!("[store] regained purpose=config");
                }
                connected = true;
                version = next;
            }
            Err(error) => {
                if connected {
                    log::warn!(
                        "[store] lost purpose=config age_ms={} error={error}",
                        cache.age_ms()
                    );
                }
                connected = false;
                tokio::time::sleep(std::time::Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Makes one long-poll call; returns the version to continue from, `None` if the table has to be read again.
async fn follow_once<S, D>(
    store: &S,
    cache: &PolicyCache,
    table: &'static str,
    decode: &D,
    version: Option<u64>,
    connected: bool,
) -> Result<Option<u64>, StoreError>
where
    S: RowStore,
    D: Fn(&[RowEntry]) -> PolicyRows,
{
    let sent_at = cache.clock.now();
    let Some(after) = version else {
        let (rows, version) = read_table(store, table, sent_at + FOLLOW_GRACE_MS).await?;
        cache.apply(decode(&rows), true);
        cache.confirm(sent_at);
        return Ok(Some(version));
    };
    let (wait_ms, timeout_ms) = if connected {
        (FOLLOW_WAIT_MS, FOLLOW_WAIT_MS + FOLLOW_GRACE_MS)
    } else {
        (0, PROBE_TIMEOUT_MS)
    };
    match store.follow(table, after, wait_ms, sent_at + timeout_ms).await? {
        FollowOutcome::Changes { rows, version } => {
            if !rows.is_empty() {
                cache.apply(decode(&rows), false);
            }
            cache.confirm(sent_at);
            Ok(Some(version.max(after)))
        }
        FollowOutcome::HistoryGone => {
            log::info!("[store] change history truncated table={table} after={after}");
            Ok(None)
        }
    }
}
