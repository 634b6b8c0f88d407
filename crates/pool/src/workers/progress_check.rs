//! Finds runs that should be moved to another worker.
//!
//! Load pattern: some workers stall, run several times slower or are about to leave, while others have free
//! capacity. A run is moved only when it would end sooner elsewhere, and only a few times.

use std::collections::{HashMap, HashSet};

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{AvoidedWorker, PlacementStage, StepEntry, TaskEntry, TaskPlacement};
use crate::jobs::loss_ledger::LossCause;
use crate::jobs::run_release::RunRelease;
use crate::keys::JobKey;
use crate::placement::waiting_unit::{PlaceNeed, remaining_ms, task_need};
use crate::pool_core::PoolCore;
use crate::workers::departure_check::must_leave;
use crate::workers::move_target::{FreeWorkers, TargetNeed};
use crate::workers::run_move::{GainHistory, MoveCase, START_MARGIN_MS, WorkerDoubt};
use crate::workers::run_pace::{StepPace, log_ms, min_total_ms};
use crate::workers::worker_speed::{MAX_SPEED_RATIO, SpeedEstimate};
use crate::{StepBody, StopReason, TaskName, WorkerKey};

/// Maximum number of moves of a task for lack of progress; a task that is slow everywhere is left alone.
const MAX_SLOW_RESTARTS: u32 = 2;
/// Time before the end of the gang wait at which a gang with an unanswered start is stopped, in milliseconds.
const GANG_MARGIN_MS: u64 = 1_500;
/// Age of a report from which on it shows nothing about the present, in milliseconds; listings are a second apart.
const MAX_REPORT_AGE_MS: u64 = 2_500;
/// Time of a run that falls behind, in percent of the expected one; the sizes of siblings differ by a third.
const BEHIND_PERCENT: u64 = 200;
/// Time of a run that falls behind, in percent of its estimate, if there are no other runs to compare.
const BEHIND_ESTIMATE_PERCENT: u64 = 250;
/// Share of the estimate that one percent of a run may take, as a divisor; some tasks take seven times as long as others.
const PERCENT_ESTIMATE_DIVISOR: u64 = 24;
/// Factor between a run and its estimate that neither long tasks nor wrong estimates explain.
const FAR_BEHIND_ESTIMATE: f64 = 25.0;
/// Number of siblings on other workers from which a comparison needs no estimate.
const MIN_SIBLINGS: usize = 2;
/// Number of jobs that must fall behind on a worker before the worker counts as slow.
const MIN_SLOW_JOBS: usize = 2;

/// A run to stop and start elsewhere.
struct RunMove {
    key: JobKey,
    name: TaskName,
    worker: WorkerKey,
    reason: StopReason,
    /// Whether the worker gets no further work for a while.
    shuns_worker: bool,
}

/// A step with runs, and where it is.
struct StepPlace<'a> {
    key: JobKey,
    occurrence: u32,
    number: usize,
    body: &'a StepBody,
    step: &'a StepEntry,
    /// Time by which the step has to end if its job is to be on time.
    end_by: ClockTime,
    pace: StepPace,
}

/// Work of a run at the usual speed, if its worker is to blame for its pace.
struct RunWork {
    /// Logarithm of its time in milliseconds.
    log_work: f64,
    doubt: WorkerDoubt,
    /// Whether the run is slower than any difference in speed explains.
    hints_at_stall: bool,
}

/// What the runs on the workers show about them, apart from the speeds learned earlier.
#[derive(Default)]
struct WorkerSigns {
    /// Jobs that are behind on a worker.
    behind: HashMap<WorkerKey, HashSet<JobKey>>,
    /// Workers with a run that is on pace.
    on_pace: HashSet<WorkerKey>,
    /// Times of the latest gains of the runs on a worker.
    last_gains: HashMap<WorkerKey, Vec<ClockTime>>,
}

