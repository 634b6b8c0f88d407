use arbutuspick_model::GangAdjacency;

use crate::cell_demand::CellDemand;
use crate::job_entry::JobKey;
use crate::pool_state::{PoolArea, PoolState};
use crate::worker_load::{WorkerLoad, WorkerSlot};

/// Placement of CPU-only jobs.
impl PoolState {
    /// Allocates workers for a CPU-only gang, best fit by free cores.
    pub(crate) fn place_cpu_tasks(
        &mut self,
        job: JobKey,
        demand: &CellDemand,
        area: PoolArea,
        loads: &mut Vec<WorkerLoad>,
    ) -> Option<()> {
        match demand.shape.adjacency {
            GangAdjacency::Task => {
                let slots = self.slots_by_cores(demand.shape.cores);
                self.fill_slots(job, demand, area, slots, loads)
            }
            GangAdjacency::Worker => {
                let whole = WorkerLoad::new(
                    WorkerSlot { rack: 0, place: 0 },
                    0,
                    demand.shape.tasks,
                    0,
                    demand.shape,
                );
                let slots = self.slots_by_cores(whole.cores);
                let load = slots
                    .into_iter()
                    .map(|slot| WorkerLoad {
                        slot,
                        ..whole.clone()
                    })
                    .find(|load| self.can_place(load, demand, area))?;
                self.allocate(job, &load);
                loads.push(load);
                Some(())
            }
            GangAdjacency::Rack => {
                let rack = (0..self.racks.len() as u32)
                    .find(|rack| self.rack_tasks(*rack, demand, area) >= demand.shape.tasks)?;
                let slots = (0..8).map(|place| WorkerSlot { rack, place }).collect();
                self.fill_slots(job, demand, area, slots, loads)
            }
        }
    }

    fn fill_slots(
        &mut self,
        job: JobKey,
        demand: &CellDemand,
        area: PoolArea,
        slots: Vec<WorkerSlot>,
        loads: &mut Vec<WorkerLoad>,
    ) -> Option<()> {
        let mut remaining = demand.shape.tasks;
        for slot in slots {
            let tasks = remaining.min(self.worker_tasks(slot, demand, area));
            if tasks > 0 {
                let load = WorkerLoad::new(slot, 0, tasks, 0, demand.shape);
                self.allocate(job, &load);
                loads.push(load);
                remaining -= tasks;
            }
            if remaining == 0 {
                return Some(());
            }
        }
        None
    }

    fn rack_tasks(&self, rack: u32, demand: &CellDemand, area: PoolArea) -> u32 {
        (0..8)
            .map(|place| self.worker_tasks(WorkerSlot { rack, place }, demand, area))
            .sum()
    }

    /// Returns how many tasks fit into the free resources of the worker.
    fn worker_tasks(&self, slot: WorkerSlot, demand: &CellDemand, area: PoolArea) -> u32 {
        if demand.avoided_workers.contains(&slot) {
            return 0;
        }
        self.free_resources(slot, area).task_count(demand)
    }
}
