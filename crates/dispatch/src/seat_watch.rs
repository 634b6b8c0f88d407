use arbutuspick_model::ClockTime;

/// A seat whose row has not changed for this long is free, in milliseconds; the holder stops ordering earlier.
const SEAT_TIMEOUT_MS: u64 = 1_000;
/// After a longer gap between answers of the store the wait starts anew: the holder may have been cut off too.
const OBSERVATION_GAP_MS: u64 = 1_200;

/// What a process that does not hold the seat should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeatDecision {
    /// Leave the holder alone.
    Wait,
    /// Try to take the seat.
    Take,
}

/// Watches the row of the seat.
///
/// ```
/// use arbutuspick_dispatch::{SeatDecision, SeatWatch};
/// use arbutuspick_model::ClockTime;
/// let mut watch = SeatWatch::default();
/// assert_eq!(watch.observe(0, false, ClockTime(0)), SeatDecision::Take);
/// assert_eq!(watch.observe(7, false, ClockTime(10)), SeatDecision::Wait);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SeatWatch {
    version: Option<u64>,
    changed_at: ClockTime,
    answered_at: ClockTime,
    /// Since when the seat has been free.
    free_since: Option<ClockTime>,
    handicap_ms: u64,
}

impl SeatWatch {
    /// Returns a watch that leaves a free seat to others for `handicap_ms` first, as a weak VM should.
    ///
    /// Load pattern: a large pool whose holder needs a whole small VM's processor and link. A VM that is too weak
    /// for it takes the seat only when no stronger one does.
    pub fn with_handicap(handicap_ms: u64) -> Self {
        Self {
            handicap_ms,
            ..Self::default()
        }
    }

    /// Returns when the row was last seen to change.
    pub(crate) fn changed_at(&self) -> Option<ClockTime> {
        self.version.map(|_| self.changed_at)
    }

    /// Judges an answer of the store: the version of the row, 0 for none, and whether the seat was given up.
    pub fn observe(&mut self, version: u64, released: bool, now: ClockTime) -> SeatDecision {
        let gap = now.millis_since(self.answered_at) > OBSERVATION_GAP_MS;
        if self.version != Some(version) || gap {
            self.version = Some(version);
            self.changed_at = now;
        }
        self.answered_at = now;
        let free = version == 0 || released || now.millis_since(self.changed_at) >= SEAT_TIMEOUT_MS;
        if !free {
            self.free_since = None;
            return SeatDecision::Wait;
        }
        let since = *self.free_since.get_or_insert(now);
        if now.millis_since(since) < self.handicap_ms {
            return SeatDecision::Wait;
        }
        SeatDecision::Take
    }
}
