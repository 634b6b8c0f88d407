//! Places waiting work on workers, in the order of [`unit_order`](crate::unit_order).

use arbutuspick_model::ClockTime;

use crate::job_run::{PlaceStage, RunProgress, TaskPlace};
use crate::place_choice::{choose_gang, choose_row};
use crate::pool_core::{PoolCore, PoolTiming};
use crate::room_search::{RoomRow, StepCounts};
use crate::waiting_unit::WaitingUnit;
use crate::worker_view::Occupant;
use crate::{JobStage, PoolOrder, ResourceAmount, StartOrder, WorkerKey};

/// An order to start is not sent any more after this time, in milliseconds.
const START_SEND_MS: u64 = 2_000;
/// Most units that are tried in one decision after units that found no room.
const MAX_BLOCKED_UNITS: usize = 40;

impl PoolCore {
    /// Places what fits and makes room for what comes first.
    pub(crate) fn place_waiting(&mut self, now: ClockTime) {
        let mut units = self.waiting_units(now);
        if units.is_empty() {
            self.claims.clear();
            return;
        }
        units.sort_by_key(|unit| unit.rank);
        let mut rows = self.room_rows(now);
        let pool_busy = is_busy(&rows);
        self.serve_claims(&mut units, &mut rows, now);
        let mut blocked = 0;
        for unit in &units {
            if unit.tasks.is_empty() || blocked > MAX_BLOCKED_UNITS {
                continue;
            }
            let left = self.place_unit(unit, &mut rows, pool_busy, now);
            if left > 0 {
                blocked += 1;
                self.make_room(unit, left, &mut rows, pool_busy, now);
            }
        }
    }

    fn room_rows(&self, now: ClockTime) -> Vec<RoomRow> {
        let usable = self
            .workers
            .iter()
            .filter(|(_, view)| view.takes_work(now) && !self.closed_centres.contains(&view.report.centre));
        let rows = usable.map(|(worker, view)| RoomRow {
            worker,
            free: view.free(),
            capacity: view.report.capacity,
            rack: view.report.rack().cloned(),
            service: view.report.service.clone(),
            labels: view.report.labels.clone(),
            doubtful: view.health.is_doubtful(now),
            slow: view.health.is_slow(now),
        });
        rows.collect()
    }

    /// Starts as many tasks of the unit as fit; returns how many are left.
    fn place_unit(
        &mut self,
        unit: &WaitingUnit,
        rows: &mut [RoomRow],
        pool_busy: bool,
        now: ClockTime,
    ) -> usize {
        if unit.gang {
            let Some(choice) = choose_gang(unit, rows, pool_busy) else {
                return unit.tasks.len();
            };
            let run = self.next_gang_run(unit);
            let mut placed = Vec::with_capacity(unit.tasks.len());
            for (task, row) in unit.tasks.iter().zip(&choice.rows) {
                rows[*row].free -= unit.need.amount;
                self.start_task(unit, *task, run, rows[*row].worker, choice.remote, now);
                placed.push((*task, rows[*row].worker));
            }
            self.log_placed(unit, &placed, choice.remote, now);
            return 0;
        }
        let mut counts = self.step_counts(unit);
        let mut placed = Vec::with_capacity(unit.tasks.len());
        let mut any_remote = false;
        for task in &unit.tasks {
            let avoid = self.avoided_worker(unit, *task);
            let Some((row, remote)) = choose_row(unit, rows, &counts, avoid, pool_busy) else {
                break;
            };
            rows[row].free -= unit.need.amount;
            *counts.entry(rows[row].worker).or_default() += 1;
            self.start_task(unit, *task, None, rows[row].worker, remote, now);
            placed.push((*task, rows[row].worker));
            any_remote |= remote;
        }
        self.log_placed(unit, &placed, any_remote, now);
        unit.tasks.len() - placed.len()
    }

