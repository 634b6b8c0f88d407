//! Stops runs of an account so that its more urgent work fits under its cap.
//!
//! Load pattern: batch work of an account fills its cap, then urgent work of the same account arrives. Only runs of
//! that account make room under the cap, whatever is free on the workers.

use arbutuspick_model::ClockTime;

use crate::placement::placement_need::PlacementNeed;
use crate::placement::waiting_unit::WaitingUnit;
use crate::placement::worker_search::WorkerCandidate;
use crate::pool_core::PoolCore;
use crate::preemption::preemption_plan::VictimGroup;
use crate::preemption::victim_list::{PlacedWork, PreemptionLimits, PreemptionRight};
use crate::{ResourceAmount, StopReason};

/// Returns what stopping a group frees.
fn freed_amount(group: &VictimGroup) -> ResourceAmount {
    let amounts = group.frees.iter().map(|(_, amount)| *amount);
    amounts.fold(ResourceAmount::default(), |sum, amount| sum + amount)
}

/// Returns whether the amount contains any resource that is short.
fn helps(amount: &ResourceAmount, shortfall: &ResourceAmount) -> bool {
    amount.millicores.min(shortfall.millicores) > 0
        || amount.memory_mb.min(shortfall.memory_mb) > 0
        || amount.accelerators.min(shortfall.accelerators) > 0
}

/// Chooses groups that free at least `shortfall`, the cheapest first; returns them with their cost, or `None` if all of
/// them free too little.
fn choose_groups<I>(groups: I, shortfall: ResourceAmount) -> Option<(Vec<usize>, u64)>
where
    I: Iterator<Item = (usize, u64, ResourceAmount)>,
{
    let mut groups: Vec<_> = groups.collect();
    groups.sort_unstable_by_key(|(index, cost, _)| (*cost, *index));
    let nothing = ResourceAmount::default();
    let mut short = shortfall;
    let mut chosen: Vec<(usize, u64, ResourceAmount)> = Vec::new();
    for group in groups {
        if nothing.covers(&short) {
            break;
        }
        if helps(&group.2, &short) {
            short -= group.2;
            chosen.push(group);
        }
    }
    if !nothing.covers(&short) {
        return None;
    }
    // A group that was taken early may be superfluous once a larger one was taken; the most expensive go first.
    for position in (0..chosen.len()).rev() {
        let amount = chosen[position].2;
        if nothing.covers(&(short + amount)) {
            short += amount;
            chosen.remove(position);
        }
    }
    let cost = chosen.iter().map(|(_, cost, _)| cost).sum();
    Some((chosen.into_iter().map(|(index, ..)| index).collect(), cost))
}

impl PoolCore {
    /// Stops runs of lower rank of the unit's account until these free `shortfall`, by which the unit exceeds the cap;
    /// returns whether it did. Outside a guarantee the unit has to gain at least what these runs lose. Nothing is stopped if no
    /// worker could run the unit even when all runs were stopped that it may stop.
    pub(crate) fn preempt_own_account(
        &mut self,
        unit: &WaitingUnit,
        need: &PlacementNeed,
        shortfall: ResourceAmount,
        candidates: &[WorkerCandidate],
        placed_work: &mut PlacedWork,
        now: ClockTime,
    ) -> bool {
        if !unit.may_stop_runs(now) {
            return false;
        }
        let right = PreemptionRight {
            priority: unit.rank.priority,
            inside_guarantee: unit.rank.inside_guarantee(),
            limits: PreemptionLimits {
                may_stop: true,
                wait_ms: 0,
            },
        };
        let list = placed_work.victims(right);
        let usable = |candidate: &WorkerCandidate| need.accepts(candidate) && need.may_run_in_rack(candidate);
        let together = unit.needed_together();
        if !list.index.may_free(candidates, &need.task, together, usable) {
            return false;
        }
        let groups = list.index.victims.iter().enumerate();
        let own = groups.filter(|(index, group)| {
            let account = list.job(*index).and_then(|key| self.jobs.get(key));
            !group.ends_soon && account.is_some_and(|job| job.account == unit.account)
        });
        let own = own.map(|(index, group)| (index, group.cost, freed_amount(group)));
        let Some((chosen, cost)) = choose_groups(own, shortfall) else {
            return false;
        };
        if chosen.is_empty() || !(unit.rank.inside_guarantee() || cost <= unit.gain()) {
            return false;
        }
        log::info!(
            "[account] job={} step={} account={} tasks={} stopped={} loss={cost} gain={} inside_guarantee={} cause=cap",
            self.jobs[unit.key].id,
            unit.step,
            unit.account,
            unit.tasks.len(),
            chosen.len(),
            unit.gain(),
            unit.rank.inside_guarantee(),
        );
        for group in chosen {
            for (key, name) in list.task_names(self, group) {
                if let Some(task) = self.jobs.get_mut(key).and_then(|job| job.task_mut(&name)) {
                    task.preemptions += 1;
                }
                self.stop_task(key, &name, StopReason::Preempted, now);
            }
        }
        true
    }
}
