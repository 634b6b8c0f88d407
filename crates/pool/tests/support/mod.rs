//! A small pool whose workers execute all orders at once.

#![allow(dead_code)]

pub(crate) mod cap_watch;
pub(crate) mod idle_watch;
pub(crate) mod pace_replay;
pub(crate) mod pool_simulation;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_pool::{
    AccountRule, CoreOptions, EndKind, JobBody, JobRecord, JobStage, PoolCore, PoolOrder, PoolPolicy,
    QueueRule, RecordChange, ResourceAmount, RunEnd, RunStatus, StartAnswer, StartOrder, StepBody, StopOrder,
    TaskName, WorkerKey, WorkerListing, WorkerReport,
};

/// Wall clock at time 0 of the pool, in Unix milliseconds.
pub(crate) const WALL_START_MS: u64 = 1_700_000_000_000;

/// A scheduler with its time, the runs of its workers and the orders so far.
pub(crate) struct TestPool {
    pub(crate) core: PoolCore,
    pub(crate) now: ClockTime,
    pub(crate) workers: Vec<WorkerKey>,
    pub(crate) runs: HashMap<WorkerKey, Vec<(TaskName, u32)>>,
    pub(crate) ends: HashMap<WorkerKey, u64>,
    /// Percents of runs in listings, where they differ from those of the others.
    pub(crate) percents: HashMap<(TaskName, u32), u32>,
    pub(crate) starts: Vec<StartOrder>,
    pub(crate) stops: Vec<StopOrder>,
    pub(crate) changes: Vec<RecordChange>,
    policy: PoolPolicy,
    reports: Vec<WorkerReport>,
    bodies: BTreeMap<Arc<str>, JobBody>,
    /// The latest record of each job.
    pub(crate) records: BTreeMap<Arc<str>, JobRecord>,
}

pub(crate) fn queue(name: &str, priority: u32) -> Arc<QueueRule> {
    Arc::new(QueueRule {
        name: name.into(),
        service: "maps".into(),
        priority,
        max_attempts: 4,
        stretch: 3.0,
        allowance_ms: 1_000,
    })
}

pub(crate) fn policy(guaranteed: u64) -> PoolPolicy {
    let mut policy = PoolPolicy {
        version: 1,
        ..PoolPolicy::default()
    };
    for rule in [queue("urgent", 0), queue("normal", 1), queue("bulk", 2)] {
        policy.queues.insert(rule.name.clone(), rule);
    }
    for name in ["north", "south"] {
        let rule = AccountRule {
            name: name.into(),
            guaranteed_accelerators: guaranteed,
            ..AccountRule::default()
        };
        policy.accounts.insert(name.into(), rule);
    }
    policy
}

/// Returns a step whose tasks need one core, 1 GB and `accelerators`, and take two seconds.
pub(crate) fn step(count: u32, accelerators: u64) -> StepBody {
    StepBody {
        count,
        millicores: 1_000,
        memory_mb: 1_000,
        accelerators,
        estimate_ms: 2_000,
        ..StepBody::default()
    }
}

pub(crate) fn body(queue: &str, account: &str, steps: Vec<StepBody>) -> JobBody {
    JobBody {
        account: account.into(),
        queue: queue.into(),
        service: "maps".into(),
        spec: "work".into(),
        steps,
        accepted_at_ms: WALL_START_MS,
        max_attempts: 4,
        stretch: 3.0,
        ..JobBody::default()
    }
}

pub(crate) fn report(number: usize, rack: &str, centre: &str) -> WorkerReport {
    WorkerReport {
        id: format!("w{number}").into(),
        started_at_ms: 1,
        heartbeat: 0,
        address: "127.0.0.1:1".into(),
        service: "maps".into(),
        centre: centre.into(),
        labels: vec!["a".into(), rack.into()],
        capacity: ResourceAmount {
            millicores: 64_000,
            memory_mb: 256_000,
            accelerators: 8,
        },
        leaves_at: None,
    }
}

