use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, JobId, JobSpec, WorkerName};

use crate::job_entry::{AttemptAllocation, BindingPart, JobKey, JobPhase};
use crate::worker_load::{WorkerLoad, WorkerSlot};
use crate::{AccountPolicy, GangPlacement, PlacementAction, PlacementCore, PreemptReason};

/// Lifecycle of attempts: start, adoption, preemption and release, and the account usage they cause.
impl PlacementCore {
    /// Starts an attempt on loads that are already allocated in the pool.
    pub(crate) fn start_attempt(
        &mut self,
        key: JobKey,
        loads: Vec<WorkerLoad>,
        parts: Vec<BindingPart>,
        backfill: bool,
        now: ClockTime,
    ) {
        let shape = self.jobs[key].spec.shape;
        let mut members = Vec::new();
        for load in &loads {
            if let Some(worker) = self.pool.worker(load.slot) {
                members.extend(load.members(&worker.name, shape));
            }
        }
        let entry = &mut self.jobs[key];
        entry.attempt = entry.attempt.next();
        let placement = GangPlacement {
            job: entry.id,
            attempt: entry.attempt,
            members,
            guaranteed: !parts.is_empty(),
        };
        entry.phase = JobPhase::Allocated(AttemptAllocation {
            loads,
            members: placement.members.clone(),
            parts,
            backfill,
            ..AttemptAllocation::default()
        });
        self.actions.push(PlacementAction::Place(placement));
        self.update_usage(key, true, now);
    }

    /// Adds the accelerators of an attempt to its account's borrowed or guaranteed usage, or removes them.
    fn update_usage(&mut self, key: JobKey, added: bool, now: ClockTime) {
        let entry = &self.jobs[key];
        let Some(allocation) = entry.allocation() else {
            return;
        };
        let accelerators: u32 = allocation.loads.iter().map(|load| load.mask.count_ones()).sum();
        let usage = self.usages.entry(entry.spec.account.clone()).or_default();
        usage.update_average(now, self.options.usage_half_life_ms);
        let counter = if allocation.is_guaranteed() {
            &mut usage.guaranteed
        } else {
            &mut usage.borrowed
        };
        *counter = if added {
            *counter + accelerators
        } else {
            counter.saturating_sub(accelerators)
        };
    }

    /// Requests the preemption of an attempt, unless one was requested before, and releases its guaranteed
    /// cells.
    pub(crate) fn preempt(
        &mut self,
        key: JobKey,
        reason: PreemptReason,
        stop_before: ClockTime,
        now: ClockTime,
    ) {
        let entry = &self.jobs[key];
        if entry
            .allocation()
            .is_none_or(|allocation| allocation.preemption.is_some())
        {
            return;
        }
        let (job, attempt) = (entry.id, entry.attempt);
        self.release_parts(key, now);
        if let Some(allocation) = self.jobs[key].allocation_mut() {
            allocation.preemption = Some((reason, stop_before));
        }
        self.actions.push(PlacementAction::Preempt {
            job,
            attempt,
            stop_before,
            reason,
        });
    }

    /// Releases the guaranteed cells of an attempt, which is counted as borrowed from now on.
    fn release_parts(&mut self, key: JobKey, now: ClockTime) {
        self.update_usage(key, false, now);
        let parts = match self.jobs[key].allocation_mut() {
            Some(allocation) => std::mem::take(&mut allocation.parts),
            None => Vec::new(),
        };
        for part in parts {
            self.ledger.release_part(&mut self.pool, part);
        }
        self.update_usage(key, true, now);
    }

    /// Assigns guaranteed cells to an adopted attempt, which is counted as guaranteed from now on.
    pub(crate) fn set_parts(&mut self, key: JobKey, parts: Vec<BindingPart>, now: ClockTime) {
        self.update_usage(key, false, now);
        if let Some(allocation) = self.jobs[key].allocation_mut() {
            allocation.parts = parts;
        }
        self.update_usage(key, true, now);
    }

    /// Releases all resources of a job's attempt; the caller sets the next phase of the job.
    pub(crate) fn release_attempt(&mut self, key: JobKey, now: ClockTime) {
        self.release_parts(key, now);
        self.update_usage(key, false, now);
        let phase = JobPhase::Queued { reservation: None };
        if let JobPhase::Allocated(allocation) = std::mem::replace(&mut self.jobs[key].phase, phase) {
            for load in &allocation.loads {
                self.pool.release(key, load);
            }
        }
    }

