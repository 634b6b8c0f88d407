//! Collects the units of work that are ready to start.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::accounts::account_share::ShareClass;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::job_value::JobValue;
use crate::keys::JobKey;
use crate::keys::RackId;
use crate::placement::placement_need::PlacementNeed;
use crate::placement::unit_order::{Lateness, UnitRank, UnitTiming, unit_rank};
use crate::placement::worker_search::{TaskNeed, WorkerCandidate};
use crate::pool_core::PoolCore;
use crate::workers::label_index::{LabelIndex, RequiredLabel};
use crate::workers::rack_index::RackIndex;
use crate::workers::worker_speed::SpeedPreference;
use crate::{QueueRule, ResourceAmount, StepBody};

/// Wait after which a task may return to a suspect worker on which it failed, in milliseconds.
const SUSPECT_WAIT_MS: u64 = 600;
/// Wait after which a unit may use slow workers, in milliseconds; most runs last a few seconds.
const SLOW_WAIT_MS: u64 = 1_500;
/// Slack with which a unit leaves the faster workers to others, in estimates of its step.
const SLOW_SLACK_FACTOR: u64 = 2;
/// Wait after which a unit may use a paused worker if no other could run it, in milliseconds; less than the 3 s that
/// callers are promised beside free capacity.
const PAUSED_WAIT_MS: u64 = 2_200;
/// Smallest number of a low priority; low-priority units leave the last empty workers to others.
const LOW_PRIORITY: u32 = 2;
/// Wait after which low-priority work may use the last empty workers of a busy service, in milliseconds.
const EMPTY_WORKER_WAIT_MS: u64 = 4_000;
/// Part of the initial slack above which single tasks leave free capacity to waiting gangs, in percent.
const YIELD_SLACK_PERCENT: u64 = 50;
/// Part of the initial slack above which a unit leaves room to urgent work, in percent; a gang needs the rest to find
/// its workers.
const LEAVE_ROOM_SLACK_PERCENT: u64 = 25;
/// Time for which a unit leaves capacity to others while less than half of the service is in use, in milliseconds.
const IDLE_YIELD_MS: u64 = 1_000;
/// Wait after which a unit may run remotely while less than half of the service is in use, or no local worker takes new
/// work, in milliseconds.
const REMOTE_IDLE_WAIT_MS: u64 = 1_000;

/// Tasks of a step that are ready to start, one by one or together as a gang.
pub(crate) struct WaitingUnit {
    pub(crate) key: JobKey,
    pub(crate) account: Arc<str>,
    pub(crate) occurrence: u32,
    pub(crate) step: usize,
    pub(crate) tasks: Vec<usize>,
    pub(crate) gang: bool,
    pub(crate) same_rack: bool,
    /// Whether the tasks run until their job is cancelled.
    pub(crate) endless: bool,
    pub(crate) need: TaskNeed,
    pub(crate) rank: UnitRank,
    pub(crate) value: JobValue,
    pub(crate) waited_ms: u64,
    /// Longest wait for a local worker that still meets the objective, in milliseconds.
    pub(crate) max_local_wait_ms: u64,
    /// Whether the workers near its data that take new work could run the unit if they were empty.
    pub(crate) fits_locally: bool,
    /// Expected end of the tasks if they start now, for a unit that leaves free capacity to gangs of higher rank which
    /// could start before that end.
    pub(crate) yields_until: Option<ClockTime>,
    /// Whether the unit leaves the workers that are kept for urgent work, as long as it has slack.
    pub(crate) leaves_urgent_room: bool,
    /// Whether the unit may use paused workers, since no others could run it.
    pub(crate) accepts_paused: bool,
    /// Workers on which the unit is placed first, by their speeds.
    pub(crate) preference: SpeedPreference,
}

