use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arbutuspick_model::ClockTime;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::row_store::read_table;
use crate::{BootClock, FrontPolicy, RowEntry, RowFollow, RowStore, StoreError};

/// Longest wait of a call that follows the configuration, in milliseconds; each answer confirms its age.
const FOLLOW_WAIT_MS: u64 = 1_000;
/// A call that follows the configuration is given up this long after its wait, in milliseconds.
const FOLLOW_SLACK_MS: u64 = 900;
/// A call is given up after this time while the store is away, in milliseconds, so that its return is noticed soon.
const PROBE_MS: u64 = 500;
/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 200;

/// The configuration and what operators ordered.
#[derive(Clone, Debug, Default)]
pub struct PolicyView {
    /// Newest version seen; `None` before the first.
    pub front: Option<Arc<FrontPolicy>>,
    /// Data centres that operators took out.
    pub closed_centres: HashSet<Arc<str>>,
}

/// What a set of changed rows means for the configuration.
#[derive(Clone, Debug, Default)]
pub struct PolicyRows {
    /// A version of the configuration.
    pub front: Option<Arc<FrontPolicy>>,
    /// Data centres with whether they are taken out.
    pub centres: Vec<(Arc<str>, bool)>,
}

/// The newest configuration, readable without locks, with the age of its last confirmation.
#[derive(Debug)]
pub struct PolicyBoard {
    view: ArcSwap<PolicyView>,
    confirmed_at: AtomicU64,
    changes: watch::Sender<u64>,
    clock: BootClock,
}

impl PolicyBoard {
    /// Returns a board without a configuration.
    pub fn new(clock: BootClock) -> Self {
        Self {
            view: ArcSwap::default(),
            confirmed_at: AtomicU64::new(0),
            changes: watch::Sender::new(0),
            clock,
        }
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<PolicyView> {
        self.view.load_full()
    }

    /// Returns a receiver that is told of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the milliseconds since the view was last known to be the newest.
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

    /// Puts rows in force; an older version of the configuration is ignored.
    fn apply(&self, rows: PolicyRows, whole: bool) {
        let mut view = PolicyView::clone(&self.view.load());
        let before = (version_of(&view), view.closed_centres.clone());
        if let Some(front) = rows.front
            && version_of(&view).is_none_or(|version| front.pool.version >= version)
        {
            view.front = Some(front);
        }
        if whole {
            view.closed_centres.clear();
        }
        for (centre, closed) in rows.centres {
            if closed {
                view.closed_centres.insert(centre);
            } else {
                view.closed_centres.remove(&centre);
            }
        }
        if before == (version_of(&view), view.closed_centres.clone()) {
            return;
        }
        log::info!(
            "[config] in force version={:?} previous={:?} closed_centres={:?}",
            version_of(&view),
            before.0,
            view.closed_centres
        );
        self.view.store(Arc::new(view));
        self.changes.send_modify(|count| *count += 1);
    }
}

fn version_of(view: &PolicyView) -> Option<u64> {
    view.front.as_ref().map(|front| front.pool.version)
}

/// Keeps the board up to date with a table for as long as the process runs.
///
/// `decode` turns changed rows into configuration; rows that it cannot read it leaves out.
pub async fn follow_policy<S, D>(store: S, board: Arc<PolicyBoard>, table: &'static str, decode: D)
where
    S: RowStore,
    D: Fn(&[RowEntry]) -> PolicyRows + Send + Sync,
{
    let mut version = None;
    let mut connected = true;
    loop {
        let answer = follow_once(&store, &board, table, &decode, version, connected).await;
        match answer {
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
                        board.age_ms()
                    );
                }
                connected = false;
                tokio::time::sleep(std::time::Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Makes one call; returns the version to continue from.
async fn follow_once<S, D>(
    store: &S,
    board: &PolicyBoard,
    table: &'static str,
    decode: &D,
    version: Option<u64>,
    connected: bool,
) -> Result<Option<u64>, StoreError>
where
    S: RowStore,
    D: Fn(&[RowEntry]) -> PolicyRows,
{
    let sent_at = board.clock.now();
    let Some(after) = version else {
        let (rows, version) = read_table(store, table, sent_at + FOLLOW_SLACK_MS).await?;
        board.apply(decode(&rows), true);
        board.confirm(sent_at);
        return Ok(Some(version));
    };
    let (wait_ms, limit_ms) = if connected {
        (FOLLOW_WAIT_MS, FOLLOW_WAIT_MS + FOLLOW_SLACK_MS)
    } else {
        (0, PROBE_MS)
    };
    match store.follow(table, after, wait_ms, sent_at + limit_ms).await? {
        RowFollow::Changes { rows, version } => {
            if !rows.is_empty() {
                board.apply(decode(&rows), false);
            }
            board.confirm(sent_at);
            Ok(Some(version.max(after)))
        }
        RowFollow::HistoryGone => {
            log::info!("[store] history gone table={table} after={after}");
            Ok(None)
        }
    }
}
