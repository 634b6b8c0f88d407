//! Replays work on workers of different speeds, with tasks of different lengths, in virtual time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{EndKind, JobBody, StopReason, TaskName, WorkerKey};

use super::TestPool;

/// Resolution of the replay, in milliseconds.
const TICK_MS: u64 = 50;
/// Interval between listings of a worker, in milliseconds.
const LISTING_INTERVAL_MS: u64 = 1_000;

/// Length of the tasks of a job on a worker of speed 1, in milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct TaskLengths {
    pub(crate) usual_ms: f64,
    pub(crate) long_ms: f64,
    /// Index of the first task that is long; a gang of which a member is long is long as a whole.
    pub(crate) long_from: u32,
}

/// A pool whose workers progress with time.
pub(crate) struct PaceReplay {
    pub(crate) pool: TestPool,
    /// Speeds by worker; 1 if not named, 0 for a worker that has stalled.
    pub(crate) speeds: HashMap<WorkerKey, f64>,
    /// One in this many listings is lost.
    pub(crate) lost_listing_interval: Option<u64>,
    lengths: HashMap<Arc<str>, (TaskLengths, bool)>,
    done_ms: HashMap<(TaskName, u32), f64>,
    listings: u64,
    /// Work that stops for lack of progress threw away, with that of the gangs, in milliseconds.
    pub(crate) thrown_ms: f64,
    /// When each job ended.
    pub(crate) ended_at: HashMap<Arc<str>, ClockTime>,
}

impl PaceReplay {
    pub(crate) fn new(workers: usize) -> Self {
        Self {
            pool: TestPool::new(workers),
            speeds: HashMap::new(),
            lost_listing_interval: None,
            lengths: HashMap::new(),
            done_ms: HashMap::new(),
            listings: 0,
            thrown_ms: 0.0,
            ended_at: HashMap::new(),
        }
    }

    pub(crate) fn submit(&mut self, id: &str, body: JobBody, lengths: TaskLengths) {
        let gang = body.steps[0].gang;
        self.lengths.insert(id.into(), (lengths, gang));
        self.pool.submit(id, body);
    }

    fn length_ms(&self, task: &TaskName) -> f64 {
        let (lengths, gang) = self.lengths[&task.job];
        if task.index >= lengths.long_from || gang && lengths.long_from == 0 {
            lengths.long_ms
        } else {
            lengths.usual_ms
        }
    }

    pub(crate) fn speed(&self, worker: WorkerKey) -> f64 {
        self.speeds.get(&worker).copied().unwrap_or(1.0)
    }

    /// Advances the time; runs progress and end, workers are listed and the scheduler decides.
    pub(crate) fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(TICK_MS) {
            self.pool.advance(TICK_MS);
            self.work();
            self.list_workers();
            let stops = self.pool.stops.len();
            self.pool.run_decision();
            for stop in &self.pool.stops[stops..] {
                if matches!(stop.reason, StopReason::NoProgress | StopReason::GangBroken) {
                    let key = (stop.task.clone(), stop.run);
                    self.thrown_ms += self.done_ms.get(&key).copied().unwrap_or(0.0);
                }
            }
        }
    }

    fn work(&mut self) {
        let runs = self.pool.runs.iter();
        let runs: Vec<(WorkerKey, TaskName, u32)> = runs
            .flat_map(|(worker, runs)| runs.iter().map(|(task, run)| (*worker, task.clone(), *run)))
            .collect();
        let mut behind = HashSet::new();
        for (worker, task, run) in &runs {
            let gain_ms = self.speed(*worker) * TICK_MS as f64;
            let length_ms = self.length_ms(task);
            let done_ms = self.done_ms.entry((task.clone(), *run)).or_default();
            *done_ms += gain_ms;
            let share = *done_ms / length_ms;
            let percent = ((share * 100.0) as u32).min(100);
            self.pool.percents.insert((task.clone(), *run), percent);
            if share < 1.0 {
                behind.insert((task.job.clone(), self.member_of(task)));
            }
        }
        for (worker, task, run) in runs {
            if !behind.contains(&(task.job.clone(), self.member_of(&task))) {
                self.pool.end_run(worker, &task, run, EndKind::Done);
                self.ended_at.insert(task.job, self.pool.now);
            }
        }
    }

    /// Returns the index of a single task; the members of a gang end together.
    fn member_of(&self, task: &TaskName) -> Option<u32> {
        let (_, gang) = self.lengths[&task.job];
        (!gang).then_some(task.index)
    }

    fn list_workers(&mut self) {
        let now = self.pool.now;
        for (number, worker) in self.pool.workers.clone().into_iter().enumerate() {
            let is_due = (now.0 + number as u64 * TICK_MS).is_multiple_of(LISTING_INTERVAL_MS);
            self.listings += u64::from(is_due);
            let is_lost = |interval| self.listings.is_multiple_of(interval);
            if !is_due || self.lost_listing_interval.is_some_and(is_lost) {
                continue;
            }
            let listing = self.pool.listing(worker, 0);
            self.pool.core.apply_listing(worker, &listing, now);
        }
    }

    /// Returns the workers on which the tasks of a job were started last, one for each task.
    pub(crate) fn workers_of(&self, job: &str) -> Vec<WorkerKey> {
        let starts = self
            .pool
            .starts
            .iter()
            .filter(|start| start.task.job.as_ref() == job);
        let latest: BTreeMap<u32, WorkerKey> = starts.map(|start| (start.task.index, start.worker)).collect();
        latest.into_values().collect()
    }

    /// Returns the number of starts of a job after the first ones.
    pub(crate) fn restarts(&self, job: &str) -> usize {
        let starts = self.pool.starts.iter();
        starts
            .filter(|start| start.task.job.as_ref() == job && start.run > 1)
            .count()
    }

    /// Returns the time since `start` after which a job ended.
    pub(crate) fn took_ms(&self, job: &str, start: ClockTime) -> u64 {
        let ended_at = self.ended_at.get(job).copied();
        ended_at
            .unwrap_or_else(|| panic!("{job} has not ended"))
            .millis_since(start)
    }
}
