//! Places waiting work on workers, in the order of [`unit_order`](crate::unit_order).

use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::job_run::{JobRun, OccurrenceRun, PlaceStage, TaskPlace};
use crate::job_worth::{JobWorth, waste};
use crate::pool_core::{JobKey, PoolCore};
use crate::room_search::{RoomRow, StepCounts, TaskNeed, best_row, gang_rows, rack_fits};
use crate::run_rates::remaining_run_ms;
use crate::unit_order::{Lateness, UnitRank, UnitTiming, unit_rank};
use crate::victim_choice::{VictimPlan, VictimUnit, choose_victims};
use crate::worker_view::Occupant;
use crate::{JobStage, PoolOrder, ResourceAmount, StartOrder, StopReason, TaskName, WorkerKey};

/// Room that is being made by stopping runs is kept for this long, in milliseconds; a stop takes up to 900.
const CLAIM_MS: u64 = 2_000;
/// An order to start is not sent any more after this time, in milliseconds.
const START_SEND_MS: u64 = 2_000;
/// With less than half of the pool in use, work goes to remote workers after this wait, in milliseconds.
const REMOTE_IDLE_WAIT_MS: u64 = 1_000;
/// Room that becomes free by itself is waited for at most this long, in milliseconds.
const LONGEST_WAIT_MS: u64 = 600;
/// Work stops others only when it must start within this time, in milliseconds; a stop takes up to 900.
const LAST_CALL_MS: u64 = 1_600;
/// Each earlier preemption makes stopping a run this many times dearer.
const REPEAT_COST_FACTOR: u64 = 2;
/// A run that saves its progress loses at most this much work, in milliseconds.
const CHECKPOINT_LOSS_MS: u64 = 1_000;
/// Time that a stop and a new start cost beside the work that is done again, in milliseconds.
const RESTART_MS: u64 = 200;
/// Cost of waiting for a run that ends soon, in worth; free room is better.
const WAIT_COST: u64 = 1;
/// Most units that are tried in one decision after units that found no room.
const MAX_BLOCKED_UNITS: usize = 40;

/// Room kept for work whose place is being cleared.
#[derive(Clone, Debug)]
pub(crate) struct RoomClaim {
    pub(crate) job: JobKey,
    occurrence: u32,
    step: usize,
    workers: Vec<WorkerKey>,
    remote: bool,
    until: ClockTime,
}

/// Tasks of a step that wait: one by one, or together as a gang.
struct WaitingUnit {
    key: JobKey,
    occurrence: u32,
    step: usize,
    tasks: Vec<usize>,
    gang: bool,
    same_rack: bool,
    need: TaskNeed,
    rank: UnitRank,
    worth: JobWorth,
    waited_ms: u64,
    /// Longest wait for a near worker that still meets the objective, in milliseconds.
    near_patience_ms: u64,
}

impl WaitingUnit {
    /// Returns whether the unit may run where it takes several times as long.
    ///
    /// It waits for a near place while that can still meet the objective, but not while much of the pool idles.
    fn may_go_remote(&self, pool_busy: bool) -> bool {
        if pool_busy {
            self.waited_ms > self.near_patience_ms
        } else {
            self.waited_ms > self.near_patience_ms.min(REMOTE_IDLE_WAIT_MS)
        }
    }

    /// Returns what is lost if the unit starts after its last time instead of soon.
    fn gain(&self) -> u64 {
        let later = match self.rank.lateness {
            Lateness::OnTime => Lateness::Late,
            Lateness::Late | Lateness::Overdue => Lateness::Overdue,
        };
        self.worth.delay_loss(self.rank.lateness, later)
    }
}

