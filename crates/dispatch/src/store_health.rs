use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;
use tokio::sync::Notify;

use crate::BootClock;
use crate::row_store::StoreError;

/// A refused call marks the store as unreachable when no call has succeeded for this long, in milliseconds.
/// An overloaded store refuses some calls and serves others.
const REFUSAL_WINDOW_MS: u64 = 450;
/// A call without an answer marks the store as unreachable when no call has succeeded for this long, in
/// milliseconds. A process makes several calls in this time, and a slow store answers some of them.
const NO_ANSWER_WINDOW_MS: u64 = 900;

/// Tracks whether this process can reach the store directly.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    clock: BootClock,
    unreachable: AtomicBool,
    succeeded_at: AtomicU64,
    /// Notified when the store becomes unreachable.
    became_unreachable: Notify,
}

impl StoreHealth {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            unreachable: AtomicBool::new(false),
            succeeded_at: AtomicU64::new(clock.now().0),
            became_unreachable: Notify::new(),
        }
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable.load(Ordering::Acquire)
    }

    /// Updates the health with the result of a direct call and returns the result.
    pub(crate) fn record<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let now = self.clock.now();
        let since_success_ms = now.millis_since(ClockTime(self.succeeded_at.load(Ordering::Acquire)));
        let marks_unreachable = match &result {
            Ok(_) => false,
            Err(StoreError::NotExecuted { .. }) => since_success_ms >= REFUSAL_WINDOW_MS,
            Err(StoreError::Indeterminate { .. }) => since_success_ms >= NO_ANSWER_WINDOW_MS,
        };
        match &result {
            Ok(_) => {
                self.succeeded_at.fetch_max(now.0, Ordering::AcqRel);
                if self.unreachable.swap(false, Ordering::AcqRel) {
                    log::info!("[store] regained purpose=own path");
                }
            }
            Err(error) => {
                if marks_unreachable && !self.unreachable.swap(true, Ordering::AcqRel) {
                    log::warn!("[store] lost purpose=own path quiet_ms={since_success_ms} error={error}");
                    self.became_unreachable.notify_waiters();
                }
            }
        }
        result
    }

    /// Waits until the store is unreachable.
    pub(crate) async fn wait_unreachable(&self) {
        loop {
            let became_unreachable = self.became_unreachable.notified();
            if self.is_unreachable() {
                return;
            }
            became_unreachable.await;
        }
    }
}