    pub(crate) fn adopt_attempt(
        &mut self,
        job: JobId,
        spec: Arc<JobSpec>,
        placement: GangPlacement,
        queued_at: ClockTime,
    ) {
        let key = match self.keys_by_id.get(&job).copied() {
            Some(key) if self.jobs[key].allocation().is_some() => return,
            Some(key) if placement.attempt < self.jobs[key].attempt => return,
            Some(key) => {
                self.dequeue(key);
                key
            }
            None => self.insert_job(job, spec, placement.attempt, queued_at),
        };
        let entry = &mut self.jobs[key];
        entry.attempt = placement.attempt;
        entry.checked = true;
        let workers: Vec<WorkerName> = placement
            .members
            .iter()
            .map(|member| member.worker.clone())
            .collect();
        if placement.guaranteed {
            self.rebinding.insert(key);
        }
        entry.phase = JobPhase::Allocated(AttemptAllocation {
            members: placement.members,
            awaits_rebinding: placement.guaranteed,
            ..AttemptAllocation::default()
        });
        for worker in workers {
            self.adopted.entry(worker.clone()).or_default().insert(key);
            if let Some(slot) = self.pool.slot(&worker) {
                self.allocate_adopted(&worker, slot);
            }
        }
    }

    /// Allocates the resources that adopted attempts use on a worker that has just joined.
    pub(crate) fn allocate_adopted(&mut self, worker: &WorkerName, slot: WorkerSlot) {
        for key in self.adopted.remove(worker).unwrap_or_default() {
            let Some(entry) = self.jobs.get(key) else { continue };
            let Some(allocation) = entry.allocation() else {
                continue;
            };
            let task_cell = match entry.spec.shape.accelerators {
                0 => 0,
                accelerators => accelerators.next_power_of_two(),
            };
            let members = allocation
                .members
                .iter()
                .filter(|member| member.worker == *worker);
            let (tasks, mask) = members.fold((0, 0), |(tasks, mask), member| {
                (tasks + 1, mask | covering_cell(member.accelerators))
            });
            let load = WorkerLoad::new(slot, mask, tasks, task_cell, entry.spec.shape);
            self.pool.allocate(key, &load);
            let accelerators = load.mask.count_ones();
            if let Some(allocation) = self.jobs[key].allocation_mut() {
                allocation.loads.push(load);
            }
            let account = self.jobs[key].spec.account.clone();
            self.usages.entry(account).or_default().borrowed += accelerators;
        }
    }

    pub(crate) fn change_accounts(&mut self, policies: &[AccountPolicy], now: ClockTime) {
        for policy in policies {
            let usage = self.usages.entry(policy.account.clone()).or_default();
            usage.weight = policy.weight;
            usage.max_queued_jobs = policy.max_queued_jobs;
        }
        let names: std::collections::BTreeSet<_> = policies.iter().map(|policy| &policy.account).collect();
        for (account, usage) in &mut self.usages {
            if !names.contains(account) {
                usage.weight = 1;
            }
        }
        // The jobs are collected before `set_accounts` removes surplus cells, so that their usage can be
        // corrected.
        let parts: BTreeMap<JobKey, Vec<BindingPart>> = self
            .jobs
            .iter()
            .filter_map(|(key, entry)| match &entry.phase {
                JobPhase::Allocated(allocation) if allocation.is_guaranteed() => {
                    Some((key, allocation.parts.clone()))
                }
                JobPhase::Claiming { parts, .. } => Some((key, parts.clone())),
                _ => None,
            })
            .collect();
        let surplus = self.ledger.set_accounts(policies, &mut self.pool);
        for (key, parts) in parts {
            if parts.iter().any(|part| surplus.contains(&part.binding)) {
                self.release_parts(key, now);
                self.drop_claim(key);
            }
        }
    }
}

/// Returns the smallest aligned cell that contains the accelerators of a task; no other task can have been
/// placed in it.
fn covering_cell(mask: u8) -> u8 {
    let cells = [1u8, 2, 4, 8].into_iter().flat_map(|size| {
        let cell = u8::MAX >> (8 - size);
        (0..8).step_by(usize::from(size)).map(move |start| cell << start)
    });
    let mut covering = cells.filter(|cell| mask != 0 && mask & !cell == 0);
    covering.next().unwrap_or(mask)
}