/// Where the tasks of a unit go.
struct RowChoice {
    rows: Vec<usize>,
    remote: bool,
}

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

    /// Collects the work that could start now.
    fn waiting_units(&mut self, now: ClockTime) -> Vec<WaitingUnit> {
        let means = self.mean_work();
        let typical = self.typical_capacity();
        let guaranteed = self.jobs_inside_guarantee();
        let mut units = Vec::new();
        for (key, job) in &mut self.jobs {
            let numbers: Vec<u32> = job.occurrences.keys().copied().collect();
            for number in numbers {
                for step in 0..job.body.steps.len() {
                    let inside = guaranteed.contains(&key);
                    let worth = job_worth(job, &means);
                    units.extend(waiting_unit(key, job, number, step, worth, &typical, inside, now));
                }
            }
        }
        units
    }

    /// Returns the largest capacity among the workers, to which work is compared.
    fn typical_capacity(&self) -> ResourceAmount {
        let mut largest = ResourceAmount::default();
        for view in self.workers.values() {
            let capacity = &view.report.capacity;
            largest.millicores = largest.millicores.max(capacity.millicores);
            largest.memory_mb = largest.memory_mb.max(capacity.memory_mb);
            largest.accelerators = largest.accelerators.max(capacity.accelerators);
        }
        largest
    }

    /// Returns the mean work of the present jobs of each queue, in core milliseconds.
    fn mean_work(&self) -> HashMap<Arc<str>, u64> {
        let mut sums: HashMap<Arc<str>, (u64, u64)> = HashMap::new();
        for job in self.jobs.values() {
            let (sum, count) = sums.entry(job.rule.name.clone()).or_default();
            *sum += job.work_core_ms;
            *count += 1;
        }
        sums.into_iter().map(|(queue, (sum, count))| (queue, sum / count.max(1))).collect()
    }

    /// Returns the jobs of priority 0 that fit into what their account is guaranteed, oldest first.
    fn jobs_inside_guarantee(&self) -> std::collections::HashSet<JobKey> {
        let mut urgent: Vec<(ClockTime, JobKey, &JobRun)> = Vec::new();
        for (key, job) in &self.jobs {
            if job.rule.priority == 0 {
                urgent.push((job.arrived_at, key, job));
            }
        }
        urgent.sort_by_key(|(at, key, _)| (*at, *key));
        let mut used: HashMap<&str, u64> = HashMap::new();
        let mut inside = std::collections::HashSet::new();
        for (_, key, job) in urgent {
            let Some(rule) = self.policy.accounts.get(job.body.account.as_str()) else {
                continue;
            };
            let needs = job.body.steps.iter().map(|step| step.accelerators * u64::from(step.count));
            let used = used.entry(job.body.account.as_str()).or_default();
            *used += needs.max().unwrap_or(0);
            if *used <= rule.guaranteed_accelerators {
                inside.insert(key);
            }
        }
        inside
    }

    fn room_rows(&self, now: ClockTime) -> Vec<RoomRow> {
        let usable = self.workers.iter().filter(|(_, view)| {
            view.takes_work(now) && !self.closed_centres.contains(&view.report.centre)
        });
        let rows = usable.map(|(worker, view)| RoomRow {
            worker,
            free: view.free(),
            capacity: view.report.capacity,
            rack: view.report.rack().cloned(),
            service: view.report.service.clone(),
            labels: view.report.labels.clone(),
            doubtful: view.health.is_doubtful(now),
        });
        rows.collect()
    }

    /// Starts units whose cleared room is free, and keeps room for those that still wait for it.
    fn serve_claims(&mut self, units: &mut [WaitingUnit], rows: &mut [RoomRow], now: ClockTime) {
        for claim in std::mem::take(&mut self.claims) {
            let unit = units.iter_mut().find(|unit| {
                unit.key == claim.job && unit.occurrence == claim.occurrence && unit.step == claim.step
            });
            let Some(unit) = unit else { continue };
            let places: Vec<usize> = claim
                .workers
                .iter()
                .filter_map(|worker| rows.iter().position(|row| row.worker == *worker))
                .collect();
            if places.len() < claim.workers.len() || now > claim.until || unit.tasks.is_empty() {
                continue;
            }
            if unit.gang {
                self.serve_gang_claim(claim, unit, &places, rows, now);
            } else {
                self.serve_task_claim(claim, unit, &places, rows, now);
            }
        }
    }

    fn serve_gang_claim(
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
        let fits = places.iter().all(|place| rows[*place].free.covers(&ResourceAmount::default()));
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
        self.log_placed(unit, &placed, claim.remote, now);
    }

    fn serve_task_claim(
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
            let Some(task) = unit.tasks.first().copied() else { break };
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
        }
    }

    /// Starts as many tasks of the unit as fit; returns how many are left.
    fn place_unit(&mut self, unit: &WaitingUnit, rows: &mut [RoomRow], pool_busy: bool, now: ClockTime) -> usize {
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
    fn log_placed(&self, unit: &WaitingUnit, placed: &[(usize, WorkerKey)], remote: bool, now: ClockTime) {
        if placed.is_empty() {
            return;
        }
        let job = &self.jobs[unit.key];
        let places = placed.iter().map(|(task, worker)| format!("{task}@{}", self.workers[*worker].report.id));
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
    fn step_counts(&self, unit: &WaitingUnit) -> StepCounts {
        let mut counts = StepCounts::new();
        if unit.need.spread_limit.is_none() {
            return counts;
        }
        let occurrence = self.jobs.get(unit.key).and_then(|job| job.occurrences.get(&unit.occurrence));
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
    fn next_gang_run(&self, unit: &WaitingUnit) -> Option<u32> {
        let occurrence = self.jobs.get(unit.key)?.occurrences.get(&unit.occurrence)?;
        let latest = occurrence.steps[unit.step].tasks.iter().map(|task| task.run).max();
        latest.map(|run| run + 1)
    }

    fn start_task(
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
        }
        let Some(task) = job.task_mut(&name) else { return };
        task.run = gang_run.unwrap_or(task.run + 1);
        task.place = Some(TaskPlace {
            worker,
            stage: PlaceStage::Starting,
            since: now,
            remote,
        });
        task.progress = Default::default();
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

    /// Stops runs that come later, if that lets the unit start in time at a fair loss.
    fn make_room(&mut self, unit: &WaitingUnit, left: usize, rows: &mut [RoomRow], pool_busy: bool, now: ClockTime) {
        let urgent = unit.rank.priority == 0;
        let on_time = unit.rank.lateness == Lateness::OnTime;
        let may_stop = unit.rank.inside_guarantee()
            || unit.rank.lateness != Lateness::Overdue && unit.rank.slack_ms(now) < LAST_CALL_MS;
        let may_wait = urgent && on_time;
        if !may_stop && !may_wait {
            return;
        }
        let wait_ms = if on_time { unit.rank.slack_ms(now).min(LONGEST_WAIT_MS) } else { 0 };
        let (victims, names) = self.victim_units(unit, rows, may_stop, wait_ms, now);
        let Some((plan, remote)) = choose_scope(unit, left, rows, &victims, &self.step_counts(unit), pool_busy) else {
            return;
        };
        if !unit.rank.inside_guarantee() && plan.cost > unit.gain() {
            return;
        }
        let stopped: Vec<usize> = plan.stopped.iter().copied().filter(|number| !victims[*number].ends_soon).collect();
        log::info!(
            "[preempt] job={} step={} tasks={left} stopped={} loss={} gain={} inside_guarantee={}",
            self.jobs[unit.key].id,
            unit.step,
            stopped.len(),
            plan.cost,
            unit.gain(),
            unit.rank.inside_guarantee(),
        );
        for number in &stopped {
            for (key, name) in &names[*number] {
                if let Some(task) = self.jobs.get_mut(*key).and_then(|job| job.task_mut(name)) {
                    task.preemptions += 1;
                }
                self.stop_task(*key, name, StopReason::Preempted, now);
            }
        }
        for row in &plan.rows {
            rows[*row].free -= unit.need.amount;
        }
        self.claims.push(RoomClaim {
            job: unit.key,
            occurrence: unit.occurrence,
            step: unit.step,
            workers: plan.rows.iter().map(|row| rows[*row].worker).collect(),
            remote,
            until: now + CLAIM_MS.max(wait_ms + CLAIM_MS / 2),
        });
    }

    /// Lists the runs that the unit may displace, gangs as one.
    fn victim_units(
        &self,
        unit: &WaitingUnit,
        rows: &[RoomRow],
        may_stop: bool,
        wait_ms: u64,
        now: ClockTime,
    ) -> (Vec<VictimUnit>, Vec<Vec<(JobKey, TaskName)>>) {
        let row_of: HashMap<WorkerKey, usize> = rows.iter().enumerate().map(|(n, row)| (row.worker, n)).collect();
        let guaranteed = self.jobs_inside_guarantee();
        let mut victims = Vec::new();
        let mut names = Vec::new();
        let means = self.mean_work();
        for (key, job) in &self.jobs {
            let worth = job_worth(job, &means);
            let lower = job.rule.priority > unit.rank.priority;
            let borrows = unit.rank.inside_guarantee() && !guaranteed.contains(&key);
            let may_stop = may_stop && (lower || borrows);
            for (number, occurrence) in &job.occurrences {
                for (step_number, step) in occurrence.steps.iter().enumerate() {
                    let body = &job.body.steps[step_number];
                    let mut gang = VictimUnit {
                        cost: 0,
                        ends_soon: true,
                        frees: Vec::new(),
                    };
                    let mut members = Vec::new();
                    let delay_loss = restart_loss(job, occurrence, step_number, &worth, now);
                    let placed = step.tasks.iter().filter(|task| task.place.is_some()).count() as u64;
                    for (index, task) in step.tasks.iter().enumerate() {
                        let Some(place) = task.place else { continue };
                        let ends_soon = place.stage == PlaceStage::Stopping
                            || remaining_run_ms(task, now).is_some_and(|left_ms| left_ms <= wait_ms);
                        if !ends_soon && !may_stop {
                            gang.ends_soon = false;
                            continue;
                        }
                        let Some(row) = row_of.get(&place.worker) else { continue };
                        let ran_ms = now.millis_since(place.since);
                        let lost_ms = if body.checkpoints { ran_ms.min(CHECKPOINT_LOSS_MS) } else { ran_ms };
                        let repeats = u64::from(task.preemptions);
                        let lost = waste(body.amount().core_equivalents() * (lost_ms + RESTART_MS));
                        let cost = lost * (1 + repeats * REPEAT_COST_FACTOR) + delay_loss / placed.max(1);
                        let name = job.task_name(*number, step_number, index);
                        if body.gang {
                            gang.ends_soon &= ends_soon;
                            gang.cost += cost;
                            gang.frees.push((*row, body.amount()));
                            members.push((key, name));
                        } else {
                            victims.push(VictimUnit {
                                cost: if ends_soon { WAIT_COST } else { cost },
                                ends_soon,
                                frees: vec![(*row, body.amount())],
                            });
                            names.push(vec![(key, name)]);
                        }
                    }
                    if !members.is_empty() && (gang.ends_soon || may_stop) {
                        if gang.ends_soon {
                            gang.cost = WAIT_COST;
                        }
                        victims.push(gang);
                        names.push(members);
                    }
                }
            }
        }
        (victims, names)
    }
}

/// Returns the unit of a step if it could start now.
fn waiting_unit(
    key: JobKey,
    job: &mut JobRun,
    number: u32,
    step: usize,
    worth: JobWorth,
    typical: &ResourceAmount,
    inside_guarantee: bool,
    now: ClockTime,
) -> Option<WaitingUnit> {
    let objective_ms = job.objective_ms();
    let occurrence = job.occurrences.get(&number)?;
    let body = &job.body.steps[step];
    let run = &occurrence.steps[step];
    let tasks: Vec<usize> = (0..run.tasks.len()).filter(|index| run.tasks[*index].is_waiting()).collect();
    if tasks.is_empty() || !occurrence.may_run(body) {
        return None;
    }
    if body.gang && tasks.len() < run.tasks.len() {
        return None;
    }
    let due_at = occurrence.due_at;
    let (gang, same_rack) = (body.gang, body.gang && body.same_rack);
    let need = TaskNeed {
        amount: body.amount(),
        service: job.rule.service.clone(),
        required_label: label(&body.required_label),
        data_rack: label(&body.data_rack),
        spread_limit: (body.spread_limit > 0).then_some(body.spread_limit as usize),
    };
    let remaining_ms = remaining_ms(job, step);
    let remaining_room = remaining_room(job, number, typical);
    let timing = UnitTiming {
        due_at,
        objective_ms,
        remaining_ms,
    };
    let rank = unit_rank(now, &timing, &worth, remaining_room, inside_guarantee);
    let step_run = &mut job.occurrences.get_mut(&number)?.steps[step];
    let ready_at = *step_run.ready_at.get_or_insert(now);
    Some(WaitingUnit {
        key,
        occurrence: number,
        step,
        tasks,
        gang,
        same_rack,
        need,
        rank,
        worth,
        waited_ms: now.millis_since(ready_at),
        near_patience_ms: objective_ms.saturating_sub(job.chain_ms),
    })
}

fn label(text: &str) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| text.into())
}

