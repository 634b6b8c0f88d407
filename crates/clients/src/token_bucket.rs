use std::time::Duration;

use tokio::time::Instant;

/// Time over which the rate grows from a tenth to full after an outage.
const RAMP: Duration = Duration::from_secs(10);

/// A token bucket of one second's burst whose rate grows slowly after an outage.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    level: f64,
    updated_at: Instant,
    ramp_from: Option<Instant>,
}

impl TokenBucket {
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        let rate = f64::from(per_second.max(1));
        Self {
            rate,
            level: rate,
            updated_at: now,
            ramp_from: None,
        }
    }

    /// Takes one token, leaving at least `reserved_eighths` of the burst, unless `forced`.
    ///
    /// A forced take may run into debt of one second's tokens, which later calls pay off.
    pub(crate) fn take(&mut self, now: Instant, reserved_eighths: u32, forced: bool) -> bool {
        self.refill(now);
        let floor = self.rate * f64::from(reserved_eighths) / 8.0;
        // A bucket smaller than 8 tokens would otherwise never admit a low priority.
        let floor = floor.min(self.rate - 1.0).max(0.0);
        if !forced && self.level - 1.0 < floor {
            return false;
        }
        self.level = (self.level - 1.0).max(-self.rate);
        true
    }

    /// Starts over with a tenth of the burst and of the rate.
    pub(crate) fn start_ramp(&mut self, now: Instant) {
        self.refill(now);
        self.level = self.level.min(self.rate / 10.0);
        self.ramp_from = Some(now);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let share = self.ramp_share(now);
        self.level = (self.level + elapsed * self.rate * share).min(self.rate * share.max(0.1));
        self.updated_at = now;
    }

    fn ramp_share(&mut self, now: Instant) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(from).as_secs_f64() / RAMP.as_secs_f64();
        if passed >= 1.0 {
            self.ramp_from = None;
            return 1.0;
        }
        0.1 + 0.9 * passed
    }
}