impl TestPool {
    /// Returns a pool of workers with 8 accelerators each, four to a rack, with racks in two data centres.
    pub(crate) fn new(workers: usize) -> Self {
        let mut core = PoolCore::new(CoreOptions::default());
        core.apply_policy(Arc::new(policy(16)));
        let now = ClockTime(100_000);
        let mut keys = Vec::new();
        let mut reports = Vec::new();
        for number in 0..workers {
            let centre = if number / 4 % 2 == 0 { "trent" } else { "severn" };
            let report = report(number, &format!("r{}", number / 4), centre);
            let key = core.update_worker(report.clone(), now);
            core.apply_listing(key, &empty_listing(now), now);
            keys.push(key);
            reports.push(report);
        }
        Self {
            core,
            now,
            workers: keys,
            runs: HashMap::new(),
            ends: HashMap::new(),
            percents: HashMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            changes: Vec::new(),
            policy: policy(16),
            reports,
            bodies: BTreeMap::new(),
            records: BTreeMap::new(),
        }
    }

    /// Replaces the scheduler by one that knows only the stored records; no worker has been listed by it.
    pub(crate) fn change_leader(&mut self) {
        self.core = PoolCore::new(CoreOptions::default());
        self.core.apply_policy(Arc::new(self.policy.clone()));
        let former = std::mem::take(&mut self.workers);
        let mut runs = HashMap::new();
        let mut ends = HashMap::new();
        for (report, former) in self.reports.iter().zip(former) {
            let key = self.core.update_worker(report.clone(), self.now);
            self.workers.push(key);
            runs.extend(self.runs.remove(&former).map(|runs| (key, runs)));
            ends.extend(self.ends.remove(&former).map(|ends| (key, ends)));
        }
        (self.runs, self.ends) = (runs, ends);
        let (now, wall) = (self.now, self.wall());
        for (id, body) in &self.bodies {
            let record = self.records.get(id).cloned().unwrap_or_default();
            if record.stage().is_final() {
                self.core.restore_ended_job(id, &record, now, wall, now + 10_000);
                continue;
            }
            self.core
                .add_job(id, body.clone(), &record, now, wall, now + 10_000);
        }
    }

    /// Changes the rule of an account in a new version of the configuration.
    pub(crate) fn change_account<F>(&mut self, account: &str, change: F)
    where
        F: FnOnce(&mut AccountRule),
    {
        let rule = self.policy.accounts.entry(account.into()).or_default();
        rule.name = account.into();
        change(rule);
        self.policy.version += 1;
        self.core.apply_policy(Arc::new(self.policy.clone()));
    }

    /// Limits the accelerators of an account.
    pub(crate) fn cap_accelerators(&mut self, account: &str, accelerators: i64) {
        self.change_account(account, |rule| rule.cap.accelerators = accelerators);
    }

    /// Lists all workers.
    pub(crate) fn list_all(&mut self) {
        for worker in self.workers.clone() {
            self.list(worker);
        }
    }

    /// Lets a worker announce that it shuts down after `millis`.
    pub(crate) fn announce_departure(&mut self, number: usize, millis: u64) {
        self.reports[number].leaves_at = Some(self.now + millis);
        self.core.update_worker(self.reports[number].clone(), self.now);
    }

    /// Returns the stored stage of a job.
    pub(crate) fn stage(&self, id: &str) -> JobStage {
        self.records.get(id).map_or(JobStage::Queued, JobRecord::stage)
    }

    /// Returns a pool with one task, which runs on a worker that has listed it.
    pub(crate) fn with_run() -> (Self, WorkerKey) {
        let mut pool = Self::new(4);
        pool.submit("job", body("normal", "south", vec![step(1, 8)]));
        pool.run_decision();
        let worker = pool.starts[0].worker;
        pool.advance(200);
        pool.list(worker);
        (pool, worker)
    }

    /// Applies a listing of a worker with all its runs.
    pub(crate) fn list(&mut self, worker: WorkerKey) {
        let (listing, now) = (self.listing(worker, 10), self.now);
        self.core.apply_listing(worker, &listing, now);
    }

    pub(crate) fn wall(&self) -> PlatformTime {
        PlatformTime(WALL_START_MS + self.now.0 - 100_000)
    }

    pub(crate) fn submit(&mut self, id: &str, mut body: JobBody) {
        body.accepted_at_ms = self.wall().0;
        let record = JobRecord::default();
        let (now, wall) = (self.now, self.wall());
        self.bodies.insert(id.into(), body.clone());
        self.core.add_job(&id.into(), body, &record, now, wall, now);
    }