    /// Logs one line for all tasks of a unit that were placed together.
    pub(crate) fn log_placed(
        &self,
        unit: &WaitingUnit,
        placed: &[(usize, WorkerKey)],
        remote: bool,
        now: ClockTime,
    ) {
        if placed.is_empty() {
            return;
        }
        let job = &self.jobs[unit.key];
        let places = placed
            .iter()
            .map(|(task, worker)| format!("{task}@{}", self.workers[*worker].report.id));
        log::info!(
            "[place] job={} occurrence={} step={} waited_ms={} slack_ms={} lateness={:?} remote={remote} policy={} tasks={}",
            job.id,
            unit.occurrence,
            unit.step,
            unit.waited_ms,
            unit.rank.slack_ms(now),
            unit.rank.lateness,
            self.policy.version,
            places.collect::<Vec<_>>().join(",")
        );
    }

    fn avoided_worker(&self, unit: &WaitingUnit, task: usize) -> Option<WorkerKey> {
        let occurrence = self.jobs.get(unit.key)?.occurrences.get(&unit.occurrence)?;
        occurrence.steps[unit.step].tasks[task].avoid
    }

    /// Counts the tasks of the step on each worker, with those for which room is kept there.
    pub(crate) fn step_counts(&self, unit: &WaitingUnit) -> StepCounts {
        let mut counts = StepCounts::new();
        if unit.need.spread_limit.is_none() {
            return counts;
        }
        let occurrence = self
            .jobs
            .get(unit.key)
            .and_then(|job| job.occurrences.get(&unit.occurrence));
        let tasks = occurrence.map_or(&[][..], |run| &run.steps[unit.step].tasks);
        for place in tasks.iter().filter_map(|task| task.place) {
            *counts.entry(place.worker).or_default() += 1;
        }
        let claims = self.claims.iter().filter(|claim| {
            claim.job == unit.key && claim.occurrence == unit.occurrence && claim.step == unit.step
        });
        for worker in claims.flat_map(|claim| &claim.workers) {
            *counts.entry(*worker).or_default() += 1;
        }
        counts
    }

    /// Members of a gang share the number of their run.
    pub(crate) fn next_gang_run(&self, unit: &WaitingUnit) -> Option<u32> {
        let occurrence = self.jobs.get(unit.key)?.occurrences.get(&unit.occurrence)?;
        let latest = occurrence.steps[unit.step]
            .tasks
            .iter()
            .map(|task| task.run)
            .max();
        latest.map(|run| run + 1)
    }

    pub(crate) fn start_task(
        &mut self,
        unit: &WaitingUnit,
        index: usize,
        gang_run: Option<u32>,
        worker: WorkerKey,
        remote: bool,
        now: ClockTime,
    ) {
        let job = &mut self.jobs[unit.key];
        let name = job.task_name(unit.occurrence, unit.step, index);
        let spec = job.spec.clone();
        if job.stage == JobStage::Queued {
            job.stage = JobStage::Running;
            let waited_ms = now.millis_since(job.arrived_at);
            self.timings.push(PoolTiming::FirstStart(waited_ms));
        }
        let Some(task) = job.task_mut(&name) else { return };
        task.run = gang_run.unwrap_or(task.run + 1);
        task.place = Some(TaskPlace {
            worker,
            stage: PlaceStage::Starting,
            since: now,
            remote,
        });
        task.progress = RunProgress {
            resumed: !task.checkpoint.is_empty(),
            ..RunProgress::default()
        };
        let (run, checkpoint) = (task.run, task.checkpoint.clone());
        let view = &mut self.workers[worker];
        view.occupants.insert(
            (name.clone(), run),
            Occupant {
                amount: unit.need.amount,
                listed_from: None,
                stop_ordered_at: None,
            },
        );
        self.orders.push(PoolOrder::Start(StartOrder {
            task: name,
            run,
            spec,
            checkpoint,
            worker,
            send_before: now + START_SEND_MS,
        }));
        self.mark_changed(unit.key);
    }
}

/// Returns whether half of the accelerators or processors are in use.
fn is_busy(rows: &[RoomRow]) -> bool {
    let (mut free, mut capacity) = (ResourceAmount::default(), ResourceAmount::default());
    for row in rows {
        free += row.free;
        capacity += row.capacity;
    }
    free.accelerators * 2 < capacity.accelerators || free.millicores * 2 < capacity.millicores
}
