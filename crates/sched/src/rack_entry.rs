use arbutuspick_model::RackName;

use crate::job_entry::JobKey;
use crate::worker_entry::WorkerEntry;

/// Up to eight adjacent workers, with bit masks of the states of their accelerators. A rack with more workers
/// has several entries.
pub(crate) struct RackEntry {
    pub(crate) name: RackName,
    pub(crate) workers: [Option<WorkerEntry>; 8],
    /// Job to which each accelerator is allocated.
    pub(crate) owners: Box<[Option<JobKey>; 64]>,
    /// Accelerators allocated to attempts.
    pub(crate) allocated: u64,
    /// Accelerators claimed by guaranteed jobs that have not started yet.
    pub(crate) claimed: u64,
    /// Accelerators reserved for blocked jobs.
    pub(crate) reserved: u64,
    /// Reserved accelerators that new backfill may not use because the reserved job is about to start.
    pub(crate) backfill_blocked: u64,
    /// Accelerators of bound guaranteed cells.
    pub(crate) bound: u64,
    /// Whether workers of the rack may take jobs; a returning data centre enables its racks in steps.
    pub(crate) enabled: bool,
}

impl RackEntry {
    pub(crate) fn new(name: RackName) -> Self {
        Self {
            name,
            workers: Default::default(),
            owners: Box::new([None; 64]),
            allocated: 0,
            claimed: 0,
            reserved: 0,
            backfill_blocked: 0,
            bound: 0,
            enabled: true,
        }
    }

    /// Returns the accelerators of all known workers, including lost ones.
    pub(crate) fn known(&self) -> u64 {
        self.mask_of(|_| true)
    }

    /// Returns the accelerators of the workers that may take new jobs.
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
