use std::collections::BTreeSet;

use arbutuspick_model::{AccountName, ClockTime, JobClass};

use crate::cell_demand::CellDemand;
use crate::job_entry::{BindingPart, JobKey, JobPhase};
use crate::queue_cursor::QueueCursor;
use crate::reclaim_search::{ReclaimBinding, ReclaimChoice, ReclaimSearch};
use crate::worker_load::WorkerLoad;
use crate::{CellCounts, PlacementCore, PreemptReason, packing_shortfall};

/// Placement of guaranteed jobs: choice of cells, preemption of borrowers, and start once the cells are free.
impl PlacementCore {
    /// Starts the guaranteed jobs whose claimed cells are free, and drops claims on workers that are not up.
    pub(crate) fn run_claim_pass(&mut self, now: ClockTime) {
        let claiming: Vec<JobKey> = self.queue.claiming.values().copied().collect();
        for key in claiming {
            let JobPhase::Claiming { loads, .. } = &self.jobs[key].phase else {
                continue;
            };
            if loads.iter().any(|load| !self.pool.is_up(load.slot)) {
                self.drop_claim(key);
            } else if self.pool.can_start_claimed(loads) {
                if !self.has_budget() {
                    return;
                }
                self.start_claimed(key, now);
            }
        }
    }

    /// Releases the claim of a guaranteed job and returns the job to the queue.
    pub(crate) fn drop_claim(&mut self, key: JobKey) {
        let entry = &mut self.jobs[key];
        if !matches!(entry.phase, JobPhase::Claiming { .. }) {
            return;
        }
        let queued = JobPhase::Queued { reservation: None };
        if let JobPhase::Claiming { loads, parts } = std::mem::replace(&mut entry.phase, queued) {
            self.queue.claiming.remove(&entry.rank());
            self.queue.insert(entry, key);
            self.release_claim(&loads, &parts);
        }
    }

    fn release_claim(&mut self, loads: &[WorkerLoad], parts: &[BindingPart]) {
        for load in loads {
            self.pool.claim(load, false);
        }
        for part in parts {
            self.ledger.release_part(&mut self.pool, *part);
        }
    }

    fn start_claimed(&mut self, key: JobKey, now: ClockTime) {
        let entry = &mut self.jobs[key];
        let queued = JobPhase::Queued { reservation: None };
        let JobPhase::Claiming { loads, parts } = std::mem::replace(&mut entry.phase, queued) else {
            return;
        };
        self.queue.claiming.remove(&entry.rank());
        self.queue.count(entry, false);
        for load in &loads {
            self.pool.claim(load, false);
            self.pool.allocate(key, load);
        }
        self.start_attempt(key, loads, parts, false, now);
    }

    /// Claims unused guaranteed cells for the queued jobs of their accounts.
    pub(crate) fn run_guaranteed_pass(&mut self, now: ClockTime) {
        let accounts: Vec<AccountName> = self
            .ledger
            .accounts
            .keys()
            .filter(|account| self.queue.accounts.contains_key(*account))
            .cloned()
            .collect();
        for account in accounts {
            let mut claimable = self.ledger.claimable_cells(&self.pool, &account);
            if claimable.is_empty() {
                continue;
            }
            let mut cursor = QueueCursor::new(&self.queue.accounts[&account]);
            while let Some(queue) = self.queue.accounts.get(&account) {
                let Some((key, group)) = cursor.pop(queue) else {
                    break;
                };
                if !self.has_budget() {
                    return;
                }
                if self.claim_guaranteed(key, &account, claimable, now) {
                    claimable = self.ledger.claimable_cells(&self.pool, &account);
                    if let Some(queue) = self.queue.accounts.get(&account) {
                        cursor.push(queue, group);
                    }
                }
            }
        }
    }

