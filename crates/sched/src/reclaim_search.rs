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

/// Cost of a choice, compared in this order: whether the job failed before on one of the workers, number of
/// borrowers to preempt, number of those that cannot checkpoint, whether the job has to wait, and number of
/// reserved accelerators.
type ReclaimCost = (bool, usize, usize, bool, u32);

const NO_COST: ReclaimCost = (false, 0, 0, false, 0);

/// A candidate block for one cell of a guaranteed job.
#[derive(Debug)]
pub(crate) struct ReclaimChoice {
    pub(crate) loads: Vec<WorkerLoad>,
    pub(crate) block: CellBlock,
    pub(crate) binding: ReclaimBinding,
    pub(crate) victims: Vec<JobKey>,
    cost: ReclaimCost,
}

/// The guaranteed cell that contains the block.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReclaimBinding {
    /// A cell that is already bound.
    Existing(BindingKey),
    /// An unbound cell, to be bound to this block.
    New(CellBlock),
}

/// Search for the cells of one guaranteed job.
pub(crate) struct ReclaimSearch<'a> {
    pub(crate) pool: &'a PoolState,
    pub(crate) ledger: &'a GuaranteeLedger,
    pub(crate) jobs: &'a SlotMap<JobKey, JobEntry>,
    pub(crate) account: &'a AccountName,
    pub(crate) demand: &'a CellDemand,
    /// Borrowers that are already preempted for other cells of the same gang.
    pub(crate) preempted: &'a BTreeSet<JobKey>,
    /// Home cells that already cannot be packed before this choice.
    pub(crate) shortfall: CellCounts,
}

impl ReclaimSearch<'_> {
    /// Returns the candidate with the lowest cost that leaves the other guarantees packable.
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
            let unused = binding.block.mask() & !binding.used & self.pool.up.mask(rack);
            for offset in set_bits(full_blocks(unused)[level as usize]) {
                let block = CellBlock { rack, offset, level };
                let binding = ReclaimBinding::Existing(*key);
                self.consider(&mut best, block, tasks, binding, || true);
            }
        }
        best
    }

    /// Searches for a block to bind an unbound cell to, best fit first; returns whether `best` was improved.
    fn choose_unbound(
        &self,
        guaranteed: CellLevel,
        home: bool,
        level: CellLevel,
        tasks: u32,
        best: &mut Option<ReclaimChoice>,
    ) -> bool {
        let mut found = false;
        let bindable = &self.pool.bindable;
        for from in CellLevel::ALL.into_iter().filter(|from| *from >= guaranteed) {
            for rack in bindable.racks(from) {
                for start in set_bits(maximal_blocks(bindable.mask(rack))[from as usize]) {
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
                            found |= self.consider(best, block, tasks, binding, allowed);
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

    /// Replaces `best` with the block if it is allowed and has a lower cost; returns whether it did.
    fn consider<F>(
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
        let best_cost = best.as_ref().map(|best| best.cost);
        // The lower bound excludes most blocks before the loads and victims are computed.
        let Some(least) = self.cost_bound(block) else {
            return false;
        };
        if best_cost.is_some_and(|cost| cost <= least) {
            return false;
        }
        let Some(choice) = self.evaluate(block, tasks, binding) else {
            return false;
        };
        if best_cost.is_some_and(|cost| cost <= choice.cost) || !allowed() {
            return false;
        }
        *best = Some(choice);
        true
    }

    /// Returns a lower bound of the cost, or `None` if a guaranteed job uses a part of the block.
    fn cost_bound(&self, block: CellBlock) -> Option<ReclaimCost> {
        let rack = self.pool.rack(block.rack);
        let mut victims = [JobKey::default(); 64];
        let mut count = 0;
        let mut uncheckpointable = 0;
        let allocated = rack.allocated & block.mask();
        for bit in set_bits(allocated) {
            let Some(owner) = rack.owners[usize::from(bit)] else {
                continue;
            };
            if self.is_stopping(owner) || victims[..count].contains(&owner) {
                continue;
            }
            if self.is_protected(owner) {
                return None;
            }
            uncheckpointable += usize::from(!self.jobs[owner].spec.checkpointable);
            victims[count] = owner;
            count += 1;
        }
        let reserved = (rack.reserved & block.mask()).count_ones();
        Some((false, count, uncheckpointable, allocated != 0, reserved))
    }

    /// Returns the choice of a block, which no guaranteed job uses according to `cost_bound`, or `None` if
    /// its load cannot fit beside guaranteed jobs.
    fn evaluate(&self, block: CellBlock, tasks: u32, binding: ReclaimBinding) -> Option<ReclaimChoice> {
        let rack = self.pool.rack(block.rack);
        let loads = WorkerLoad::for_block(block, tasks, self.demand);
        let mut victims = BTreeSet::new();
        let mut waits = false;
        for bit in set_bits(rack.allocated & block.mask()) {
            waits = true;
            if let Some(owner) = rack.owners[usize::from(bit)]
                && !self.is_stopping(owner)
            {
                victims.insert(owner);
            }
        }
        for load in &loads {
            waits |= self.add_resource_victims(load, &mut victims)?;
        }
        let uncheckpointable = victims
            .iter()
            .filter(|victim| !self.jobs[**victim].spec.checkpointable)
            .count();
        let failed_before = loads
            .iter()
            .any(|load| self.demand.avoided_workers.contains(&load.slot));
        let reserved = (rack.reserved & block.mask()).count_ones();
        Some(ReclaimChoice {
            cost: (failed_before, victims.len(), uncheckpointable, waits, reserved),
            loads,
            block,
            binding,
            victims: victims.into_iter().collect(),
        })
    }

    fn is_stopping(&self, owner: JobKey) -> bool {
        self.preempted.contains(&owner)
            || self.jobs[owner]
                .allocation()
                .is_none_or(|allocation| allocation.preemption.is_some())
    }

    /// Returns whether the job must not be preempted: it is guaranteed, or it was adopted as guaranteed and
    /// its cells are not identified yet.
    fn is_protected(&self, owner: JobKey) -> bool {
        let allocation = self.jobs[owner].allocation();
        allocation.is_some_and(|allocation| allocation.is_guaranteed() || allocation.awaits_rebinding)
    }

    /// Adds borrowers that use cores or memory of the worker to the victims until the load fits.
    ///
    /// Returns whether the load has to wait, or `None` if it cannot fit beside guaranteed jobs.
    fn add_resource_victims(&self, load: &WorkerLoad, victims: &mut BTreeSet<JobKey>) -> Option<bool> {
        let worker = self.pool.worker(load.slot).filter(|worker| worker.up)?;
        let need = load.resources().plus(worker.claimed);
        if worker.free.covers(need) {
            return Some(false);
        }
        let mut free = worker.free;
        let mut others = Vec::new();
        for (owner, amount) in &worker.allocated {
            if victims.contains(owner) || self.is_stopping(*owner) {
                free = free.plus(*amount);
            } else if !self.is_protected(*owner) {
                others.push((!self.jobs[*owner].spec.checkpointable, *owner, *amount));
            }
        }
        others.sort_by_key(|(uncheckpointable, owner, _)| (*uncheckpointable, *owner));
        for (_, owner, amount) in others {
            if free.covers(need) {
                break;
            }
            free = free.plus(amount);
            victims.insert(owner);
        }
        free.covers(need).then_some(true)
    }
}

fn offsets_within(start: u8, from: CellLevel, level: CellLevel) -> impl Iterator<Item = u8> {
    (start..start + from.accelerators() as u8).step_by(level.accelerators() as usize)
}