fn job_worth(job: &JobRun, means: &HashMap<Arc<str>, u64>) -> JobWorth {
    JobWorth {
        priority: job.rule.priority,
        work: job.work_core_ms,
        mean_work: means.get(&job.rule.name).copied().unwrap_or(0),
    }
}

/// Returns what is lost for the caller when a step starts anew instead of going on.
fn restart_loss(job: &JobRun, occurrence: &OccurrenceRun, step: usize, worth: &JobWorth, now: ClockTime) -> u64 {
    let body = &job.body.steps[step];
    let timing = UnitTiming {
        due_at: occurrence.due_at,
        objective_ms: job.objective_ms(),
        remaining_ms: remaining_ms(job, step),
    };
    let started = occurrence.steps[step].tasks.iter().filter_map(|task| task.place);
    let started = started.map(|place| place.since).min().unwrap_or(now);
    let undisturbed = timing.lateness(started).0;
    let resumed = if body.checkpoints { started } else { now };
    let restarted = timing.lateness(resumed + RESTART_MS + body.estimate_ms / 4).0;
    worth.delay_loss(undisturbed, restarted)
}

/// Returns the room that an occurrence still takes, in milliseconds of whole workers, times 1,000.
fn remaining_room(job: &JobRun, number: u32, typical: &ResourceAmount) -> u64 {
    let Some(occurrence) = job.occurrences.get(&number) else {
        return 0;
    };
    let steps = occurrence.steps.iter().zip(&job.body.steps);
    let room = steps.map(|(step, body)| {
        let open = step.tasks.iter().filter(|task| !task.done).count() as u64;
        let share = u64::try_from(body.amount().largest_share(typical)).unwrap_or(1).max(1);
        open * share * body.estimate_ms
    });
    room.sum()
}

