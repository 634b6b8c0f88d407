//! Lists the runs that work which comes first may displace, with what stopping each of them loses.

use std::collections::HashMap;

use arbutuspick_model::ClockTime;

use crate::job_run::{JobRun, OccurrenceRun, PlaceStage, TaskRun};
use crate::job_worth::{JobWorth, waste};
use crate::pool_core::{JobKey, PoolCore};
use crate::room_search::RoomRow;
use crate::run_rates::remaining_run_ms;
use crate::unit_order::UnitTiming;
use crate::victim_choice::VictimUnit;
use crate::waiting_unit::{WaitingUnit, job_worth, remaining_ms};
use crate::{StepBody, TaskName, WorkerKey};

/// Each earlier preemption makes stopping a run this many times dearer.
const REPEAT_COST_FACTOR: u64 = 2;
/// Time that a stop and a new start cost beside the work that is done again, in milliseconds.
const RESTART_MS: u64 = 200;
/// Cost of waiting for a run that ends soon, in worth; free room is better.
const WAIT_COST: u64 = 1;

/// Runs that may make room, each with the tasks that it stands for.
#[derive(Default)]
pub(crate) struct VictimList {
    pub(crate) units: Vec<VictimUnit>,
    pub(crate) names: Vec<Vec<(JobKey, TaskName)>>,
}

/// What a unit may do to make room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomTerms {
    /// It may stop runs that come later.
    pub(crate) may_stop: bool,
    /// Longest wait for a run to end by itself, in milliseconds.
    pub(crate) wait_ms: u64,
    pub(crate) now: ClockTime,
}

/// How the room of a placed run can become free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunExit {
    EndsSoon,
    CanBeStopped,
    Stays,
}

impl PoolCore {
    /// Lists the runs that the unit may displace, gangs as one.
    pub(crate) fn victim_units(&self, unit: &WaitingUnit, rows: &[RoomRow], terms: RoomTerms) -> VictimList {
        let row_of: HashMap<WorkerKey, usize> =
            rows.iter().enumerate().map(|(n, row)| (row.worker, n)).collect();
        let guaranteed = self.jobs_inside_guarantee();
        let means = self.mean_work();
        let mut list = VictimList::default();
        for (key, job) in &self.jobs {
            let worth = job_worth(job, &means);
            let lower = job.rule.priority > unit.rank.priority;
            let borrows = unit.rank.inside_guarantee() && !guaranteed.contains(&key);
            let terms = RoomTerms {
                may_stop: terms.may_stop && (lower || borrows),
                ..terms
            };
            for (number, occurrence) in &job.occurrences {
                for step in 0..occurrence.steps.len() {
                    let step = StepOfJob {
                        key,
                        job,
                        number: *number,
                        occurrence,
                        step,
                    };
                    self.add_victims(&step, &worth, &row_of, terms, &mut list);
                }
            }
        }
        list
    }

    /// Adds the runs of a step: one by one, or as a whole gang.
    fn add_victims(
        &self,
        step: &StepOfJob,
        worth: &JobWorth,
        row_of: &HashMap<WorkerKey, usize>,
        terms: RoomTerms,
        list: &mut VictimList,
    ) {
        let body = step.body();
        let tasks = &step.occurrence.steps[step.step].tasks;
        let placed = tasks.iter().filter(|task| task.place.is_some()).count() as u64;
        if placed == 0 {
            return;
        }
        let delay_loss = restart_loss(step, worth, terms.now) / placed;
        let mut gang = VictimUnit {
            cost: 0,
            ends_soon: true,
            frees: Vec::new(),
        };
        let mut members = Vec::new();
        for (index, task) in tasks.iter().enumerate() {
            let Some(place) = task.place else { continue };
            let exit = self.run_exit(task, terms);
            if exit == RunExit::Stays {
                gang.ends_soon = false;
                continue;
            }
            let Some(row) = row_of.get(&place.worker) else {
                continue;
            };
            let ends_soon = exit == RunExit::EndsSoon;
            let cost = stop_cost(body, task, terms.now) + delay_loss;
            let name = step.job.task_name(step.number, step.step, index);
            if body.gang {
                gang.ends_soon &= ends_soon;
                gang.cost += cost;
                gang.frees.push((*row, body.amount()));
                members.push((step.key, name));
            } else {
                list.units.push(VictimUnit {
                    cost: if ends_soon { WAIT_COST } else { cost },
                    ends_soon,
                    frees: vec![(*row, body.amount())],
                });
                list.names.push(vec![(step.key, name)]);
            }
        }
        if !members.is_empty() && (gang.ends_soon || terms.may_stop) {
            if gang.ends_soon {
                gang.cost = WAIT_COST;
            }
            list.units.push(gang);
            list.names.push(members);
        }
    }

    /// Returns how the room of a placed run can become free.
    fn run_exit(&self, task: &TaskRun, terms: RoomTerms) -> RunExit {
        let Some(place) = task.place else {
            return RunExit::Stays;
        };
        if place.stage == PlaceStage::Stopping {
            // A stop that overran its bound was lost, or its worker does not answer.
            let due = terms.now <= place.since + self.stop_bound_ms();
            return if due { RunExit::EndsSoon } else { RunExit::Stays };
        }
        let left_ms = remaining_run_ms(task, terms.now);
        if left_ms.is_some_and(|left_ms| left_ms <= terms.wait_ms) {
            RunExit::EndsSoon
        } else if terms.may_stop {
            RunExit::CanBeStopped
        } else {
            RunExit::Stays
        }
    }
}

/// A step of an occurrence of a job.
struct StepOfJob<'a> {
    key: JobKey,
    job: &'a JobRun,
    number: u32,
    occurrence: &'a OccurrenceRun,
    step: usize,
}

impl StepOfJob<'_> {
    fn body(&self) -> &StepBody {
        &self.job.body.steps[self.step]
    }
}

/// Returns the worth of the work that a stop throws away.
fn stop_cost(body: &StepBody, task: &TaskRun, now: ClockTime) -> u64 {
    let ran_ms = task.place.map_or(0, |place| now.millis_since(place.since));
    // A stop saves the progress of a run that checkpoints.
    let lost_ms = if body.checkpoints { 0 } else { ran_ms };
    let lost = waste(body.amount().core_equivalents() * (lost_ms + RESTART_MS));
    lost * (1 + u64::from(task.preemptions) * REPEAT_COST_FACTOR)
}

/// Returns what is lost for the caller when a step starts anew instead of going on.
fn restart_loss(step: &StepOfJob, worth: &JobWorth, now: ClockTime) -> u64 {
    let body = step.body();
    let timing = UnitTiming {
        due_at: step.occurrence.due_at,
        objective_ms: step.job.objective_ms(),
        remaining_ms: remaining_ms(step.job, step.step),
    };
    let places = step.occurrence.steps[step.step]
        .tasks
        .iter()
        .filter_map(|task| task.place);
    let started = places.map(|place| place.since).min().unwrap_or(now);
    let undisturbed = timing.lateness(started).0;
    let resumed = if body.checkpoints { started } else { now };
    let restarted = timing.lateness(resumed + RESTART_MS + body.estimate_ms / 4).0;
    worth.delay_loss(undisturbed, restarted)
}
