//! Lists the runs that a unit of higher rank may preempt or wait for, with the cost of each.

use std::collections::{HashMap, HashSet};

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{JobEntry, OccurrenceEntry, PlacementStage, TaskEntry};
use crate::jobs::job_value::{JobValue, lost_work_cost};
use crate::keys::JobKey;
use crate::placement::placement_need::PlacementNeed;
use crate::placement::unit_order::UnitTiming;
use crate::placement::waiting_unit::{UnitContext, job_value, remaining_ms};
use crate::placement::worker_search::WorkerCandidate;
use crate::pool_core::PoolCore;
use crate::preemption::preemption_plan::{VictimGroup, VictimIndex};
use crate::workers::run_pace::remaining_run_ms;
use crate::{ResourceAmount, StepBody, TaskName, WorkerKey};

/// Multiple of the cost of lost work that each earlier preemption of the task adds.
const PREEMPTION_COST_FACTOR: u64 = 2;
/// Overhead of a stop and a new start beside the work that is repeated, in milliseconds.
const RESTART_COST_MS: u64 = 200;
/// Cost of waiting for a run that ends soon, so that free capacity is preferred.
const WAIT_COST: u64 = 1;

/// Runs and gangs that may be stopped or end soon; `tasks` holds the tasks of the group with the same index.
#[derive(Debug)]
pub(crate) struct VictimList {
    pub(crate) index: VictimIndex,
    tasks: Vec<VictimTasks>,
}

/// Tasks of a victim group.
#[derive(Debug)]
struct VictimTasks {
    key: JobKey,
    occurrence: u32,
    step: usize,
    indices: Vec<usize>,
}

impl VictimList {
    /// Returns the job of a group.
    pub(crate) fn job(&self, group: usize) -> Option<JobKey> {
        self.tasks.get(group).map(|tasks| tasks.key)
    }

    /// Returns the job of a group and the names of its tasks.
    pub(crate) fn task_names(&self, core: &PoolCore, group: usize) -> Vec<(JobKey, TaskName)> {
        let tasks = &self.tasks[group];
        let job = &core.jobs[tasks.key];
        let names = tasks
            .indices
            .iter()
            .map(|index| (tasks.key, job.task_name(tasks.occurrence, tasks.step, *index)));
        names.collect()
    }
}

/// Limits on how a unit may obtain capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PreemptionLimits {
    /// Whether it may stop runs of lower rank.
    pub(crate) may_stop: bool,
    /// Longest wait for a run that ends by itself, in milliseconds.
    pub(crate) wait_ms: u64,
}

/// How the capacity of a placed run can be freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VictimKind {
    EndsSoon,
    Stoppable,
    Ineligible,
}

/// How a placed run can end.
#[derive(Clone, Copy, Debug)]
enum RunOutlook {
    /// A stop was ordered, and its bound has not passed.
    Stopping,
    /// A stop exceeded its bound: it was lost, or its worker does not answer.
    StopOverdue,
    /// The run goes on; its remaining time is known once it has reported progress.
    Running { left_ms: Option<u64> },
}

impl RunOutlook {
    fn victim_kind(self, limits: PreemptionLimits) -> VictimKind {
        match self {
            Self::Stopping => VictimKind::EndsSoon,
            Self::StopOverdue => VictimKind::Ineligible,
            Self::Running { left_ms } if left_ms.is_some_and(|left_ms| left_ms <= limits.wait_ms) => {
                VictimKind::EndsSoon
            }
            Self::Running { .. } if limits.may_stop => VictimKind::Stoppable,
            Self::Running { .. } => VictimKind::Ineligible,
        }
    }
}

/// A placed run of a step.
#[derive(Debug)]
struct PlacedRun {
    index: usize,
    /// Candidate on which it is placed; `None` if its worker takes no new work.
    candidate: Option<usize>,
    outlook: RunOutlook,
    /// Value that is lost by stopping it.
    cost: u64,
}

/// The placed runs of a step.
#[derive(Debug)]
struct PlacedStep {
    key: JobKey,
    occurrence: u32,
    step: usize,
    gang: bool,
    priority: u32,
    /// Whether the job is within the guarantee of its account.
    guaranteed: bool,
    amount: ResourceAmount,
    runs: Vec<PlacedRun>,
}

/// What decides which runs a unit may preempt or wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PreemptionRight {
    pub(crate) priority: u32,
    pub(crate) inside_guarantee: bool,
    pub(crate) limits: PreemptionLimits,
}

/// A search for runs to preempt. Units with the same search share its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PreemptionSearch {
    pub(crate) need: PlacementNeed,
    pub(crate) count: usize,
    pub(crate) right: PreemptionRight,
    pub(crate) gain: u64,
}

/// All placed runs with what it costs to stop them, collected once and shared by the units of a decision until runs
/// are stopped.
#[derive(Debug, Default)]
pub(crate) struct PlacedWork {
    steps: Vec<PlacedStep>,
    /// Number of candidates.
    candidates: usize,
    lists: HashMap<PreemptionRight, VictimList>,
    /// Searches that found nothing.
    failed: HashSet<PreemptionSearch>,
}

impl PlacedWork {
    pub(crate) fn has_failed(&self, search: &PreemptionSearch) -> bool {
        self.failed.contains(search)
    }

    pub(crate) fn record_failed(&mut self, search: PreemptionSearch) {
        self.failed.insert(search);
    }

    /// Returns the runs that units with this right may preempt or wait for.
    pub(crate) fn victims(&mut self, right: PreemptionRight) -> &mut VictimList {
        let Self {
            steps,
            candidates,
            lists,
            ..
        } = self;
        lists
            .entry(right)
            .or_insert_with(|| list_victims(steps, right, *candidates))
    }
}

