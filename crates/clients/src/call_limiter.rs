use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::back_off::{BackOff, BackOffDecision};
use crate::token_bucket::TokenBucket;
use crate::{CallError, CallPriority, ClientOptions};

/// Selects the token bucket that a call is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

#[derive(Debug)]
struct LimiterState {
    back_off: BackOff,
    reads: TokenBucket,
    writes: TokenBucket,
    in_flight: u32,
}

#[derive(Debug)]
struct LimiterShared {
    state: Mutex<LimiterState>,
    changed: Notify,
    max_in_flight: u32,
}

impl LimiterShared {
    fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limits the rate and concurrency of calls to a platform service and backs off after failures.
///
/// Clones share the limits.
#[derive(Clone, Debug)]
pub(crate) struct CallLimiter {
    shared: Arc<LimiterShared>,
}

enum AdmissionResult {
    Admitted(CallPermit),
    Refused {
        message: &'static str,
        retry_at: Option<Instant>,
        retry_after_ms: u64,
    },
}

impl CallLimiter {
    pub(crate) fn new(options: &ClientOptions) -> Self {
        let now = Instant::now();
        let state = LimiterState {
            back_off: BackOff::new(now),
            reads: TokenBucket::new(options.reads_per_s, now),
            writes: TokenBucket::new(options.writes_per_s, now),
            in_flight: 0,
        };
        Self {
            shared: Arc::new(LimiterShared {
                state: Mutex::new(state),
                changed: Notify::new(),
                max_in_flight: options.max_in_flight.max(1),
            }),
        }
    }

    /// Admits a call; essential calls wait until the deadline, others are refused immediately.
    pub(crate) async fn admit(
        &self,
        kind: CallKind,
        priority: CallPriority,
        deadline: Instant,
    ) -> Result<CallPermit, CallError> {
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            // Registered before `try_admit`, so that a notification in between is not missed.
            changed.as_mut().enable();
            let (message, retry_at, retry_after_ms) = match self.try_admit(kind, priority) {
                AdmissionResult::Admitted(permit) => return Ok(permit),
                AdmissionResult::Refused {
                    message,
                    retry_at,
                    retry_after_ms,
                } => (message, retry_at, retry_after_ms),
            };
            if priority != CallPriority::Essential || Instant::now() >= deadline {
                return Err(CallError::NotSent {
                    message: message.into(),
                    retry_after_ms,
                });
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(retry_at.map_or(deadline, |at| at.min(deadline))) => {}
            }
        }
    }

    fn try_admit(&self, kind: CallKind, priority: CallPriority) -> AdmissionResult {
        let now = Instant::now();
        let essential = priority == CallPriority::Essential;
        let reserved = priority.reserved_eighths();
        let mut state = self.shared.lock();
        let state = &mut *state;
        let refused = |message, retry_at, retry_after_ms| AdmissionResult::Refused {
            message,
            retry_at,
            retry_after_ms,
        };
        let max_in_flight = self.shared.max_in_flight;
        if state.in_flight >= (max_in_flight - max_in_flight * reserved / 8).max(1) {
            return refused("too many calls in flight", None, 0);
        }
        let probe = match state.back_off.admit(now) {
            BackOffDecision::Allow => false,
            BackOffDecision::AllowProbe => true,
            BackOffDecision::RetryAt(at) => {
                return refused(
                    "backing off after a failure",
                    Some(at),
                    state.back_off.retry_after_ms(now),
                );
            }
            BackOffDecision::ProbeInFlight => {
                return refused(
                    "backing off while one call probes",
                    None,
                    state.back_off.retry_after_ms(now),
                );
            }
        };
        let bucket = match kind {
            CallKind::Read => &mut state.reads,
            CallKind::Write => &mut state.writes,
        };
        // A probe bypasses the rate limit: there is at most one per back-off delay, and the back-off cannot end
        // without it.
        if !bucket.take(now, reserved, essential || probe) {
            return refused("over the rate limit", None, 100);
        }
        state.in_flight += 1;
        AdmissionResult::Admitted(CallPermit {
            shared: Arc::clone(&self.shared),
            generation: state.back_off.generation(),
            probe,
        })
    }
}

/// Permit for one call; the call counts as in flight until the permit is dropped.
#[derive(Debug)]
pub(crate) struct CallPermit {
    shared: Arc<LimiterShared>,
    generation: u64,
    probe: bool,
}

impl CallPermit {
    /// Records that the service is available.
    pub(crate) fn record_success(mut self) {
        self.probe = false;
        let now = Instant::now();
        let mut state = self.shared.lock();
        if state.back_off.record_success() {
            state.reads.start_ramp(now);
            state.writes.start_ramp(now);
        }
    }

    /// Records that the service is unavailable or overloaded.
    pub(crate) fn record_failure(mut self) {
        self.probe = false;
        let generation = self.generation;
        self.shared
            .lock()
            .back_off
            .record_failure(Instant::now(), generation);
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        {
            let mut state = self.shared.lock();
            state.in_flight -= 1;
            if self.probe {
                state.back_off.release_probe();
            }
        }
        self.shared.changed.notify_waiters();
    }
}