impl WorkerSigns {
    /// Returns what the other runs on the worker say about a run that is behind.
    fn doubt(&self, worker: WorkerKey, speed: &SpeedEstimate, start: ClockTime) -> WorkerDoubt {
        let behind = self.behind.get(&worker).map_or(0, HashSet::len);
        if self.on_pace.contains(&worker) || speed.is_confirmed_since(start) {
            WorkerDoubt::Cleared
        } else if behind >= MIN_SLOW_JOBS {
            WorkerDoubt::Proven
        } else if speed.weight() > 0.0 {
            WorkerDoubt::Unlikely
        } else {
            WorkerDoubt::Open
        }
    }

    /// Returns whether a run on the worker other than the one that gained last at `last_gain_at` has gained later.
    fn gained_after(&self, worker: WorkerKey, last_gain_at: ClockTime) -> bool {
        let gains = self.last_gains.get(&worker);
        gains.is_some_and(|gains| gains.iter().any(|gain_at| *gain_at > last_gain_at))
    }
}

impl PoolCore {
    /// Releases unreachable workers whose leases must have expired.
    ///
    /// A run that was not listed may have reached the successor, with a lease that began later.
    pub(crate) fn check_leases(&mut self, now: ClockTime) {
        let expired = self.workers.iter().filter(|(key, view)| {
            let is_present = self.worker_index.get(&view.report.id) == Some(key);
            let is_expired = !view.listed && view.lease_expiry < now;
            is_present && is_expired && (view.is_occupied() || view.removed)
        });
        let expired: Vec<(WorkerKey, bool, Option<WorkerKey>)> = expired
            .map(|(key, view)| (key, view.removed, view.successor))
            .collect();
        for (key, removed, successor) in expired {
            if let Some(report) = self.worker_report(key) {
                log::warn!("[worker] id={} state=lapsed removed={removed}", report.id);
            }
            if let Some(successor) = successor {
                self.release_runs(key, |allocation| allocation.listed, RunRelease::LeaseExpired, now);
                self.replace_incarnation(key, successor, now);
                continue;
            }
            self.release_worker(key, RunRelease::LeaseExpired, now);
            if removed {
                self.forget_worker(key);
            }
        }
    }

    /// Stops runs that have stalled, are far too slow, or can resume elsewhere before their worker leaves, and gangs
    /// with a start that was not answered in time.
    pub(crate) fn check_progress(&mut self, now: ClockTime) {
        let places = self.running_steps();
        let moves = self.find_moves(&places, now);
        let unanswered = self.unanswered_gangs(&places, now);
        for (key, name) in unanswered {
            self.stop_gang(key, &name, LossCause::MemberLost, now);
        }
        let mut stopped_gangs = HashSet::new();
        for run in moves {
            let is_gang = self.jobs[run.key].body.steps[run.name.step as usize].gang;
            if !is_gang || stopped_gangs.insert((run.key, run.name.occurrence, run.name.step)) {
                self.move_run(&run, now);
            }
        }
    }

    /// Returns members of gangs whose starts were not answered, shortly before the others stop waiting for them.
    fn unanswered_gangs(&self, places: &[StepPlace], now: ClockTime) -> Vec<(JobKey, TaskName)> {
        let mut unanswered = Vec::new();
        for place in places.iter().filter(|place| place.body.gang) {
            for (index, task) in place.step.tasks.iter().enumerate() {
                let Some(placement) = task.placement else { continue };
                let waited_with_margin_ms = now.millis_since(placement.since) + GANG_MARGIN_MS;
                if placement.stage == PlacementStage::Unconfirmed
                    && waited_with_margin_ms > self.options.gang_wait_ms
                {
                    unanswered.push((place.key, self.task_name(place, index)));
                }
            }
        }
        unanswered
    }

    fn task_name(&self, place: &StepPlace, index: usize) -> TaskName {
        self.jobs[place.key].task_name(place.occurrence, place.number, index)
    }

