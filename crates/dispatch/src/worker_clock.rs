use arbutuspick_model::{ClockTime, WorkerTime};
use parking_lot::Mutex;

/// Allowance for a slow worker clock, in percent: 2% drift and a margin of 1%.
const CLOCK_DRIFT_PERCENT: u64 = 3;

/// Lower bound of a worker's clock, from its replies, and the latest end of the leases granted on it.
///
/// The estimate never runs ahead of the worker's clock, even if that clock is slow and has not been read for
/// minutes, so a lease never lasts longer than its recorded end.
#[derive(Debug, Default)]
pub struct WorkerClock {
    state: Mutex<ClockState>,
}

#[derive(Debug, Default)]
struct ClockState {
    /// A time on the worker's clock and the local time at which its reply had arrived.
    reading: Option<(WorkerTime, ClockTime)>,
    /// Latest end of all granted leases on the local clock.
    lease_expiry: ClockTime,
    /// Whether all leases have expired and no others may be granted until the worker is listed again.
    sealed: bool,
}

impl ClockState {
    /// Returns the earliest time that the worker's clock can show now.
    fn earliest_time(&self, now: ClockTime) -> Option<u64> {
        let (clock, read_at) = self.reading?;
        let passed_ms = now.millis_since(read_at);
        Some(clock.0 + passed_ms - passed_ms * CLOCK_DRIFT_PERCENT / 100)
    }
}

impl WorkerClock {
    /// Updates the estimate with the clock of a reply that arrived at `now`.
    pub fn update(&self, clock: WorkerTime, now: ClockTime) {
        let mut state = self.state.lock();
        // Replies may overtake each other; the highest lower bound is the best one.
        if state.earliest_time(now).is_none_or(|earliest| earliest < clock.0) {
            state.reading = Some((clock, now));
        }
    }

    /// Returns the end of a lease on the worker's clock and records its latest end on the local clock.
    pub fn lease_until(&self, now: ClockTime, lease_ms: u64) -> Option<WorkerTime> {
        let mut state = self.state.lock();
        if lease_ms == 0 || state.sealed {
            return None;
        }
        let earliest = state.earliest_time(now)?;
        let expiry = now + lease_ms + lease_ms * CLOCK_DRIFT_PERCENT / 100;
        state.lease_expiry = state.lease_expiry.max(expiry);
        Some(WorkerTime(earliest + lease_ms))
    }

    /// Returns the local time by which all granted leases have expired. If that time has passed, no further
    /// lease is granted until `reopen`.
    pub fn seal_expired(&self, now: ClockTime) -> ClockTime {
        let mut state = self.state.lock();
        state.sealed |= state.lease_expiry < now;
        state.lease_expiry
    }

    /// Grants no further lease until `reopen`; returns the local time by which all granted leases have expired.
    pub fn seal(&self) -> ClockTime {
        let mut state = self.state.lock();
        state.sealed = true;
        state.lease_expiry
    }

    /// Allows leases again, after the worker has listed its runs.
    pub fn reopen(&self) {
        self.state.lock().sealed = false;
    }

    /// Returns the local time by which all granted leases have expired.
    pub fn lease_expiry(&self) -> ClockTime {
        self.state.lock().lease_expiry
    }
}
