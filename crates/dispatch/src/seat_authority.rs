use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;

/// How long a confirmed commit lets the holder send orders, in milliseconds; shorter than the wait of others.
pub(crate) const AUTHORITY_MS: u64 = 850;
/// How long a confirmed commit lets the holder extend leases, in milliseconds.
///
/// A later holder waits this long before it starts anew what runs on workers that it cannot reach.
pub(crate) const LEASE_AUTHORITY_MS: u64 = 10_000;

/// What the holder of an epoch may still do.
#[derive(Debug)]
pub(crate) struct SeatAuthority {
    epoch: u64,
    confirmed_at: AtomicU64,
    lost: AtomicBool,
}

impl SeatAuthority {
    pub(crate) fn new(epoch: u64, confirmed_at: ClockTime) -> Self {
        Self {
            epoch,
            confirmed_at: AtomicU64::new(confirmed_at.0),
            lost: AtomicBool::new(false),
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Notes a commit that was sent at this time and succeeded.
    pub(crate) fn confirm(&self, sent_at: ClockTime) {
        self.confirmed_at.fetch_max(sent_at.0, Ordering::AcqRel);
    }

    pub(crate) fn confirmed_at(&self) -> ClockTime {
        ClockTime(self.confirmed_at.load(Ordering::Acquire))
    }

    /// Notes that another holder is known.
    pub(crate) fn lose(&self) {
        self.lost.store(true, Ordering::Release);
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Acquire)
    }

    /// Returns whether orders may be sent.
    pub(crate) fn may_order(&self, now: ClockTime) -> bool {
        !self.is_lost() && now < self.confirmed_at() + AUTHORITY_MS
    }

    /// Returns the longest lease that may be granted now, in milliseconds.
    pub(crate) fn lease_ms(&self, now: ClockTime, wanted_ms: u64) -> u64 {
        if self.is_lost() {
            return 0;
        }
        wanted_ms.min((self.confirmed_at() + LEASE_AUTHORITY_MS).millis_since(now))
    }
}
