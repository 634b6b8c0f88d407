//! Makes room for work that comes first.
//!
//! Load pattern: urgent work, or an account that returns for its guarantee, finds the pool full. Runs that end
//! by themselves in time are waited for. Others are stopped only when callers gain more than they lose, or
//! when a guarantee demands it.

use std::collections::HashMap;

use arbutuspick_model::ClockTime;

use crate::job_run::{JobRun, OccurrenceRun, PlaceStage};
use crate::job_worth::{JobWorth, waste};
use crate::place_choice::choose_scope;
use crate::pool_core::{JobKey, PoolCore};
use crate::room_claim::{AwaitedRun, RoomClaim};
use crate::room_search::RoomRow;
use crate::run_rates::remaining_run_ms;
use crate::unit_order::{Lateness, UnitTiming};
use crate::victim_choice::VictimUnit;
use crate::waiting_unit::{WaitingUnit, job_worth, remaining_ms};
use crate::{StopReason, TaskName, WorkerKey};

/// Work stops others only when it must start within this time, in milliseconds; a stop takes up to 900.
const LAST_CALL_MS: u64 = 1_600;
/// Room that becomes free by itself is waited for at most this long, in milliseconds.
const LONGEST_WAIT_MS: u64 = 600;
/// An awaited run counts as overdue this long after its expected end, in milliseconds: progress comes in whole
/// percents and an end is listed a little later.
const OVERDUE_MS: u64 = 200;
/// An ordered stop that takes this much longer than the bound of workers is not relied on, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;
/// Each earlier preemption makes stopping a run this many times dearer.
const REPEAT_COST_FACTOR: u64 = 2;
/// Time that a stop and a new start cost beside the work that is done again, in milliseconds.
const RESTART_MS: u64 = 200;
/// Cost of waiting for a run that ends soon, in worth; free room is better.
const WAIT_COST: u64 = 1;

impl PoolCore {
    /// Stops runs that come later, if that lets the unit start in time at a fair loss.
    pub(crate) fn make_room(
        &mut self,
        unit: &WaitingUnit,
        left: usize,
        rows: &mut [RoomRow],
        pool_busy: bool,
        now: ClockTime,
    ) {
        let urgent = unit.rank.priority == 0;
        let on_time = unit.rank.lateness == Lateness::OnTime;
        let may_stop = unit.rank.inside_guarantee()
            || unit.rank.lateness != Lateness::Overdue && unit.rank.slack_ms(now) < LAST_CALL_MS;
        let may_wait = urgent && on_time;
        if !may_stop && !may_wait {
            return;
        }
        let wait_ms = if on_time {
            unit.rank.slack_ms(now).min(LONGEST_WAIT_MS)
        } else {
            0
        };
        let (victims, names) = self.victim_units(unit, rows, may_stop, wait_ms, now);
        let Some((plan, remote)) =
            choose_scope(unit, left, rows, &victims, &self.step_counts(unit), pool_busy)
        else {
            return;
        };
        if !unit.rank.inside_guarantee() && plan.cost > unit.gain() {
            return;
        }
        let (awaited, stopped): (Vec<usize>, Vec<usize>) = plan
            .stopped
            .iter()
            .partition(|number| victims[**number].ends_soon);
        log::info!(
            "[preempt] job={} step={} tasks={left} stopped={} awaited={} wait_ms={wait_ms} loss={} gain={} inside_guarantee={} workers={}",
            self.jobs[unit.key].id,
            unit.step,
            stopped.len(),
            awaited.len(),
            plan.cost,
            unit.gain(),
            unit.rank.inside_guarantee(),
            self.worker_names(plan.rows.iter().map(|row| rows[*row].worker)),
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
        let awaited = awaited.iter().flat_map(|number| &names[*number]);
        let awaited = awaited
            .filter_map(|(job, task)| self.awaited_run(*job, task))
            .collect();
        self.claims.push(RoomClaim {
            awaited,
            awaited_until: now + wait_ms + OVERDUE_MS,
            job: unit.key,
            occurrence: unit.occurrence,
            step: unit.step,
            workers: plan.rows.iter().map(|row| rows[*row].worker).collect(),
            remote,
            until: now + self.stop_bound_ms().max(wait_ms + OVERDUE_MS),
        });
    }

    pub(crate) fn worker_names<I>(&self, workers: I) -> String
    where
        I: Iterator<Item = WorkerKey>,
    {
        let views = workers.filter_map(|key| self.workers.get(key));
        let names: Vec<&str> = views.map(|view| view.report.id.as_ref()).collect();
        names.join(",")
    }

    /// Returns the present run of a task, if nobody has ordered it to stop.
    fn awaited_run(&self, job: JobKey, task: &TaskName) -> Option<AwaitedRun> {
        let occurrence = self.jobs.get(job)?.occurrences.get(&task.occurrence)?;
        let state = &occurrence.steps[task.step as usize].tasks[task.index as usize];
        let running = state.place?.stage != PlaceStage::Stopping;
        running.then(|| AwaitedRun {
            job,
            task: task.clone(),
            run: state.run,
        })
    }

    /// Returns by when a stop that was ordered has taken effect, unless its worker leaves orders unanswered.
    pub(crate) fn stop_bound_ms(&self) -> u64 {
        self.options.stop_ms + STOP_MARGIN_MS
    }

    /// Lists the runs that the unit may displace, gangs as one.
    pub(crate) fn victim_units(
        &self,
        unit: &WaitingUnit,
        rows: &[RoomRow],
        may_stop: bool,
        wait_ms: u64,
        now: ClockTime,
    ) -> (Vec<VictimUnit>, Vec<Vec<(JobKey, TaskName)>>) {
        let row_of: HashMap<WorkerKey, usize> =
            rows.iter().enumerate().map(|(n, row)| (row.worker, n)).collect();
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
                        let stopping = place.stage == PlaceStage::Stopping;
                        let ends_soon = if stopping {
                            now <= place.since + self.stop_bound_ms()
                        } else {
                            remaining_run_ms(task, now).is_some_and(|left_ms| left_ms <= wait_ms)
                        };
                        if !ends_soon && (stopping || !may_stop) {
                            gang.ends_soon = false;
                            continue;
                        }
                        let Some(row) = row_of.get(&place.worker) else {
                            continue;
                        };
                        let ran_ms = now.millis_since(place.since);
                        // A stop saves the progress of a run that checkpoints.
                        let lost_ms = if body.checkpoints { 0 } else { ran_ms };
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

/// Returns what is lost for the caller when a step starts anew instead of going on.
fn restart_loss(
    job: &JobRun,
    occurrence: &OccurrenceRun,
    step: usize,
    worth: &JobWorth,
    now: ClockTime,
) -> u64 {
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
