use std::collections::BTreeSet;

use arbutuspick_model::CellLevel;

use crate::block_index::BlockIndex;
use crate::cell_block::{CellBlock, maximal_blocks, set_bits};
use crate::cell_demand::CellDemand;
use crate::cell_packing::packing_shortfall;
use crate::job_entry::JobKey;
use crate::pool_state::{PoolArea, PoolState};
use crate::worker_load::WorkerLoad;

/// Best-fit allocation of free cells to borrowed jobs.
impl PoolState {
    /// Allocates cells for every task of the gang, or none if the gang does not fit.
    pub(crate) fn place(
        &mut self,
        job: JobKey,
        demand: &CellDemand,
        area: PoolArea,
    ) -> Option<Vec<WorkerLoad>> {
        let mut loads = Vec::new();
        if self.place_cells(job, demand, area, &mut loads).is_some() {
            return Some(loads);
        }
        for load in &loads {
            self.release(job, load);
        }
        if demand.avoided_workers.is_empty() {
            return None;
        }
        let unrestricted = CellDemand {
            avoided_workers: BTreeSet::new(),
            ..demand.clone()
        };
        self.place(job, &unrestricted, area)
    }

    fn place_cells(
        &mut self,
        job: JobKey,
        demand: &CellDemand,
        area: PoolArea,
        loads: &mut Vec<WorkerLoad>,
    ) -> Option<()> {
        if demand.requirements.is_empty() {
            return self.place_cpu_tasks(job, demand, area, loads);
        }
        if !packing_shortfall(self.index(area).counts(), demand.counts()).is_empty() {
            return None;
        }
        for requirement in &demand.requirements {
            for _ in 0..requirement.count {
                let found = self.find_cell(demand, requirement.level, requirement.tasks, area)?;
                for load in found {
                    self.allocate(job, &load);
                    loads.push(load);
                }
            }
        }
        Some(())
    }

    fn index(&self, area: PoolArea) -> &BlockIndex {
        match area {
            PoolArea::Unreserved => &self.unreserved,
            PoolArea::Backfill => &self.backfill,
        }
    }

    /// Returns the loads of the best-fitting free cell whose workers have enough cores and memory.
    fn find_cell(
        &self,
        demand: &CellDemand,
        level: CellLevel,
        tasks: u32,
        area: PoolArea,
    ) -> Option<Vec<WorkerLoad>> {
        let index = self.index(area);
        let step = level.accelerators().max(8) as u8;
        for from in CellLevel::ALL.into_iter().filter(|from| *from >= level) {
            for rack in index.racks(from) {
                for start in set_bits(maximal_blocks(index.mask(rack))[from as usize]) {
                    let end = start + from.accelerators() as u8;
                    for offset in (start..end).step_by(usize::from(step)) {
                        let loads = WorkerLoad::for_block(CellBlock { rack, offset, level }, tasks, demand);
                        if loads.iter().all(|load| self.can_place(load, demand, area)) {
                            return Some(loads);
                        }
                    }
                }
            }
        }
        None
    }
}
