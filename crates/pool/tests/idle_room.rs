//! Jobs beside free capacity, in virtual time.
//!
//! Guards against a job that stands still for seconds although there is capacity for it twice over and less than half
//! of the pool is in use. Run times have a long tail, estimates are far off, and a data centre is cut off for longer than the
//! leases of its workers.

mod support;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{
    EndKind, JobBody, PoolOrder, ResourceAmount, RunEnd, RunStatus, StepBody, TaskName, WorkerKey,
    WorkerListing,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{TestPool, body, report, step};

const WORKERS: usize = 24;
const HISTORIES: u64 = 10;
/// Time for which a job may stand still beside free capacity, in milliseconds.
const MAX_STILL_MS: u64 = 3_000;
const TICK_MS: u64 = 100;
const ARRIVALS_MS: u64 = 18_000;
const LENGTH_MS: u64 = 45_000;
/// Duration of a lease after the last contact, and of the cut, in milliseconds.
const LEASE_MS: u64 = 4_500;
const CUT_MS: u64 = 6_500;

type RunKey = (TaskName, u32);

struct History {
    pool: TestPool,
    rng: ChaCha8Rng,
    bodies: HashMap<Arc<str>, JobBody>,
    /// Start, duration and worker of each run that is present.
    runs: HashMap<RunKey, (ClockTime, u64, WorkerKey)>,
    gang_times: HashMap<(Arc<str>, u32, u32), u64>,
    /// Tasks whose end as done was listed.
    done: HashSet<TaskName>,
    cut: HashSet<WorkerKey>,
    unlisted_ends: HashMap<WorkerKey, Vec<RunEnd>>,
    still_since: HashMap<Arc<str>, ClockTime>,
}

impl History {
    fn new(seed: u64) -> Self {
        Self {
            pool: TestPool::new(WORKERS),
            rng: ChaCha8Rng::seed_from_u64(seed),
            bodies: HashMap::new(),
            runs: HashMap::new(),
            gang_times: HashMap::new(),
            done: HashSet::new(),
            cut: HashSet::new(),
            unlisted_ends: HashMap::new(),
            still_since: HashMap::new(),
        }
    }

    fn submit(&mut self, number: u64) {
        let rng = &mut self.rng;
        let estimate_ms = |rng: &mut ChaCha8Rng| rng.random_range(1_000..6_000);
        let (queue, steps) = match number % 4 {
            0 => {
                let gang = StepBody {
                    gang: true,
                    estimate_ms: estimate_ms(rng),
                    ..step(rng.random_range(3..12), [1, 2, 4, 8][rng.random_range(0..4)])
                };
                ("normal", vec![gang])
            }
            1 => {
                let gang = StepBody {
                    gang: true,
                    estimate_ms: 1_000,
                    ..step(rng.random_range(2..6), [1, 2, 4, 8][rng.random_range(0..4)])
                };
                ("urgent", vec![gang])
            }
            _ => {
                let first = StepBody {
                    estimate_ms: estimate_ms(rng),
                    ..step(rng.random_range(5..30), 1)
                };
                let second = StepBody {
                    after: vec![0],
                    ..first.clone()
                };
                ("bulk", vec![first, second])
            }
        };
        let id: Arc<str> = format!("job{number}").into();
        let job = body(queue, ["north", "south"][(number % 2) as usize], steps);
        self.bodies.insert(id.clone(), job.clone());
        self.pool.submit(&id, job);
    }

    /// Returns a run time: the estimate is wrong by half, and three in a hundred take seven times as long.
    fn run_time(&mut self, task: &TaskName, run: u32) -> u64 {
        let step = &self.bodies[&task.job].steps[task.step as usize];
        let mut millis = step.estimate_ms * self.rng.random_range(50..150) / 100;
        if self.rng.random_bool(0.03) {
            millis *= 7;
        }
        if !step.gang {
            return millis;
        }
        *self
            .gang_times
            .entry((task.job.clone(), task.step, run))
            .or_insert(millis)
    }

    fn decide(&mut self) {
        for order in self.pool.decide() {
            match &order {
                // The order does not reach a worker that is cut off.
                PoolOrder::Stop(stop) if self.cut.contains(&stop.worker) => continue,
                PoolOrder::Start(start) => {
                    let millis = self.run_time(&start.task, start.run);
                    let run = (start.task.clone(), start.run);
                    self.runs.insert(run, (self.pool.now, millis, start.worker));
                }
                PoolOrder::Stop(stop) => {
                    self.runs.remove(&(stop.task.clone(), stop.run));
                }
            }
            self.pool.execute(order);
        }
    }

    fn end_runs(&mut self) {
        let now = self.pool.now;
        let mut due: Vec<(RunKey, WorkerKey)> = Vec::new();
        for (run, (start, millis, worker)) in &self.runs {
            if now >= *start + *millis {
                due.push((run.clone(), *worker));
            }
        }
        due.sort();
        for (run, worker) in due {
            self.runs.remove(&run);
            if self.cut.contains(&worker) {
                self.keep_end(worker, &run, EndKind::Done);
            } else {
                self.done.insert(run.0.clone());
                self.pool.end_run(worker, &run.0, run.1, EndKind::Done);
            }
        }
    }

    /// Keeps the end of a run on a worker that is cut off.
    fn keep_end(&mut self, worker: WorkerKey, run: &RunKey, kind: EndKind) {
        let number = self.pool.ends.entry(worker).or_default();
        *number += 1;
        let end = RunEnd {
            number: *number,
            task: Some(run.0.clone()),
            run: run.1,
            kind,
            checkpoint: "".into(),
        };
        self.unlisted_ends.entry(worker).or_default().push(end);
        if let Some(runs) = self.pool.runs.get_mut(&worker) {
            runs.retain(|present| present != run);
        }
    }

