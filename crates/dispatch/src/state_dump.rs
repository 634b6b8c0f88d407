use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

/// Timeout for a state dump, in milliseconds; the leader answers after each decision, at most 200 ms apart.
const DUMP_TIMEOUT_MS: u64 = 600;

/// Passes text dumps of the leader's state to callers that request them.
#[derive(Debug, Default)]
pub struct StateDump {
    requested: AtomicBool,
    text: ArcSwap<String>,
    completed: Notify,
}

impl StateDump {
    /// Requests a dump and waits for it; `None` if this process is not the leader.
    pub async fn request(&self) -> Option<Arc<String>> {
        let completed = self.completed.notified();
        self.requested.store(true, Ordering::Release);
        let limit = Duration::from_millis(DUMP_TIMEOUT_MS);
        if tokio::time::timeout(limit, completed).await.is_err() {
            self.requested.store(false, Ordering::Release);
            return None;
        }
        Some(self.text.load_full())
    }

    /// Produces a dump if one was requested.
    pub(crate) fn answer<F>(&self, dump: F)
    where
        F: FnOnce() -> String,
    {
        if self.requested.swap(false, Ordering::AcqRel) {
            self.text.store(Arc::new(dump()));
            self.completed.notify_waiters();
        }
    }
}