    fn find_moves(&self, places: &[StepPlace], now: ClockTime) -> Vec<RunMove> {
        let signs = self.worker_signs(places, now);
        let mut free_workers = None;
        let mut moves = Vec::new();
        for place in places {
            for (index, task) in place.step.tasks.iter().enumerate() {
                let running = task
                    .placement
                    .filter(|placement| placement.stage == PlacementStage::Running);
                let Some(placement) = running else { continue };
                let (reason, shuns_worker) = if let Some(leaves_at) = self.leaves_at(placement.worker) {
                    if !must_leave(place.body, task, self.remote_factor(placement), leaves_at, now) {
                        continue;
                    }
                    (StopReason::WorkerLeaving, false)
                } else if place.body.endless || !is_judged(task, now) {
                    continue;
                } else if has_stalled(place, task, self.remote_factor(placement), &signs) {
                    (StopReason::NoProgress, true)
                } else if left_here_ms(task, now) > place.end_by.millis_since(now) {
                    let free_workers = free_workers.get_or_insert_with(|| self.free_workers(now));
                    match self.slow_run(place, task, &signs, free_workers, now) {
                        Some(shuns_worker) => (StopReason::NoProgress, shuns_worker),
                        None => continue,
                    }
                } else {
                    continue;
                };
                moves.push(RunMove {
                    key: place.key,
                    name: self.task_name(place, index),
                    worker: placement.worker,
                    reason,
                    shuns_worker,
                });
            }
        }
        moves
    }

