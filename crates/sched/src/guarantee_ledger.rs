use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{AccountName, CellLevel};
use slotmap::SlotMap;

use crate::cell_block::{CellBlock, maximal_blocks};
use crate::cell_packing::{guarantee_counts, leftover_cells, packing_shortfall};
use crate::job_entry::BindingPart;
use crate::pool_state::PoolState;
use crate::{AccountPolicy, CellCounts};

slotmap::new_key_type! {
    /// Key of a bound guaranteed cell.
    pub(crate) struct BindingKey;
}

/// A guaranteed cell that is bound to a block because jobs of its account use it, in part or completely.
///
/// The unused part of the block stays guaranteed to the account, and other accounts may only borrow it. The
/// fixed block keeps the unused part reclaimable regardless of the order in which jobs end.
#[derive(Clone, Debug)]
pub(crate) struct CellBinding {
    pub(crate) account: AccountName,
    pub(crate) block: CellBlock,
    /// Accelerators that jobs of the account use or claim.
    pub(crate) used: u64,
    /// Whether the cell counts against a home guarantee; otherwise against a displaced one.
    pub(crate) home: bool,
}

/// Guaranteed cells of one account by level, and how many of them are bound.
///
/// Home guarantees are configured for this data centre, displaced ones for others that are leaving or out of
/// service.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountGuarantee {
    home: CellCounts,
    displaced: CellCounts,
    bound_home: CellCounts,
    bound_displaced: CellCounts,
    pub(crate) bindings: BTreeSet<BindingKey>,
}

impl AccountGuarantee {
    /// Returns which kind of unbound cell the account has at the level: `Some(true)` for a home guarantee,
    /// which is used first, `Some(false)` for a displaced one, and `None` if all are bound.
    pub(crate) fn unbound(&self, level: CellLevel) -> Option<bool> {
        if self.home[level] > self.bound_home[level] {
            return Some(true);
        }
        (self.displaced[level] > self.bound_displaced[level]).then_some(false)
    }

    pub(crate) fn unbound_counts(&self) -> CellCounts {
        let mut counts = CellCounts::default();
        for level in CellLevel::ALL {
            counts[level] = (self.home[level] - self.bound_home[level])
                + (self.displaced[level] - self.bound_displaced[level]);
        }
        counts
    }
}

/// Guarantees of all accounts and the cells bound to them.
#[derive(Debug, Default)]
pub(crate) struct GuaranteeLedger {
    pub(crate) accounts: BTreeMap<AccountName, AccountGuarantee>,
    pub(crate) bindings: SlotMap<BindingKey, CellBinding>,
    /// Unbound home cells of all accounts.
    unbound_home: CellCounts,
    /// Unbound displaced cells of all accounts.
    unbound_displaced: CellCounts,
}

impl GuaranteeLedger {
    /// Replaces the guarantees, and removes and returns the bindings that they no longer cover.
    pub(crate) fn set_accounts(
        &mut self,
        policies: &[AccountPolicy],
        pool: &mut PoolState,
    ) -> Vec<BindingKey> {
        for entry in self.accounts.values_mut() {
            (entry.home, entry.displaced) = (CellCounts::default(), CellCounts::default());
            (entry.bound_home, entry.bound_displaced) = (CellCounts::default(), CellCounts::default());
        }
        for policy in policies {
            let entry = self.accounts.entry(policy.account.clone()).or_default();
            entry.home = guarantee_counts(&policy.home);
            entry.displaced = guarantee_counts(&policy.displaced);
        }
        let mut surplus = Vec::new();
        let keys: Vec<BindingKey> = self.bindings.keys().collect();
        for key in keys {
            if !self.recount_binding(key) {
                surplus.push(key);
            }
        }
        for key in &surplus {
            if let Some(binding) = self.bindings.remove(*key) {
                pool.bind(binding.block, false);
                if let Some(entry) = self.accounts.get_mut(&binding.account) {
                    entry.bindings.remove(key);
                }
            }
        }
        self.accounts.retain(|_, entry| {
            !entry.home.is_empty() || !entry.displaced.is_empty() || !entry.bindings.is_empty()
        });
        self.recount_unbound();
        surplus
    }

    /// Counts a binding against the guarantee of its account; returns whether the guarantee covers it.
    fn recount_binding(&mut self, key: BindingKey) -> bool {
        let Self {
            accounts, bindings, ..
        } = self;
        let Some(binding) = bindings.get_mut(key) else {
            return false;
        };
        let Some(entry) = accounts.get_mut(&binding.account) else {
            return false;
        };
        let level = binding.block.level;
        let Some(home) = entry.unbound(level) else {
            return false;
        };
        binding.home = home;
        let bound = if home {
            &mut entry.bound_home
        } else {
            &mut entry.bound_displaced
        };
        bound[level] += 1;
        true
    }

