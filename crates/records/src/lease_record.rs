use arbutuspick_model::{ClockTime, LeaseEpoch, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{HolderGuard, PlannedChange, RowKey, TableTransaction, Versioned, VmIdentity};

/// Term of the placement lease in milliseconds.
pub const LEASE_TERM_MS: u64 = 4_000;

/// Row `lease/{dc}`: deadline of the placement lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Epoch of the holder.
    pub epoch: LeaseEpoch,
    /// Platform time from which on another VM may take over.
    pub deadline: PlatformTime,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// A change of the placement lease that its records do not allow.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum LeaseError {
    /// The lease has not passed its deadline.
    #[snafu(display("placement lease is held by {holder} until {deadline}"))]
    StillHeld {
        /// Holder.
        holder: VmIdentity,
        /// Deadline.
        deadline: PlatformTime,
    },
    /// The lease belongs to another epoch.
    #[snafu(display("placement lease is of epoch {current}, not {held}"))]
    OtherEpoch {
        /// Epoch of the caller.
        held: LeaseEpoch,
        /// Epoch of the row.
        current: LeaseEpoch,
    },
}

impl LeaseRecord {
    /// Returns whether another VM may take over.
    pub fn has_passed(&self, now: PlatformTime) -> bool {
        now >= self.deadline
    }

    /// Returns the deadline on the holder's own clock.
    ///
    /// `answer_time` is the platform time of any answer of the table, and `sent_at` the holder's clock
    /// before it sent the request for that answer. The platform's clock was read after `sent_at`, so the
    /// result is never later than the deadline.
    pub fn local_deadline(&self, answer_time: PlatformTime, sent_at: ClockTime) -> ClockTime {
        sent_at + self.deadline.millis_since(answer_time)
    }
}

impl Versioned<LeaseRecord> {
    /// Plans a renewal for one term from `now`; the deadline never becomes earlier.
    pub fn renew(
        &self,
        guard: &HolderGuard,
        now: PlatformTime,
        write_id: WriteId,
    ) -> Result<PlannedChange<LeaseRecord>, LeaseError> {
        let deadline = self.record.deadline.max(now + LEASE_TERM_MS);
        self.with_deadline(guard, deadline, write_id)
    }

    /// Plans to give the lease up, so that another VM may take over at once.
    pub fn give_up(
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
        snafu::ensure!(held == current, lease_error::OtherEpochSnafu { held, current });
        let key = RowKey::Lease(guard.data_centre.clone());
        let record = LeaseRecord {
            epoch: current,
            deadline,
            write_id,
        };
        let transaction = guard
            .protect(TableTransaction::new(write_id))
            .check(&key, self.version)
            .put(&key, encode(&record));
        Ok(PlannedChange { transaction, record })
    }
}
