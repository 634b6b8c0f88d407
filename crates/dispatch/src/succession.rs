//! The successor's side of a handover: a leader asks a process whether it is ready, then resigns in its favour.

use std::fmt::{Debug, Formatter};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;
use tokio::sync::Notify;

use crate::handover_watch::{ProcessUse, accepts_leadership};
use crate::leading_cost::ProcessLimits;

/// Time for which a process that was asked to succeed the leader reads the leader row at a short interval, in milliseconds;
/// a leader waits at most 350 ms for open orders and then stores its last decisions.
const CALL_DURATION_MS: u64 = 1_200;

/// Measures what this process uses.
#[derive(Clone)]
pub struct UseProbe(Arc<dyn Fn() -> ProcessUse + Send + Sync>);

impl UseProbe {
    /// Returns a probe that calls `measure`.
    pub fn new<F>(measure: F) -> Self
    where
        F: Fn() -> ProcessUse + Send + Sync + 'static,
    {
        Self(Arc::new(measure))
    }

    /// Returns what the process uses now.
    pub fn measure(&self) -> ProcessUse {
        (self.0)()
    }
}

impl Default for UseProbe {
    /// Returns a probe of a process whose use cannot be measured.
    fn default() -> Self {
        Self::new(ProcessUse::default)
    }
}

impl Debug for UseProbe {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("UseProbe")
    }
}

/// Whether this process can become leader, and until when a leader waits for it to do so.
#[derive(Debug, Default)]
pub(crate) struct SuccessionCall {
    is_ready: AtomicBool,
    called_until: AtomicU64,
    called: Notify,
}

impl SuccessionCall {
    /// Sets whether this process reads the leader row, has a configuration and is not stopping.
    pub(crate) fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Answers a leader that wants to resign in favour of this process.
    pub(crate) fn accept(&self, limits: ProcessLimits, usage: ProcessUse, now: ClockTime) -> bool {
        let accepts = self.is_ready.load(Ordering::Acquire) && accepts_leadership(limits, usage);
        if accepts {
            self.called_until
                .store((now + CALL_DURATION_MS).0, Ordering::Release);
            self.called.notify_one();
        }
        accepts
    }

    /// Returns whether a leader is about to resign in favour of this process.
    pub(crate) fn is_called(&self, now: ClockTime) -> bool {
        now.0 < self.called_until.load(Ordering::Acquire)
    }

    /// Waits until a leader calls.
    pub(crate) async fn wait_for_call(&self) {
        self.called.notified().await;
    }
}
