use std::net::SocketAddr;

use arbutuspick_model::{CentreName, LeaseEpoch, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};

use crate::lease_record::lease_error::StillHeldSnafu;
use crate::versioned::encode;
use crate::{
    HolderGuard, LEASE_TERM_MS, LeaseError, LeaseRecord, PlannedChange, ProcessIdentity, RowKey,
    TableTransaction, Versioned,
};

/// Row `epoch/{dc}`: epoch of the placement lease and its holder; changes only on takeover.
///
/// Renewals write only row `lease/{dc}`, so they do not change the version that a [`HolderGuard`] checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Data centre.
    pub data_centre: CentreName,
    /// Epoch; workers reject requests with a lower one.
    pub epoch: LeaseEpoch,
    /// Process that holds the lease.
    pub holder: ProcessIdentity,
    /// Address of the holder for messages between entry VMs.
    pub address: SocketAddr,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// Parameters of a takeover of the placement lease, with the rows that were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTakeover<'a> {
    /// Data centre.
    pub data_centre: CentreName,
    /// Row `epoch/{dc}`, if it exists.
    pub epoch: Option<&'a Versioned<EpochRecord>>,
    /// Row `lease/{dc}`, if it exists.
    pub lease: Option<&'a Versioned<LeaseRecord>>,
    /// Process that takes over.
    pub holder: ProcessIdentity,
    /// Its address for messages between entry VMs.
    pub address: SocketAddr,
    /// Platform time of the response that contained the rows.
    pub now: PlatformTime,
}

/// Both rows of a placement lease after a takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Row `epoch/{dc}`.
    pub epoch: EpochRecord,
    /// Row `lease/{dc}`.
    pub lease: LeaseRecord,
}

impl EpochRecord {
    /// Plans a takeover; fails while the lease is held and has not expired.
    pub fn take_over(
        takeover: LeaseTakeover<'_>,
        write_id: WriteId,
    ) -> Result<PlannedChange<HeldLease>, LeaseError> {
        let LeaseTakeover {
            data_centre,
            epoch,
            lease,
            holder,
            address,
            now,
        } = takeover;
        check_expired(epoch, lease, now)?;
        let held = HeldLease::new(data_centre, epoch, holder, address, now, write_id);
        let epoch_key = RowKey::Epoch(held.epoch.data_centre.clone());
        let lease_key = RowKey::Lease(held.epoch.data_centre.clone());
        let transaction = TableTransaction::new(write_id)
            .check(&epoch_key, Versioned::version_of(epoch))
            .check(&lease_key, Versioned::version_of(lease))
            .put(&epoch_key, encode(&held.epoch))
            .put(&lease_key, encode(&held.lease));
        Ok(PlannedChange {
            transaction,
            record: held,
        })
    }
}

impl HeldLease {
    fn new(
        data_centre: CentreName,
        previous: Option<&Versioned<EpochRecord>>,
        holder: ProcessIdentity,
        address: SocketAddr,
        now: PlatformTime,
        write_id: WriteId,
    ) -> Self {
        let previous = previous.map_or(LeaseEpoch::default(), |row| row.record.epoch);
        let epoch = EpochRecord {
            data_centre,
            epoch: previous.next(),
            holder,
            address,
            write_id,
        };
        let lease = LeaseRecord {
            epoch: epoch.epoch,
            deadline: now + LEASE_TERM_MS,
            write_id,
        };
        Self { epoch, lease }
    }
}

impl Versioned<EpochRecord> {
    /// Returns the guard for this process, or `None` if another process holds the lease.
    pub fn guard(&self, process: &ProcessIdentity) -> Option<HolderGuard> {
        (self.record.holder == *process).then(|| HolderGuard {
            data_centre: self.record.data_centre.clone(),
            epoch: self.record.epoch,
            version: self.version,
        })
    }
}

impl Versioned<HeldLease> {
    /// Splits a committed takeover into its two rows.
    pub fn split(self) -> (Versioned<EpochRecord>, Versioned<LeaseRecord>) {
        let HeldLease { epoch, lease } = self.record;
        (
            Versioned::new(epoch, self.version),
            Versioned::new(lease, self.version),
        )
    }
}

fn check_expired(
    epoch: Option<&Versioned<EpochRecord>>,
    lease: Option<&Versioned<LeaseRecord>>,
    now: PlatformTime,
) -> Result<(), LeaseError> {
    let (Some(epoch), Some(lease)) = (epoch, lease) else {
        return Ok(());
    };
    snafu::ensure!(
        lease.record.has_expired(now),
        StillHeldSnafu {
            holder: epoch.record.holder.clone(),
            deadline: lease.record.deadline,
        }
    );
    Ok(())
}
