use std::collections::BTreeMap;

use arbutuspick_model::{AccountName, CellLevel, ClockTime, GangAdjacency};

use crate::PlacementCore;
use crate::cell_block::{CellBlock, full_blocks, maximal_blocks, set_bits};
use crate::job_entry::{BindingPart, JobKey};

/// Identifies the guaranteed cells that adopted attempts used under the previous placement holder.
impl PlacementCore {
    pub(crate) fn bind_adopted(&mut self, now: ClockTime) {
        let keys: Vec<JobKey> = self.rebinding.iter().copied().collect();
        for key in keys {
            let Some(entry) = self.jobs.get(key) else {
                self.rebinding.remove(&key);
                continue;
            };
            let Some(allocation) = entry
                .allocation()
                .filter(|allocation| allocation.preemption.is_none())
            else {
                self.rebinding.remove(&key);
                continue;
            };
            let account = entry.spec.account.clone();
            let mut masks: BTreeMap<u32, u64> = BTreeMap::new();
            for load in &allocation.loads {
                *masks.entry(load.slot.rack).or_default() |= load.rack_mask();
            }
            let member_count = allocation.members.len();
            let allocated_tasks: u32 = allocation.loads.iter().map(|load| load.tasks).sum();
            let settled = now >= self.settled_at;
            if allocated_tasks as usize == member_count && self.bind_masks(key, &account, &masks, now)
                || settled
            {
                // An attempt that no guarantee covers any more stays borrowed.
                self.rebinding.remove(&key);
                if let Some(allocation) = self.jobs[key].allocation_mut() {
                    allocation.awaits_rebinding = false;
                }
            }
        }
    }

    fn bind_masks(
        &mut self,
        key: JobKey,
        account: &AccountName,
        masks: &BTreeMap<u32, u64>,
        now: ClockTime,
    ) -> bool {
        let mut parts = Vec::new();
        for (rack, mask) in masks {
            let blocks = self.adopted_blocks(key, *mask);
            for level in CellLevel::ALL.into_iter().rev() {
                for offset in set_bits(blocks[level as usize]) {
                    let block = CellBlock {
                        rack: *rack,
                        offset,
                        level,
                    };
                    let Some(part) = self.bind_block(account, block) else {
                        for part in parts {
                            self.ledger.release_part(&mut self.pool, part);
                        }
                        return false;
                    };
                    parts.push(part);
                }
            }
        }
        self.set_parts(key, parts, now);
        true
    }

    /// Divides the accelerators of an attempt in a rack into the cells that its shape requires, or into
    /// maximal blocks if the shape does not determine them.
    fn adopted_blocks(&self, key: JobKey, mask: u64) -> [u64; 7] {
        let spec = &self.jobs[key].spec;
        let demand = self.demand(spec, true);
        let level =
            demand.and_then(|demand| demand.requirements.first().map(|requirement| requirement.level));
        if let Some(level) = level.filter(|_| spec.shape.adjacency == GangAdjacency::Task) {
            let starts = full_blocks(mask)[level as usize];
            if starts.count_ones() * level.accelerators() == mask.count_ones() {
                let mut blocks = [0; 7];
                blocks[level as usize] = starts;
                return blocks;
            }
        }
        maximal_blocks(mask)
    }

    fn bind_block(&mut self, account: &AccountName, block: CellBlock) -> Option<BindingPart> {
        let mask = block.mask();
        let entry = self.ledger.accounts.get(account)?;
        let enclosing = entry.bindings.iter().copied().find(|key| {
            let binding = &self.ledger.bindings[*key];
            binding.block.rack == block.rack && mask & !(binding.block.mask() & !binding.used) == 0
        });
        let binding = match enclosing {
            Some(binding) => binding,
            None => {
                let bound = self.pool.rack(block.rack).bound;
                // The guarantees may have changed since the attempt started, so a new binding must leave the
                // other home guarantees packable.
                let shortfall = self.ledger.home_shortfall(&self.pool);
                let cell = CellLevel::ALL
                    .into_iter()
                    .filter(|level| *level >= block.level && entry.unbound(*level).is_some())
                    .map(|level| CellBlock {
                        rack: block.rack,
                        offset: block.offset & !(level.accelerators() as u8 - 1),
                        level,
                    })
                    .filter(|cell| cell.mask() & bound == 0)
                    .find(|cell| {
                        let home = entry.unbound(cell.level) == Some(true);
                        self.ledger.may_bind(&self.pool, *cell, home, &shortfall)
                    })?;
                self.ledger.bind(&mut self.pool, account, cell)?
            }
        };
        let part = BindingPart { binding, mask };
        self.ledger.mark_used(part);
        Some(part)
    }
}
