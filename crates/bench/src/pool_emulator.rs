//! Emulates workers and callers of the pool scheduler in virtual time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_pool::{
    CoreOptions, EndKind, JobBody, JobRecord, JobStage, PoolCore, PoolOrder, ResourceAmount, RunEnd,
    RunStatus, StartAnswer, StartOrder, StopOrder, StopReason, TaskName, WorkerKey, WorkerListing,
    WorkerReport,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::pool_load::{
    ClassOutcome, LoadClass, PoolLoadOutcome, draw_body, draw_class, load_classes, load_policy,
};

/// Resolution of the emulation, in milliseconds; also the shortest interval between decisions.
const TICK_MS: u64 = 25;
/// Interval between listings of a worker, in milliseconds.
const LISTING_INTERVAL_MS: u64 = 1_000;
/// Longest time that a stop takes, in milliseconds.
const STOP_MS: u64 = 900;
/// Time that a resumed run takes to restore its checkpoint, in milliseconds.
const RESTORE_MS: u64 = 250;
/// Unix milliseconds at the start of the emulation.
const WALL_START_MS: u64 = 1_700_000_000_000;
/// Workers in one rack.
const RACK_SIZE: usize = 20;
/// Slowdown of a gang that spans racks.
const REMOTE_FACTOR: u64 = 3;

/// Load pattern and size of an emulation.
#[derive(Clone, Debug)]
pub struct PoolLoadPlan {
    /// Number of workers.
    pub workers: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// Arrivals per second.
    pub arrivals_per_s: f64,
    /// Length of the arrivals, in milliseconds.
    pub length_ms: u64,
    /// Factor on the arrivals of the urgent class from a quarter to a half of the length.
    pub urgent_burst: f64,
    /// Share of runs that fail, in percent.
    pub failing_percent: u32,
    /// Share of the workers that are taken away 2 s after a notice in the middle, in percent.
    pub leaving_percent: usize,
    /// Seed of arrivals and workers.
    pub seed: u64,
    /// Virtual time that a decision takes, in percent of its processor time; 0 for none.
    pub decision_cost_percent: u64,
}

#[derive(Debug)]
struct EmulatedRun {
    task: TaskName,
    run: u32,
    amount: ResourceAmount,
    began_at: ClockTime,
    /// When the run began to work; `None` while a gang waits for its members.
    work_at: Option<ClockTime>,
    total_ms: u64,
    /// Work done by earlier runs, in milliseconds.
    saved_ms: u64,
    fails: bool,
    stopped_at: Option<(ClockTime, StopReason)>,
    broken: bool,
}

impl EmulatedRun {
    fn done_ms(&self, now: ClockTime) -> u64 {
        self.saved_ms + self.work_at.map_or(0, |at| now.millis_since(at))
    }
}

#[derive(Debug)]
struct EmulatedWorker {
    key: WorkerKey,
    report: WorkerReport,
    /// Speed in percent.
    speed: u64,
    runs: Vec<EmulatedRun>,
    next_end: u64,
    list_at: ClockTime,
}

#[derive(Debug)]
struct EmulatedJob {
    class: usize,
    worth: f64,
    objective_ms: u64,
    arrived_at: ClockTime,
    body: JobBody,
    /// Run time of its tasks, in percent of the estimate.
    length_percent: u64,
    started: bool,
}

/// Emulation of a pool under a load.
#[derive(Debug)]
pub struct PoolEmulator {
    plan: PoolLoadPlan,
    classes: Vec<LoadClass>,
    core: PoolCore,
    now: ClockTime,
    /// Draws arrivals only, so that policies are compared under the same ones.
    arrival_rng: ChaCha8Rng,
    rng: ChaCha8Rng,
    workers: Vec<EmulatedWorker>,
    worker_index: HashMap<WorkerKey, usize>,
    jobs: HashMap<Arc<str>, EmulatedJob>,
    outcome: PoolLoadOutcome,
    decide_at: ClockTime,
    usage_samples: (f64, f64, u32),
}

