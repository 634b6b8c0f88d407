use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;

/// How long the leader may send orders after a confirmed commit, in milliseconds. Shorter than the leader
/// timeout, so that a leader stops sending orders before another process can replace it.
pub(crate) const ORDER_WINDOW_MS: u64 = 850;
/// Latest end of a lease that the leader grants, in milliseconds after its last confirmed commit.
///
/// A new leader waits this long before it restarts tasks of workers that it cannot reach.
pub(crate) const LEASE_WINDOW_MS: u64 = 10_000;

/// Tracks until when the leader of an epoch may send orders and grant leases.
#[derive(Debug)]
pub(crate) struct LeaderAuthority {
    epoch: u64,
    confirmed_at: AtomicU64,
    revoked: AtomicBool,
}

impl LeaderAuthority {
    pub(crate) fn new(epoch: u64, confirmed_at: ClockTime) -> Self {
        Self {
            epoch,
            confirmed_at: AtomicU64::new(confirmed_at.0),
            revoked: AtomicBool::new(false),
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records a successful commit that was sent at this time.
    pub(crate) fn confirm(&self, sent_at: ClockTime) {
        self.confirmed_at.fetch_max(sent_at.0, Ordering::AcqRel);
    }

    pub(crate) fn confirmed_at(&self) -> ClockTime {
        ClockTime(self.confirmed_at.load(Ordering::Acquire))
    }

    /// Records that another process has become leader.
    pub(crate) fn revoke(&self) {
        self.revoked.store(true, Ordering::Release);
    }

    pub(crate) fn is_revoked(&self) -> bool {
        self.revoked.load(Ordering::Acquire)
    }

    /// Returns whether orders may be sent at this time.
    pub(crate) fn may_send_orders(&self, now: ClockTime) -> bool {
        !self.is_revoked() && now < self.confirmed_at() + ORDER_WINDOW_MS
    }

    /// Returns the longest lease that may be granted now, in milliseconds.
    pub(crate) fn max_lease_ms(&self, now: ClockTime, requested_ms: u64) -> u64 {
        if self.is_revoked() {
            return 0;
        }
        requested_ms.min((self.confirmed_at() + LEASE_WINDOW_MS).millis_since(now))
    }
}