impl WaitingUnit {
    /// Returns whether the unit may run remotely: away from its data, or as a gang that spans racks.
    ///
    /// A remote run takes several times as long (see `remote_factor` in [`CoreOptions`](crate::CoreOptions)).
    /// It waits for a local worker while that can still meet the objective, but only briefly while less than
    /// half of its service is in use, while no local worker can be expected, or if the tasks have no end: those that fill
    /// the rack may have none either.
    fn allows_remote(&self, service_busy: bool) -> bool {
        if service_busy && self.fits_locally && !self.endless {
            self.waited_ms > self.max_local_wait_ms
        } else {
            self.waited_ms > self.max_local_wait_ms.min(REMOTE_IDLE_WAIT_MS)
        }
    }

    /// Ends the yield to gangs early while less than half of the service is in use, as what is left to them would be idle, and
    /// for work without an end, which has to run beside free capacity however full the pool is.
    pub(crate) fn limit_yield(&mut self, service_busy: bool) {
        if (!service_busy || self.endless) && self.waited_ms > IDLE_YIELD_MS {
            self.yields_until = None;
        }
        self.leaves_urgent_room &= service_busy;
    }

    /// Looks up whether the workers near the data of the unit could run it.
    pub(crate) fn check_local_fit(&mut self, candidates: &[WorkerCandidate], racks: &RackMembers) {
        let Some(rack) = self.need.data_rack else { return };
        let needed = if self.gang { self.tasks.len() } else { 1 };
        let members = racks.get(&rack).into_iter().flatten();
        let open = members
            .map(|index| &candidates[*index])
            .filter(|candidate| self.need.allows(candidate));
        let fitting: usize = open
            .map(|candidate| self.need.count_on(&candidate.capacity, needed))
            .sum();
        self.fits_locally = fitting >= needed;
    }

    /// Returns the number of tasks that can only start together.
    pub(crate) fn needed_together(&self) -> usize {
        if self.gang { self.tasks.len() } else { 1 }
    }

    /// Returns what decides where the unit may be placed at this moment.
    pub(crate) fn placement_need(&self, service_busy: bool) -> PlacementNeed {
        PlacementNeed {
            task: self.need.clone(),
            members: self.gang.then_some(self.tasks.len()),
            same_rack: self.same_rack,
            allows_remote: self.allows_remote(service_busy),
            accepts_suspect: self.accepts_suspect(),
            accepts_slow: self.accepts_slow(),
            accepts_paused: self.accepts_paused,
            avoids_empty_workers: self.avoids_empty_workers(service_busy),
            yields_until: self.yields_until,
            leaves_urgent_room: self.leaves_urgent_room,
        }
    }

    /// Returns whether the unit has waited long enough to use a suspect worker.
    fn accepts_suspect(&self) -> bool {
        self.waited_ms > SUSPECT_WAIT_MS
    }

    /// Lets the unit use paused workers if it has waited long enough, and no others could run it.
    pub(crate) fn check_paused(
        &mut self,
        service_busy: bool,
        open: &[WorkerCandidate],
        paused: &[WorkerCandidate],
    ) {
        if self.waited_ms <= PAUSED_WAIT_MS {
            return;
        }
        let need = self.placement_need(service_busy);
        self.accepts_paused = !need.fits_on(open.iter()) && need.fits_on(open.iter().chain(paused));
    }

    /// Returns whether the unit has waited long enough to use a slow worker.
    fn accepts_slow(&self) -> bool {
        self.waited_ms > SLOW_WAIT_MS
    }

    /// Returns whether the unit leaves the last empty workers to others: its priority is low and it has time.
    fn avoids_empty_workers(&self, service_busy: bool) -> bool {
        let wait_ms = if service_busy {
            EMPTY_WORKER_WAIT_MS
        } else {
            IDLE_YIELD_MS
        };
        let early = self.rank.lateness == Lateness::OnTime && self.waited_ms < wait_ms;
        self.rank.priority >= LOW_PRIORITY && early
    }

