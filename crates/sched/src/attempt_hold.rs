use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, JobId, JobSpec, WorkerName};

use crate::job_entry::{AttemptHold, BoundPart, JobKey, JobPhase};
use crate::worker_load::{WorkerLoad, WorkerSlot};
use crate::{AccountShare, GangPlacement, PlacementAction, PlacementCore, PreemptReason};

/// Attempts: start, preemption, release, adoption and the usage that they count as.
impl PlacementCore {
    /// Starts an attempt on loads that the pool holds already.
    pub(crate) fn start_attempt(
        &mut self,
        key: JobKey,
        loads: Vec<WorkerLoad>,
        parts: Vec<BoundPart>,
        yielding: bool,
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
        entry.phase = JobPhase::Held(AttemptHold {
            loads,
            members: placement.members.clone(),
            parts,
            yielding,
            ..AttemptHold::default()
        });
        self.actions.push(PlacementAction::Place(placement));
        self.charge(key, true, now);
    }

    /// Counts the accelerators of an attempt as borrowed or guaranteed usage, or stops to.
    fn charge(&mut self, key: JobKey, added: bool, now: ClockTime) {
        let entry = &self.jobs[key];
        let Some(hold) = entry.hold() else { return };
        let accelerators: u32 = hold.loads.iter().map(|load| load.mask.count_ones()).sum();
        let usage = self.usages.entry(entry.spec.account.clone()).or_default();
        usage.advance(now, self.options.usage_half_life_ms);
        let counter = if hold.is_firm() {
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

    /// Tells an attempt to stop, once; its guaranteed cells count as being given back.
    pub(crate) fn preempt(
        &mut self,
        key: JobKey,
        reason: PreemptReason,
        stop_before: ClockTime,
        now: ClockTime,
    ) {
        let entry = &self.jobs[key];
        if entry.hold().is_none_or(|hold| hold.ending.is_some()) {
            return;
        }
        let (job, attempt) = (entry.id, entry.attempt);
        self.free_parts(key, now);
        if let Some(hold) = self.jobs[key].hold_mut() {
            hold.ending = Some((reason, stop_before));
        }
        self.actions.push(PlacementAction::Preempt {
            job,
            attempt,
            stop_before,
            reason,
        });
    }

    /// Gives the guaranteed cells of an attempt back, so that it counts as borrowed from now on.
    fn free_parts(&mut self, key: JobKey, now: ClockTime) {
        self.charge(key, false, now);
        let parts = match self.jobs[key].hold_mut() {
            Some(hold) => std::mem::take(&mut hold.parts),
            None => Vec::new(),
        };
        for part in parts {
            self.ledger.release_part(&mut self.pool, part);
        }
        self.charge(key, true, now);
    }

    /// Counts an adopted attempt as guaranteed.
    pub(crate) fn set_parts(&mut self, key: JobKey, parts: Vec<BoundPart>, now: ClockTime) {
        self.charge(key, false, now);
        if let Some(hold) = self.jobs[key].hold_mut() {
            hold.parts = parts;
        }
        self.charge(key, true, now);
    }

    /// Frees everything that the attempt of a job holds; the caller sets the job's next phase.
    pub(crate) fn release_attempt(&mut self, key: JobKey, now: ClockTime) {
        self.free_parts(key, now);
        self.charge(key, false, now);
        let phase = JobPhase::Queued { reservation: None };
        if let JobPhase::Held(hold) = std::mem::replace(&mut self.jobs[key].phase, phase) {
            for load in &hold.loads {
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
        let key = match self.ids.get(&job).copied() {
            Some(key) if self.jobs[key].hold().is_some() => return,
            Some(key) if placement.attempt < self.jobs[key].attempt => return,
            Some(key) => {
                self.dequeue(key);
                key
            }
            None => self.add_job(job, spec, placement.attempt, queued_at),
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
        entry.phase = JobPhase::Held(AttemptHold {
            members: placement.members,
            unbound_guarantee: placement.guaranteed,
            ..AttemptHold::default()
        });
        for worker in workers {
            self.adopted.entry(worker.clone()).or_default().insert(key);
            if let Some(slot) = self.pool.slot(&worker) {
                self.hold_adopted(&worker, slot);
            }
        }
    }

    /// Holds what adopted attempts use on a worker that is known now.
    pub(crate) fn hold_adopted(&mut self, worker: &WorkerName, slot: WorkerSlot) {
        for key in self.adopted.remove(worker).unwrap_or_default() {
            let Some(entry) = self.jobs.get(key) else { continue };
            let Some(hold) = entry.hold() else { continue };
            let task_cell = match entry.spec.shape.accelerators {
                0 => 0,
                accelerators => accelerators.next_power_of_two(),
            };
            let here = hold.members.iter().filter(|member| member.worker == *worker);
            let (tasks, mask) = here.fold((0, 0), |(tasks, mask), member| {
                (tasks + 1, mask | covering_cell(member.accelerators))
            });
            let load = WorkerLoad::new(slot, mask, tasks, task_cell, entry.spec.shape);
            self.pool.hold(key, &load);
            let accelerators = load.mask.count_ones();
            if let Some(hold) = self.jobs[key].hold_mut() {
                hold.loads.push(load);
            }
            let account = self.jobs[key].spec.account.clone();
            self.usages.entry(account).or_default().borrowed += accelerators;
        }
    }

    pub(crate) fn change_accounts(&mut self, shares: &[AccountShare], now: ClockTime) {
        for share in shares {
            let usage = self.usages.entry(share.account.clone()).or_default();
            usage.weight = share.weight;
            usage.max_queued_jobs = share.max_queued_jobs;
        }
        let names: std::collections::BTreeSet<_> = shares.iter().map(|share| &share.account).collect();
        for (account, usage) in &mut self.usages {
            if !names.contains(account) {
                usage.weight = 1;
            }
        }
        // Jobs on surplus cells are looked up before the cells are gone, so that usage stays right.
        let parts: BTreeMap<JobKey, Vec<BoundPart>> = self
            .jobs
            .iter()
            .filter_map(|(key, entry)| match &entry.phase {
                JobPhase::Held(hold) if hold.is_firm() => Some((key, hold.parts.clone())),
                JobPhase::Claiming { parts, .. } => Some((key, parts.clone())),
                _ => None,
            })
            .collect();
        let surplus = self.ledger.set_accounts(shares, &mut self.pool);
        for (key, parts) in parts {
            if parts.iter().any(|part| surplus.contains(&part.binding)) {
                self.free_parts(key, now);
                self.drop_claim(key);
            }
        }
    }
}

/// Returns the smallest aligned cell around the accelerators of a task, which no other task was given.
fn covering_cell(mask: u8) -> u8 {
    let cells = [1u8, 2, 4, 8].into_iter().flat_map(|size| {
        let cell = u8::MAX >> (8 - size);
        (0..8).step_by(usize::from(size)).map(move |start| cell << start)
    });
    let mut covering = cells.filter(|cell| mask != 0 && mask & !cell == 0);
    covering.next().unwrap_or(mask)
}
