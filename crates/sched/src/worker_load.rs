use arbutuspick_model::{CellLevel, GangShape, WorkerName};
use serde::Serialize;

use crate::MemberPlacement;
use crate::cell_block::CellBlock;
use crate::cell_demand::CellDemand;
use crate::worker_entry::HostResources;

/// Position of a worker: its rack and its place among the eight of the rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct WorkerSlot {
    /// Index of the rack.
    pub rack: u32,
    /// Place in the rack.
    pub place: u8,
}

/// What one gang holds, or is to hold, on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerLoad {
    /// Worker.
    pub slot: WorkerSlot,
    /// Accelerators that are set aside, including those lost by rounding up to cells.
    pub mask: u8,
    /// Tasks.
    pub tasks: u32,
    /// Accelerators set aside for one task; 0 for work on processors only.
    pub task_cell: u32,
    /// Cores of all tasks.
    pub cores: u32,
    /// Memory of all tasks in MiB.
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

    /// Spreads the tasks of a cell over its workers, in order.
    pub(crate) fn of_block(block: CellBlock, tasks: u32, demand: &CellDemand) -> Vec<Self> {
        let mask = block.mask();
        let workers = (block.level.accelerators() / 8).max(1) as u8;
        let per_worker = if block.level <= CellLevel::Worker {
            tasks
        } else {
            8 / demand.task_cell
        };
        let mut left = tasks;
        let mut loads = Vec::with_capacity(usize::from(workers));
        for place in block.offset / 8..block.offset / 8 + workers {
            let here = left.min(per_worker);
            left -= here;
            let slot = WorkerSlot {
                rack: block.rack,
                place,
            };
            let bits = (mask >> (8 * place)) as u8;
            loads.push(Self::new(slot, bits, here, demand.task_cell, demand.shape));
        }
        loads
    }

    pub(crate) fn resources(&self) -> HostResources {
        HostResources {
            cores: self.cores,
            memory_mib: self.memory_mib,
        }
    }

    /// Returns the bits in the mask of the rack.
    pub(crate) fn rack_mask(&self) -> u64 {
        u64::from(self.mask) << (8 * self.slot.place)
    }

    /// Returns the members on this worker, each with its own accelerators.
    pub(crate) fn members(&self, worker: &WorkerName, shape: GangShape) -> Vec<MemberPlacement> {
        let own = ((1u16 << shape.accelerators) - 1) as u8;
        let first = if self.mask == 0 {
            0
        } else {
            self.mask.trailing_zeros()
        };
        (0..self.tasks)
            .map(|task| MemberPlacement {
                worker: worker.clone(),
                accelerators: if own == 0 {
                    0
                } else {
                    own << (first + task * self.task_cell)
                },
            })
            .collect()
    }
}
