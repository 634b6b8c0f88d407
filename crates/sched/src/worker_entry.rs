use std::collections::BTreeMap;

use arbutuspick_model::{MAX_GANG_TASKS, WorkerCapacity, WorkerName};

use crate::cell_demand::CellDemand;
use crate::job_entry::JobKey;
use crate::worker_health::{HealthMachine, HealthState};

/// Cores and memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HostResources {
    pub(crate) cores: u32,
    pub(crate) memory_mib: u64,
}

impl HostResources {
    pub(crate) fn covers(self, other: Self) -> bool {
        self.cores >= other.cores && self.memory_mib >= other.memory_mib
    }

    /// Returns how many tasks of the gang fit.
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

/// One worker of the pool.
pub(crate) struct WorkerEntry {
    pub(crate) name: WorkerName,
    pub(crate) capacity: WorkerCapacity,
    pub(crate) health: HealthMachine,
    /// Whether it may take new work.
    pub(crate) up: bool,
    /// What each job holds.
    pub(crate) held: BTreeMap<JobKey, HostResources>,
    /// What is not held.
    pub(crate) free: HostResources,
    /// What guaranteed jobs wait for.
    pub(crate) claimed: HostResources,
    /// What reservations wait for.
    pub(crate) reserved: HostResources,
}

impl WorkerEntry {
    pub(crate) fn new(name: WorkerName, capacity: WorkerCapacity, health: HealthMachine) -> Self {
        Self {
            name,
            capacity,
            health,
            up: false,
            held: BTreeMap::new(),
            free: total(capacity),
            claimed: HostResources::default(),
            reserved: HostResources::default(),
        }
    }

    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.health.state(), HealthState::Lost { .. })
    }

    /// Returns whether it is lost and its place can be given to another worker.
    pub(crate) fn is_vacant(&self) -> bool {
        let nothing = HostResources::default();
        self.is_lost() && self.held.is_empty() && self.claimed == nothing && self.reserved == nothing
    }

    /// Returns the cores and memory that it has.
    pub(crate) fn total(&self) -> HostResources {
        total(self.capacity)
    }

    /// Returns the bits of its accelerators.
    pub(crate) fn accelerator_mask(&self) -> u8 {
        ((1u16 << self.capacity.accelerators.min(8)) - 1) as u8
    }

    pub(crate) fn hold(&mut self, job: JobKey, amount: HostResources) {
        let held = self.held.entry(job).or_default();
        *held = held.plus(amount);
        self.count_free();
    }

    pub(crate) fn release(&mut self, job: JobKey) {
        self.held.remove(&job);
        self.count_free();
    }

    /// Replaces the capacity after a worker came back different.
    pub(crate) fn resize(&mut self, capacity: WorkerCapacity) {
        self.capacity = capacity;
        self.count_free();
    }

    fn count_free(&mut self) {
        let held = self
            .held
            .values()
            .fold(HostResources::default(), |sum, held| sum.plus(*held));
        self.free = total(self.capacity).minus(held);
    }
}

fn total(capacity: WorkerCapacity) -> HostResources {
    HostResources {
        cores: capacity.cores,
        memory_mib: capacity.memory_mib,
    }
}
