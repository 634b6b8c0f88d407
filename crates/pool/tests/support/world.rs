//! Workers that keep their own books, so that what the core decides can be judged without asking it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_pool::{
    EndKind, JobBody, JobRecord, PoolCore, PoolOrder, RunEnd, RunStatus, StartAnswer, StartOrder, StopOrder,
    TaskName, WorkerKey, WorkerListing, WorkerReport,
};

use super::{WALL_START_MS, policy, report};

/// A run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorldRun {
    pub(crate) task: TaskName,
    pub(crate) run: u32,
    /// `None` while a gang waits for its members.
    pub(crate) ends_at: Option<ClockTime>,
    pub(crate) began_at: ClockTime,
    pub(crate) gang: bool,
    pub(crate) broken: bool,
    pub(crate) fails: bool,
    pub(crate) stopping_until: Option<ClockTime>,
}

/// One life of a worker.
#[derive(Debug)]
pub(crate) struct WorldWorker {
    pub(crate) key: WorkerKey,
    pub(crate) report: WorkerReport,
    pub(crate) runs: Vec<WorldRun>,
    pub(crate) ends: Vec<RunEnd>,
    pub(crate) ended_runs: HashMap<TaskName, u32>,
    pub(crate) reachable: bool,
    /// When the holder notices that it is cut off.
    pub(crate) noticed_at: Option<ClockTime>,
    pub(crate) lease_until: ClockTime,
    pub(crate) next_end: u64,
}

/// The pool, its core and what callers asked for.
pub(crate) struct World {
    pub(crate) core: PoolCore,
    pub(crate) now: ClockTime,
    pub(crate) workers: Vec<WorldWorker>,
    pub(crate) bodies: BTreeMap<Arc<str>, JobBody>,
    pub(crate) cancelled: HashSet<Arc<str>>,
    pub(crate) ended_jobs: HashSet<Arc<str>>,
    /// Tasks that have ended as done, whether the holder knows or not.
    pub(crate) finished: HashSet<TaskName>,
    /// Tasks whose end the holder was told in time; they must not start again.
    pub(crate) done: HashSet<TaskName>,
    pub(crate) failures: HashMap<TaskName, u32>,
    pub(crate) late_starts: Vec<(ClockTime, StartOrder)>,
    pub(crate) closed: HashSet<Arc<str>>,
    pub(crate) stops: usize,
    pub(crate) starts: usize,
    /// Every this many starts loses its answer.
    pub(crate) lose_start: Option<usize>,
    pub(crate) next_job: u64,
}

/// How long a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 300;
/// Time until the holder notices that a worker does not answer, in milliseconds.
const NOTICE_MS: u64 = 700;
/// How long members of a gang wait for each other, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;
/// Lease that the holder grants, in milliseconds.
const LEASE_MS: u64 = 9_000;

impl World {
    pub(crate) fn new(workers: usize) -> Self {
        let mut world = Self {
            core: PoolCore::new(Default::default()),
            now: ClockTime(100_000),
            workers: Vec::new(),
            bodies: BTreeMap::new(),
            cancelled: HashSet::new(),
            ended_jobs: HashSet::new(),
            finished: HashSet::new(),
            done: HashSet::new(),
            failures: HashMap::new(),
            late_starts: Vec::new(),
            closed: HashSet::new(),
            stops: 0,
            starts: 0,
            lose_start: None,
            next_job: 0,
        };
        world.core.apply_policy(Arc::new(policy(16)));
        for number in 0..workers {
            let centre = if number / 4 % 2 == 0 { "trent" } else { "severn" };
            let report = report(number, &format!("r{}", number / 4), centre);
            world.add_worker(report);
        }
        world
    }

    fn add_worker(&mut self, report: WorkerReport) {
        let key = self.core.report_worker(report.clone(), self.now);
        self.workers.push(WorldWorker {
            key,
            report,
            runs: Vec::new(),
            ends: Vec::new(),
            ended_runs: HashMap::new(),
            reachable: true,
            noticed_at: None,
            lease_until: self.now,
            next_end: 1,
        });
    }

    fn wall(&self) -> PlatformTime {
        PlatformTime(WALL_START_MS + self.now.0 - 100_000)
    }

    pub(crate) fn submit(&mut self, mut body: JobBody) {
        let id: Arc<str> = format!("{:016x}", self.next_job).into();
        self.next_job += 1;
        body.accepted_at_ms = self.wall().0;
        self.bodies.insert(id.clone(), body.clone());
        let (now, wall) = (self.now, self.wall());
        self.core
            .add_job(&id, body, &JobRecord::default(), now, wall, now);
    }