/// Returns the estimated milliseconds of a step and of the longest chain that follows it.
fn remaining_ms(job: &JobRun, step: usize) -> u64 {
    let steps = &job.body.steps;
    let mut longest = vec![0; steps.len()];
    for number in (step..steps.len()).rev() {
        let later = (number + 1..steps.len()).filter(|later| steps[*later].after.contains(&(number as u32)));
        let after = later.map(|later| longest[later]).max().unwrap_or(0);
        longest[number] = steps[number].estimate_ms + after;
    }
    longest[step]
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

fn choose_row(
    unit: &WaitingUnit,
    rows: &[RoomRow],
    counts: &StepCounts,
    avoid: Option<WorkerKey>,
    pool_busy: bool,
) -> Option<(usize, bool)> {
    let near = |row: &RoomRow| unit.need.is_near(row) && avoid != Some(row.worker);
    if let Some(row) = best_row(rows, &unit.need, counts, near) {
        return Some((row, false));
    }
    if unit.need.data_rack.is_some() && unit.may_go_remote(pool_busy) {
        let other = |row: &RoomRow| avoid != Some(row.worker);
        if let Some(row) = best_row(rows, &unit.need, counts, other) {
            return Some((row, true));
        }
    }
    // Nothing else fits: the worker that failed the task before is better than none.
    let again = best_row(rows, &unit.need, counts, |row| unit.need.is_near(row) && !row.doubtful);
    again.map(|row| (row, false))
}

/// Chooses rows for a gang: one rack if it must be near itself, otherwise anywhere near its data.
fn choose_gang(unit: &WaitingUnit, rows: &[RoomRow], pool_busy: bool) -> Option<RowChoice> {
    let count = unit.tasks.len();
    let remote_ok = unit.may_go_remote(pool_busy);
    if !unit.same_rack {
        let near = gang_rows(rows, &unit.need, count, |row| unit.need.is_near(row));
        if let Some(rows) = near {
            return Some(RowChoice { rows, remote: false });
        }
        let data = unit.need.data_rack.is_some() && remote_ok;
        let anywhere = if data { gang_rows(rows, &unit.need, count, |_| true) } else { None };
        return anywhere.map(|rows| RowChoice { rows, remote: true });
    }
    let racks = rack_fits(rows, &unit.need, count);
    let near_racks = racks.iter().filter(|(rack, _, _)| {
        unit.need.data_rack.as_ref().is_none_or(|data| data == rack)
    });
    // The rack in which the fewest further members would fit keeps the others whole.
    let tightest = near_racks.clone().filter(|(_, now, _)| *now >= count).min_by_key(|(_, now, _)| *now);
    if let Some((rack, _, _)) = tightest {
        let inside = gang_rows(rows, &unit.need, count, |row| row.rack.as_ref() == Some(rack));
        return inside.map(|rows| RowChoice { rows, remote: false });
    }
    let possible = near_racks.clone().any(|(_, _, empty)| *empty >= count);
    if possible && !remote_ok {
        return None;
    }
    gang_rows(rows, &unit.need, count, |_| true).map(|rows| RowChoice { rows, remote: true })
}

/// Chooses where runs are stopped for the unit: inside one rack for a gang that must be near itself.
fn choose_scope(
    unit: &WaitingUnit,
    left: usize,
    rows: &[RoomRow],
    victims: &[VictimUnit],
    counts: &StepCounts,
    pool_busy: bool,
) -> Option<(VictimPlan, bool)> {
    let count = if unit.gang { unit.tasks.len() } else { left };
    let plan_in = |rack: &Arc<str>| {
        choose_victims(rows, victims, &unit.need, count, counts, |row| row.rack.as_ref() == Some(rack))
    };
    if unit.same_rack {
        let racks = rack_fits(rows, &unit.need, count);
        let near = racks.iter().filter(|(rack, _, empty)| {
            *empty >= count && unit.need.data_rack.as_ref().is_none_or(|data| data == rack)
        });
        let plans = near.filter_map(|(rack, _, _)| plan_in(rack));
        if let Some(plan) = plans.min_by_key(|plan| plan.cost) {
            return Some((plan, false));
        }
    } else {
        let near = choose_victims(rows, victims, &unit.need, count, counts, |row| unit.need.is_near(row));
        if let Some(plan) = near {
            return Some((plan, false));
        }
    }
    let remote_ok = unit.may_go_remote(pool_busy) || unit.rank.inside_guarantee();
    if !remote_ok {
        return None;
    }
    choose_victims(rows, victims, &unit.need, count, counts, |_| true).map(|plan| (plan, true))
}
