use std::collections::BTreeSet;

use arbutuspick_model::CellLevel;

use crate::block_index::BlockIndex;
use crate::cell_block::{CellBlock, maximal_blocks, set_bits};
use crate::cell_demand::CellDemand;
use crate::guarantee_pack::pack_guarantees;
use crate::job_entry::JobKey;
use crate::pool_state::{PoolArea, PoolState};
use crate::worker_load::WorkerLoad;

/// Choice of free cells, best fit, for work that borrows them.
impl PoolState {
    /// Holds cells for every task of the gang, or for none.
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
        if demand.avoided.is_empty() {
            return None;
        }
        let anywhere = CellDemand {
            avoided: BTreeSet::new(),
            ..demand.clone()
        };
        self.place(job, &anywhere, area)
    }

    fn place_cells(
        &mut self,
        job: JobKey,
        demand: &CellDemand,
        area: PoolArea,
        loads: &mut Vec<WorkerLoad>,
    ) -> Option<()> {
        if demand.runs.is_empty() {
            return self.place_processes(job, demand, area, loads);
        }
        if !pack_guarantees(self.index(area).counts(), demand.counts()).is_empty() {
            return None;
        }
        for run in &demand.runs {
            for _ in 0..run.count {
                let found = self.find_cell(demand, run.level, run.tasks, area)?;
                for load in found {
                    self.hold(job, &load);
                    loads.push(load);
                }
            }
        }
        Some(())
    }

    fn index(&self, area: PoolArea) -> &BlockIndex {
        match area {
            PoolArea::Open => &self.open,
            PoolArea::Lendable => &self.lendable,
        }
    }

    /// Returns the best-fitting free cell whose workers have the cores and memory.
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
                        let loads = WorkerLoad::of_block(CellBlock { rack, offset, level }, tasks, demand);
                        if loads.iter().all(|load| self.suits(load, demand, area)) {
                            return Some(loads);
                        }
                    }
                }
            }
        }
        None
    }
}