    pub(crate) fn cancel(&mut self, pick: usize) {
        let open: Vec<Arc<str>> = self
            .bodies
            .keys()
            .filter(|id| !self.ended_jobs.contains(*id))
            .cloned()
            .collect();
        if open.is_empty() {
            return;
        }
        let id = open[pick % open.len()].clone();
        self.core.cancel_job(&id, self.now);
        self.cancelled.insert(id);
    }

    pub(crate) fn cut(&mut self, pick: usize) {
        let at = pick % self.workers.len();
        if self.workers[at].reachable {
            self.workers[at].reachable = false;
            self.workers[at].noticed_at = Some(self.now + NOTICE_MS);
        }
    }

    fn notice_cuts(&mut self) {
        for worker in &mut self.workers {
            if worker.noticed_at.is_some_and(|at| at <= self.now) {
                worker.noticed_at = None;
                self.core.extend_lease_bound(worker.key, worker.lease_until + 500);
                self.core.lose_worker(worker.key, self.now);
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        for worker in &mut self.workers {
            worker.reachable = true;
            worker.noticed_at = None;
        }
    }

    /// A worker restarts under its id and knows nothing of before.
    pub(crate) fn restart(&mut self, pick: usize) {
        let at = pick % self.workers.len();
        let worker = self.workers.remove(at);
        let mut report = worker.report;
        report.born_ms += 1;
        report.leaves_at = None;
        self.add_worker(report);
    }

    pub(crate) fn drain(&mut self, pick: usize) {
        let at = pick % self.workers.len();
        self.workers[at].report.leaves_at = Some(self.now + 4_000);
        let report = self.workers[at].report.clone();
        self.core.report_worker(report, self.now);
    }

    pub(crate) fn close_centre(&mut self, closed: bool) {
        self.closed = if closed {
            HashSet::from(["trent".into()])
        } else {
            HashSet::new()
        };
        self.core.close_centres(self.closed.clone());
    }

    /// Lets time pass in small steps, in which runs end, workers are listed and the core decides.
    pub(crate) fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(50) {
            self.now = self.now + 50;
            self.run_late_starts();
            self.notice_cuts();
            self.end_runs();
            self.list_workers();
            self.decide();
        }
    }

    fn run_late_starts(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.late_starts.drain(..).partition(|(at, _)| *at <= now);
        self.late_starts = later;
        for (_, order) in due {
            self.begin(&order);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let mut finished = Vec::new();
        let mut broken = Vec::new();
        for worker in &mut self.workers {
            let lapsed = worker.lease_until < now;
            let runs = std::mem::take(&mut worker.runs);
            for run in runs {
                let stopped = run.stopping_until.is_some_and(|until| until <= now);
                let kind = if stopped {
                    EndKind::Stopped
                } else if lapsed {
                    EndKind::Lapsed
                } else if run.broken {
                    EndKind::GangBroken
                } else if run.ends_at.is_some_and(|end| end <= now) {
                    if run.fails { EndKind::Failed } else { EndKind::Done }
                } else if run.ends_at.is_none() && now.millis_since(run.began_at) > GANG_WAIT_MS {
                    EndKind::GangAlone
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
            self.finished.extend(self.done_with(&task));
        }
        for (task, number) in broken {
            for run in self.workers.iter_mut().flat_map(|worker| &mut worker.runs) {
                let same = run.task.job == task.job && run.task.step == task.step && run.run == number;
                run.broken |= same;
            }
        }
    }

    /// A gang works from the moment when all its members are present.
    fn begin_gang(&mut self, task: &TaskName, number: u32, step: &arbutuspick_pool::StepBody) {
        let ends_at = self.now + step.estimate_ms;
        let runs = self.workers.iter_mut().flat_map(|worker| &mut worker.runs);
        let members: Vec<&mut WorldRun> = runs
            .filter(|run| run.task.job == task.job && run.task.step == task.step && run.run == number)
            .collect();
        if members.len() == step.count as usize {
            for member in members {
                member.ends_at = Some(ends_at);
            }
        }
    }

    /// An end counts once the holder has been told, unless the lease ran out in between.
    fn note_ends(&mut self, ends: Vec<RunEnd>) {
        for end in ends {
            let Some(task) = end.task else { continue };
            match end.kind {
                EndKind::Done => self.done.extend(self.done_with(&task)),
                EndKind::Failed => *self.failures.entry(task).or_default() += 1,
                _ => {}
            }
        }
    }

    /// Returns the tasks that one end as done stands for: a gang ends together.
    fn done_with(&self, task: &TaskName) -> Vec<TaskName> {
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
        let mut told = Vec::new();
        for worker in &mut self.workers {
            if !worker.reachable {
                continue;
            }
            if worker.lease_until >= self.now {
                told.extend(worker.ends.iter().cloned());
            }
            worker.lease_until = self.now + LEASE_MS;
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
                ended: std::mem::take(&mut worker.ends),
            };
            self.core.apply_listing(worker.key, &listing, self.now);
        }
        self.note_ends(told);
    }

    pub(crate) fn decide(&mut self) {
        let (now, wall) = (self.now, self.wall());
        self.core.decide(now, wall);
        let orders = self.core.take_orders();
        for change in self.core.take_changes() {
            if change.record.is_some_and(|record| record.stage().is_final()) {
                self.ended_jobs.insert(change.job);
            }
        }
        let starts = orders.iter().filter_map(|order| match order {
            PoolOrder::Start(start) => Some(start.clone()),
            PoolOrder::Stop(_) => None,
        });
        let starts: Vec<StartOrder> = starts.collect();
        self.check_gangs(&starts);
        for order in orders {
            match order {
                PoolOrder::Start(start) => self.start(&start),
                PoolOrder::Stop(stop) => self.stop(&stop),
            }
        }
    }

    /// The starts of a gang come together and share their run.
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
                "gang of {job} has several runs"
            );
        }
    }