/// Lists the runs that units with this right may preempt or wait for; a gang is one group.
fn list_victims(steps: &[PlacedStep], right: PreemptionRight, candidates: usize) -> VictimList {
    let mut list = GroupList::default();
    for step in steps {
        let lower_priority = step.priority > right.priority;
        let borrows = right.inside_guarantee && !step.guaranteed;
        let limits = PreemptionLimits {
            may_stop: right.limits.may_stop && (lower_priority || borrows),
            ..right.limits
        };
        if step.gang {
            step.add_gang(limits, &mut list);
        } else {
            step.add_runs(limits, &mut list);
        }
    }
    VictimList {
        index: VictimIndex::new(list.groups, candidates),
        tasks: list.tasks,
    }
}

/// Victim groups and their tasks while they are collected.
#[derive(Debug, Default)]
struct GroupList {
    groups: Vec<VictimGroup>,
    tasks: Vec<VictimTasks>,
}

impl PlacedStep {
    /// Adds the runs one by one.
    fn add_runs(&self, limits: PreemptionLimits, list: &mut GroupList) {
        for run in &self.runs {
            let kind = run.outlook.victim_kind(limits);
            let Some(candidate) = run.candidate.filter(|_| kind != VictimKind::Ineligible) else {
                continue;
            };
            let ends_soon = kind == VictimKind::EndsSoon;
            list.groups.push(VictimGroup {
                cost: if ends_soon { WAIT_COST } else { run.cost },
                ends_soon,
                frees: vec![(candidate, self.amount)],
            });
            list.tasks.push(self.tasks(vec![run.index]));
        }
    }

    /// Adds the whole gang as one group.
    fn add_gang(&self, limits: PreemptionLimits, list: &mut GroupList) {
        let mut gang = VictimGroup {
            cost: 0,
            ends_soon: true,
            frees: Vec::new(),
        };
        let mut members = Vec::new();
        for run in &self.runs {
            let kind = run.outlook.victim_kind(limits);
            gang.ends_soon &= kind == VictimKind::EndsSoon;
            if let Some(candidate) = run.candidate.filter(|_| kind != VictimKind::Ineligible) {
                gang.cost += run.cost;
                gang.frees.push((candidate, self.amount));
                members.push(run.index);
            }
        }
        if members.is_empty() || !(gang.ends_soon || limits.may_stop) {
            return;
        }
        if gang.ends_soon {
            gang.cost = WAIT_COST;
        }
        list.groups.push(gang);
        list.tasks.push(self.tasks(members));
    }

    fn tasks(&self, indices: Vec<usize>) -> VictimTasks {
        VictimTasks {
            key: self.key,
            occurrence: self.occurrence,
            step: self.step,
            indices,
        }
    }
}

impl PoolCore {
    /// Collects all placed runs.
    pub(crate) fn placed_work(
        &self,
        candidates: &[WorkerCandidate],
        context: &UnitContext,
        now: ClockTime,
    ) -> PlacedWork {
        let candidate_index: HashMap<WorkerKey, usize> = candidates
            .iter()
            .enumerate()
            .map(|(index, candidate)| (candidate.worker, index))
            .collect();
        let mut work = PlacedWork {
            candidates: candidates.len(),
            ..PlacedWork::default()
        };
        for (key, job) in &self.jobs {
            let value = job_value(job, &context.mean_work);
            for (number, occurrence) in &job.occurrences {
                for step in 0..occurrence.steps.len() {
                    let step = StepContext {
                        job,
                        occurrence,
                        step,
                    };
                    let runs = self.placed_runs(&step, &value, &candidate_index, now);
                    if runs.is_empty() {
                        continue;
                    }
                    work.steps.push(PlacedStep {
                        key,
                        occurrence: *number,
                        step: step.step,
                        gang: step.body().gang,
                        priority: job.rule.priority,
                        guaranteed: context.guaranteed.contains(&key),
                        amount: step.body().amount(),
                        runs,
                    });
                }
            }
        }
        work
    }

    fn placed_runs(
        &self,
        step: &StepContext,
        value: &JobValue,
        candidate_index: &HashMap<WorkerKey, usize>,
        now: ClockTime,
    ) -> Vec<PlacedRun> {
        let body = step.body();
        let tasks = step.occurrence.steps[step.step].tasks.iter().enumerate();
        let placed = tasks.filter_map(|(index, task)| Some((index, task, task.placement?)));
        let mut runs: Vec<PlacedRun> = placed
            .map(|(index, task, placement)| PlacedRun {
                index,
                candidate: candidate_index.get(&placement.worker).copied(),
                outlook: self.run_outlook(task, now),
                cost: stop_cost(body, task, now),
            })
            .collect();
        if !runs.is_empty() {
            let delay_loss = restart_loss(step, value, now) / runs.len() as u64;
            for run in &mut runs {
                run.cost += delay_loss;
            }
        }
        runs
    }

    fn run_outlook(&self, task: &TaskEntry, now: ClockTime) -> RunOutlook {
        match task.placement {
            Some(placement) if placement.stage == PlacementStage::Stopping => {
                if now <= placement.since + self.stop_bound_ms() {
                    RunOutlook::Stopping
                } else {
                    RunOutlook::StopOverdue
                }
            }
            _ => RunOutlook::Running {
                left_ms: remaining_run_ms(task, now),
            },
        }
    }
}

/// A step with its occurrence and job.
struct StepContext<'a> {
    job: &'a JobEntry,
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
