use arbutuspick_model::{ClockTime, LeaseEpoch, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{HolderGuard, PlannedChange, ProcessIdentity, RowKey, TableTransaction, Versioned};

/// Duration of the placement lease in milliseconds.
pub const LEASE_TERM_MS: u64 = 4_000;

/// Row `lease/{dc}`: deadline of the placement lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Epoch of the holder.
    pub epoch: LeaseEpoch,
    /// Platform time from which another VM may take over.
    pub deadline: PlatformTime,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// Reason why a change of the placement lease is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum LeaseError {
    /// The lease has not expired.
    #[snafu(display("placement lease is held by {holder} until {deadline}"))]
    StillHeld {
        /// Holder.
        holder: ProcessIdentity,
        /// Deadline.
        deadline: PlatformTime,
    },
    /// The lease belongs to another epoch.
    #[snafu(display("placement lease is of epoch {current}, not {held}"))]
    EpochMismatch {
        /// Epoch of the caller.
        held: LeaseEpoch,
        /// Epoch of the row.
        current: LeaseEpoch,
    },
}

impl LeaseRecord {
    /// Returns whether the lease has expired, so that another VM may take over.
    pub fn has_expired(&self, now: PlatformTime) -> bool {
        now >= self.deadline
    }

    /// Converts the deadline to the holder's own clock.
    ///
    /// `platform_time` is the time of any response of the table, and `sent_at` the holder's clock before it
    /// sent the request for that response. The platform's clock was read after `sent_at`, so the result is
    /// never later than the deadline.
    pub fn local_deadline(&self, platform_time: PlatformTime, sent_at: ClockTime) -> ClockTime {
        sent_at + self.deadline.millis_since(platform_time)
    }
}

impl Versioned<LeaseRecord> {
    /// Plans a renewal until one lease term after `now`; the deadline never moves to an earlier time.
    pub fn renew(
        &self,
        guard: &HolderGuard,
        now: PlatformTime,
        write_id: WriteId,
    ) -> Result<PlannedChange<LeaseRecord>, LeaseError> {
        let deadline = self.record.deadline.max(now + LEASE_TERM_MS);
        self.with_deadline(guard, deadline, write_id)
    }

    /// Plans to release the lease, so that another VM may take over at once.
    pub fn release(
        &self,
        guard: &HolderGuard,
        now: PlatformTime,
        write_id: WriteId,
    ) -> Result<PlannedChange<LeaseRecord>, LeaseError> {
        self.with_deadline(guard, now, write_id)
    }

    fn with_deadline(
        &self,
        guard: &HolderGuard,
        deadline: PlatformTime,
        write_id: WriteId,
    ) -> Result<PlannedChange<LeaseRecord>, LeaseError> {
        let (held, current) = (guard.epoch, self.record.epoch);
        snafu::ensure!(held == current, lease_error::EpochMismatchSnafu { held, current });
        let key = RowKey::Lease(guard.data_centre.clone());
        let record = LeaseRecord {
            epoch: current,
            deadline,
            write_id,
        };
        let transaction = guard
            .add_check(TableTransaction::new(write_id))
            .check(&key, self.version)
            .put(&key, encode(&record));
        Ok(PlannedChange { transaction, record })
    }
}
