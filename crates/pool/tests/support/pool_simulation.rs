//! Simulated workers with a state of their own, which check the decisions of the scheduler independently.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_pool::{
    EndKind, JobBody, JobRecord, JobStage, PoolCore, PoolOrder, PoolPolicy, RunEnd, RunStatus, StartAnswer,
    StartOrder, StopOrder, TaskName, WorkerKey, WorkerListing, WorkerReport,
};

use super::idle_watch::IdleWatch;
use super::{WALL_START_MS, policy, report};

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedRun {
    pub(crate) task: TaskName,
    pub(crate) run: u32,
    /// Time at which the run ends; `None` while a gang waits for its members.
    pub(crate) ends_at: Option<ClockTime>,
    pub(crate) began_at: ClockTime,
    pub(crate) gang: bool,
    pub(crate) broken: bool,
    pub(crate) fails: bool,
    pub(crate) stopping_until: Option<ClockTime>,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct SimulatedWorker {
    pub(crate) key: WorkerKey,
    pub(crate) report: WorkerReport,
    pub(crate) runs: Vec<SimulatedRun>,
    pub(crate) ends: Vec<RunEnd>,
    pub(crate) ended_runs: HashMap<TaskName, u32>,
    pub(crate) reachable: bool,
    /// Time at which the scheduler detects that the worker is disconnected.
    pub(crate) detected_at: Option<ClockTime>,
    pub(crate) lease_until: ClockTime,
    pub(crate) next_end: u64,
}

/// What uses up attempts: a gang, or a task.
type AttemptUnit = (Arc<str>, u32, u32, Option<u32>);

/// The pool, its scheduler and the jobs of the callers.
pub(crate) struct PoolSimulation {
    pub(crate) core: PoolCore,
    pub(crate) policy: PoolPolicy,
    pub(crate) now: ClockTime,
    pub(crate) workers: Vec<SimulatedWorker>,
    pub(crate) bodies: BTreeMap<Arc<str>, JobBody>,
    /// The latest record of each job.
    pub(crate) records: BTreeMap<Arc<str>, JobRecord>,
    pub(crate) cancelled: HashSet<Arc<str>>,
    pub(crate) ended_jobs: HashSet<Arc<str>>,
    /// Tasks that have ended as done, whether the scheduler knows it or not.
    pub(crate) finished: HashSet<TaskName>,
    /// Tasks whose end was reported before the lease expired; they must not start again.
    pub(crate) reported_done: HashSet<TaskName>,
    pub(crate) failures: HashMap<TaskName, u32>,
    /// Runs that a member or the task itself has ended as failed, by job, occurrence and step, and the task if it is
    /// not a member of a gang.
    pub(crate) failed_runs: HashMap<AttemptUnit, HashSet<u32>>,
    pub(crate) delayed_starts: Vec<(ClockTime, StartOrder)>,
    pub(crate) closed_centres: HashSet<Arc<str>>,
    pub(crate) stops: usize,
    pub(crate) starts: usize,
    /// One in this many starts loses its answer.
    pub(crate) lost_answer_interval: Option<usize>,
    pub(crate) next_job: u64,
    pub(crate) idle_watch: IdleWatch,
}

/// Accelerators of a cap that keeps no run from starting.
const NO_LIMIT: i64 = 1_000_000;
/// Time that a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 300;
/// Time until the scheduler detects that a worker does not answer, in milliseconds.
const DETECTION_MS: u64 = 700;
/// Time that members of a gang wait for each other, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;
/// Number of ends that a worker lists at a time.
const ENDS_PER_LISTING: usize = 2;
/// Interval between checks for idle workers, in milliseconds.
const DUMP_INTERVAL_MS: u64 = 1_000;
/// Number of attempts that the queues allow.
const MAX_ATTEMPTS: usize = 4;
/// Lease that the scheduler grants, in milliseconds.
const LEASE_MS: u64 = 9_000;

impl PoolSimulation {
    /// Returns a pool in which one worker has a label of its own.
    pub(crate) fn new(workers: usize, single_label: &str) -> Self {
        let mut simulation = Self {
            core: PoolCore::new(Default::default()),
            policy: policy(16),
            now: ClockTime(100_000),
            workers: Vec::new(),
            bodies: BTreeMap::new(),
            records: BTreeMap::new(),
            cancelled: HashSet::new(),
            ended_jobs: HashSet::new(),
            finished: HashSet::new(),
            reported_done: HashSet::new(),
            failures: HashMap::new(),
            failed_runs: HashMap::new(),
            delayed_starts: Vec::new(),
            closed_centres: HashSet::new(),
            stops: 0,
            starts: 0,
            lost_answer_interval: None,
            next_job: 0,
            idle_watch: IdleWatch::default(),
        };
        // Final records name remaining runs only where some account has a cap.
        simulation.set_cap("north", 0, NO_LIMIT);
        simulation.core.apply_policy(Arc::new(simulation.policy.clone()));
        for number in 0..workers {
            let centre = if number / 4 % 2 == 0 { "trent" } else { "severn" };
            let mut report = report(number, &format!("r{}", number / 4), centre);
            if number == workers / 2 {
                report.labels.insert(0, single_label.into());
            }
            simulation.add_worker(report);
        }
        simulation
    }

    /// Adds a worker with the label that rare jobs require, large enough for large ones.
    pub(crate) fn add_rare_worker(&mut self) {
        let number = 1_000 + self.workers.len();
        let mut report = report(number, &format!("r{number}"), "severn");
        report.id = format!("rare{number}").into();
        report.labels.insert(0, "rare".into());
        report.capacity.memory_mb *= 2;
        self.add_worker(report);
    }

    fn add_worker(&mut self, report: WorkerReport) {
        let key = self.core.update_worker(report.clone(), self.now);
        self.workers.push(SimulatedWorker {
            key,
            report,
            runs: Vec::new(),
            ends: Vec::new(),
            ended_runs: HashMap::new(),
            reachable: true,
            detected_at: None,
            lease_until: self.now,
            next_end: 1,
        });
    }

    fn wall(&self) -> PlatformTime {
        PlatformTime(WALL_START_MS + self.now.0 - 100_000)
    }

    pub(crate) fn submit(&mut self, mut body: JobBody) -> Arc<str> {
        let id: Arc<str> = format!("{:016x}", self.next_job).into();
        self.next_job += 1;
        body.accepted_at_ms = self.wall().0;
        body.first_due_ms = self.wall().0;
        self.bodies.insert(id.clone(), body.clone());
        let (now, wall) = (self.now, self.wall());
        self.core
            .add_job(&id, body, &JobRecord::default(), now, wall, now);
        id
    }

    pub(crate) fn cancel(&mut self, choice: usize) {
        let unfinished: Vec<Arc<str>> = self
            .bodies
            .keys()
            .filter(|id| !self.ended_jobs.contains(*id))
            .cloned()
            .collect();
        if unfinished.is_empty() {
            return;
        }
        let id = unfinished[choice % unfinished.len()].clone();
        self.cancel_job(&id);
    }

    pub(crate) fn cancel_job(&mut self, id: &Arc<str>) {
        self.core.cancel_job(id, self.now);
        self.cancelled.insert(id.clone());
    }

    pub(crate) fn disconnect(&mut self, choice: usize) {
        let index = choice % self.workers.len();
        if self.workers[index].reachable {
            self.workers[index].reachable = false;
            self.workers[index].detected_at = Some(self.now + DETECTION_MS);
        }
    }

    fn detect_disconnects(&mut self) {
        for worker in &mut self.workers {
            if worker.detected_at.is_some_and(|at| at <= self.now) {
                worker.detected_at = None;
                self.core
                    .extend_lease_expiry(worker.key, worker.lease_until + 500);
                self.core.mark_unreachable(worker.key, self.now);
            }
        }
    }

    pub(crate) fn reconnect_all(&mut self) {
        for worker in &mut self.workers {
            worker.reachable = true;
            worker.detected_at = None;
        }
    }

    /// Restarts a worker under its id; its runs and ends are lost.
    pub(crate) fn restart(&mut self, choice: usize) {
        let index = choice % self.workers.len();
        let worker = self.workers.remove(index);
        let mut report = worker.report;
        report.started_at_ms += 1;
        report.leaves_at = None;
        self.add_worker(report);
    }

    pub(crate) fn leave(&mut self, choice: usize) {
        let index = choice % self.workers.len();
        self.workers[index].report.leaves_at = Some(self.now + 4_000);
        let report = self.workers[index].report.clone();
        self.core.update_worker(report, self.now);
    }

    /// Replaces the scheduler by one that knows only the stored records and the registry.
    ///
    /// Starts of the former one that are still on their way are rejected once the next one has listed the worker.
    pub(crate) fn change_leader(&mut self) {
        self.core = PoolCore::new(Default::default());
        self.core.apply_policy(Arc::new(self.policy.clone()));
        self.core.set_closed_centres(self.closed_centres.clone());
        self.delayed_starts.clear();
        let (now, wall) = (self.now, self.wall());
        for worker in &mut self.workers {
            worker.key = self.core.update_worker(worker.report.clone(), now);
            worker.detected_at = (!worker.reachable).then_some(now + DETECTION_MS);
        }
        for (id, body) in &self.bodies {
            let record = self.records.get(id).cloned().unwrap_or_default();
            let lease_expiry = now + LEASE_MS + 500;
            if record.stage().is_final() {
                self.core.restore_ended_job(id, &record, now, wall, lease_expiry);
            } else {
                self.core
                    .add_job(id, body.clone(), &record, now, wall, lease_expiry);
            }
        }
    }

    pub(crate) fn close_centre(&mut self, closed: bool) {
        self.closed_centres = if closed {
            HashSet::from(["trent".into()])
        } else {
            HashSet::new()
        };
        self.core.set_closed_centres(self.closed_centres.clone());
    }

    /// Advances the time in small steps, in which runs end, workers are listed and the scheduler decides.
    pub(crate) fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(50) {
            self.now = self.now + 50;
            self.run_delayed_starts();
            self.detect_disconnects();
            self.end_runs();
            self.list_workers();
            self.decide();
            if self.now.0.is_multiple_of(DUMP_INTERVAL_MS) {
                self.check_idle_workers();
            }
        }
    }

    fn check_idle_workers(&mut self) {
        self.check_usage();
        let dump = self.core.dump(self.now);
        let workers: Vec<&WorkerReport> = self.workers.iter().map(|worker| &worker.report).collect();
        let bodies = self.without_capped();
        self.idle_watch
            .observe(&dump, &workers, &bodies, &self.closed_centres, self.now);
    }

    fn run_delayed_starts(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self
            .delayed_starts
            .drain(..)
            .partition(|(begins_at, _)| *begins_at <= now);
        self.delayed_starts = later;
        for (_, order) in due {
            self.begin_run(&order);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let mut finished = Vec::new();
        let mut broken = Vec::new();
        for worker in &mut self.workers {
            let lease_expired = worker.lease_until < now;
            let runs = std::mem::take(&mut worker.runs);
            for run in runs {
                let stopped = run.stopping_until.is_some_and(|until| until <= now);
                let kind = if stopped {
                    EndKind::Stopped
                } else if lease_expired {
                    EndKind::LeaseExpired
                } else if run.broken {
                    EndKind::GangBroken
                } else if run.ends_at.is_some_and(|end| end <= now) {
                    if run.fails { EndKind::Failed } else { EndKind::Done }
                } else if run.ends_at.is_none() && now.millis_since(run.began_at) > GANG_WAIT_MS {
                    EndKind::GangIncomplete
                } else {
                    worker.runs.push(run);
                    continue;
                };
                if kind == EndKind::Done {
                    finished.push(run.task.clone());
                } else if run.gang {
                    broken.push((run.task.clone(), run.run));
                }
                worker.ended_runs.insert(run.task.clone(), run.run);
                worker.ends.push(RunEnd {
                    number: worker.next_end,
                    task: Some(run.task),
                    run: run.run,
                    kind,
                    checkpoint: "".into(),
                });
                worker.next_end += 1;
            }
        }
        for task in finished {
            self.finished.extend(self.tasks_done_by(&task));
        }
        for (task, number) in broken {
            for run in self.workers.iter_mut().flat_map(|worker| &mut worker.runs) {
                run.broken |= is_same_step(&run.task, &task) && run.run == number;
            }
        }
    }

    /// Lets a gang begin to work once all its members are present.
    fn begin_gang(&mut self, task: &TaskName, number: u32, step: &arbutuspick_pool::StepBody) {
        let ends_at = self.now + step.estimate_ms;
        let runs = self.workers.iter_mut().flat_map(|worker| &mut worker.runs);
        let members: Vec<&mut SimulatedRun> = runs
            .filter(|run| is_same_step(&run.task, task) && run.run == number)
            .collect();
        if members.len() == step.count as usize {
            for member in members {
                member.ends_at = Some(ends_at);
            }
        }
    }

    /// Records ends that were reported before the lease expired.
    fn record_ends(&mut self, ends: Vec<RunEnd>) {
        for end in ends {
            let Some(task) = end.task else { continue };
            match end.kind {
                EndKind::Done => self.reported_done.extend(self.tasks_done_by(&task)),
                EndKind::Failed => {
                    let gang = self.bodies[&task.job].steps[task.step as usize].gang;
                    let unit = (
                        task.job.clone(),
                        task.occurrence,
                        task.step,
                        (!gang).then_some(task.index),
                    );
                    self.failed_runs.entry(unit).or_default().insert(end.run);
                    *self.failures.entry(task).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    /// Returns the tasks that are done when this one is: all members of a gang, or only the task.
    fn tasks_done_by(&self, task: &TaskName) -> Vec<TaskName> {
        let step = &self.bodies[&task.job].steps[task.step as usize];
        let members = if step.gang {
            0..step.count
        } else {
            task.index..task.index + 1
        };
        members
            .map(|index| TaskName {
                index,
                ..task.clone()
            })
            .collect()
    }

    fn list_workers(&mut self) {
        let mut delivered = Vec::new();
        for worker in &mut self.workers {
            if !worker.reachable {
                continue;
            }
            if worker.lease_until >= self.now {
                delivered.extend(worker.ends.iter().take(ENDS_PER_LISTING).cloned());
            }
            worker.lease_until = self.now + LEASE_MS;
            let later = worker.ends.split_off(worker.ends.len().min(ENDS_PER_LISTING));
            let ended = std::mem::replace(&mut worker.ends, later);
            let listing = WorkerListing {
                asked_at: self.now,
                running: worker
                    .runs
                    .iter()
                    .map(|run| RunStatus {
                        task: Some(run.task.clone()),
                        run: run.run,
                        checkpoint: "".into(),
                        percent: 50,
                    })
                    .collect(),
                is_complete: ended.len() < ENDS_PER_LISTING,
                ended,
            };
            self.core.apply_listing(worker.key, &listing, self.now);
        }
        self.record_ends(delivered);
    }

    pub(crate) fn decide(&mut self) {
        let (now, wall) = (self.now, self.wall());
        self.core.decide(now, wall);
        let orders = self.core.take_orders();
        for change in self.core.take_changes() {
            let Some(record) = change.record else { continue };
            if record.stage().is_final() {
                self.check_final_stage(&change.job, record.stage());
                self.ended_jobs.insert(change.job.clone());
            }
            self.records.insert(change.job, record);
        }
        let starts = orders.iter().filter_map(|order| match order {
            PoolOrder::Start(start) => Some(start.clone()),
            PoolOrder::Stop(_) => None,
        });
        let starts: Vec<StartOrder> = starts.collect();
        self.check_gangs(&starts);
        for order in orders {
            match order {
                PoolOrder::Start(start) => self.start_run(&start),
                PoolOrder::Stop(stop) => self.stop_run(&stop),
            }
        }
    }

    /// Checks that a job ends as its runs say, whichever leaders have followed them.
    fn check_final_stage(&self, job: &Arc<str>, stage: JobStage) {
        let mut units = self.failed_runs.iter().filter(|((id, ..), _)| id == job);
        let is_used_up = units.any(|(_, runs)| runs.len() >= MAX_ATTEMPTS);
        match stage {
            JobStage::Failed => assert!(
                is_used_up,
                "{job} failed with attempts left: {:?}",
                self.failed_runs
            ),
            JobStage::Cancelled => assert!(self.cancelled.contains(job), "{job} was not cancelled"),
            _ => assert!(!is_used_up, "{job} is {stage:?} after its last attempt"),
        }
    }

    /// Checks that the members of a gang start together and with the same run number.
    fn check_gangs(&self, starts: &[StartOrder]) {
        let mut gangs: HashMap<(Arc<str>, u32, u32), Vec<u32>> = HashMap::new();
        for start in starts {
            let step = &self.bodies[&start.task.job].steps[start.task.step as usize];
            if step.gang {
                let task = &start.task;
                gangs
                    .entry((task.job.clone(), task.occurrence, task.step))
                    .or_default()
                    .push(start.run);
            }
        }
        for ((job, _, step), runs) in gangs {
            let count = self.bodies[&job].steps[step as usize].count as usize;
            assert_eq!(runs.len(), count, "gang of {job} was started in part");
            assert!(
                runs.iter().all(|run| *run == runs[0]),
                "gang of {job} has several run numbers"
            );
        }
    }

    fn start_run(&mut self, order: &StartOrder) {
        self.starts += 1;
        self.check_cap(order);
        let job = &order.task.job;
        assert!(!self.cancelled.contains(job), "start of the cancelled job {job}");
        assert!(!self.ended_jobs.contains(job), "start of the ended job {job}");
        let worker = self.workers.iter().find(|worker| worker.key == order.worker);
        let worker = worker.expect("start on a worker that has ended");
        assert!(
            !self.closed_centres.contains(&worker.report.centre),
            "start in a closed data centre"
        );
        assert!(worker.report.leaves_at.is_none(), "start on a leaving worker");
        let lost = self
            .lost_answer_interval
            .is_some_and(|interval| self.starts.is_multiple_of(interval));
        let reachable = worker.reachable;
        if lost || !reachable {
            if reachable {
                self.delayed_starts.push((self.now + 2_000, order.clone()));
            }
            self.answer(order, StartAnswer::Unconfirmed);
        } else if self.begin_run(order) {
            self.answer(order, StartAnswer::Started);
        } else {
            self.answer(order, StartAnswer::Refused);
        }
    }

    fn answer(&mut self, order: &StartOrder, answer: StartAnswer) {
        let now = self.now;
        self.core
            .apply_start_answer(&order.task, order.run, order.worker, answer, now);
    }

    /// Begins a run, unless the worker has had that run or a later one; checks all rules for starts.
    fn begin_run(&mut self, order: &StartOrder) -> bool {
        let Some(index) = self.workers.iter().position(|worker| worker.key == order.worker) else {
            return false;
        };
        let task = &order.task;
        let worker = &self.workers[index];
        if worker
            .runs
            .iter()
            .any(|run| run.task == *task && run.run == order.run)
        {
            return true;
        }
        if worker.ended_runs.get(task).is_some_and(|run| *run >= order.run) {
            return false;
        }
        let step = self.bodies[&task.job].steps[task.step as usize].clone();
        self.check_start(index, task, &step);
        let ends_at = (!step.gang).then(|| self.now + step.estimate_ms);
        self.workers[index].runs.push(SimulatedRun {
            task: task.clone(),
            run: order.run,
            ends_at,
            began_at: self.now,
            gang: step.gang,
            broken: false,
            // Some tasks fail in each run, others in the first ones only.
            fails: step.estimate_ms % 2 == 1 && u64::from(order.run) <= step.estimate_ms % 5,
            stopping_until: None,
        });
        // A start order grants a lease of 4 s, as in the dispatch crate.
        if self.workers[index].lease_until < self.now + 4_000 {
            self.workers[index].lease_until = self.now + 4_000;
        }
        if step.gang {
            self.begin_gang(task, order.run, &step);
        }
        true
    }

    fn check_start(&self, worker_index: usize, task: &TaskName, step: &arbutuspick_pool::StepBody) {
        assert!(
            !self.reported_done.contains(task),
            "{task} started after it was done"
        );
        for worker in &self.workers {
            let duplicate = worker.runs.iter().any(|run| run.task == *task);
            assert!(!duplicate, "{task} has two runs at once");
        }
        for earlier in &step.after {
            let count = self.bodies[&task.job].steps[*earlier as usize].count;
            for index in 0..count {
                let name = TaskName {
                    step: *earlier,
                    index,
                    ..task.clone()
                };
                assert!(
                    self.finished.contains(&name),
                    "{task} started before {name} was done"
                );
            }
        }
        let worker = &self.workers[worker_index];
        let mut free = worker.report.capacity;
        let mut siblings = 0;
        for run in &worker.runs {
            free -= self.bodies[&run.task.job].steps[run.task.step as usize].amount();
            let member = run.task.job == task.job && run.task.step == task.step;
            siblings += usize::from(member && run.task.occurrence == task.occurrence);
        }
        assert!(
            free.covers(&step.amount()),
            "{task} does not fit on {}",
            worker.report.id
        );
        let limit = step.spread_limit as usize;
        assert!(
            limit == 0 || siblings < limit,
            "{task} exceeds the spread limit on {}",
            worker.report.id
        );
        let label = &step.required_label;
        let labelled = worker.report.labels.iter().any(|own| own.as_ref() == label);
        assert!(label.is_empty() || labelled, "{task} needs the label {label}");
        assert!(
            (self.failures.get(task).copied().unwrap_or(0) as usize) < MAX_ATTEMPTS,
            "{task} started after its last attempt"
        );
    }

    fn stop_run(&mut self, order: &StopOrder) {
        self.stops += 1;
        let until = self.now + STOP_MS;
        let Some(worker) = self.workers.iter_mut().find(|worker| worker.key == order.worker) else {
            return;
        };
        if !worker.reachable {
            return;
        }
        let known = worker.ended_runs.entry(order.task.clone()).or_default();
        let running = worker
            .runs
            .iter_mut()
            .find(|run| run.task == order.task && run.run == order.run);
        match running {
            Some(run) => run.stopping_until = run.stopping_until.or(Some(until)),
            None => *known = (*known).max(order.run),
        }
        let now = self.now;
        self.core
            .apply_stop_answer(&order.task, order.run, order.worker, now);
    }

    /// Returns whether the present workers could not hold some step of the job if they were empty.
    pub(crate) fn is_hopeless(&self, body: &JobBody) -> bool {
        body.steps.iter().any(|step| {
            let label = &step.required_label;
            let fitting = self.workers.iter().map(|worker| {
                let report = &worker.report;
                let labelled = label.is_empty() || report.labels.iter().any(|own| own.as_ref() == label);
                let limit = if step.spread_limit == 0 {
                    step.count
                } else {
                    step.spread_limit
                };
                let mut free = report.capacity;
                let mut held = 0;
                while labelled && held < limit && free.covers(&step.amount()) {
                    free -= step.amount();
                    held += 1;
                }
                held
            });
            fitting.sum::<u32>() < if step.gang { step.count } else { 1 }
        })
    }

    /// Returns the jobs that have not ended.
    pub(crate) fn unfinished_jobs(&self) -> Vec<Arc<str>> {
        let unfinished = self.bodies.keys().filter(|id| !self.ended_jobs.contains(*id));
        unfinished.cloned().collect()
    }
}

/// Returns whether both are tasks of one step of one occurrence.
fn is_same_step(task: &TaskName, other: &TaskName) -> bool {
    (&task.job, task.occurrence, task.step) == (&other.job, other.occurrence, other.step)
}
