use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

/// Longest wait for the holder's description, in milliseconds; decisions are at most 200 ms apart.
const DUMP_WAIT_MS: u64 = 600;

/// Where the holder leaves a description of its state when somebody asks for it.
#[derive(Debug, Default)]
pub struct StateBoard {
    wanted: AtomicBool,
    text: ArcSwap<String>,
    written: Notify,
}

impl StateBoard {
    /// Asks for a description and waits for it; `None` when this process does not hold the seat.
    pub async fn request(&self) -> Option<Arc<String>> {
        let written = self.written.notified();
        self.wanted.store(true, Ordering::Release);
        let limit = Duration::from_millis(DUMP_WAIT_MS);
        if tokio::time::timeout(limit, written).await.is_err() {
            self.wanted.store(false, Ordering::Release);
            return None;
        }
        Some(self.text.load_full())
    }

    /// Leaves a description if somebody asked for one.
    pub(crate) fn answer<F>(&self, describe: F)
    where
        F: FnOnce() -> String,
    {
        if self.wanted.swap(false, Ordering::AcqRel) {
            self.text.store(Arc::new(describe()));
            self.written.notify_waiters();
        }
    }
}
