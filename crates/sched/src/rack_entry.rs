use arbutuspick_model::RackName;

use crate::job_entry::JobKey;
use crate::worker_entry::WorkerEntry;

/// Workers that are adjacent, and the uses of their accelerators, one bit each.
pub(crate) struct RackEntry {
    pub(crate) name: RackName,
    pub(crate) workers: [Option<WorkerEntry>; 8],
    pub(crate) holders: Box<[Option<JobKey>; 64]>,
    /// Accelerators that an attempt holds.
    pub(crate) held: u64,
    /// Accelerators that guaranteed jobs wait for.
    pub(crate) claimed: u64,
    /// Accelerators that reservations wait for.
    pub(crate) reserved: u64,
    /// Reserved accelerators that are not lent to backfill, because the reservation is about to start.
    pub(crate) closing: u64,
    /// Accelerators of guaranteed cells in use.
    pub(crate) bound: u64,
    /// Whether a returning data centre uses the rack already.
    pub(crate) released: bool,
}

impl RackEntry {
    pub(crate) fn new(name: RackName) -> Self {
        Self {
            name,
            workers: Default::default(),
            holders: Box::new([None; 64]),
            held: 0,
            claimed: 0,
            reserved: 0,
            closing: 0,
            bound: 0,
            released: true,
        }
    }

    /// Returns the accelerators of all known workers.
    pub(crate) fn known(&self) -> u64 {
        self.mask_of(|_| true)
    }

    /// Returns the accelerators of the workers that may take work.
    pub(crate) fn up(&self) -> u64 {
        self.mask_of(|worker| worker.up)
    }

    pub(crate) fn mask_of<F>(&self, wanted: F) -> u64
    where
        F: Fn(&WorkerEntry) -> bool,
    {
        let mut mask = 0;
        for (place, worker) in self.workers.iter().enumerate() {
            if let Some(worker) = worker.as_ref().filter(|worker| wanted(worker)) {
                mask |= u64::from(worker.accelerator_mask()) << (8 * place);
            }
        }
        mask
    }
}
