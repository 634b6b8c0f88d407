use std::collections::BTreeSet;

use arbutuspick_model::{CellLevel, GangAdjacency, GangShape, WORKER_ACCELERATORS, WorkerCapacity};

use crate::CellCounts;
use crate::worker_load::WorkerSlot;

/// Number of cells of one level that a gang needs, and the number of tasks in each cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CellRequirement {
    pub(crate) level: CellLevel,
    pub(crate) count: u32,
    pub(crate) tasks: u32,
}

/// Cells that a gang needs, largest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CellDemand {
    pub(crate) shape: GangShape,
    /// Accelerators allocated per task, a power of two; 0 for CPU-only jobs.
    pub(crate) task_cell: u32,
    pub(crate) requirements: Vec<CellRequirement>,
    /// Workers on which the job failed; used only if the gang fits nowhere else.
    pub(crate) avoided_workers: BTreeSet<WorkerSlot>,
}

impl CellDemand {
    /// Rounds a gang shape up to cells.
    ///
    /// The cells of a guaranteed job are also large enough to cover its cores and memory in proportion to the
    /// capacity of `worker`, so that the job cannot exhaust the cores and memory that belong to other
    /// guaranteed cells on the same worker. The same applies to rack-adjacent gangs, whose tasks share
    /// workers.
    pub(crate) fn new(shape: GangShape, worker: WorkerCapacity, guaranteed: bool) -> Option<Self> {
        if shape.tasks == 0 || shape.accelerators > WORKER_ACCELERATORS {
            return None;
        }
        if shape.accelerators == 0 {
            return Some(Self {
                shape,
                task_cell: 0,
                requirements: Vec::new(),
                avoided_workers: BTreeSet::new(),
            });
        }
        let rounded = shape.accelerators.next_power_of_two();
        let (task_cell, requirements) = match shape.adjacency {
            GangAdjacency::Task => {
                let mut cell = rounded;
                if guaranteed {
                    cell = cell.max(proportional_cell(shape, worker, 1)?);
                }
                (cell, vec![cell_requirement(cell, shape.tasks, 1)?])
            }
            GangAdjacency::Worker => {
                let mut cell = (rounded * shape.tasks).next_power_of_two();
                if guaranteed {
                    cell = cell.max(proportional_cell(shape, worker, shape.tasks)?);
                }
                (rounded, vec![cell_requirement(cell, 1, shape.tasks)?])
            }
            GangAdjacency::Rack => {
                let cell = rounded.max(proportional_cell(shape, worker, 1)?);
                (cell, rack_requirements(shape.tasks, cell)?)
            }
        };
        Some(Self {
            shape,
            task_cell,
            requirements,
            avoided_workers: BTreeSet::new(),
        })
    }

    /// Returns the number of required cells by level.
    pub(crate) fn counts(&self) -> CellCounts {
        let mut counts = CellCounts::default();
        for requirement in &self.requirements {
            counts[requirement.level] += requirement.count;
        }
        counts
    }
}

fn cell_requirement(accelerators: u32, count: u32, tasks: u32) -> Option<CellRequirement> {
    let level = CellLevel::covering(accelerators)?;
    Some(CellRequirement { level, count, tasks })
}

/// Splits a rack-adjacent gang into whole racks and one cell for the remaining tasks.
fn rack_requirements(tasks: u32, task_cell: u32) -> Option<Vec<CellRequirement>> {
    let rack_tasks = CellLevel::Rack.accelerators() / task_cell;
    let mut requirements = Vec::new();
    if tasks >= rack_tasks {
        requirements.push(cell_requirement(64, tasks / rack_tasks, rack_tasks)?);
    }
    let rest = tasks % rack_tasks;
    if rest > 0 {
        requirements.push(cell_requirement(rest * task_cell, 1, rest)?);
    }
    Some(requirements)
}

/// Returns the smallest cell, in accelerators, whose proportional cores and memory suffice for the tasks.
fn proportional_cell(shape: GangShape, worker: WorkerCapacity, tasks: u32) -> Option<u32> {
    let cores = u64::from(shape.cores) * u64::from(tasks);
    let memory = shape.memory_mib.saturating_mul(u64::from(tasks));
    [1, 2, 4, 8].into_iter().find(|cell| {
        let share = u64::from(*cell);
        8 * cores <= share * u64::from(worker.cores) && memory.saturating_mul(8) <= share * worker.memory_mib
    })
}
