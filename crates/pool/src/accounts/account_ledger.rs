//! Counts what client accounts run against their caps.
//!
//! Load pattern: one account sends far more work than its cap allows, while runs start without an answer, stop late and
//! outlive their jobs. Everything that may occupy a worker counts until its end is known.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::placement::waiting_unit::WaitingUnit;
use crate::pool_core::PoolCore;
use crate::{AccountRule, JobBody, PoolPolicy, ResourceAmount};

/// Amount that stands for a resource without a limit.
const UNLIMITED: i64 = i64::MAX / 4;

/// What a capped account runs, and what is held for it, in one decision.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUsage {
    /// Limit of each resource.
    cap: ResourceAmount,
    /// Runs whose end is not known, and what is held for units that wait for stops.
    used: ResourceAmount,
    /// Part of `used` that is expected to end soon because its stop was ordered.
    stopping: ResourceAmount,
}

impl AccountUsage {
    fn new(cap: &ResourceAmount) -> Self {
        let limit = |amount: i64| if amount > 0 { amount } else { UNLIMITED };
        Self {
            cap: ResourceAmount {
                millicores: limit(cap.millicores),
                memory_mb: limit(cap.memory_mb),
                accelerators: limit(cap.accelerators),
            },
            ..Self::default()
        }
    }

    fn room(&self) -> ResourceAmount {
        self.cap - self.used
    }
}

/// Returns how many of `limit` tasks fit; none if the account is beyond its cap in any resource.
fn count_within(room: &ResourceAmount, need: &ResourceAmount, limit: usize) -> usize {
    if room.covers(&ResourceAmount::default()) {
        room.count_fitting(need, limit)
    } else {
        0
    }
}

/// Usage of all capped accounts in one decision, counted anew from the allocations on the workers.
#[derive(Debug, Default)]
pub(crate) struct AccountLedger {
    accounts: HashMap<Arc<str>, AccountUsage>,
}

impl AccountLedger {
    fn new(policy: &PoolPolicy) -> Self {
        let capped = policy.accounts.iter().filter(|(_, rule)| rule.is_capped());
        Self {
            accounts: capped
                .map(|(name, rule)| (name.clone(), AccountUsage::new(&rule.cap)))
                .collect(),
        }
    }

    /// Returns how many of `count` tasks of the unit may start now; a gang may start whole or not at all.
    pub(crate) fn startable(&self, unit: &WaitingUnit, count: usize) -> usize {
        self.within(unit, count, AccountUsage::room)
    }

    /// Returns how many of `count` tasks of the unit may start once the runs that are being stopped have ended.
    pub(crate) fn startable_after_stops(&self, unit: &WaitingUnit, count: usize) -> usize {
        self.within(unit, count, |usage| usage.room() + usage.stopping)
    }

    fn within<F>(&self, unit: &WaitingUnit, count: usize, room: F) -> usize
    where
        F: Fn(&AccountUsage) -> ResourceAmount,
    {
        let Some(usage) = self.accounts.get(&unit.account) else {
            return count;
        };
        let fitting = count_within(&room(usage), &unit.need.amount, count);
        if unit.gang && fitting < count { 0 } else { fitting }
    }

    /// Counts `count` tasks of the unit that start, or for which room is held.
    pub(crate) fn take(&mut self, unit: &WaitingUnit, count: usize) {
        if let Some(usage) = self.accounts.get_mut(&unit.account) {
            usage.used += unit.need.amount.times(count);
        }
    }

    /// Returns by how much `count` tasks of the unit exceed the cap once the runs that are being stopped have ended;
    /// what still fits counts as zero.
    pub(crate) fn shortfall(&self, unit: &WaitingUnit, count: usize) -> ResourceAmount {
        let Some(usage) = self.accounts.get(&unit.account) else {
            return ResourceAmount::default();
        };
        let excess = unit.need.amount.times(count) - usage.room() - usage.stopping;
        ResourceAmount {
            millicores: excess.millicores.max(0),
            memory_mb: excess.memory_mb.max(0),
            accelerators: excess.accelerators.max(0),
        }
    }
}

impl AccountRule {
    /// Returns whether any resource of the account is limited.
    pub(crate) fn is_capped(&self) -> bool {
        self.cap != ResourceAmount::default()
    }

    /// Returns whether a gang or a single task of the job is wider than the account may ever run, so that the job waits
    /// until the cap is raised.
    pub fn excludes(&self, body: &JobBody) -> bool {
        let room = AccountUsage::new(&self.cap).room();
        let mut steps = body.steps.iter();
        steps.any(|step| {
            let together = if step.gang { step.count as usize } else { 1 };
            !room.covers(&step.amount().times(together))
        })
    }
}

impl PoolCore {
    /// Counts what each capped account has on the workers.
    ///
    /// A run whose account is not known counts for every account until it ends.
    pub(crate) fn account_ledger(&self, now: ClockTime) -> AccountLedger {
        let mut ledger = AccountLedger::new(&self.policy);
        if ledger.accounts.is_empty() {
            return ledger;
        }
        let stop_bound_ms = self.stop_bound_ms();
        let mut unattributed = ResourceAmount::default();
        for allocation in self.workers.values().flat_map(|view| view.allocations.values()) {
            let Some(account) = &allocation.account else {
                unattributed += allocation.amount;
                continue;
            };
            if let Some(usage) = ledger.accounts.get_mut(account) {
                usage.used += allocation.amount;
                let stops = |at: ClockTime| now.millis_since(at) <= stop_bound_ms;
                if allocation.ordered_stop.is_some_and(|stop| stops(stop.ordered_at)) {
                    usage.stopping += allocation.amount;
                }
            }
        }
        for usage in ledger.accounts.values_mut() {
            usage.used += unattributed;
        }
        ledger
    }

    /// Writes one line for each capped account, for the state dump.
    pub(crate) fn write_accounts<W>(&self, text: &mut W, now: ClockTime) -> fmt::Result
    where
        W: fmt::Write,
    {
        let ledger = self.account_ledger(now);
        let mut capped: Vec<_> = ledger.accounts.iter().collect();
        capped.sort_unstable_by_key(|(name, _)| *name);
        for (name, usage) in capped {
            let cap = self
                .policy
                .accounts
                .get(name)
                .map(|rule| rule.cap)
                .unwrap_or_default();
            writeln!(
                text,
                "account name={name} used={}c/{}MB/{}a stopping={}a cap={}c/{}MB/{}a",
                usage.used.millicores,
                usage.used.memory_mb,
                usage.used.accelerators,
                usage.stopping.accelerators,
                cap.millicores,
                cap.memory_mb,
                cap.accelerators,
            )?;
        }
        Ok(())
    }

    /// Logs accounts whose guarantee lies beyond their cap; the cap wins.
    pub(crate) fn log_caps_below_guarantees(&self) {
        for rule in self.policy.accounts.values() {
            let cap = u64::try_from(rule.cap.accelerators).unwrap_or(0);
            if cap > 0 && rule.guaranteed_accelerators > cap {
                log::warn!(
                    "[account] name={} policy={} guaranteed={} cap={cap} cause=guarantee beyond cap, the cap applies",
                    rule.name,
                    self.policy.version,
                    rule.guaranteed_accelerators,
                );
            }
        }
    }
}
