//! Collects the work that could start now.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::ResourceAmount;
use crate::job_run::JobRun;
use crate::job_worth::JobWorth;
use crate::pool_core::{JobKey, PoolCore};
use crate::room_search::{RoomRow, TaskNeed};
use crate::unit_order::{Lateness, UnitRank, UnitTiming, unit_rank};

/// A task returns to a doubtful worker where it failed only after this wait, in milliseconds.
const DOUBTFUL_WAIT_MS: u64 = 600;
/// Work goes to a slow worker only after this wait, in milliseconds; most runs last a few seconds.
const SLOW_WAIT_MS: u64 = 1_500;
/// Priorities from here on come last.
const LOWEST_PRIORITY: u32 = 2;
/// Work that comes last leaves the last whole workers to others for this long, in milliseconds.
const SPARING_MS: u64 = 4_000;
/// With less than half of the pool in use, work goes to remote workers after this wait, in milliseconds.
const REMOTE_IDLE_WAIT_MS: u64 = 1_000;

/// Tasks of a step that wait: one by one, or together as a gang.
pub(crate) struct WaitingUnit {
    pub(crate) key: JobKey,
    pub(crate) occurrence: u32,
    pub(crate) step: usize,
    pub(crate) tasks: Vec<usize>,
    pub(crate) gang: bool,
    pub(crate) same_rack: bool,
    pub(crate) need: TaskNeed,
    pub(crate) rank: UnitRank,
    pub(crate) worth: JobWorth,
    pub(crate) waited_ms: u64,
    /// Longest wait for a near worker that still meets the objective, in milliseconds.
    pub(crate) near_patience_ms: u64,
}

impl WaitingUnit {
    /// Returns whether the unit may run where it takes several times as long.
    ///
    /// It waits for a near place while that can still meet the objective, but not while much of the pool idles.
    pub(crate) fn may_go_remote(&self, pool_busy: bool) -> bool {
        if pool_busy {
            self.waited_ms > self.near_patience_ms
        } else {
            self.waited_ms > self.near_patience_ms.min(REMOTE_IDLE_WAIT_MS)
        }
    }

    /// Returns whether a worker on which a run went wrong is better than waiting on.
    pub(crate) fn takes_doubtful(&self) -> bool {
        self.waited_ms > DOUBTFUL_WAIT_MS
    }

    /// Returns whether the unit may use the worker: a slow one only after a wait in vain.
    pub(crate) fn accepts(&self, row: &RoomRow) -> bool {
        !row.slow || self.waited_ms > SLOW_WAIT_MS
    }

    /// Returns whether the unit leaves the last whole workers to others: it comes last and has time.
    pub(crate) fn spares_whole_workers(&self) -> bool {
        let patient = self.rank.lateness == Lateness::OnTime && self.waited_ms < SPARING_MS;
        self.rank.priority >= LOWEST_PRIORITY && patient
    }

    /// Returns what is lost if the unit starts after its last time instead of soon.
    pub(crate) fn gain(&self) -> u64 {
        let later = match self.rank.lateness {
            Lateness::OnTime => Lateness::Late,
            Lateness::Late | Lateness::Overdue => Lateness::Overdue,
        };
        self.worth.delay_loss(self.rank.lateness, later)
    }
}

impl PoolCore {
    /// Collects the work that could start now.
    pub(crate) fn waiting_units(&mut self, now: ClockTime) -> Vec<WaitingUnit> {
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
                    units.extend(waiting_unit(
                        key,
                        job,
                        (number, step),
                        worth,
                        &typical,
                        inside,
                        now,
                    ));
                }
            }
        }
        units
    }

    /// Returns the largest capacity among the workers, to which work is compared.
    pub(crate) fn typical_capacity(&self) -> ResourceAmount {
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
    pub(crate) fn mean_work(&self) -> HashMap<Arc<str>, u64> {
        let mut sums: HashMap<Arc<str>, (u64, u64)> = HashMap::new();
        for job in self.jobs.values() {
            let (sum, count) = sums.entry(job.rule.name.clone()).or_default();
            *sum += job.work_core_ms;
            *count += 1;
        }
        sums.into_iter()
            .map(|(queue, (sum, count))| (queue, sum / count.max(1)))
            .collect()
    }

    /// Returns the jobs of priority 0 that fit into what their account is guaranteed, oldest first.
    pub(crate) fn jobs_inside_guarantee(&self) -> HashSet<JobKey> {
        let mut urgent: Vec<(ClockTime, JobKey, &JobRun)> = Vec::new();
        for (key, job) in &self.jobs {
            if job.rule.priority == 0 {
                urgent.push((job.arrived_at, key, job));
            }
        }
        urgent.sort_by_key(|(at, key, _)| (*at, *key));
        let mut used: HashMap<&str, u64> = HashMap::new();
        let mut inside = HashSet::new();
        for (_, key, job) in urgent {
            let Some(rule) = self.policy.accounts.get(job.body.account.as_str()) else {
                continue;
            };
            let needs = job
                .body
                .steps
                .iter()
                .map(|step| step.accelerators * u64::from(step.count));
            let used = used.entry(job.body.account.as_str()).or_default();
            *used += needs.max().unwrap_or(0);
            if *used <= rule.guaranteed_accelerators {
                inside.insert(key);
            }
        }
        inside
    }
}

/// Returns the unit of a step if it could start now.
pub(crate) fn waiting_unit(
    key: JobKey,
    job: &mut JobRun,
    (number, step): (u32, usize),
    worth: JobWorth,
    typical: &ResourceAmount,
    inside_guarantee: bool,
    now: ClockTime,
) -> Option<WaitingUnit> {
    let objective_ms = job.objective_ms();
    let occurrence = job.occurrences.get(&number)?;
    let body = &job.body.steps[step];
    let run = &occurrence.steps[step];
    let tasks: Vec<usize> = (0..run.tasks.len())
        .filter(|index| run.tasks[*index].is_waiting())
        .collect();
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

pub(crate) fn label(text: &str) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| text.into())
}

pub(crate) fn job_worth(job: &JobRun, means: &HashMap<Arc<str>, u64>) -> JobWorth {
    JobWorth {
        priority: job.rule.priority,
        work: job.work_core_ms,
        mean_work: means.get(&job.rule.name).copied().unwrap_or(0),
    }
}

/// Returns the room that an occurrence still takes, in milliseconds of whole workers, times 1,000.
pub(crate) fn remaining_room(job: &JobRun, number: u32, typical: &ResourceAmount) -> u64 {
    let Some(occurrence) = job.occurrences.get(&number) else {
        return 0;
    };
    let steps = occurrence.steps.iter().zip(&job.body.steps);
    let room = steps.map(|(step, body)| {
        let open = step.tasks.iter().filter(|task| !task.done).count() as u64;
        let share = u64::try_from(body.amount().largest_share(typical))
            .unwrap_or(1)
            .max(1);
        open * share * body.estimate_ms
    });
    room.sum()
}

/// Returns the estimated milliseconds of a step and of the longest chain that follows it.
pub(crate) fn remaining_ms(job: &JobRun, step: usize) -> u64 {
    let steps = &job.body.steps;
    let mut longest = vec![0; steps.len()];
    for number in (step..steps.len()).rev() {
        let later = (number + 1..steps.len()).filter(|later| steps[*later].after.contains(&(number as u32)));
        let after = later.map(|later| longest[later]).max().unwrap_or(0);
        longest[number] = steps[number].estimate_ms + after;
    }
    longest[step]
}