impl PoolEmulator {
    /// Returns an emulation of the plan.
    pub fn new(plan: PoolLoadPlan) -> Self {
        let classes = load_classes();
        let now = ClockTime(1_000_000);
        let mut core = PoolCore::new(CoreOptions::default());
        let policy = load_policy(&classes, plan.accounts, plan.workers as u64 * 8);
        core.apply_policy(Arc::new(policy));
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let arrival_rng = ChaCha8Rng::seed_from_u64(!plan.seed);
        let mut workers = Vec::with_capacity(plan.workers);
        for number in 0..plan.workers {
            let rack = number / RACK_SIZE;
            let report = WorkerReport {
                id: format!("w{number}").into(),
                started_at_ms: 1,
                heartbeat: 0,
                address: "127.0.0.1:1".into(),
                service: "maps".into(),
                centre: format!("dc{}", rack % 5).into(),
                labels: vec!["a".into(), format!("r{rack}").into()],
                capacity: ResourceAmount {
                    millicores: 64_000,
                    memory_mb: 262_144,
                    accelerators: 8,
                },
                leaves_at: None,
            };
            let key = core.update_worker(report.clone(), now);
            workers.push(EmulatedWorker {
                key,
                report,
                speed: [80, 100, 125][rng.random_range(0..3)],
                runs: Vec::new(),
                next_end: 1,
                list_at: now,
            });
        }
        let names = classes.iter().map(|class| ClassOutcome {
            name: class.name,
            ..ClassOutcome::default()
        });
        Self {
            outcome: PoolLoadOutcome {
                classes: names.collect(),
                ..PoolLoadOutcome::default()
            },
            worker_index: workers
                .iter()
                .enumerate()
                .map(|(index, worker)| (worker.key, index))
                .collect(),
            plan,
            classes,
            core,
            now,
            arrival_rng,
            rng,
            workers,
            jobs: HashMap::new(),
            decide_at: now,
            usage_samples: (0.0, 0.0, 0),
        }
    }

    /// Runs all arrivals and the time after them in which jobs can still end; returns the outcome.
    #[allow(clippy::cast_precision_loss)]
    pub fn run(mut self) -> PoolLoadOutcome {
        let start = self.now;
        let end = start + self.plan.length_ms;
        let mut next_arrival = start;
        while self.now < end + 30_000 {
            self.now = self.now + TICK_MS;
            while next_arrival <= self.now && next_arrival < end {
                next_arrival = next_arrival + self.arrive(start);
            }
            if self.now.millis_since(start) / TICK_MS == self.plan.length_ms / 2 / TICK_MS {
                self.announce_leaving();
            }
            self.end_runs();
            self.list_workers();
            if self.now >= self.decide_at {
                self.decide();
            }
            if self.now < end {
                self.sample_usage();
            }
        }
        let (accelerators, share, samples) = self.usage_samples;
        self.outcome.busy_accelerators = accelerators / f64::from(samples.max(1));
        self.outcome.busy_share = share / f64::from(samples.max(1));
        self.outcome
    }

    fn wall(&self) -> PlatformTime {
        PlatformTime(WALL_START_MS + self.now.0)
    }

