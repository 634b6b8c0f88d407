//! Reserves capacity for a unit while the runs that occupy it are stopped or about to end.

use std::collections::HashMap;

use arbutuspick_model::ClockTime;

use crate::accounts::account_ledger::AccountLedger;
use crate::jobs::loss_ledger::LossCause;
use crate::keys::JobKey;
use crate::placement::waiting_unit::WaitingUnit;
use crate::placement::worker_search::WorkerCandidate;
use crate::pool_core::{LatencySample, PoolCore};
use crate::{ResourceAmount, StopReason, TaskName, WorkerKey};

/// Maximum number of runs and workers named in a log line.
const MAX_LOGGED_BLOCKERS: usize = 8;

/// A run that is expected to end by itself and therefore was not stopped.
#[derive(Clone, Debug)]
pub(crate) struct AwaitedRun {
    pub(crate) job: JobKey,
    pub(crate) task: TaskName,
    pub(crate) run: u32,
}

/// Capacity reserved for a unit while it is being freed.
#[derive(Clone, Debug)]
pub(crate) struct CapacityReservation {
    pub(crate) job: JobKey,
    pub(crate) occurrence: u32,
    pub(crate) step: usize,
    /// Workers of the tasks, one entry for each task.
    pub(crate) workers: Vec<WorkerKey>,
    /// Whether the tasks run remotely there.
    pub(crate) remote: bool,
    pub(crate) expires_at: ClockTime,
    pub(crate) awaited: Vec<AwaitedRun>,
    /// Time by which the awaited runs should have ended.
    pub(crate) awaited_until: ClockTime,
}

impl PoolCore {
    /// Starts the units whose reserved capacity is free, and keeps it reserved for the others.
    pub(crate) fn serve_reservations(
        &mut self,
        units: &mut [WaitingUnit],
        candidates: &mut [WorkerCandidate],
        ledger: &mut AccountLedger,
        now: ClockTime,
    ) {
        if self.reservations.is_empty() {
            return;
        }
        let numbered = units.iter().enumerate();
        let unit_index: HashMap<(JobKey, u32, usize), usize> = numbered
            .map(|(index, unit)| ((unit.key, unit.occurrence, unit.step), index))
            .collect();
        let numbered = candidates.iter().enumerate();
        let candidate_index: HashMap<WorkerKey, usize> = numbered
            .map(|(index, candidate)| (candidate.worker, index))
            .collect();
        for mut reservation in std::mem::take(&mut self.reservations) {
            let step = (reservation.job, reservation.occurrence, reservation.step);
            let Some(unit) = unit_index.get(&step).and_then(|index| units.get_mut(*index)) else {
                continue;
            };
            if unit.rank.inside_guarantee() && now > reservation.awaited_until {
                self.stop_awaited(&mut reservation, now);
            }
            let indices: Vec<usize> = reservation
                .workers
                .iter()
                .filter_map(|worker| candidate_index.get(worker).copied())
                .filter(|index| unit.accepts_paused || !candidates[*index].paused)
                .collect();
            if indices.len() < reservation.workers.len()
                || now > reservation.expires_at
                || unit.tasks.is_empty()
            {
                self.log_expired(&reservation, now);
                continue;
            }
            if unit.gang {
                self.serve_gang_reservation(reservation, unit, &indices, candidates, ledger, now);
            } else {
                self.serve_task_reservation(reservation, unit, &indices, candidates, ledger, now);
            }
        }
    }

    /// Logs what still occupies the capacity of a reservation that expires unused.
    fn log_expired(&self, reservation: &CapacityReservation, now: ClockTime) {
        let mut blockers = Vec::new();
        for worker in &reservation.workers {
            let Some(view) = self.workers.get(*worker) else {
                continue;
            };
            if !view.is_schedulable(now) {
                blockers.push(format!("{}:not schedulable", view.report.id));
            }
            for ((task, run), allocation) in &view.allocations {
                let stop_ms = allocation
                    .ordered_stop
                    .map(|stop| now.millis_since(stop.ordered_at));
                blockers.push(format!(
                    "{}:{task}/{run}:stop_ordered_ms={stop_ms:?}",
                    view.report.id
                ));
            }
        }
        log::info!(
            "[preempt] job={} step={} state=capacity not freed in time runs={} occupied={}",
            self.jobs[reservation.job].id,
            reservation.step,
            blockers.len(),
            blockers[..blockers.len().min(MAX_LOGGED_BLOCKERS)].join(",")
        );
    }