    /// Returns the steps that have runs.
    fn running_steps(&self) -> Vec<StepPlace<'_>> {
        let mut places = Vec::new();
        for (key, job) in &self.jobs {
            for (occurrence, entry) in &job.occurrences {
                for (number, (step, body)) in entry.steps.iter().zip(&job.body.steps).enumerate() {
                    if step.tasks.iter().all(|task| task.placement.is_none()) {
                        continue;
                    }
                    let later_ms = remaining_ms(job, number).saturating_sub(body.estimate_ms);
                    places.push(StepPlace {
                        key,
                        occurrence: *occurrence,
                        number,
                        body,
                        step,
                        end_by: entry.due_at + job.objective_ms().saturating_sub(later_ms),
                        pace: self.step_pace(step, body.gang),
                    });
                }
            }
        }
        places
    }

    /// Compares each run with its siblings, or with its estimate if there are none.
    fn worker_signs(&self, places: &[StepPlace], now: ClockTime) -> WorkerSigns {
        let mut signs = WorkerSigns::default();
        for place in places {
            for task in place.step.tasks.iter().filter(|task| is_judged(task, now)) {
                let Some(placement) = task.placement else { continue };
                if task.progress.percent < 100 {
                    let gains = signs.last_gains.entry(placement.worker).or_default();
                    gains.push(task.progress.last_gain_at);
                }
                if place.body.endless {
                    continue;
                }
                match self.is_behind(place, task, placement) {
                    Some(true) => {
                        let jobs = signs.behind.entry(placement.worker).or_default();
                        jobs.insert(place.key);
                    }
                    Some(false) => {
                        signs.on_pace.insert(placement.worker);
                    }
                    None => {}
                }
            }
        }
        signs
    }

    /// Returns whether the run takes far longer than expected on its worker; `None` if that cannot be told yet.
    fn is_behind(&self, place: &StepPlace, task: &TaskEntry, placement: TaskPlacement) -> Option<bool> {
        let total_ms = min_total_ms(&task.progress)? / self.remote_factor(placement);
        let expected = self.expected_ms(&place.pace, placement.worker);
        Some(match expected {
            Some(expected_ms) => total_ms * 100 > expected_ms * BEHIND_PERCENT,
            None => total_ms * 100 > place.body.estimate_ms * BEHIND_ESTIMATE_PERCENT,
        })
    }

    /// Returns the time that a run of the step should take on the worker, by runs elsewhere and the speed of the worker.
    fn expected_ms(&self, pace: &StepPace, worker: WorkerKey) -> Option<u64> {
        let log_speed = self.workers.get(worker)?.speed.log_speed();
        let log_work = pace.log_work(worker, MIN_SIBLINGS)?;
        Some(from_log_ms(log_work - log_speed))
    }

    fn remote_factor(&self, placement: TaskPlacement) -> u64 {
        if placement.remote {
            self.options.remote_factor.max(1)
        } else {
            1
        }
    }

    fn leaves_at(&self, worker: WorkerKey) -> Option<ClockTime> {
        self.workers.get(worker)?.report.leaves_at
    }

    /// Returns whether the worker is to be shunned if the run is so slow that it should be moved.
    fn slow_run(
        &self,
        place: &StepPlace,
        task: &TaskEntry,
        signs: &WorkerSigns,
        free_workers: &FreeWorkers,
        now: ClockTime,
    ) -> Option<bool> {
        let placement = task.placement?;
        // Unlike a stalled run, a slow run is moved only once: a task that is slow again is slow in itself.
        if restarts(place, task) > 0 {
            return None;
        }
        let started_at = task.progress.work_started_at?;
        let work = self.run_work(place, task, signs)?;
        let place_need = PlaceNeed::of_step(place.body, &self.racks, &self.labels);
        let task_need = task_need(&self.jobs[place.key].rule, place.body, place_need);
        let need = TargetNeed::of_step(task_need, place.step, place.body, |worker| {
            let view = self.workers.get(worker)?;
            Some((view.speed.log_speed(), view.rack))
        });
        let log_target = free_workers.log_speed_for(&need, place.body, placement.worker)?;
        let left_percent = u64::from(100 - task.progress.percent.min(100));
        let (repeated_percent, lost_ms) = if place.body.checkpoints {
            (left_percent, 0)
        } else {
            (100, now.millis_since(started_at))
        };
        let total_ms = from_log_ms(work.log_work - log_target) * self.remote_factor(placement);
        let start_ms = self.options.stop_ms + START_MARGIN_MS;
        let case = MoveCase {
            left_here_ms: left_here_ms(task, now),
            left_elsewhere_ms: start_ms + total_ms * repeated_percent / 100,
            lost_ms,
            slack_ms: place.end_by.millis_since(now),
            doubt: work.doubt,
        };
        case.is_worthwhile().then_some(work.hints_at_stall)
    }

    /// Returns the work of a run by what is known of its siblings and its worker; `None` if nothing speaks against its
    /// worker.
    fn run_work(&self, place: &StepPlace, task: &TaskEntry, signs: &WorkerSigns) -> Option<RunWork> {
        let placement = task.placement?;
        let speed = &self.workers.get(placement.worker)?.speed;
        let log_own = log_ms(min_total_ms(&task.progress)? / self.remote_factor(placement));
        let needed = if place.body.gang { 1 } else { MIN_SIBLINGS };
        let by_siblings = place.pace.log_work_elsewhere(placement.worker, needed);
        if place.body.gang {
            let log_work = by_siblings?;
            return Some(RunWork {
                log_work,
                doubt: WorkerDoubt::Proven,
                hints_at_stall: log_own - log_work > MAX_SPEED_RATIO.ln(),
            });
        }
        if !self.is_behind(place, task, placement)? {
            return Some(RunWork {
                log_work: log_own + speed.log_speed(),
                doubt: WorkerDoubt::Proven,
                hints_at_stall: false,
            });
        }
        let doubt = signs.doubt(placement.worker, speed, task.progress.work_started_at?);
        let log_work = by_siblings.unwrap_or_else(|| log_ms(place.body.estimate_ms));
        let is_far_behind = log_own - log_work > FAR_BEHIND_ESTIMATE.ln();
        if by_siblings.is_none() && doubt != WorkerDoubt::Proven && !is_far_behind {
            return None;
        }
        Some(RunWork {
            log_work,
            doubt,
            hints_at_stall: log_own - log_work > MAX_SPEED_RATIO.ln() && doubt != WorkerDoubt::Cleared,
        })
    }

    fn move_run(&mut self, run: &RunMove, now: ClockTime) {
        if run.reason == StopReason::NoProgress {
            if run.shuns_worker {
                self.mark_slow(run.worker, now);
            }
            if let Some(task) = self.jobs.get_mut(run.key).and_then(|job| job.task_mut(&run.name)) {
                let progress = &task.progress;
                log::warn!(
                    "[run] task={} run={} state=too slow stalled={} percent={} first_percent={} still_ms={} worked_ms={}",
                    run.name,
                    task.run,
                    run.shuns_worker,
                    progress.percent,
                    progress.first_percent,
                    progress.reported_at.millis_since(progress.last_gain_at),
                    progress
                        .work_started_at
                        .map_or(0, |started_at| progress.reported_at.millis_since(started_at)),
                );
                task.slow_restarts += 1;
                task.avoided_worker = Some(AvoidedWorker {
                    worker: run.worker,
                    retry_at: now,
                });
            }
        }
        let counts = &mut self.move_counts;
        match run.reason {
            StopReason::NoProgress if run.shuns_worker => counts.stalled += 1,
            StopReason::NoProgress => counts.slow += 1,
            _ => counts.leaving += 1,
        }
        self.stop_task(run.key, &run.name, run.reason, now);
        // The end of one member ends the whole gang anyway; stopping all members at once is faster.
        let step = run.name.step as usize;
        if self.jobs[run.key].body.steps[step].gang {
            self.stop_gang(run.key, &run.name, LossCause::of_stop(run.reason), now);
        }
    }

    fn mark_slow(&mut self, worker: WorkerKey, now: ClockTime) {
        if let Some(view) = self.workers.get_mut(worker) {
            if !view.health.is_slow(now) {
                log::info!("[worker] id={} state=slow", view.report.id);
            }
            view.health.mark_slow(now);
        }
    }
}

