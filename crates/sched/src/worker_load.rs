use arbutuspick_model::{CellLevel, GangShape, WorkerName};
use serde::Serialize;

use crate::MemberPlacement;
use crate::cell_block::CellBlock;
use crate::cell_demand::CellDemand;
use crate::worker_entry::HostResources;

/// Position of a worker: its rack, and its place among the eight workers of the rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct WorkerSlot {
    /// Index of the rack.
    pub rack: u32,
    /// Position within the rack, 0 to 7.
    pub place: u8,
}

/// Accelerators, tasks, cores and memory of one gang on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerLoad {
    /// Position of the worker.
    pub slot: WorkerSlot,
    /// Bit mask of the accelerators, including those that are unused because of rounding up to cells.
    pub mask: u8,
    /// Number of tasks.
    pub tasks: u32,
    /// Accelerators allocated per task; 0 for CPU-only jobs.
    pub task_cell: u32,
    /// Cores of all tasks together.
    pub cores: u32,
    /// Memory of all tasks together in MiB.
    pub memory_mib: u64,
}

impl WorkerLoad {
    pub(crate) fn new(slot: WorkerSlot, mask: u8, tasks: u32, task_cell: u32, shape: GangShape) -> Self {
        Self {
            slot,
            mask,
            tasks,
            task_cell,
            cores: shape.cores.saturating_mul(tasks),
            memory_mib: shape.memory_mib.saturating_mul(u64::from(tasks)),
        }
    }

    /// Distributes the tasks of a cell over its workers, filling each worker before the next.
    pub(crate) fn for_block(block: CellBlock, tasks: u32, demand: &CellDemand) -> Vec<Self> {
        let mask = block.mask();
        let workers = (block.level.accelerators() / 8).max(1) as u8;
        let per_worker = if block.level <= CellLevel::Worker {
            tasks
        } else {
            8 / demand.task_cell
        };
        let mut remaining = tasks;
        let mut loads = Vec::with_capacity(usize::from(workers));
        for place in block.offset / 8..block.offset / 8 + workers {
            let assigned = remaining.min(per_worker);
            remaining -= assigned;
            let slot = WorkerSlot {
                rack: block.rack,
                place,
            };
            let bits = (mask >> (8 * place)) as u8;
            loads.push(Self::new(slot, bits, assigned, demand.task_cell, demand.shape));
        }
        loads
    }

    pub(crate) fn resources(&self) -> HostResources {
        HostResources {
            cores: self.cores,
            memory_mib: self.memory_mib,
        }
    }

    /// Returns the accelerators as bits of the mask of the rack.
    pub(crate) fn rack_mask(&self) -> u64 {
        u64::from(self.mask) << (8 * self.slot.place)
    }

    /// Returns the gang members on this worker, each with its own accelerators.
    pub(crate) fn members(&self, worker: &WorkerName, shape: GangShape) -> Vec<MemberPlacement> {
        let task_mask = ((1u16 << shape.accelerators) - 1) as u8;
        let first = if self.mask == 0 {
            0
        } else {
            self.mask.trailing_zeros()
        };
        (0..self.tasks)
            .map(|task| MemberPlacement {
                worker: worker.clone(),
                accelerators: if task_mask == 0 {
                    0
                } else {
                    task_mask << (first + task * self.task_cell)
                },
            })
            .collect()
    }
}
