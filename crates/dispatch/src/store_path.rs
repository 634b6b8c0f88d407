use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;
use tokio::sync::Notify;

use crate::BootClock;
use crate::row_store::StoreError;

/// Refused calls mean that the path fails when none succeeded for this long, in milliseconds. A store with more
/// writes than it takes refuses some calls and serves others.
const REFUSED_MS: u64 = 450;
/// Calls without an answer mean that the path fails when none succeeded for this long, in milliseconds: a process
/// makes several calls in this time, and a slow store answers some of them.
const SILENT_MS: u64 = 900;

/// Whether this process reaches the store itself.
#[derive(Debug)]
pub(crate) struct StorePath {
    clock: BootClock,
    failing: AtomicBool,
    answered_at: AtomicU64,
    changed: Notify,
}

impl StorePath {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            failing: AtomicBool::new(false),
            answered_at: AtomicU64::new(clock.now().0),
            changed: Notify::new(),
        }
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Acquire)
    }

    /// Notes how a call of this process ended, and returns its result.
    pub(crate) fn judge<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let now = self.clock.now();
        let quiet_ms = now.millis_since(ClockTime(self.answered_at.load(Ordering::Acquire)));
        let fails = match &result {
            Ok(_) => false,
            Err(StoreError::NotDone { .. }) => quiet_ms >= REFUSED_MS,
            Err(StoreError::Unclear { .. }) => quiet_ms >= SILENT_MS,
        };
        match &result {
            Ok(_) => {
                self.answered_at.fetch_max(now.0, Ordering::AcqRel);
                if self.failing.swap(false, Ordering::AcqRel) {
                    log::info!("[store] regained purpose=own path");
                }
            }
            Err(error) => {
                if fails && !self.failing.swap(true, Ordering::AcqRel) {
                    log::warn!("[store] lost purpose=own path quiet_ms={quiet_ms} error={error}");
                    self.changed.notify_waiters();
                }
            }
        }
        result
    }

    /// Waits until the path fails.
    pub(crate) async fn failed(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_failing() {
                return;
            }
            changed.await;
        }
    }
}
