use arbutuspick_model::GangAdjacency;

use crate::CellCounts;
use crate::cell_block::maximal_blocks;
use crate::cell_demand::CellDemand;
use crate::cell_packing::packing_shortfall;
use crate::pool_state::PoolState;
use crate::rack_entry::RackEntry;
use crate::worker_entry::WorkerEntry;

/// Feasibility checks of gang shapes on empty workers.
impl PoolState {
    /// Returns whether the gang would fit on the known workers if they were empty.
    pub(crate) fn fits_known_workers(&self, demand: &CellDemand) -> bool {
        self.fits(demand, |_| true)
    }

    /// Returns whether the gang would fit on the workers that are up if they were empty.
    pub(crate) fn fits_up_workers(&self, demand: &CellDemand) -> bool {
        self.fits(demand, |worker| worker.up)
    }

    fn fits<F>(&self, demand: &CellDemand, wanted: F) -> bool
    where
        F: Fn(&WorkerEntry) -> bool,
    {
        let shape = demand.shape;
        let tasks_of = |worker: &WorkerEntry| {
            if wanted(worker) {
                task_limit(worker, demand)
            } else {
                0
            }
        };
        let workers = || self.racks.iter().flat_map(|rack| rack.workers.iter().flatten());
        match shape.adjacency {
            GangAdjacency::Task => workers().map(tasks_of).sum::<u32>() >= shape.tasks,
            GangAdjacency::Worker => workers().any(|worker| tasks_of(worker) >= shape.tasks),
            GangAdjacency::Rack if demand.requirements.is_empty() => {
                let rack_tasks = |rack: &RackEntry| rack.workers.iter().flatten().map(tasks_of).sum::<u32>();
                self.racks.iter().any(|rack| rack_tasks(rack) >= shape.tasks)
            }
            GangAdjacency::Rack => {
                let per_worker = shape.tasks.min(8 / demand.task_cell);
                let mut counts = CellCounts::default();
                for rack in &self.racks {
                    let blocks = maximal_blocks(rack.mask_of(|worker| tasks_of(worker) >= per_worker));
                    for (count, starts) in counts.0.iter_mut().zip(blocks) {
                        *count += starts.count_ones();
                    }
                }
                packing_shortfall(counts, demand.counts()).is_empty()
            }
        }
    }
}

/// Returns how many tasks fit on the worker when it is empty.
fn task_limit(worker: &WorkerEntry, demand: &CellDemand) -> u32 {
    let capacity = worker.capacity;
    let by_cores = capacity.cores / demand.shape.cores.max(1);
    let by_memory = (capacity.memory_mib / demand.shape.memory_mib.max(1)).min(1024) as u32;
    let by_cells = match demand.task_cell {
        0 => u32::MAX,
        cell if demand.shape.adjacency == GangAdjacency::Worker => {
            // All tasks have to fit into one aligned cell.
            let largest = 1u32.checked_shl(capacity.accelerators.min(8).checked_ilog2().unwrap_or(0));
            if capacity.accelerators == 0 {
                0
            } else {
                largest.unwrap_or(0) / cell
            }
        }
        cell => capacity.accelerators.min(8) / cell,
    };
    by_cores.min(by_memory).min(by_cells).min(1024)
}