    /// Stops awaited runs that did not end in time; a guarantee has to be met within a bound.
    fn stop_awaited(&mut self, reservation: &mut CapacityReservation, now: ClockTime) {
        let mut stopped = 0;
        for awaited in std::mem::take(&mut reservation.awaited) {
            let Some(task) = self
                .jobs
                .get_mut(awaited.job)
                .and_then(|job| job.task_mut(&awaited.task))
            else {
                continue;
            };
            if task.run == awaited.run && task.placement.is_some() {
                task.preemptions += 1;
                stopped += 1;
                let why = (StopReason::Preempted, LossCause::Reclaim);
                self.stop_task_for(awaited.job, &awaited.task, why, now);
            }
        }
        if stopped > 0 {
            reservation.expires_at = now + self.stop_bound_ms();
            log::info!(
                "[preempt] job={} step={} stopped={stopped} cause=awaited runs did not end in time",
                self.jobs[reservation.job].id,
                reservation.step
            );
        }
    }

    /// Starts the whole gang if all of its reserved capacity is free; otherwise keeps the reservation.
    pub(crate) fn serve_gang_reservation(
        &mut self,
        reservation: CapacityReservation,
        unit: &mut WaitingUnit,
        indices: &[usize],
        candidates: &mut [WorkerCandidate],
        ledger: &mut AccountLedger,
        now: ClockTime,
    ) {
        for index in indices {
            candidates[*index].free -= unit.need.amount;
        }
        // Free resources are negative where the capacity is not free yet.
        let fits = indices
            .iter()
            .all(|index| candidates[*index].free.covers(&ResourceAmount::default()));
        let within_cap = ledger.startable(unit, indices.len()) == indices.len();
        ledger.take(unit, indices.len());
        if !fits || !within_cap || indices.len() != unit.tasks.len() {
            unit.tasks.clear();
            self.reservations.push(reservation);
            return;
        }
        let tasks = std::mem::take(&mut unit.tasks);
        let run = self.next_gang_run(unit);
        let mut placed = Vec::with_capacity(tasks.len());
        for (task, index) in tasks.into_iter().zip(indices) {
            self.start_task(
                unit,
                task,
                run,
                candidates[*index].worker,
                reservation.remote,
                now,
            );
            placed.push((task, candidates[*index].worker));
        }
        if unit.rank.inside_guarantee() {
            self.latency_samples.push(LatencySample::Reclaim(unit.waited_ms));
        }
        self.log_placed(unit, &placed, reservation.remote, now);
    }

    /// Starts the tasks whose reserved capacity is free; keeps the reservation for the others.
    pub(crate) fn serve_task_reservation(
        &mut self,
        mut reservation: CapacityReservation,
        unit: &mut WaitingUnit,
        indices: &[usize],
        candidates: &mut [WorkerCandidate],
        ledger: &mut AccountLedger,
        now: ClockTime,
    ) {
        reservation.workers.clear();
        let mut placed = Vec::with_capacity(indices.len());
        let mut counts = self.step_counts(unit);
        for index in indices {
            let count = counts.entry(candidates[*index].worker).or_default();
            if unit.need.spread_limit.is_some_and(|limit| *count >= limit) {
                continue;
            }
            *count += 1;
            let Some(task) = unit.tasks.first().copied() else {
                break;
            };
            let is_free = candidates[*index].free.covers(&unit.need.amount);
            let ready = is_free && ledger.startable(unit, 1) > 0;
            ledger.take(unit, 1);
            candidates[*index].free -= unit.need.amount;
            unit.tasks.remove(0);
            if ready {
                self.start_task(
                    unit,
                    task,
                    None,
                    candidates[*index].worker,
                    reservation.remote,
                    now,
                );
                placed.push((task, candidates[*index].worker));
            } else {
                reservation.workers.push(candidates[*index].worker);
            }
        }
        self.log_placed(unit, &placed, reservation.remote, now);
        if !reservation.workers.is_empty() {
            self.reservations.push(reservation);
        } else if unit.rank.inside_guarantee() {
            self.latency_samples.push(LatencySample::Reclaim(unit.waited_ms));
        }
    }
}