    fn claim_guaranteed(
        &mut self,
        key: JobKey,
        account: &AccountName,
        claimable: CellCounts,
        now: ClockTime,
    ) -> bool {
        let spec = self.jobs[key].spec.clone();
        let demand = self.demand(&spec, true);
        let Some(mut demand) = demand.filter(|demand| !demand.requirements.is_empty()) else {
            return false;
        };
        demand.avoided_workers = self.jobs[key].avoided_workers.clone();
        if !packing_shortfall(claimable, demand.counts()).is_empty() {
            return false;
        }
        let mut loads = Vec::new();
        let mut parts = Vec::new();
        let mut victims = BTreeSet::new();
        for requirement in &demand.requirements {
            for _ in 0..requirement.count {
                let search = ReclaimSearch {
                    pool: &self.pool,
                    ledger: &self.ledger,
                    jobs: &self.jobs,
                    account,
                    demand: &demand,
                    preempted: &victims,
                    shortfall: self.ledger.home_shortfall(&self.pool),
                };
                let choice = search.choose(requirement.level, requirement.tasks);
                let Some(part) = choice
                    .as_ref()
                    .and_then(|choice| self.bind_choice(account, choice))
                else {
                    self.release_claim(&loads, &parts);
                    return false;
                };
                parts.push(part);
                let choice = choice.into_iter();
                for choice in choice {
                    victims.extend(choice.victims);
                    for load in choice.loads {
                        self.pool.claim(&load, true);
                        loads.push(load);
                    }
                }
            }
        }
        self.record_claim(key, loads, parts);
        let stop_before = now + self.grace_ms(spec.class);
        for victim in victims {
            self.preempt(victim, PreemptReason::Reclaim, stop_before, now);
        }
        self.drop_overlapping(key);
        self.start_if_ready(key, now);
        true
    }

    fn grace_ms(&self, class: JobClass) -> u64 {
        if class == JobClass::Urgent {
            self.options.urgent_grace_ms
        } else {
            self.options.grace_ms
        }
    }

    fn bind_choice(&mut self, account: &AccountName, choice: &ReclaimChoice) -> Option<BindingPart> {
        let binding = match choice.binding {
            ReclaimBinding::Existing(binding) => binding,
            ReclaimBinding::New(cell) => self.ledger.bind(&mut self.pool, account, cell)?,
        };
        let mask = choice.block.mask();
        let part = BindingPart { binding, mask };
        self.ledger.mark_used(part);
        Some(part)
    }

    /// Moves a job from the queue to the jobs with a claim.
    fn record_claim(&mut self, key: JobKey, loads: Vec<WorkerLoad>, parts: Vec<BindingPart>) {
        self.drop_reservation(key);
        let entry = &mut self.jobs[key];
        self.queue.remove(entry, key);
        self.queue.claiming.insert(entry.rank(), key);
        entry.checked = true;
        entry.phase = JobPhase::Claiming { loads, parts };
    }

    fn start_if_ready(&mut self, key: JobKey, now: ClockTime) {
        if let JobPhase::Claiming { loads, .. } = &self.jobs[key].phase
            && self.pool.can_start_claimed(loads)
        {
            self.start_claimed(key, now);
        }
    }

    /// Drops the reservations that overlap with the claim of a guaranteed job.
    fn drop_overlapping(&mut self, key: JobKey) {
        let JobPhase::Claiming { loads, .. } = &self.jobs[key].phase else {
            return;
        };
        let overlaps = |other: &WorkerLoad| {
            loads
                .iter()
                .any(|load| load.slot == other.slot && load.mask & other.mask != 0)
        };
        let overlapped: Vec<JobKey> = self
            .queue
            .reserved
            .values()
            .copied()
            .filter(|job| match &self.jobs[*job].phase {
                JobPhase::Queued {
                    reservation: Some(reserved),
                } => reserved.iter().any(overlaps),
                _ => false,
            })
            .collect();
        for job in overlapped {
            self.drop_reservation(job);
        }
    }

    /// Returns the cells that the job needs as a borrowed job.
    pub(crate) fn borrowed_demand(&self, key: JobKey) -> Option<CellDemand> {
        let job = &self.jobs[key];
        let demand = self.demand(&job.spec, false)?;
        Some(CellDemand {
            avoided_workers: job.avoided_workers.clone(),
            ..demand
        })
    }
}