    /// Returns the value gained by starting the unit now instead of after its latest start.
    pub(crate) fn gain(&self) -> u64 {
        let later = match self.rank.lateness {
            Lateness::OnTime => Lateness::Late,
            Lateness::Late | Lateness::Overdue => Lateness::Overdue,
        };
        self.value.delay_loss(self.rank.lateness, later)
    }
}

/// Candidates of each rack, by index.
pub(crate) type RackMembers = HashMap<RackId, Vec<usize>>;

/// Where the tasks of a step may or should run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceNeed {
    pub(crate) data_rack: Option<RackId>,
    pub(crate) required_label: RequiredLabel,
}

impl PlaceNeed {
    pub(crate) fn of_step(body: &StepBody, racks: &RackIndex, labels: &LabelIndex) -> Self {
        Self {
            data_rack: racks.data_rack(&body.data_rack),
            required_label: labels.required(&body.required_label),
        }
    }
}

/// What the units of one decision are compared by.
#[derive(Debug)]
pub(crate) struct UnitContext {
    /// Jobs within the guarantees of their accounts.
    pub(crate) guaranteed: HashSet<JobKey>,
    /// Mean work of the jobs of each queue, in core milliseconds.
    pub(crate) mean_work: HashMap<Arc<str>, u64>,
    /// Largest capacity among the workers, separately for each resource.
    pub(crate) largest: ResourceAmount,
    /// Accounts that use more than their share.
    pub(crate) over_share: HashSet<Arc<str>>,
}

impl UnitContext {
    fn share_class(&self, job: &JobEntry) -> ShareClass {
        if job.beyond_rate {
            ShareClass::BeyondRate
        } else if self.over_share.contains(&job.account) {
            ShareClass::OverShare
        } else {
            ShareClass::WithinShare
        }
    }
}

impl PoolCore {
    pub(crate) fn unit_context(&self) -> UnitContext {
        UnitContext {
            guaranteed: self.jobs_inside_guarantee(),
            mean_work: self.mean_work(),
            largest: self.largest_capacity(),
            over_share: self.accounts_over_share(),
        }
    }

    /// Collects the units that are ready to start.
    pub(crate) fn waiting_units(&mut self, context: &UnitContext, now: ClockTime) -> Vec<WaitingUnit> {
        let mut units = Vec::new();
        for (key, job) in &mut self.jobs {
            let numbers: Vec<u32> = job.occurrences.keys().copied().collect();
            for number in numbers {
                for step in 0..job.body.steps.len() {
                    let body = &job.body.steps[step];
                    let place = PlaceNeed::of_step(body, &self.racks, &self.labels);
                    units.extend(waiting_unit(key, job, (number, step), place, context, now));
                }
            }
        }
        units
    }

    /// Returns the largest capacity among the workers, separately for each resource.
    ///
    /// Remaining work is measured in shares of it.
    pub(crate) fn largest_capacity(&self) -> ResourceAmount {
        let mut largest = ResourceAmount::default();
        for view in self.workers.values() {
            let capacity = &view.report.capacity;
            largest.millicores = largest.millicores.max(capacity.millicores);
            largest.memory_mb = largest.memory_mb.max(capacity.memory_mb);
            largest.accelerators = largest.accelerators.max(capacity.accelerators);
        }
        largest
    }

