//! Room that is kept for work whose place is being cleared.

use arbutuspick_model::ClockTime;

use crate::pool_core::{JobKey, PoolCore, PoolTiming};
use crate::room_search::RoomRow;
use crate::waiting_unit::WaitingUnit;
use crate::{ResourceAmount, StopReason, TaskName, WorkerKey};

/// Most runs that a log line names.
const LOGGED_RUNS: usize = 8;

/// A run that should end by itself, so that its room was not cleared by a stop.
#[derive(Clone, Debug)]
pub(crate) struct AwaitedRun {
    pub(crate) job: JobKey,
    pub(crate) task: TaskName,
    pub(crate) run: u32,
}

/// Room kept for work whose place is being cleared.
#[derive(Clone, Debug)]
pub(crate) struct RoomClaim {
    pub(crate) job: JobKey,
    pub(crate) occurrence: u32,
    pub(crate) step: usize,
    pub(crate) workers: Vec<WorkerKey>,
    pub(crate) remote: bool,
    pub(crate) until: ClockTime,
    pub(crate) awaited: Vec<AwaitedRun>,
    /// By this time the awaited runs should have ended.
    pub(crate) awaited_until: ClockTime,
}

impl PoolCore {
    /// Starts units whose cleared room is free, and keeps room for those that still wait for it.
    pub(crate) fn serve_claims(&mut self, units: &mut [WaitingUnit], rows: &mut [RoomRow], now: ClockTime) {
        for mut claim in std::mem::take(&mut self.claims) {
            let unit = units.iter_mut().find(|unit| {
                unit.key == claim.job && unit.occurrence == claim.occurrence && unit.step == claim.step
            });
            let Some(unit) = unit else { continue };
            if unit.rank.inside_guarantee() && now > claim.awaited_until {
                self.stop_overdue(&mut claim, now);
            }
            let places: Vec<usize> = claim
                .workers
                .iter()
                .filter_map(|worker| rows.iter().position(|row| row.worker == *worker))
                .collect();
            if places.len() < claim.workers.len() || now > claim.until || unit.tasks.is_empty() {
                self.log_expired(&claim, now);
                continue;
            }
            if unit.gang {
                self.serve_gang_claim(claim, unit, &places, rows, now);
            } else {
                self.serve_task_claim(claim, unit, &places, rows, now);
            }
        }
    }

    /// Logs what still takes the room of a claim that ends in vain.
    fn log_expired(&self, claim: &RoomClaim, now: ClockTime) {
        let mut blockers = Vec::new();
        for worker in &claim.workers {
            let Some(view) = self.workers.get(*worker) else {
                continue;
            };
            if !view.takes_work(now) {
                blockers.push(format!("{}:takes no work", view.report.id));
            }
            for ((task, run), occupant) in &view.occupants {
                let stop_ms = occupant.stop_ordered_at.map(|at| now.millis_since(at));
                blockers.push(format!(
                    "{}:{task}/{run}:stop_ordered_ms={stop_ms:?}",
                    view.report.id
                ));
            }
        }
        log::info!(
            "[preempt] job={} step={} state=room not free in time runs={} occupied={}",
            self.jobs[claim.job].id,
            claim.step,
            blockers.len(),
            blockers[..blockers.len().min(LOGGED_RUNS)].join(",")
        );
    }

    /// Stops awaited runs that did not end in time; a guarantee has to be honoured within a bound.
    fn stop_overdue(&mut self, claim: &mut RoomClaim, now: ClockTime) {
        let mut stopped = 0;
        for awaited in std::mem::take(&mut claim.awaited) {
            let Some(task) = self
                .jobs
                .get_mut(awaited.job)
                .and_then(|job| job.task_mut(&awaited.task))
            else {
                continue;
            };
            if task.run == awaited.run && task.place.is_some() {
                task.preemptions += 1;
                stopped += 1;
                self.stop_task(awaited.job, &awaited.task, StopReason::Preempted, now);
            }
        }
        if stopped > 0 {
            claim.until = now + self.stop_bound_ms();
            log::info!(
                "[preempt] job={} step={} stopped={stopped} cause=awaited runs did not end",
                self.jobs[claim.job].id,
                claim.step
            );
        }
    }

    pub(crate) fn serve_gang_claim(
        &mut self,
        claim: RoomClaim,
        unit: &mut WaitingUnit,
        places: &[usize],
        rows: &mut [RoomRow],
        now: ClockTime,
    ) {
        for place in places {
            rows[*place].free -= unit.need.amount;
        }
        let fits = places
            .iter()
            .all(|place| rows[*place].free.covers(&ResourceAmount::default()));
        if !fits || places.len() != unit.tasks.len() {
            unit.tasks.clear();
            self.claims.push(claim);
            return;
        }
        let tasks = std::mem::take(&mut unit.tasks);
        let run = self.next_gang_run(unit);
        let mut placed = Vec::with_capacity(tasks.len());
        for (task, place) in tasks.into_iter().zip(places) {
            self.start_task(unit, task, run, rows[*place].worker, claim.remote, now);
            placed.push((task, rows[*place].worker));
        }
        if unit.rank.inside_guarantee() {
            self.timings.push(PoolTiming::Reclaim(unit.waited_ms));
        }
        self.log_placed(unit, &placed, claim.remote, now);
    }

    pub(crate) fn serve_task_claim(
        &mut self,
        mut claim: RoomClaim,
        unit: &mut WaitingUnit,
        places: &[usize],
        rows: &mut [RoomRow],
        now: ClockTime,
    ) {
        claim.workers.clear();
        let mut placed = Vec::with_capacity(places.len());
        let mut counts = self.step_counts(unit);
        for place in places {
            let count = counts.entry(rows[*place].worker).or_default();
            if unit.need.spread_limit.is_some_and(|limit| *count >= limit) {
                continue;
            }
            *count += 1;
            let Some(task) = unit.tasks.first().copied() else {
                break;
            };
            let ready = rows[*place].free.covers(&unit.need.amount);
            rows[*place].free -= unit.need.amount;
            unit.tasks.remove(0);
            if ready {
                self.start_task(unit, task, None, rows[*place].worker, claim.remote, now);
                placed.push((task, rows[*place].worker));
            } else {
                claim.workers.push(rows[*place].worker);
            }
        }
        self.log_placed(unit, &placed, claim.remote, now);
        if !claim.workers.is_empty() {
            self.claims.push(claim);
        } else if unit.rank.inside_guarantee() {
            self.timings.push(PoolTiming::Reclaim(unit.waited_ms));
        }
    }
}