    /// Submits a job; returns the time until the next arrival, in milliseconds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn arrive(&mut self, start: ClockTime) -> u64 {
        let passed_ms = self.now.millis_since(start);
        let length_ms = self.plan.length_ms;
        let in_burst = (length_ms / 4..length_ms / 2).contains(&passed_ms);
        let factor = if in_burst { self.plan.urgent_burst } else { 1.0 };
        let number = draw_class(&mut self.arrival_rng, &self.classes, factor);
        let wall = self.wall();
        let body = draw_body(
            &mut self.arrival_rng,
            &self.classes[number],
            self.plan.accounts,
            wall.0,
        );
        let id: Arc<str> = format!("{:016x}", self.arrival_rng.random::<u64>()).into();
        let class = &self.classes[number];
        let step = &body.steps[0];
        let work = f64::from(step.count) * step.task_core_ms() as f64;
        let tasks = class.mean_work_core_ms();
        let worth = (0.3 + 0.7 * work / tasks).min(4.0);
        let length_percent = self.arrival_rng.random_range(80..125);
        let length_ms = (step.estimate_ms * length_percent / 100) as f64;
        let objective_ms = (length_ms * class.stretch) as u64 + class.allowance_ms;
        let outcome = &mut self.outcome.classes[number];
        outcome.jobs += 1;
        outcome.worth.1 += worth * class.worth.0;
        let job = EmulatedJob {
            class: number,
            worth,
            objective_ms,
            arrived_at: self.now,
            body: body.clone(),
            length_percent,
            started: false,
        };
        self.jobs.insert(id.clone(), job);
        self.core
            .add_job(&id, body, &JobRecord::default(), self.now, wall, self.now);
        let share = 1.0 + (factor - 1.0) * 0.67;
        let uniform: f64 = self.arrival_rng.random_range(1e-6..1.0);
        (-uniform.ln() * 1_000.0 / (self.plan.arrivals_per_s * share)) as u64
    }

    /// Announces that some workers leave in two seconds.
    fn announce_leaving(&mut self) {
        let count = self.workers.len() * self.plan.leaving_percent / 100;
        for number in 0..count {
            let index = number * self.workers.len() / count.max(1);
            let worker = &mut self.workers[index];
            worker.report.leaves_at = Some(self.now + 2_000);
            self.core.update_worker(worker.report.clone(), self.now);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let mut broken: Vec<(TaskName, u32)> = Vec::new();
        let mut replaced = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            if worker.report.leaves_at.is_some_and(|at| at <= now) {
                for run in worker.runs.drain(..) {
                    let work_ms = run.work_at.map_or(0, |at| now.millis_since(at));
                    self.outcome
                        .add_loss("worker left", core_seconds(&run.amount, work_ms));
                    broken.push((run.task, run.run));
                }
                replaced.push(index);
                continue;
            }
            let ended: Vec<(usize, EndKind)> = worker
                .runs
                .iter()
                .enumerate()
                .filter_map(|(number, run)| Some((number, end_kind(run, now)?)))
                .collect();
            for (number, kind) in ended.into_iter().rev() {
                let run = worker.runs.remove(number);
                let step = &self.jobs[&run.task.job].body.steps[0];
                let work_ms = run.work_at.map_or(0, |at| now.millis_since(at));
                let keeps = step.checkpoints && kind != EndKind::Failed;
                if kind != EndKind::Done && !keeps {
                    let cause = match (kind, run.stopped_at) {
                        (EndKind::Stopped, Some((_, reason))) => format!("{reason:?}"),
                        (kind, _) => format!("{kind:?}"),
                    };
                    self.outcome.add_loss(&cause, core_seconds(&run.amount, work_ms));
                }
                if step.gang {
                    broken.push((run.task.clone(), run.run));
                }
                let checkpoint = if keeps {
                    format!("{}", run.done_ms(now))
                } else {
                    String::new()
                };
                let listing = WorkerListing {
                    asked_at: now,
                    running: list_runs(worker, now),
                    ended: vec![RunEnd {
                        number: worker.next_end,
                        task: Some(run.task),
                        run: run.run,
                        kind,
                        checkpoint: checkpoint.into(),
                    }],
                    is_complete: true,
                };
                worker.next_end += 1;
                self.core.apply_listing(worker.key, &listing, now);
            }
        }
        for (task, number) in broken {
            for run in self.workers.iter_mut().flat_map(|worker| &mut worker.runs) {
                run.broken |= run.task.job == task.job && run.run == number;
            }
        }
        for index in replaced {
            self.replace_worker(index);
        }
    }

    /// Starts a worker under another id in the place of one that has left.
    fn replace_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        self.core.end_incarnation(worker.key, now);
        self.worker_index.remove(&worker.key);
        worker.report = WorkerReport {
            id: format!("{}n", worker.report.id).into(),
            leaves_at: None,
            ..worker.report.clone()
        };
        worker.key = self.core.update_worker(worker.report.clone(), now);
        worker.next_end = 1;
        worker.list_at = now + 4_000;
        self.worker_index.insert(worker.key, index);
    }

    fn list_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.iter_mut().filter(|worker| worker.list_at <= now) {
            worker.list_at = now + LISTING_INTERVAL_MS;
            let listing = WorkerListing {
                asked_at: now,
                running: list_runs(worker, now),
                ended: Vec::new(),
                is_complete: true,
            };
            self.core.apply_listing(worker.key, &listing, now);
        }
    }

    #[allow(clippy::cast_possible_truncation)]
    fn decide(&mut self) {
        let began = Instant::now();
        self.core.decide(self.now, self.wall());
        let orders = self.core.take_orders();
        let changes = self.core.take_changes();
        let spent_us = began.elapsed().as_micros() as u64;
        self.outcome.decision_us.push(spent_us);
        let cost_ms = spent_us * self.plan.decision_cost_percent / 100_000;
        self.decide_at = self.now + cost_ms.max(TICK_MS);
        for change in changes {
            let stage = change.record.as_ref().map(JobRecord::stage);
            if stage.is_some_and(JobStage::is_final) {
                self.end_job(&change.job, stage == Some(JobStage::Completed));
            }
        }
        for order in orders {
            match order {
                PoolOrder::Start(start) => self.start(&start),
                PoolOrder::Stop(stop) => self.stop(&stop),
            }
        }
    }

    fn end_job(&mut self, id: &str, completed: bool) {
        let job = &self.jobs[id];
        let outcome = &mut self.outcome.classes[job.class];
        let took_ms = self.now.millis_since(job.arrived_at);
        let class = &self.classes[job.class];
        if completed && took_ms <= job.objective_ms {
            outcome.on_time += 1;
            outcome.worth.0 += job.worth * class.worth.0;
        } else if completed && took_ms <= 3 * job.objective_ms {
            outcome.late += 1;
            outcome.worth.0 += job.worth * class.worth.1;
        }
    }

    fn start(&mut self, order: &StartOrder) {
        self.outcome.orders.0 += 1;
        let now = self.now;
        let Some(index) = self.worker_index.get(&order.worker).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&order.task.job) else {
            return;
        };
        if !job.started {
            job.started = true;
            let waited_ms = now.millis_since(job.arrived_at);
            self.outcome.classes[job.class].first_start_ms.push(waited_ms);
        }
        let step = job.body.steps[0].clone();
        let saved_ms: u64 = order.checkpoint.parse().unwrap_or(0);
        let restore_ms = if saved_ms > 0 { RESTORE_MS } else { 0 };
        // Tasks of a gang work in step; single tasks of a job differ.
        let uneven_percent = if step.gang {
            100
        } else {
            self.rng.random_range(65..135)
        };
        let length_ms = step.estimate_ms * job.length_percent * uneven_percent / 10_000;
        let total_ms = length_ms * 100 / self.workers[index].speed + restore_ms;
        let fails = self.rng.random_range(0..100) < self.plan.failing_percent;
        self.workers[index].runs.push(EmulatedRun {
            task: order.task.clone(),
            run: order.run,
            amount: step.amount(),
            began_at: now,
            work_at: (!step.gang).then_some(now),
            total_ms,
            saved_ms,
            fails,
            stopped_at: None,
            broken: false,
        });
        self.core
            .apply_start_answer(&order.task, order.run, order.worker, StartAnswer::Started, now);
        if step.gang {
            self.begin_gang(&order.task, order.run, &step);
        }
    }

    /// Lets a gang begin once its last member is present; across racks it takes several times as long.
    fn begin_gang(&mut self, task: &TaskName, run: u32, step: &arbutuspick_pool::StepBody) {
        let now = self.now;
        let mut racks = Vec::new();
        let mut members = Vec::new();
        for worker in &mut self.workers {
            for member in &mut worker.runs {
                if member.task.job == task.job && member.run == run {
                    racks.push(worker.report.labels[1].clone());
                    members.push(member);
                }
            }
        }
        if members.len() < step.count as usize {
            return;
        }
        racks.dedup();
        let remote = step.same_rack && racks.len() > 1;
        let total_ms = members.iter().map(|member| member.total_ms).max().unwrap_or(0);
        for member in members {
            member.work_at = Some(now);
            member.total_ms = if remote {
                total_ms * REMOTE_FACTOR
            } else {
                total_ms
            };
        }
    }

    fn stop(&mut self, order: &StopOrder) {
        self.outcome.orders.1 += 1;
        let until = self.now + self.rng.random_range(STOP_MS / 3..STOP_MS);
        let Some(index) = self.worker_index.get(&order.worker).copied() else {
            return;
        };
        let runs = self.workers[index].runs.iter_mut();
        for run in runs.filter(|run| run.task == order.task && run.run == order.run) {
            run.stopped_at = run.stopped_at.or(Some((until, order.reason)));
        }
        self.core
            .apply_stop_answer(&order.task, order.run, order.worker, self.now);
    }

    #[allow(clippy::cast_precision_loss)]
    fn sample_usage(&mut self) {
        let mut accelerators = 0;
        let mut share = 0;
        for worker in &self.workers {
            let mut used = ResourceAmount::default();
            for run in &worker.runs {
                used += run.amount;
            }
            accelerators += used.accelerators;
            share += used.dominant_share(&worker.report.capacity);
        }
        let workers = self.workers.len() as f64;
        self.usage_samples.0 += accelerators as f64 * 100.0 / (workers * 8.0);
        self.usage_samples.1 += share as f64 / 10.0 / workers;
        self.usage_samples.2 += 1;
    }
}

