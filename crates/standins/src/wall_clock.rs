use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Wall clock that never steps back. It is based on tokio's clock, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WallClock {
    base_ms: u64,
    start: Instant,
}

impl WallClock {
    pub(crate) fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            base_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was created.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub(crate) fn now_ms(&self) -> u64 {
        self.base_ms + self.elapsed_ms()
    }

    /// Converts milliseconds since the clock was created to milliseconds since the Unix epoch.
    pub(crate) fn wall_ms(&self, elapsed_ms: u64) -> u64 {
        self.base_ms + elapsed_ms
    }
}
