use std::sync::OnceLock;
use std::time::{Duration, Instant as StdInstant};

use arbutuspick_model::ClockTime;
use tokio::time::Instant;

/// The clock starts this long before its first use, so that a paused tokio clock, which may have been created
/// slightly earlier, does not precede the start.
const START_MARGIN: Duration = Duration::from_secs(1);

static PROCESS_START: OnceLock<StdInstant> = OnceLock::new();

/// Monotonic clock of the process; follows the paused tokio clock in tests.
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
    /// Creates a clock; all instances in a process have the same start.
    pub fn new() -> Self {
        process_start();
        Self
    }

    /// Returns the current time, in milliseconds since the clock started.
    pub fn now(&self) -> ClockTime {
        let elapsed = Instant::now()
            .into_std()
            .saturating_duration_since(process_start());
        ClockTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Converts a time to a tokio instant, for timers.
    pub fn instant(&self, time: ClockTime) -> Instant {
        let start = Instant::from_std(process_start());
        // Times that overflow `Instant` are replaced by one year after the start.
        start
            .checked_add(Duration::from_millis(time.0))
            .unwrap_or_else(|| start + Duration::from_secs(365 * 24 * 3600))
    }
}

fn process_start() -> StdInstant {
    *PROCESS_START.get_or_init(|| {
        let now = StdInstant::now();
        now.checked_sub(START_MARGIN).unwrap_or(now)
    })
}
