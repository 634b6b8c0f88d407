use std::sync::OnceLock;
use std::time::{Duration, Instant as SystemInstant};

use arbutuspick_model::ClockTime;
use tokio::time::Instant;

/// The clock starts this long before its first reading, so that a paused tokio clock that was created a
/// moment earlier is not before the start.
const START_MARGIN: Duration = Duration::from_secs(1);

static START: OnceLock<SystemInstant> = OnceLock::new();

/// Monotonic clock of the process; follows tokio's paused time in tests.
///
/// ```
/// use arbutuspick_clients::ProcessClock;
/// let clock = ProcessClock::new();
/// let earlier = clock.now();
/// assert!(clock.now() >= earlier);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessClock;

impl ProcessClock {
    /// Returns the clock; all instances in a process agree.
    pub fn new() -> Self {
        start();
        Self
    }

    /// Returns the milliseconds since the process started.
    pub fn now(&self) -> ClockTime {
        let elapsed = Instant::now().into_std().saturating_duration_since(start());
        ClockTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the tokio instant of a time, for timers.
    pub fn instant(&self, time: ClockTime) -> Instant {
        let start = Instant::from_std(start());
        // An instant that cannot be represented is as good as a year.
        start
            .checked_add(Duration::from_millis(time.0))
            .unwrap_or_else(|| start + Duration::from_secs(365 * 24 * 3600))
    }
}

fn start() -> SystemInstant {
    *START.get_or_init(|| {
        let now = SystemInstant::now();
        now.checked_sub(START_MARGIN).unwrap_or(now)
    })
}
