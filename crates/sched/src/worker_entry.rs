use std::collections::BTreeMap;

use arbutuspick_model::{MAX_GANG_TASKS, WorkerCapacity, WorkerName};

use crate::cell_demand::CellDemand;
use crate::job_entry::JobKey;
use crate::worker_health::{HealthMachine, HealthState};

/// Cores and memory of a worker or a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HostResources {
    pub(crate) cores: u32,
    pub(crate) memory_mib: u64,
}

impl HostResources {
    pub(crate) fn covers(self, other: Self) -> bool {
        self.cores >= other.cores && self.memory_mib >= other.memory_mib
    }

    /// Returns how many tasks of the gang fit into these resources.
    pub(crate) fn task_count(self, demand: &CellDemand) -> u32 {
        let by_memory = self.memory_mib / demand.shape.memory_mib.max(1);
        let by_cores = u64::from(self.cores / demand.shape.cores.max(1));
        by_memory.min(by_cores).min(u64::from(MAX_GANG_TASKS)) as u32
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            cores: self.cores.saturating_add(other.cores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
        }
    }
}

/// A worker of the pool with its allocated, claimed and reserved resources.
pub(crate) struct WorkerEntry {
    pub(crate) name: WorkerName,
    pub(crate) capacity: WorkerCapacity,
    pub(crate) health: HealthMachine,
    /// Whether the worker may take new jobs.
    pub(crate) up: bool,
    /// Resources allocated to each job.
    pub(crate) allocated: BTreeMap<JobKey, HostResources>,
    /// Unallocated resources.
    pub(crate) free: HostResources,
    /// Resources claimed by guaranteed jobs that have not started yet.
    pub(crate) claimed: HostResources,
    /// Resources reserved for blocked jobs.
    pub(crate) reserved: HostResources,
}

impl WorkerEntry {
    pub(crate) fn new(name: WorkerName, capacity: WorkerCapacity, health: HealthMachine) -> Self {
        Self {
            name,
            capacity,
            health,
            up: false,
            allocated: BTreeMap::new(),
            free: total(capacity),
            claimed: HostResources::default(),
            reserved: HostResources::default(),
        }
    }

    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.health.state(), HealthState::Lost { .. })
    }

    /// Returns whether the worker is lost and unused, so that another worker can replace it in its rack.
    pub(crate) fn is_replaceable(&self) -> bool {
        let nothing = HostResources::default();
        self.is_lost() && self.allocated.is_empty() && self.claimed == nothing && self.reserved == nothing
    }

    /// Returns all cores and memory of the worker, whether free or not.
    pub(crate) fn total(&self) -> HostResources {
        total(self.capacity)
    }

    /// Returns the bit mask of its accelerators.
    pub(crate) fn accelerator_mask(&self) -> u8 {
        ((1u16 << self.capacity.accelerators.min(8)) - 1) as u8
    }

    pub(crate) fn allocate(&mut self, job: JobKey, amount: HostResources) {
        let allocated = self.allocated.entry(job).or_default();
        *allocated = allocated.plus(amount);
        self.update_free();
    }

    pub(crate) fn release(&mut self, job: JobKey) {
        self.allocated.remove(&job);
        self.update_free();
    }

    /// Updates the capacity of a worker that registered again with other values.
    pub(crate) fn set_capacity(&mut self, capacity: WorkerCapacity) {
        self.capacity = capacity;
        self.update_free();
    }

    fn update_free(&mut self) {
        let allocated = self
            .allocated
            .values()
            .fold(HostResources::default(), |sum, allocated| sum.plus(*allocated));
        self.free = total(self.capacity).minus(allocated);
    }
}

fn total(capacity: WorkerCapacity) -> HostResources {
    HostResources {
        cores: capacity.cores,
        memory_mib: capacity.memory_mib,
    }
}