#[allow(clippy::cast_precision_loss)]
fn core_seconds(amount: &ResourceAmount, millis: u64) -> f64 {
    amount.core_equivalents() as f64 * millis as f64 / 1_000.0
}

fn end_kind(run: &EmulatedRun, now: ClockTime) -> Option<EndKind> {
    let worked_ms = run.done_ms(now);
    if run.stopped_at.is_some_and(|(at, _)| at <= now) {
        Some(EndKind::Stopped)
    } else if run.broken {
        Some(EndKind::GangBroken)
    } else if run.work_at.is_some() && run.fails && worked_ms * 2 >= run.total_ms {
        Some(EndKind::Failed)
    } else if run.work_at.is_some() && worked_ms >= run.total_ms {
        Some(EndKind::Done)
    } else if run.work_at.is_none() && now.millis_since(run.began_at) > 5_000 {
        Some(EndKind::GangIncomplete)
    } else {
        None
    }
}

#[allow(clippy::cast_possible_truncation)]
fn list_runs(worker: &EmulatedWorker, now: ClockTime) -> Vec<RunStatus> {
    let status = |run: &EmulatedRun| RunStatus {
        task: Some(run.task.clone()),
        run: run.run,
        checkpoint: "".into(),
        percent: (run.done_ms(now) * 100 / run.total_ms.max(1)).min(99) as u32,
    };
    worker.runs.iter().map(status).collect()
}
