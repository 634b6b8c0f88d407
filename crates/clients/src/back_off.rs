use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Upper bound of the random delay after the first failure; doubled after each further one.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of every delay.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Consecutive failures that count as an outage; a single lost response must not slow down every caller.
const OUTAGE_THRESHOLD: u32 = 3;

/// Decision on whether a call may be sent now.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BackOffDecision {
    /// Send the call.
    Allow,
    /// Send the call as the probe; no other call may be sent until it completes.
    AllowProbe,
    /// Do not send before this time.
    RetryAt(Instant),
    /// Do not send before the probe that is in flight completes.
    ProbeInFlight,
}

/// Exponential back-off with full jitter.
///
/// After a delay one probe is admitted; its result ends the back-off or doubles the delay.
#[derive(Debug)]
pub(crate) struct BackOff {
    consecutive_failures: u32,
    retry_at: Instant,
    probe_in_flight: bool,
    /// Incremented when the state changes. Calls admitted in one generation usually fail together, so only the
    /// first failure counts.
    generation: u64,
}

impl BackOff {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            consecutive_failures: 0,
            retry_at: now,
            probe_in_flight: false,
            generation: 0,
        }
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn admit(&mut self, now: Instant) -> BackOffDecision {
        if self.consecutive_failures == 0 {
            BackOffDecision::Allow
        } else if self.probe_in_flight {
            BackOffDecision::ProbeInFlight
        } else if now < self.retry_at {
            BackOffDecision::RetryAt(self.retry_at)
        } else {
            self.probe_in_flight = true;
            BackOffDecision::AllowProbe
        }
    }

    /// Returns the milliseconds until the next call may be admitted, at least 1.
    pub(crate) fn retry_after_ms(&self, now: Instant) -> u64 {
        let millis = self.retry_at.saturating_duration_since(now).as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX).max(1)
    }

    /// Starts the next delay; failures of calls from an earlier generation are ignored.
    pub(crate) fn record_failure(&mut self, now: Instant, generation: u64) {
        if generation != self.generation {
            return;
        }
        self.generation += 1;
        self.probe_in_flight = false;
        // 16 doublings far exceed the maximum delay; the bound keeps the shift from overflowing.
        let doublings = self.consecutive_failures.min(16);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let max_delay = INITIAL_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
        self.retry_at = now + max_delay.mul_f64(rand::rng().random::<f64>());
    }

    /// Resets the back-off; returns whether this ended an outage.
    pub(crate) fn record_success(&mut self) -> bool {
        let outage = self.consecutive_failures >= OUTAGE_THRESHOLD;
        if self.consecutive_failures > 0 {
            self.generation += 1;
        }
        self.consecutive_failures = 0;
        self.probe_in_flight = false;
        outage
    }

    /// Lets another call become the probe after one was dropped without a result.
    pub(crate) fn release_probe(&mut self) {
        self.probe_in_flight = false;
    }
}
