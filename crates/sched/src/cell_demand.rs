use std::collections::BTreeSet;

use arbutuspick_model::{CellLevel, GangAdjacency, GangShape, WORKER_ACCELERATORS, WorkerCapacity};

use crate::CellCounts;
use crate::worker_load::WorkerSlot;

/// Cells of one level that a gang needs, with the tasks in each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CellRun {
    pub(crate) level: CellLevel,
    pub(crate) count: u32,
    pub(crate) tasks: u32,
}

/// Cells that a gang needs, largest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CellDemand {
    pub(crate) shape: GangShape,
    /// Accelerators set aside for one task, a power of two; 0 for work on processors only.
    pub(crate) task_cell: u32,
    pub(crate) runs: Vec<CellRun>,
    /// Workers that failed to start the job, used only when there are no others.
    pub(crate) avoided: BTreeSet<WorkerSlot>,
}

impl CellDemand {
    /// Rounds a shape up to cells.
    ///
    /// The cells of a guaranteed job also cover its cores and memory in proportion to `worker`, so that
    /// it cannot use up what other guaranteed cells of the same worker need. The same holds for gangs
    /// within racks, whose tasks share workers.
    pub(crate) fn new(shape: GangShape, worker: WorkerCapacity, guaranteed: bool) -> Option<Self> {
        if shape.tasks == 0 || shape.accelerators > WORKER_ACCELERATORS {
            return None;
        }
        if shape.accelerators == 0 {
            return Some(Self {
                shape,
                task_cell: 0,
                runs: Vec::new(),
                avoided: BTreeSet::new(),
            });
        }
        let plain = shape.accelerators.next_power_of_two();
        let (task_cell, runs) = match shape.adjacency {
            GangAdjacency::Task => {
                let mut cell = plain;
                if guaranteed {
                    cell = cell.max(proportional_cell(shape, worker, 1)?);
                }
                (cell, vec![run_of(cell, shape.tasks, 1)?])
            }
            GangAdjacency::Worker => {
                let mut cell = (plain * shape.tasks).next_power_of_two();
                if guaranteed {
                    cell = cell.max(proportional_cell(shape, worker, shape.tasks)?);
                }
                (plain, vec![run_of(cell, 1, shape.tasks)?])
            }
            GangAdjacency::Rack => {
                let cell = plain.max(proportional_cell(shape, worker, 1)?);
                (cell, rack_runs(shape.tasks, cell)?)
            }
        };
        Some(Self {
            shape,
            task_cell,
            runs,
            avoided: BTreeSet::new(),
        })
    }

    /// Returns the cells by level.
    pub(crate) fn counts(&self) -> CellCounts {
        let mut counts = CellCounts::default();
        for run in &self.runs {
            counts[run.level] += run.count;
        }
        counts
    }
}

fn run_of(accelerators: u32, count: u32, tasks: u32) -> Option<CellRun> {
    let level = CellLevel::covering(accelerators)?;
    Some(CellRun { level, count, tasks })
}

/// Whole racks and one remainder.
fn rack_runs(tasks: u32, task_cell: u32) -> Option<Vec<CellRun>> {
    let rack_tasks = CellLevel::Rack.accelerators() / task_cell;
    let mut runs = Vec::new();
    if tasks >= rack_tasks {
        runs.push(run_of(64, tasks / rack_tasks, rack_tasks)?);
    }
    let rest = tasks % rack_tasks;
    if rest > 0 {
        runs.push(run_of(rest * task_cell, 1, rest)?);
    }
    Some(runs)
}

/// Returns the smallest part of a worker, in accelerators, whose share of cores and memory holds the tasks.
fn proportional_cell(shape: GangShape, worker: WorkerCapacity, tasks: u32) -> Option<u32> {
    let cores = u64::from(shape.cores) * u64::from(tasks);
    let memory = shape.memory_mib.saturating_mul(u64::from(tasks));
    [1, 2, 4, 8].into_iter().find(|part| {
        let share = u64::from(*part);
        8 * cores <= share * u64::from(worker.cores) && memory.saturating_mul(8) <= share * worker.memory_mib
    })
}