    fn start(&mut self, order: &StartOrder) {
        self.starts += 1;
        let job = &order.task.job;
        assert!(!self.cancelled.contains(job), "start of the cancelled job {job}");
        assert!(!self.ended_jobs.contains(job), "start of the ended job {job}");
        let worker = self.workers.iter().find(|worker| worker.key == order.worker);
        let worker = worker.expect("start on a worker that has ended");
        assert!(
            !self.closed.contains(&worker.report.centre),
            "start in a closed data centre"
        );
        assert!(worker.report.leaves_at.is_none(), "start on a leaving worker");
        let lost = self
            .lose_start
            .is_some_and(|every| self.starts.is_multiple_of(every));
        let reachable = worker.reachable;
        if lost || !reachable {
            if reachable {
                self.late_starts.push((self.now + 2_000, order.clone()));
            }
            self.answer(order, StartAnswer::Unclear);
        } else if self.begin(order) {
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

    /// Begins a run unless the worker knows that run or a later one; checks every rule for starts.
    fn begin(&mut self, order: &StartOrder) -> bool {
        let Some(at) = self.workers.iter().position(|worker| worker.key == order.worker) else {
            return false;
        };
        let task = &order.task;
        let worker = &self.workers[at];
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
        self.check_start(at, task, &step);
        let ends_at = (!step.gang).then(|| self.now + step.estimate_ms);
        self.workers[at].runs.push(WorldRun {
            task: task.clone(),
            run: order.run,
            ends_at,
            began_at: self.now,
            gang: step.gang,
            broken: false,
            fails: step.estimate_ms % 2 == 1 && order.run == 1,
            stopping_until: None,
        });
        if self.workers[at].lease_until < self.now + 4_000 {
            self.workers[at].lease_until = self.now + 4_000;
        }
        if step.gang {
            self.begin_gang(task, order.run, &step);
        }
        true
    }

    fn check_start(&self, at: usize, task: &TaskName, step: &arbutuspick_pool::StepBody) {
        assert!(!self.done.contains(task), "{task} started after it was done");
        for worker in &self.workers {
            let twice = worker.runs.iter().any(|run| run.task == *task);
            assert!(!twice, "{task} runs twice");
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
        let worker = &self.workers[at];
        let mut free = worker.report.capacity;
        let mut siblings = 0;
        for run in &worker.runs {
            free -= self.bodies[&run.task.job].steps[run.task.step as usize].amount();
            let same = run.task.job == task.job && run.task.step == task.step;
            siblings += usize::from(same && run.task.occurrence == task.occurrence);
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
            self.failures.get(task).copied().unwrap_or(0) < 4,
            "{task} has used its attempts"
        );
    }

    fn stop(&mut self, order: &StopOrder) {
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

    /// Returns the jobs that have neither ended nor were cancelled.
    pub(crate) fn open_jobs(&self) -> Vec<Arc<str>> {
        let open = self.bodies.keys().filter(|id| !self.ended_jobs.contains(*id));
        open.cloned().collect()
    }
}