    fn recount_unbound(&mut self) {
        self.unbound_home = CellCounts::default();
        self.unbound_displaced = CellCounts::default();
        for entry in self.accounts.values() {
            for level in CellLevel::ALL {
                self.unbound_home[level] += entry.home[level] - entry.bound_home[level];
                self.unbound_displaced[level] += entry.displaced[level] - entry.bound_displaced[level];
            }
        }
    }

    /// Binds an unbound guaranteed cell of the account to the block.
    pub(crate) fn bind(
        &mut self,
        pool: &mut PoolState,
        account: &AccountName,
        block: CellBlock,
    ) -> Option<BindingKey> {
        let entry = self.accounts.get_mut(account)?;
        let home = entry.unbound(block.level)?;
        let key = self.bindings.insert(CellBinding {
            account: account.clone(),
            block,
            used: 0,
            home,
        });
        entry.bindings.insert(key);
        let (bound, unbound) = if home {
            (&mut entry.bound_home, &mut self.unbound_home)
        } else {
            (&mut entry.bound_displaced, &mut self.unbound_displaced)
        };
        bound[block.level] += 1;
        unbound[block.level] -= 1;
        pool.bind(block, true);
        Some(key)
    }

    pub(crate) fn mark_used(&mut self, part: BindingPart) {
        if let Some(binding) = self.bindings.get_mut(part.binding) {
            binding.used |= part.mask;
        }
    }

    /// Releases a part of a binding, and removes the binding if no other job uses it.
    pub(crate) fn release_part(&mut self, pool: &mut PoolState, part: BindingPart) {
        let Some(binding) = self.bindings.get_mut(part.binding) else {
            return;
        };
        binding.used &= !part.mask;
        if binding.used != 0 {
            return;
        }
        let Some(binding) = self.bindings.remove(part.binding) else {
            return;
        };
        pool.bind(binding.block, false);
        if let Some(entry) = self.accounts.get_mut(&binding.account) {
            let level = binding.block.level;
            entry.bindings.remove(&part.binding);
            if binding.home {
                entry.bound_home[level] -= 1;
                self.unbound_home[level] += 1;
            } else {
                entry.bound_displaced[level] -= 1;
                self.unbound_displaced[level] += 1;
            }
        }
    }

    /// Returns the cells that jobs of the account may claim: its unbound cells, and the maximal unused blocks
    /// of its bindings on workers that are up.
    pub(crate) fn claimable_cells(&self, pool: &PoolState, account: &AccountName) -> CellCounts {
        let Some(entry) = self.accounts.get(account) else {
            return CellCounts::default();
        };
        let mut claimable = entry.unbound_counts();
        for key in &entry.bindings {
            let binding = &self.bindings[*key];
            let rest = binding.block.mask() & !binding.used & pool.up.mask(binding.block.rack);
            for (count, starts) in claimable.0.iter_mut().zip(maximal_blocks(rest)) {
                *count += starts.count_ones();
            }
        }
        claimable
    }

    /// Returns the unbound home cells that do not fit into the bindable accelerators.
    pub(crate) fn home_shortfall(&self, pool: &PoolState) -> CellCounts {
        packing_shortfall(pool.bindable.counts(), self.unbound_home)
    }

    /// Returns whether a binding of the block would leave no more home cells unpackable than `shortfall`.
    pub(crate) fn may_bind(
        &self,
        pool: &PoolState,
        block: CellBlock,
        home: bool,
        shortfall: &CellCounts,
    ) -> bool {
        let mut demand = self.unbound_home;
        if home {
            demand[block.level] -= 1;
        }
        let mask = pool.bindable.mask(block.rack) & !block.mask();
        let available = pool.bindable.counts_with(block.rack, mask);
        packing_shortfall(available, demand).is_within(shortfall)
    }

    /// Returns the home and the displaced guaranteed cells that the workers that are up cannot provide.
    pub(crate) fn shortfalls(&self, pool: &PoolState) -> (CellCounts, CellCounts) {
        let available = pool.bindable.counts();
        let mut home = packing_shortfall(available, self.unbound_home);
        let leftover = leftover_cells(available, self.unbound_home);
        let mut displaced = packing_shortfall(leftover, self.unbound_displaced);
        for binding in self.bindings.values() {
            if binding.block.mask() & !pool.up.mask(binding.block.rack) != 0 {
                let counts = if binding.home { &mut home } else { &mut displaced };
                counts[binding.block.level] += 1;
            }
        }
        (home, displaced)
    }
}
