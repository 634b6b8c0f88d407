//! Lists the runs that a unit of higher rank may preempt or wait for, with the cost of each.

use std::collections::HashMap;

use arbutuspick_model::ClockTime;

use crate::job_entry::{JobEntry, OccurrenceEntry, PlacementStage, TaskEntry};
use crate::job_value::{JobValue, lost_work_cost};
use crate::pool_core::{JobKey, PoolCore};
use crate::preemption_plan::VictimGroup;
use crate::run_pace::remaining_run_ms;
use crate::unit_order::UnitTiming;
use crate::waiting_unit::{WaitingUnit, job_value, remaining_ms};
use crate::worker_search::WorkerCandidate;
use crate::{StepBody, TaskName, WorkerKey};

/// Multiple of the cost of lost work that each earlier preemption of the task adds.
const PREEMPTION_COST_FACTOR: u64 = 2;
/// Overhead of a stop and a new start beside the work that is repeated, in milliseconds.
const RESTART_COST_MS: u64 = 200;
/// Cost of waiting for a run that ends soon, so that free capacity is preferred.
const WAIT_COST: u64 = 1;

/// Runs and gangs that may be stopped or end soon; `tasks` holds the tasks of the group with the same index.
#[derive(Default)]
pub(crate) struct VictimList {
    pub(crate) groups: Vec<VictimGroup>,
    pub(crate) tasks: Vec<Vec<(JobKey, TaskName)>>,
}

/// Limits on how a unit may obtain capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreemptionLimits {
    /// Whether it may stop runs of lower rank.
    pub(crate) may_stop: bool,
    /// Longest wait for a run that ends by itself, in milliseconds.
    pub(crate) wait_ms: u64,
    pub(crate) now: ClockTime,
}

/// How the capacity of a placed run can be freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VictimKind {
    EndsSoon,
    Stoppable,
    Ineligible,
}

impl PoolCore {
    /// Lists the runs that the unit may preempt or wait for; a gang is one group.
    pub(crate) fn list_victims(
        &self,
        unit: &WaitingUnit,
        candidates: &[WorkerCandidate],
        limits: PreemptionLimits,
    ) -> VictimList {
        let candidate_index: HashMap<WorkerKey, usize> = candidates
            .iter()
            .enumerate()
            .map(|(index, candidate)| (candidate.worker, index))
            .collect();
        let guaranteed = self.jobs_inside_guarantee();
        let mean_work = self.mean_work();
        let mut list = VictimList::default();
        for (key, job) in &self.jobs {
            let value = job_value(job, &mean_work);
            let lower_priority = job.rule.priority > unit.rank.priority;
            let borrows = unit.rank.inside_guarantee() && !guaranteed.contains(&key);
            let limits = PreemptionLimits {
                may_stop: limits.may_stop && (lower_priority || borrows),
                ..limits
            };
            for (number, occurrence) in &job.occurrences {
                for step in 0..occurrence.steps.len() {
                    let step = StepContext {
                        key,
                        job,
                        number: *number,
                        occurrence,
                        step,
                    };
                    self.add_victims(&step, &value, &candidate_index, limits, &mut list);
                }
            }
        }
        list
    }

