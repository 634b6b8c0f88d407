use std::time::Duration;

use tokio::time::Instant;

/// Time over which the rate ramps up from a tenth to the full rate after an outage.
const RAMP_DURATION: Duration = Duration::from_secs(10);

/// A token bucket whose burst is one second's tokens and whose rate ramps up after an outage.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens_per_s: f64,
    tokens: f64,
    updated_at: Instant,
    ramp_started_at: Option<Instant>,
}

impl TokenBucket {
    pub(crate) fn new(tokens_per_s: u32, now: Instant) -> Self {
        let tokens_per_s = f64::from(tokens_per_s.max(1));
        Self {
            tokens_per_s,
            tokens: tokens_per_s,
            updated_at: now,
            ramp_started_at: None,
        }
    }

    /// Takes one token, leaving at least `reserved_eighths` of the burst, unless `forced`.
    ///
    /// A forced take may make the balance negative, down to one second's tokens; later refills repay it.
    pub(crate) fn take(&mut self, now: Instant, reserved_eighths: u32, forced: bool) -> bool {
        self.refill(now);
        let reserved = self.tokens_per_s * f64::from(reserved_eighths) / 8.0;
        // With a burst below 8 tokens, low priorities would otherwise never be admitted.
        let reserved = reserved.min(self.tokens_per_s - 1.0).max(0.0);
        if !forced && self.tokens - 1.0 < reserved {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(-self.tokens_per_s);
        true
    }

    /// Restarts the ramp with a tenth of the burst and of the rate.
    pub(crate) fn start_ramp(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = self.tokens.min(self.tokens_per_s / 10.0);
        self.ramp_started_at = Some(now);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let factor = self.ramp_factor(now);
        self.tokens =
            (self.tokens + elapsed * self.tokens_per_s * factor).min(self.tokens_per_s * factor.max(0.1));
        self.updated_at = now;
    }

    fn ramp_factor(&mut self, now: Instant) -> f64 {
        let Some(started_at) = self.ramp_started_at else {
            return 1.0;
        };
        let progress = now.saturating_duration_since(started_at).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        if progress >= 1.0 {
            self.ramp_started_at = None;
            return 1.0;
        }
        0.1 + 0.9 * progress
    }
}
