use std::collections::BTreeSet;

use arbutuspick_model::{AccountName, CellLevel};
use slotmap::SlotMap;

use crate::CellCounts;
use crate::cell_block::{CellBlock, full_blocks, maximal_blocks, set_bits};
use crate::cell_demand::CellDemand;
use crate::guarantee_ledger::{BindingKey, GuaranteeLedger};
use crate::job_entry::{JobEntry, JobKey};
use crate::pool_state::PoolState;
use crate::worker_load::WorkerLoad;

/// How bad a choice of cells is: whether a worker failed the job before, borrowers to preempt, those that cannot checkpoint, whether it
/// has to wait, and reserved accelerators; less is better in this order.
type ReclaimCost = (bool, usize, usize, bool, u32);

const NO_COST: ReclaimCost = (false, 0, 0, false, 0);

/// A place for one cell of a guaranteed job.
#[derive(Debug)]
pub(crate) struct ReclaimChoice {
    pub(crate) loads: Vec<WorkerLoad>,
    pub(crate) block: CellBlock,
    pub(crate) binding: ReclaimBinding,
    pub(crate) victims: Vec<JobKey>,
    cost: ReclaimCost,
}

/// The guaranteed cell that the place belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReclaimBinding {
    /// A cell that the account uses already.
    Existing(BindingKey),
    /// A cell that was not in use.
    New(CellBlock),
}

/// Chooses the cells of one guaranteed job.
pub(crate) struct ReclaimPick<'a> {
    pub(crate) pool: &'a PoolState,
    pub(crate) ledger: &'a GuaranteeLedger,
    pub(crate) jobs: &'a SlotMap<JobKey, JobEntry>,
    pub(crate) account: &'a AccountName,
    pub(crate) demand: &'a CellDemand,
    /// Borrowers that earlier cells of the same gang preempt anyway.
    pub(crate) chosen: &'a BTreeSet<JobKey>,
    /// Home cells that cannot be packed even now.
    pub(crate) shortfall: CellCounts,
}