    /// Adds the runs of a step, one by one or as a whole gang.
    fn add_victims(
        &self,
        step: &StepContext,
        value: &JobValue,
        candidate_index: &HashMap<WorkerKey, usize>,
        limits: PreemptionLimits,
        list: &mut VictimList,
    ) {
        let body = step.body();
        let tasks = &step.occurrence.steps[step.step].tasks;
        let placed = tasks.iter().filter(|task| task.placement.is_some()).count() as u64;
        if placed == 0 {
            return;
        }
        let delay_loss = restart_loss(step, value, limits.now) / placed;
        let mut gang = VictimGroup {
            cost: 0,
            ends_soon: true,
            frees: Vec::new(),
        };
        let mut members = Vec::new();
        for (index, task) in tasks.iter().enumerate() {
            let Some(placement) = task.placement else { continue };
            let kind = self.victim_kind(task, limits);
            if kind == VictimKind::Ineligible {
                gang.ends_soon = false;
                continue;
            }
            let Some(candidate) = candidate_index.get(&placement.worker) else {
                continue;
            };
            let ends_soon = kind == VictimKind::EndsSoon;
            let cost = stop_cost(body, task, limits.now) + delay_loss;
            let name = step.job.task_name(step.number, step.step, index);
            if body.gang {
                gang.ends_soon &= ends_soon;
                gang.cost += cost;
                gang.frees.push((*candidate, body.amount()));
                members.push((step.key, name));
            } else {
                list.groups.push(VictimGroup {
                    cost: if ends_soon { WAIT_COST } else { cost },
                    ends_soon,
                    frees: vec![(*candidate, body.amount())],
                });
                list.tasks.push(vec![(step.key, name)]);
            }
        }
        if !members.is_empty() && (gang.ends_soon || limits.may_stop) {
            if gang.ends_soon {
                gang.cost = WAIT_COST;
            }
            list.groups.push(gang);
            list.tasks.push(members);
        }
    }

    /// Returns how the capacity of a placed run can be freed.
    fn victim_kind(&self, task: &TaskEntry, limits: PreemptionLimits) -> VictimKind {
        let Some(placement) = task.placement else {
            return VictimKind::Ineligible;
        };
        if placement.stage == PlacementStage::Stopping {
            // A stop that exceeded its bound was lost, or its worker does not answer.
            let in_time = limits.now <= placement.since + self.stop_bound_ms();
            return if in_time {
                VictimKind::EndsSoon
            } else {
                VictimKind::Ineligible
            };
        }
        let left_ms = remaining_run_ms(task, limits.now);
        if left_ms.is_some_and(|left_ms| left_ms <= limits.wait_ms) {
            VictimKind::EndsSoon
        } else if limits.may_stop {
            VictimKind::Stoppable
        } else {
            VictimKind::Ineligible
        }
    }
}

/// A step with its occurrence and job.
struct StepContext<'a> {
    key: JobKey,
    job: &'a JobEntry,
    /// Number of the occurrence.
    number: u32,
    occurrence: &'a OccurrenceEntry,
    step: usize,
}

impl StepContext<'_> {
    fn body(&self) -> &StepBody {
        &self.job.body.steps[self.step]
    }
}

/// Returns the cost of the work that a stop loses.
fn stop_cost(body: &StepBody, task: &TaskEntry, now: ClockTime) -> u64 {
    let ran_ms = task
        .placement
        .map_or(0, |placement| now.millis_since(placement.since));
    // A stop saves the progress of a run that checkpoints.
    let lost_ms = if body.checkpoints { 0 } else { ran_ms };
    let lost = lost_work_cost(body.amount().core_equivalents() * (lost_ms + RESTART_COST_MS));
    lost * (1 + u64::from(task.preemptions) * PREEMPTION_COST_FACTOR)
}

/// Returns the value that the caller loses when a step restarts instead of continuing.
fn restart_loss(step: &StepContext, value: &JobValue, now: ClockTime) -> u64 {
    let body = step.body();
    let timing = UnitTiming {
        due_at: step.occurrence.due_at,
        objective_ms: step.job.objective_ms(),
        remaining_ms: remaining_ms(step.job, step.step),
    };
    let placements = step.occurrence.steps[step.step]
        .tasks
        .iter()
        .filter_map(|task| task.placement);
    let started = placements.map(|placement| placement.since).min().unwrap_or(now);
    let uninterrupted = timing.lateness(started).0;
    let resumed = if body.checkpoints { started } else { now };
    let restarted = timing
        .lateness(resumed + RESTART_COST_MS + body.estimate_ms / 4)
        .0;
    value.delay_loss(uninterrupted, restarted)
}