    /// Returns the mean work of the jobs of each queue that the known workers could run, in core milliseconds.
    pub(crate) fn mean_work(&self) -> HashMap<Arc<str>, u64> {
        let mut sums: HashMap<Arc<str>, (u64, u64)> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.fits_anywhere()) {
            let (sum, count) = sums.entry(job.rule.name.clone()).or_default();
            *sum = sum.saturating_add(job.work_core_ms);
            *count += 1;
        }
        sums.into_iter()
            .map(|(queue, (sum, count))| (queue, sum / count.max(1)))
            .collect()
    }

    /// Returns the jobs of priority 0 that fit into the guarantees of their accounts, counted oldest first.
    ///
    /// Steps that no known worker could run use nothing of a guarantee, unless they have runs already.
    pub(crate) fn jobs_inside_guarantee(&self) -> HashSet<JobKey> {
        let mut urgent: Vec<(ClockTime, JobKey, &JobEntry)> = Vec::new();
        for (key, job) in &self.jobs {
            if job.rule.priority == 0 {
                urgent.push((job.arrived_at, key, job));
            }
        }
        urgent.sort_by_key(|(at, key, _)| (*at, *key));
        let mut used: HashMap<&str, u64> = HashMap::new();
        let mut inside = HashSet::new();
        for (_, key, job) in urgent {
            let Some(guarantee) = self.policy.accounts.get(job.body.account.as_str()) else {
                continue;
            };
            let steps = job.body.steps.iter().enumerate();
            let usable = steps.filter(|(number, _)| job.uses_guarantee(*number));
            let needs = usable.map(|(_, step)| step.accelerators * u64::from(step.count));
            let Some(need) = needs.max() else { continue };
            let used = used.entry(job.body.account.as_str()).or_default();
            *used += need;
            if *used <= guarantee.guaranteed_accelerators {
                inside.insert(key);
            }
        }
        inside
    }
}

/// Returns what each task of a step needs.
pub(crate) fn task_need(rule: &QueueRule, body: &StepBody, place: PlaceNeed) -> TaskNeed {
    TaskNeed {
        amount: body.amount(),
        service: rule.service.clone(),
        required_label: place.required_label,
        data_rack: place.data_rack,
        spread_limit: (body.spread_limit > 0).then_some(body.spread_limit as usize),
        urgent: rule.priority == 0,
    }
}

/// Returns the unit of a step if it is ready to start.
pub(crate) fn waiting_unit(
    key: JobKey,
    job: &mut JobEntry,
    (number, step): (u32, usize),
    place: PlaceNeed,
    context: &UnitContext,
    now: ClockTime,
) -> Option<WaitingUnit> {
    let objective_ms = job.objective_ms();
    let value = job_value(job, &context.mean_work);
    let occurrence = job.occurrences.get(&number)?;
    let body = &job.body.steps[step];
    let state = &occurrence.steps[step];
    let tasks: Vec<usize> = (0..state.tasks.len())
        .filter(|index| state.tasks[*index].is_waiting())
        .collect();
    if tasks.is_empty() || !occurrence.dependencies_done(body) {
        return None;
    }
    if body.gang && tasks.len() < state.tasks.len() {
        return None;
    }
    let due_at = occurrence.due_at;
    let (gang, same_rack) = (body.gang, body.gang && body.same_rack);
    let (estimate_ms, endless) = (body.estimate_ms, body.endless);
    let account = job.account.clone();
    let need = task_need(&job.rule, body, place);
    let remaining_ms = remaining_ms(job, step);
    let remaining_worker_us = remaining_worker_us(job, number, &context.largest);
    let timing = UnitTiming {
        due_at,
        objective_ms,
        remaining_ms,
    };
    // Endless work is never done, and work for certain workers may have no others.
    let is_bound = body.endless || !body.data_rack.is_empty() || !body.required_label.is_empty();
    let inside_guarantee = context.guaranteed.contains(&key);
    let mut rank = unit_rank(now, &timing, &value, remaining_worker_us, inside_guarantee);
    rank.share = context.share_class(job);
    let max_local_wait_ms = objective_ms.saturating_sub(job.critical_path_ms);
    let state = &mut job.occurrences.get_mut(&number)?.steps[step];
    let ready_at = *state.ready_at.get_or_insert(now);
    Some(WaitingUnit {
        key,
        account,
        occurrence: number,
        step,
        tasks,
        gang,
        same_rack,
        endless,
        need,
        rank,
        value,
        waited_ms: now.millis_since(ready_at),
        max_local_wait_ms,
        fits_locally: true,
        accepts_paused: false,
        preference: speed_preference(&rank, estimate_ms, now),
        yields_until: (!gang && yields_to_gangs(&rank, max_local_wait_ms, now))
            .then(|| now + rounded_up_ms(estimate_ms)),
        leaves_urgent_room: rank.priority > 0 && !is_bound && has_slack(&rank, max_local_wait_ms, now),
    })
}

