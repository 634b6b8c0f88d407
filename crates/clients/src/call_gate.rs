use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::back_off::{BackOff, PaceVerdict};
use crate::token_bucket::TokenBucket;
use crate::{CallError, CallPriority, ClientOptions};

/// Which bucket a call is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

#[derive(Debug)]
struct GateState {
    back_off: BackOff,
    reads: TokenBucket,
    writes: TokenBucket,
    in_flight: u32,
}

#[derive(Debug)]
struct GateShared {
    state: Mutex<GateState>,
    changed: Notify,
    max_in_flight: u32,
}

impl GateShared {
    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Admits calls within the platform's budget and paces them after failures.
#[derive(Clone, Debug)]
pub(crate) struct CallGate {
    shared: Arc<GateShared>,
}

enum Admission {
    Admitted(CallPermit),
    Refused {
        message: &'static str,
        wake_at: Option<Instant>,
        retry_ms: u64,
    },
}

impl CallGate {
    pub(crate) fn new(options: &ClientOptions) -> Self {
        let now = Instant::now();
        let state = GateState {
            back_off: BackOff::new(now),
            reads: TokenBucket::new(options.reads_per_s, now),
            writes: TokenBucket::new(options.writes_per_s, now),
            in_flight: 0,
        };
        Self {
            shared: Arc::new(GateShared {
                state: Mutex::new(state),
                changed: Notify::new(),
                max_in_flight: options.max_in_flight.max(1),
            }),
        }
    }

    /// Admits a call; essential calls wait until the deadline, others are refused at once.
    pub(crate) async fn admit(
        &self,
        kind: CallKind,
        priority: CallPriority,
        deadline: Instant,
    ) -> Result<CallPermit, CallError> {
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            // Registered before the check, so that a change in between is not missed.
            changed.as_mut().enable();
            let (message, wake_at, retry_ms) = match self.try_admit(kind, priority) {
                Admission::Admitted(permit) => return Ok(permit),
                Admission::Refused {
                    message,
                    wake_at,
                    retry_ms,
                } => (message, wake_at, retry_ms),
            };
            if priority != CallPriority::Essential || Instant::now() >= deadline {
                return Err(CallError::NotSent {
                    message: message.into(),
                    retry_ms,
                });
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(wake_at.map_or(deadline, |at| at.min(deadline))) => {}
            }
        }
    }

    fn try_admit(&self, kind: CallKind, priority: CallPriority) -> Admission {
        let now = Instant::now();
        let essential = priority == CallPriority::Essential;
        let reserved = priority.reserved_eighths();
        let mut state = self.shared.lock();
        let state = &mut *state;
        let refused = |message, wake_at, retry_ms| Admission::Refused {
            message,
            wake_at,
            retry_ms,
        };
        let most = self.shared.max_in_flight;
        if state.in_flight >= (most - most * reserved / 8).max(1) {
            return refused("too many calls in flight", None, 0);
        }
        let probe = match state.back_off.admit(now) {
            PaceVerdict::Go => false,
            PaceVerdict::Probe => true,
            PaceVerdict::WaitUntil(at) => {
                return refused(
                    "backing off after a failure",
                    Some(at),
                    state.back_off.retry_ms(now),
                );
            }
            PaceVerdict::WaitForProbe => {
                return refused(
                    "backing off while one call probes",
                    None,
                    state.back_off.retry_ms(now),
                );
            }
        };
        let bucket = match kind {
            CallKind::Read => &mut state.reads,
            CallKind::Write => &mut state.writes,
        };
        // A probe goes out at most once a delay, and without it the back-off would not end.
        if !bucket.take(now, reserved, essential || probe) {
            return refused("over the rate limit", None, 100);
        }
        state.in_flight += 1;
        Admission::Admitted(CallPermit {
            shared: Arc::clone(&self.shared),
            round: state.back_off.round(),
            probe,
        })
    }
}

/// Permission for one call; counts as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct CallPermit {
    shared: Arc<GateShared>,
    round: u64,
    probe: bool,
}

impl CallPermit {
    /// Records that the service answered.
    pub(crate) fn succeeded(mut self) {
        self.probe = false;
        let now = Instant::now();
        let mut state = self.shared.lock();
        if state.back_off.succeeded() {
            state.reads.start_ramp(now);
            state.writes.start_ramp(now);
        }
    }

    /// Records that the service did not answer.
    pub(crate) fn failed(mut self) {
        self.probe = false;
        let round = self.round;
        self.shared.lock().back_off.failed(Instant::now(), round);
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        {
            let mut state = self.shared.lock();
            state.in_flight -= 1;
            if self.probe {
                state.back_off.probe_dropped();
            }
        }
        self.shared.changed.notify_waiters();
    }
}