    fn list_runs(&mut self) {
        let now = self.pool.now;
        for worker in self.pool.workers.clone() {
            if self.cut.contains(&worker) {
                continue;
            }
            let mut listing = self.pool.listing(worker, 0);
            for status in &mut listing.running {
                *status = self.status(status, now);
            }
            self.pool.core.apply_listing(worker, &listing, now);
            self.pool.core.extend_lease_expiry(worker, now + LEASE_MS);
        }
    }

    fn status(&self, status: &RunStatus, now: ClockTime) -> RunStatus {
        let run = status.task.clone().map(|task| (task, status.run));
        let percent = run
            .and_then(|run| self.runs.get(&run))
            .map_or(0, |(start, millis, _)| {
                now.millis_since(*start) * 100 / (*millis).max(1)
            });
        RunStatus {
            percent: u32::try_from(percent.min(99)).unwrap_or(99),
            ..status.clone()
        }
    }

    fn cut_centre(&mut self) {
        let now = self.pool.now;
        for number in 0..4 {
            let worker = self.pool.workers[number];
            self.cut.insert(worker);
            self.pool.core.mark_unreachable(worker, now);
            self.pool.core.mark_removed(worker);
        }
    }

    /// Ends what runs on the workers that are cut off, since their leases have expired.
    fn expire_leases(&mut self) {
        let lapsed: Vec<(RunKey, WorkerKey)> = self
            .runs
            .iter()
            .filter(|(_, (_, _, worker))| self.cut.contains(worker))
            .map(|(run, (_, _, worker))| (run.clone(), *worker))
            .collect();
        for (run, worker) in lapsed {
            self.runs.remove(&run);
            self.keep_end(worker, &run, EndKind::LeaseExpired);
        }
    }

    fn return_centre(&mut self) {
        let now = self.pool.now;
        for number in 0..4 {
            let former = self.pool.workers[number];
            let worker = self.pool.core.update_worker(report(number, "r0", "trent"), now);
            self.pool.workers[number] = worker;
            let ends = self.pool.ends.remove(&former).unwrap_or_default();
            self.pool.ends.insert(worker, ends);
            let ended = self.unlisted_ends.remove(&former).unwrap_or_default();
            let done = ended.iter().filter(|end| end.kind == EndKind::Done);
            self.done.extend(done.filter_map(|end| end.task.clone()));
            let listing = WorkerListing {
                ended,
                ..support::empty_listing(now)
            };
            self.pool.core.apply_listing(worker, &listing, now);
        }
        self.cut.clear();
    }

    /// Checks the jobs that have nothing running although a step is ready and the pool has capacity for it twice over.
    fn check_still_jobs(&mut self) {
        let now = self.pool.now;
        let capacity = report(0, "r0", "trent").capacity;
        let free = |worker: &WorkerKey| self.pool.core.free_resources(*worker).unwrap_or_default();
        let open: Vec<ResourceAmount> = self
            .pool
            .workers
            .iter()
            .filter(|worker| !self.cut.contains(worker))
            .map(free)
            .collect();
        let idle: i64 = open.iter().map(|free| free.accelerators).sum();
        let is_idle = idle * 2 > capacity.accelerators * WORKERS as i64;
        // A second run of a task that is done is of no use to its job.
        let useful = self.runs.keys().filter(|(task, _)| !self.done.contains(task));
        let running: HashSet<&Arc<str>> = useful.map(|(task, _)| &task.job).collect();
        let mut still = HashMap::new();
        for (id, job) in &self.bodies {
            if running.contains(id) || !is_idle {
                continue;
            }
            let open_tasks = |step: usize| {
                let tasks =
                    (0..job.steps[step].count).filter(|index| !self.done.contains(&name(id, step, *index)));
                tasks.count()
            };
            let Some(ready) = (0..job.steps.len()).find(|step| open_tasks(*step) > 0) else {
                continue;
            };
            let amount = job.steps[ready].amount();
            let fitting: usize = open.iter().map(|free| free.count_fitting(&amount, 100)).sum();
            if fitting >= 2 * open_tasks(ready) {
                let since = self.still_since.get(id).copied().unwrap_or(now);
                assert!(
                    now.millis_since(since) <= MAX_STILL_MS,
                    "{id} stands still at {now}, {idle} accelerators are free: {job:?}\n{}",
                    self.pool.core.dump(now)
                );
                still.insert(id.clone(), since);
            }
        }
        self.still_since = still;
    }
}

fn name(job: &Arc<str>, step: usize, index: u32) -> TaskName {
    TaskName {
        job: job.clone(),
        occurrence: 0,
        step: u32::try_from(step).expect("few steps"),
        index,
    }
}

#[test]
fn tailed_run_times() {
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        let start = history.pool.now;
        let cut_at = history.rng.random_range(4_000..20_000) / TICK_MS * TICK_MS;
        for tick in 0..LENGTH_MS / TICK_MS {
            let passed_ms = tick * TICK_MS;
            history.pool.now = start + passed_ms;
            if passed_ms < ARRIVALS_MS && tick % 4 == 0 {
                history.submit(tick / 4);
            }
            match passed_ms.checked_sub(cut_at) {
                Some(0) => history.cut_centre(),
                Some(LEASE_MS) => history.expire_leases(),
                Some(CUT_MS) => history.return_centre(),
                _ => {}
            }
            history.end_runs();
            if tick % 5 == 0 {
                history.list_runs();
            }
            history.decide();
            history.check_still_jobs();
        }
    }
}