/// Returns whether the run has been reported lately and works.
fn is_judged(task: &TaskEntry, now: ClockTime) -> bool {
    let is_running = task
        .placement
        .is_some_and(|placement| placement.stage == PlacementStage::Running);
    is_running
        && task.progress.work_started_at.is_some()
        && now.millis_since(task.progress.reported_at) <= MAX_REPORT_AGE_MS
}

/// Returns whether the run has stalled with its worker.
fn has_stalled(place: &StepPlace, task: &TaskEntry, remote_factor: u64, signs: &WorkerSigns) -> bool {
    let progress = &task.progress;
    let (Some(placement), Some(started_at)) = (task.placement, progress.work_started_at) else {
        return false;
    };
    if progress.percent >= 100 || restarts(place, task) >= MAX_SLOW_RESTARTS {
        return false;
    }
    let gained_percent = u64::from(progress.percent.saturating_sub(progress.first_percent));
    let gaining_ms = progress.last_gain_at.millis_since(started_at);
    let by_estimate_ms = place.body.estimate_ms * remote_factor / PERCENT_ESTIMATE_DIVISOR;
    let history = GainHistory {
        still_ms: progress.reported_at.millis_since(progress.last_gain_at),
        percent_ms: by_estimate_ms.max(gaining_ms.checked_div(gained_percent).unwrap_or(0)),
        neighbours_gain: signs.gained_after(placement.worker, progress.last_gain_at),
    };
    history.is_stalled()
}

/// Returns the shortest time that is left for the run by its own progress, in milliseconds; 0 if nothing is known.
fn left_here_ms(task: &TaskEntry, now: ClockTime) -> u64 {
    let left_percent = u64::from(100 - task.progress.percent.min(100));
    let total_ms = min_total_ms(&task.progress).unwrap_or(0);
    (total_ms * left_percent / 100).saturating_sub(now.millis_since(task.progress.reported_at))
}

/// Returns the number of moves of a task, or of the gang that it is a member of.
fn restarts(place: &StepPlace, task: &TaskEntry) -> u32 {
    if place.body.gang {
        place.step.tasks.iter().map(|member| member.slow_restarts).sum()
    } else {
        task.slow_restarts
    }
}

/// Returns the time in milliseconds of which this is the natural logarithm.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn from_log_ms(log: f64) -> u64 {
    log.exp() as u64
}