/// Returns the workers on which a unit is placed first: urgent units get the fast workers, and units that are on time
/// even on a slow worker leave these to them.
fn speed_preference(rank: &UnitRank, estimate_ms: u64, now: ClockTime) -> SpeedPreference {
    let has_time = rank.lateness == Lateness::OnTime && rank.slack_ms(now) >= estimate_ms * SLOW_SLACK_FACTOR;
    if rank.priority == 0 {
        SpeedPreference::Fast
    } else if has_time {
        SpeedPreference::Slow
    } else {
        SpeedPreference::Usual
    }
}

/// Returns whether a single task leaves free capacity to gangs of higher rank that wait for more of it.
///
/// Load pattern: wide gangs wait in a full pool, while single tasks take every share of a worker as soon as
/// it is free, so that whole workers never are. Single tasks with enough slack wait until a part of the
/// slack has passed.
fn yields_to_gangs(rank: &UnitRank, max_local_wait_ms: u64, now: ClockTime) -> bool {
    let early = rank.lateness == Lateness::OnTime;
    early && rank.slack_ms(now) * 100 > max_local_wait_ms * YIELD_SLACK_PERCENT
}

/// Returns whether a unit can leave room to urgent work without being late for it.
fn has_slack(rank: &UnitRank, max_local_wait_ms: u64, now: ClockTime) -> bool {
    let on_time = rank.lateness == Lateness::OnTime;
    on_time && rank.slack_ms(now) * 100 > max_local_wait_ms * LEAVE_ROOM_SLACK_PERCENT
}

/// Rounds a time up by less than a quarter, so that units with similar estimates share the answers of a decision.
fn rounded_up_ms(millis: u64) -> u64 {
    let unit = (millis.max(4) / 4).next_power_of_two() / 2;
    millis.next_multiple_of(unit.max(1))
}

pub(crate) fn job_value(job: &JobEntry, mean_work: &HashMap<Arc<str>, u64>) -> JobValue {
    JobValue {
        priority: job.rule.priority,
        work: job.work_core_ms,
        mean_work: mean_work.get(&job.rule.name).copied().unwrap_or(0),
    }
}

/// Returns the work left in an occurrence, in microseconds of a whole worker: a share of a worker in
/// thousandths times milliseconds.
pub(crate) fn remaining_worker_us(job: &JobEntry, number: u32, largest: &ResourceAmount) -> u64 {
    let Some(occurrence) = job.occurrences.get(&number) else {
        return 0;
    };
    let steps = occurrence.steps.iter().zip(&job.body.steps);
    let work = steps.map(|(step, body)| {
        let open = step.tasks.iter().filter(|task| !task.done).count() as u64;
        let share = u64::try_from(body.amount().dominant_share(largest))
            .unwrap_or(1)
            .max(1);
        open * share * body.estimate_ms
    });
    work.sum()
}

/// Returns the estimated time of a step and of the longest chain that depends on it, in milliseconds.
pub(crate) fn remaining_ms(job: &JobEntry, step: usize) -> u64 {
    let steps = &job.body.steps;
    let mut longest = vec![0; steps.len()];
    for number in (step..steps.len()).rev() {
        let later = (number + 1..steps.len()).filter(|later| steps[*later].after.contains(&(number as u32)));
        let after = later.map(|later| longest[later]).max().unwrap_or(0);
        longest[number] = steps[number].estimate_ms + after;
    }
    longest[step]
}
