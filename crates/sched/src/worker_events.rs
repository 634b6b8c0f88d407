use arbutuspick_model::{CentreState, ClockTime, JobId, RackName, WorkerCapacity, WorkerName};

use crate::centre_phase::{ALL_QUARTERS, PhaseEvent, PhaseState};
use crate::worker_health::{HealthEvent, HealthState, WorkerHealth};
use crate::worker_load::WorkerSlot;
use crate::{PlacementAction, PlacementCore};

/// Worker events: joins, losses, probes, failures, and the stepwise return of a data centre.
impl PlacementCore {
    pub(crate) fn join_worker(
        &mut self,
        worker: &WorkerName,
        rack: &RackName,
        capacity: WorkerCapacity,
        now: ClockTime,
    ) {
        if self.pool.awaits_slot(worker, rack) {
            self.waiting_workers
                .insert(worker.clone(), (rack.clone(), capacity));
            return;
        }
        let health = WorkerHealth::machine(&self.options);
        let (slot, is_new) = self.pool.join(worker, rack, capacity, health);
        self.update_health(slot, &HealthEvent::Joined);
        if is_new {
            self.settled_at = now + self.options.settle_ms;
            self.allocate_adopted(worker, slot);
        }
    }

    /// Adds waiting workers whose rack now has a free slot.
    pub(crate) fn join_waiting(&mut self, now: ClockTime) {
        for (worker, (rack, capacity)) in std::mem::take(&mut self.waiting_workers) {
            self.join_worker(&worker, &rack, capacity, now);
        }
    }

    pub(crate) fn mark_worker_lost(&mut self, worker: &WorkerName) {
        self.waiting_workers.remove(worker);
        if let Some(slot) = self.pool.slot(worker) {
            self.update_health(slot, &HealthEvent::Lost);
        }
    }

    pub(crate) fn record_probe(&mut self, worker: &WorkerName, healthy: bool, now: ClockTime) {
        if let Some(slot) = self.pool.slot(worker) {
            self.update_health(slot, &HealthEvent::Probed { healthy, now });
        }
    }

    pub(crate) fn record_failures(
        &mut self,
        job: JobId,
        workers: &[WorkerName],
        started: bool,
        now: ClockTime,
    ) {
        for worker in workers {
            if let Some(slot) = self.pool.slot(worker) {
                let event = if started {
                    HealthEvent::RunFailed { job, now }
                } else {
                    HealthEvent::StartFailed { job, now }
                };
                self.update_health(slot, &event);
            }
        }
    }

    /// Passes an event to the worker's health state machine and updates the probe schedule and availability.
    pub(crate) fn update_health(&mut self, slot: WorkerSlot, event: &HealthEvent) {
        let Some(worker) = self.pool.worker_mut(slot) else {
            return;
        };
        if let Some(probe_at) = WorkerHealth::probe_at(&worker.health) {
            self.quarantine.remove(&(probe_at, slot));
        }
        worker.health.handle(event);
        if let Some(probe_at) = WorkerHealth::probe_at(&worker.health) {
            self.quarantine.insert((probe_at, slot));
        }
        let state = worker.health.state().clone();
        if matches!(state, HealthState::Due { .. }) {
            self.due_probes.insert(slot);
        } else {
            self.due_probes.remove(&slot);
        }
        self.update_up(slot);
    }

    fn update_up(&mut self, slot: WorkerSlot) {
        let Some(worker) = self.pool.worker(slot) else {
            return;
        };
        let healthy = matches!(worker.health.state(), HealthState::Healthy { .. });
        let up = healthy && self.pool.rack(slot.rack).enabled;
        self.pool.set_worker_up(slot, up);
    }

    /// Requests the probes that are due in enabled racks.
    pub(crate) fn probe_workers(&mut self, now: ClockTime) {
        let quarantined = self.quarantine.iter().take_while(|(at, _)| *at <= now);
        let mut due: Vec<WorkerSlot> = quarantined.map(|(_, slot)| *slot).collect();
        due.extend(&self.due_probes);
        for slot in due {
            if !self.pool.rack(slot.rack).enabled {
                continue;
            }
            if !self.has_budget() {
                return;
            }
            self.update_health(slot, &HealthEvent::Tick { now });
            if let Some(worker) = self.pool.worker(slot) {
                let worker = worker.name.clone();
                self.actions.push(PlacementAction::Probe { worker });
            }
        }
    }

    pub(crate) fn change_centre_state(
        &mut self,
        state: CentreState,
        drain_deadline: Option<ClockTime>,
        now: ClockTime,
    ) {
        let returning = matches!(self.phase.state(), PhaseState::Returning { .. });
        self.phase.handle(&PhaseEvent::Ordered {
            state,
            drain_deadline,
            now,
        });
        if state == CentreState::Returning && !returning {
            let slots: Vec<WorkerSlot> = self.pool.slots().collect();
            for slot in slots {
                self.update_health(slot, &HealthEvent::Recheck);
            }
        }
        self.enable_racks();
    }

    /// Returns whether the data centre is in service, or has enabled all workers of its return and requested
    /// their probes.
    ///
    /// ```
    /// use arbutuspick_sched::{PlacementCore, PlacementOptions};
    /// assert!(PlacementCore::new(PlacementOptions::default()).has_returned());
    /// ```
    pub fn has_returned(&self) -> bool {
        match self.phase.state() {
            PhaseState::InService { .. } => true,
            PhaseState::Returning { quarters, .. } => *quarters == ALL_QUARTERS && self.due_probes.is_empty(),
            _ => false,
        }
    }

    /// Enables whole racks, in order, until they contain the share of workers that the current return step
    /// allows.
    pub(crate) fn enable_racks(&mut self) {
        let quarters = match self.phase.state() {
            PhaseState::Returning { quarters, .. } => *quarters,
            _ => ALL_QUARTERS,
        };
        let target = self.pool.worker_count() * quarters as usize;
        let mut preceding_workers = 0;
        for rack in 0..self.pool.racks.len() as u32 {
            let enabled = ALL_QUARTERS as usize * preceding_workers < target;
            let entry = self.pool.rack_mut(rack);
            preceding_workers += entry.workers.iter().flatten().count();
            if entry.enabled != enabled {
                entry.enabled = enabled;
                for place in 0..8 {
                    self.update_up(WorkerSlot { rack, place });
                }
            }
        }
    }
}