impl ReclaimPick<'_> {
    /// Returns the place with the least disturbance that leaves the other guarantees packable.
    pub(crate) fn choose(&self, level: CellLevel, tasks: u32) -> Option<ReclaimChoice> {
        let mut best = self.choose_bound(level, tasks);
        if best.as_ref().is_some_and(|best| best.cost == NO_COST) {
            return best;
        }
        let entry = self.ledger.accounts.get(self.account)?;
        for guaranteed in CellLevel::ALL.into_iter().filter(|cell| *cell >= level) {
            if let Some(home) = entry.unbound(guaranteed) {
                let found = self.choose_unbound(guaranteed, home, level, tasks, &mut best);
                if found {
                    return best;
                }
            }
        }
        best
    }

    fn choose_bound(&self, level: CellLevel, tasks: u32) -> Option<ReclaimChoice> {
        let entry = self.ledger.accounts.get(self.account)?;
        let mut best = None;
        for key in &entry.bindings {
            let binding = &self.ledger.bindings[*key];
            let rack = binding.block.rack;
            let unused = binding.block.mask() & !binding.used & self.pool.alive.mask(rack);
            for offset in set_bits(full_blocks(unused)[level as usize]) {
                let block = CellBlock { rack, offset, level };
                let binding = ReclaimBinding::Existing(*key);
                self.improve(&mut best, block, tasks, binding, || true);
            }
        }
        best
    }

    /// Looks for a new guaranteed cell, best fit first; returns whether one was found.
    fn choose_unbound(
        &self,
        guaranteed: CellLevel,
        home: bool,
        level: CellLevel,
        tasks: u32,
        best: &mut Option<ReclaimChoice>,
    ) -> bool {
        let mut found = false;
        let claimable = &self.pool.claimable;
        for from in CellLevel::ALL.into_iter().filter(|from| *from >= guaranteed) {
            for rack in claimable.racks(from) {
                for start in set_bits(maximal_blocks(claimable.mask(rack))[from as usize]) {
                    for offset in offsets_within(start, from, guaranteed) {
                        let cell = CellBlock {
                            rack,
                            offset,
                            level: guaranteed,
                        };
                        let allowed = || self.ledger.may_bind(self.pool, cell, home, &self.shortfall);
                        for offset in offsets_within(offset, guaranteed, level) {
                            let block = CellBlock { rack, offset, level };
                            let binding = ReclaimBinding::New(cell);
                            found |= self.improve(best, block, tasks, binding, allowed);
                            if best.as_ref().is_some_and(|best| best.cost == NO_COST) {
                                return true;
                            }
                        }
                    }
                }
            }
        }
        found
    }

    /// Keeps the block when it is allowed and disturbs less than the best one so far.
    fn improve<F>(
        &self,
        best: &mut Option<ReclaimChoice>,
        block: CellBlock,
        tasks: u32,
        binding: ReclaimBinding,
        allowed: F,
    ) -> bool
    where
        F: FnOnce() -> bool,
    {
        let bound = best.as_ref().map(|best| best.cost);
        // Most blocks are no better by their holders alone; they are left out before anything is built.
        let Some(least) = self.least_cost(block) else {
            return false;
        };
        if bound.is_some_and(|bound| bound <= least) {
            return false;
        }
        let Some(choice) = self.evaluate(block, tasks, binding) else {
            return false;
        };
        if bound.is_some_and(|bound| bound <= choice.cost) || !allowed() {
            return false;
        }
        *best = Some(choice);
        true
    }

    /// Returns a lower bound of the cost, or nothing when guaranteed work holds a part of the block.
    fn least_cost(&self, block: CellBlock) -> Option<ReclaimCost> {
        let rack = self.pool.rack(block.rack);
        let mut victims = [JobKey::default(); 64];
        let mut count = 0;
        let mut rigid = 0;
        let held = rack.held & block.mask();
        for bit in set_bits(held) {
            let Some(holder) = rack.holders[usize::from(bit)] else {
                continue;
            };
            if self.is_leaving(holder) || victims[..count].contains(&holder) {
                continue;
            }
            if self.is_protected(holder) {
                return None;
            }
            rigid += usize::from(!self.jobs[holder].spec.checkpointable);
            victims[count] = holder;
            count += 1;
        }
        let reserved = (rack.reserved & block.mask()).count_ones();
        Some((false, count, rigid, held != 0, reserved))
    }

    fn evaluate(&self, block: CellBlock, tasks: u32, binding: ReclaimBinding) -> Option<ReclaimChoice> {
        let rack = self.pool.rack(block.rack);
        let loads = WorkerLoad::of_block(block, tasks, self.demand);
        let mut victims = BTreeSet::new();
        let mut waits = false;
        for bit in set_bits(rack.held & block.mask()) {
            waits = true;
            if let Some(holder) = rack.holders[usize::from(bit)]
                && !self.is_leaving(holder)
            {
                victims.insert(holder);
            }
        }
        for load in &loads {
            waits |= self.add_process_victims(load, &mut victims)?;
        }
        let rigid = victims
            .iter()
            .filter(|victim| !self.jobs[**victim].spec.checkpointable)
            .count();
        let failed_before = loads.iter().any(|load| self.demand.avoided.contains(&load.slot));
        let reserved = (rack.reserved & block.mask()).count_ones();
        Some(ReclaimChoice {
            cost: (failed_before, victims.len(), rigid, waits, reserved),
            loads,
            block,
            binding,
            victims: victims.into_iter().collect(),
        })
    }

    fn is_leaving(&self, holder: JobKey) -> bool {
        self.chosen.contains(&holder) || self.jobs[holder].hold().is_none_or(|hold| hold.ending.is_some())
    }

    fn is_protected(&self, holder: JobKey) -> bool {
        let hold = self.jobs[holder].hold();
        hold.is_some_and(|hold| hold.is_firm() || hold.unbound_guarantee)
    }

    /// Adds borrowers that hold cores or memory of the worker until the load fits.
    ///
    /// Returns whether the load has to wait, or nothing when it cannot fit beside guaranteed work.
    fn add_process_victims(&self, load: &WorkerLoad, victims: &mut BTreeSet<JobKey>) -> Option<bool> {
        let worker = self.pool.worker(load.slot).filter(|worker| worker.up)?;
        let need = load.resources().plus(worker.claimed);
        if worker.free.covers(need) {
            return Some(false);
        }
        let mut free = worker.free;
        let mut others = Vec::new();
        for (holder, amount) in &worker.held {
            if victims.contains(holder) || self.is_leaving(*holder) {
                free = free.plus(*amount);
            } else if !self.is_protected(*holder) {
                others.push((!self.jobs[*holder].spec.checkpointable, *holder, *amount));
            }
        }
        others.sort_by_key(|(rigid, holder, _)| (*rigid, *holder));
        for (_, holder, amount) in others {
            if free.covers(need) {
                break;
            }
            free = free.plus(amount);
            victims.insert(holder);
        }
        free.covers(need).then_some(true)
    }
}

fn offsets_within(start: u8, from: CellLevel, level: CellLevel) -> impl Iterator<Item = u8> {
    (start..start + from.accelerators() as u8).step_by(level.accelerators() as usize)
}