    /// Decides and executes all orders at once.
    pub(crate) fn run_decision(&mut self) {
        let orders = self.decide();
        for order in orders {
            self.execute(order);
        }
    }

    /// Decides and returns the orders without executing them.
    pub(crate) fn decide(&mut self) -> Vec<PoolOrder> {
        let (now, wall) = (self.now, self.wall());
        self.core.decide(now, wall);
        let orders = self.core.take_orders();
        let changes = self.core.take_changes();
        for change in &changes {
            match &change.record {
                Some(record) => self.records.insert(change.job.clone(), record.clone()),
                None => self.records.remove(&change.job),
            };
        }
        self.changes.extend(changes);
        for order in &orders {
            match order {
                PoolOrder::Start(start) => self.starts.push(start.clone()),
                PoolOrder::Stop(stop) => self.stops.push(stop.clone()),
            }
        }
        orders
    }

    pub(crate) fn execute(&mut self, order: PoolOrder) {
        match order {
            PoolOrder::Start(start) => {
                let runs = self.runs.entry(start.worker).or_default();
                runs.push((start.task.clone(), start.run));
                let now = self.now;
                self.core
                    .apply_start_answer(&start.task, start.run, start.worker, StartAnswer::Started, now);
            }
            PoolOrder::Stop(stop) => {
                let now = self.now;
                self.core
                    .apply_stop_answer(&stop.task, stop.run, stop.worker, now);
                self.end_run(stop.worker, &stop.task, stop.run, EndKind::Stopped);
            }
        }
    }

    /// Ends a run and applies the listing that reports it.
    pub(crate) fn end_run(&mut self, worker: WorkerKey, task: &TaskName, run: u32, kind: EndKind) {
        self.end_run_with(worker, task, run, kind, "");
    }

    /// Ends a run with a last checkpoint and applies the listing that reports it.
    pub(crate) fn end_run_with(
        &mut self,
        worker: WorkerKey,
        task: &TaskName,
        run: u32,
        kind: EndKind,
        checkpoint: &str,
    ) {
        let runs = self.runs.entry(worker).or_default();
        let Some(index) = runs
            .iter()
            .position(|(name, number)| name == task && *number == run)
        else {
            return;
        };
        runs.remove(index);
        let number = self.ends.entry(worker).or_default();
        *number += 1;
        let end = RunEnd {
            number: *number,
            task: Some(task.clone()),
            run,
            kind,
            checkpoint: checkpoint.into(),
        };
        let mut listing = self.listing(worker, 0);
        listing.ended.push(end);
        let now = self.now;
        self.core.apply_listing(worker, &listing, now);
    }

    /// Returns the listing of a worker with all its runs at the same percent.
    pub(crate) fn listing(&self, worker: WorkerKey, percent: u32) -> WorkerListing {
        let runs = self.runs.get(&worker).map_or(&[][..], Vec::as_slice);
        let running = runs.iter().map(|(task, run)| RunStatus {
            task: Some(task.clone()),
            run: *run,
            checkpoint: "".into(),
            percent: self
                .percents
                .get(&(task.clone(), *run))
                .copied()
                .unwrap_or(percent),
        });
        WorkerListing {
            asked_at: self.now,
            running: running.collect(),
            ended: Vec::new(),
            is_complete: true,
        }
    }

    /// Ends all runs of a job as done.
    pub(crate) fn finish_job(&mut self, job: &str) {
        let matching: Vec<(WorkerKey, TaskName, u32)> = self
            .runs
            .iter()
            .flat_map(|(worker, runs)| runs.iter().map(|(task, run)| (*worker, task.clone(), *run)))
            .filter(|(_, task, _)| task.job.as_ref() == job)
            .collect();
        for (worker, task, run) in matching {
            self.end_run(worker, &task, run, EndKind::Done);
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + millis;
    }

    /// Returns the number of runs of a job that are present on workers.
    pub(crate) fn running_count(&self, job: &str) -> usize {
        let runs = self.runs.values().flatten();
        runs.filter(|(task, _)| task.job.as_ref() == job).count()
    }
}

pub(crate) fn empty_listing(now: ClockTime) -> WorkerListing {
    WorkerListing {
        asked_at: now,
        running: Vec::new(),
        ended: Vec::new(),
        is_complete: true,
    }
}
