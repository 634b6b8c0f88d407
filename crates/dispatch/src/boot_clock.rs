use arbutuspick_model::{ClockTime, PlatformTime};
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// Clocks of the process: a monotonic clock that also counts while the VM is suspended, and the time of day.
///
/// Leases and ages use the former, because `CLOCK_MONOTONIC` stops while the VM is suspended.
///
/// ```
/// use arbutuspick_dispatch::BootClock;
/// let clock = BootClock::default();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    read_ms: fn() -> u64,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            read_ms: || millis(clock_gettime(ClockId::Boottime)),
        }
    }
}

impl BootClock {
    /// Returns a clock driven by tokio's time, which tests can pause.
    pub fn from_runtime() -> Self {
        Self {
            read_ms: || {
                static START: std::sync::OnceLock<std::time::Instant> = std::sync::OnceLock::new();
                let start = START.get_or_init(std::time::Instant::now);
                let passed = Instant::now().into_std().saturating_duration_since(*start);
                u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
            },
        }
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> ClockTime {
        ClockTime((self.read_ms)())
    }

    /// Returns the time of day.
    pub fn wall(&self) -> PlatformTime {
        PlatformTime(millis(clock_gettime(ClockId::Realtime)))
    }
}

fn millis(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000
}
