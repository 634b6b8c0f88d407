use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

const FIRST_DELAY: Duration = Duration::from_millis(50);
const LONGEST_DELAY: Duration = Duration::from_secs(5);
/// Failures in a row that count as an outage; a single lost answer must not slow down every caller.
const OUTAGE_FAILURES: u32 = 3;

/// Whether a call may be sent now.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PaceVerdict {
    /// Send it.
    Go,
    /// Send it; no other call is sent until it ends.
    Probe,
    /// Not before this time.
    WaitUntil(Instant),
    /// Another call is the probe.
    WaitForProbe,
}

/// Back-off after failures: delays double up to a limit, with full jitter.
#[derive(Debug)]
pub(crate) struct BackOff {
    failures: u32,
    retry_at: Instant,
    probing: bool,
    /// Calls admitted together fail together; only the first of a round counts.
    round: u64,
}

impl BackOff {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            retry_at: now,
            probing: false,
            round: 0,
        }
    }

    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    pub(crate) fn admit(&mut self, now: Instant) -> PaceVerdict {
        if self.failures == 0 {
            PaceVerdict::Go
        } else if self.probing {
            PaceVerdict::WaitForProbe
        } else if now < self.retry_at {
            PaceVerdict::WaitUntil(self.retry_at)
        } else {
            self.probing = true;
            PaceVerdict::Probe
        }
    }

    /// Time until a call may be admitted, in milliseconds.
    pub(crate) fn retry_ms(&self, now: Instant) -> u64 {
        let millis = self.retry_at.saturating_duration_since(now).as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX).max(1)
    }

    pub(crate) fn failed(&mut self, now: Instant, round: u64) {
        if round != self.round {
            return;
        }
        self.round += 1;
        self.probing = false;
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let longest = FIRST_DELAY.saturating_mul(1 << doublings).min(LONGEST_DELAY);
        self.retry_at = now + longest.mul_f64(rand::rng().random::<f64>());
    }

    /// Ends the back-off and returns whether an outage ended with it.
    pub(crate) fn succeeded(&mut self) -> bool {
        let outage = self.failures >= OUTAGE_FAILURES;
        if self.failures > 0 {
            self.round += 1;
        }
        self.failures = 0;
        self.probing = false;
        outage
    }

    /// Lets another call probe when the probe was given up without a verdict.
    pub(crate) fn probe_dropped(&mut self) {
        self.probing = false;
    }
}
