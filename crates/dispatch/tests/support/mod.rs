//! A store and workers in memory that several processes share, with faults on request.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbutuspick_dispatch::{
    BootClock, DispatchContext, DispatchOptions, FrontPolicy, GateOptions, HoldCall, HoldReply, JobGate,
    PolicyBoard, PolicyRows, RowChange, RowEntry, RowFollow, RowPage, RowStore, StartCall, StartReply,
    StopCall, StoreError, TransactOutcome, WorkerError, WorkerLink, follow_policy, run_seat,
};
use arbutuspick_model::{ClockTime, WorkerTime};
use arbutuspick_pool::{
    CoreOptions, EndKind, JobBody, PoolPolicy, QueueRule, ResourceAmount, RunEnd, RunStatus, StepBody,
    TaskName, WorkerReport,
};
use bytes::Bytes;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub(crate) const WORKER_TABLE: &str = "workers";
pub(crate) const CONFIG_TABLE: &str = "config";

/// How the store treats the calls of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMood {
    Fine,
    /// Refuses every call without doing anything.
    Refuses,
    /// Never answers.
    Silent,
    /// Makes changes and loses the answers.
    LosesAnswers,
    /// Makes changes two seconds later and never answers.
    LateWrites,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<(String, String), (Option<Bytes>, u64)>,
    version: u64,
    moods: HashMap<usize, StoreMood>,
}

/// The store as one process sees it.
#[derive(Clone, Debug)]
pub(crate) struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    process: usize,
    clock: BootClock,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap()
}

impl FakeStore {
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::default(),
            process: 0,
            clock: BootClock::of_runtime(),
        }
    }

    pub(crate) fn for_process(&self, process: usize) -> Self {
        Self {
            process,
            ..self.clone()
        }
    }

    pub(crate) fn set_mood(&self, process: usize, mood: StoreMood) {
        lock(&self.state).moods.insert(process, mood);
    }

    pub(crate) fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        let value = Some(Bytes::copy_from_slice(value));
        state.rows.insert((table.into(), key.into()), (value, version));
    }

    pub(crate) fn keys(&self, table: &str) -> Vec<String> {
        let state = lock(&self.state);
        let rows = state
            .rows
            .iter()
            .filter(|((name, _), (value, _))| name == table && value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    pub(crate) fn value(&self, table: &str, key: &str) -> Option<Bytes> {
        let state = lock(&self.state);
        state
            .rows
            .get(&(table.into(), key.into()))
            .and_then(|(value, _)| value.clone())
    }

    fn mood(&self) -> StoreMood {
        lock(&self.state)
            .moods
            .get(&self.process)
            .copied()
            .unwrap_or(StoreMood::Fine)
    }

    async fn wait_out(&self, deadline: ClockTime) -> StoreError {
        let left = deadline.millis_since(self.clock.now());
        tokio::time::sleep(Duration::from_millis(left)).await;
        StoreError::Unclear {
            message: "no answer".into(),
        }
    }

    async fn gate(&self, deadline: ClockTime) -> Result<(), StoreError> {
        tokio::time::sleep(Duration::from_millis(4)).await;
        match self.mood() {
            StoreMood::Refuses => Err(StoreError::NotDone {
                message: "refused".into(),
            }),
            StoreMood::Silent => Err(self.wait_out(deadline).await),
            _ => Ok(()),
        }
    }
}

fn apply(state: &mut StoreState, change: &RowChange) -> TransactOutcome {
    let present = |state: &StoreState, table: &str, key: &str| {
        let row = state.rows.get(&(table.into(), key.into()));
        row.filter(|(value, _)| value.is_some()).cloned()
    };
    let held = change.conditions.iter().all(|condition| {
        let version = present(state, condition.table, &condition.key).map_or(0, |(_, version)| version);
        version == condition.version
    });
    if !held {
        let rows = change.conditions.iter().filter_map(|condition| {
            let (value, version) = present(state, condition.table, &condition.key)?;
            Some(RowEntry {
                table: condition.table.into(),
                key: condition.key.clone(),
                value,
                version,
            })
        });
        return TransactOutcome::Conflict { rows: rows.collect() };
    }
    state.version += 1;
    let version = state.version;
    for write in &change.writes {
        let name = (write.table.to_owned(), write.key.to_string());
        state.rows.insert(name, (write.value.clone(), version));
    }
    TransactOutcome::Committed { version }
}

impl RowStore for FakeStore {
    async fn transact(&self, change: &RowChange, deadline: ClockTime) -> Result<TransactOutcome, StoreError> {
        self.gate(deadline).await?;
        match self.mood() {
            StoreMood::LosesAnswers => {
                apply(&mut lock(&self.state), change);
                Err(self.wait_out(deadline).await)
            }
            StoreMood::LateWrites => {
                let (state, change) = (self.state.clone(), change.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                    apply(&mut lock(&state), &change);
                });
                Err(self.wait_out(deadline).await)
            }
            _ => Ok(apply(&mut lock(&self.state), change)),
        }
    }

    async fn read(
        &self,
        table: &'static str,
        from: &str,
        limit: usize,
        deadline: ClockTime,
    ) -> Result<RowPage, StoreError> {
        self.gate(deadline).await?;
        let state = lock(&self.state);
        let rows = state
            .rows
            .iter()
            .filter(|((name, key), (value, _))| name == table && key.as_str() >= from && value.is_some());
        let rows: Vec<RowEntry> = rows
            .map(|((name, key), (value, version))| RowEntry {
                table: name.as_str().into(),
                key: key.as_str().into(),
                value: value.clone(),
                version: *version,
            })
            .collect();
        Ok(RowPage {
            has_more: rows.len() > limit,
            rows: rows.into_iter().take(limit).collect(),
            version: state.version,
        })
    }

    async fn follow(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
        deadline: ClockTime,
    ) -> Result<RowFollow, StoreError> {
        let until = self.clock.now() + wait_ms;
        loop {
            self.gate(deadline).await?;
            {
                let state = lock(&self.state);
                let changed = state
                    .rows
                    .iter()
                    .filter(|((name, _), (_, version))| name == table && *version > after);
                let mut rows: Vec<RowEntry> = changed
                    .map(|((name, key), (value, version))| RowEntry {
                        table: name.as_str().into(),
                        key: key.as_str().into(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect();
                rows.sort_by_key(|row| row.version);
                if !rows.is_empty() || self.clock.now() >= until {
                    return Ok(RowFollow::Changes {
                        rows,
                        version: state.version,
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

#[derive(Debug, Default)]
struct WorkerState {
    epoch: u64,
    runs: Vec<(TaskName, u32, ClockTime)>,
    ends: Vec<RunEnd>,
    ended: HashMap<TaskName, u32>,
    next_end: u64,
    lease_until: ClockTime,
}

#[derive(Debug, Default)]
struct FleetState {
    workers: HashMap<Arc<str>, WorkerState>,
    cut: HashSet<usize>,
    /// Every start that began, in order.
    began: Vec<(TaskName, u32, usize)>,
    twice: Vec<TaskName>,
    lapsed: usize,
    run_ms: u64,
}

/// Workers as one process reaches them.
#[derive(Clone, Debug)]
pub(crate) struct FakeFleet {
    state: Arc<Mutex<FleetState>>,
    process: usize,
    clock: BootClock,
}

impl FakeFleet {
    /// Returns workers whose tasks run for `run_ms`.
    pub(crate) fn new(run_ms: u64) -> Self {
        let fleet = Self {
            state: Arc::default(),
            process: 0,
            clock: BootClock::of_runtime(),
        };
        lock(&fleet.state).run_ms = run_ms;
        fleet
    }

    pub(crate) fn for_process(&self, process: usize) -> Self {
        Self {
            process,
            ..self.clone()
        }
    }

    /// Cuts a process off from all workers.
    pub(crate) fn cut(&self, process: usize) {
        lock(&self.state).cut.insert(process);
    }

    pub(crate) fn began(&self) -> Vec<(TaskName, u32, usize)> {
        lock(&self.state).began.clone()
    }

    /// Tasks that ran on two workers at once or after they were done.
    pub(crate) fn twice(&self) -> Vec<TaskName> {
        lock(&self.state).twice.clone()
    }

    pub(crate) fn lapsed(&self) -> usize {
        lock(&self.state).lapsed
    }

    pub(crate) fn running(&self) -> usize {
        self.end_runs();
        lock(&self.state)
            .workers
            .values()
            .map(|worker| worker.runs.len())
            .sum()
    }

    fn end_runs(&self) {
        let now = self.clock.now();
        let mut lapses = 0;
        for worker in lock(&self.state).workers.values_mut() {
            let lapsed = worker.lease_until < now;
            for (task, run, ends_at) in std::mem::take(&mut worker.runs) {
                if ends_at > now && !lapsed {
                    worker.runs.push((task, run, ends_at));
                    continue;
                }
                let kind = if ends_at <= now {
                    EndKind::Done
                } else {
                    EndKind::LeaseExpired
                };
                lapses += usize::from(kind == EndKind::LeaseExpired);
                worker.finish(task, run, kind);
            }
        }
        lock(&self.state).lapsed += lapses;
    }

    async fn reach(&self, deadline: ClockTime) -> Result<(), WorkerError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if lock(&self.state).cut.contains(&self.process) {
            let left = deadline.millis_since(self.clock.now());
            tokio::time::sleep(Duration::from_millis(left)).await;
            return Err(WorkerError::Unclear {
                message: "no answer".into(),
            });
        }
        self.end_runs();
        Ok(())
    }
}

impl WorkerState {
    fn finish(&mut self, task: TaskName, run: u32, kind: EndKind) {
        self.next_end += 1;
        self.ended.insert(task.clone(), run);
        self.ends.push(RunEnd {
            number: self.next_end,
            task: Some(task),
            run,
            kind,
            checkpoint: "".into(),
        });
    }

    fn admit(&mut self, epoch: u64) -> Result<(), WorkerError> {
        if epoch < self.epoch {
            return Err(WorkerError::Fenced);
        }
        self.epoch = epoch;
        Ok(())
    }
}

impl WorkerLink for FakeFleet {
    async fn start(
        &self,
        worker: &WorkerReport,
        call: &StartCall,
        deadline: ClockTime,
    ) -> Result<StartReply, WorkerError> {
        self.reach(deadline).await?;
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let run_ms = state.run_ms;
        let elsewhere = state.workers.values().any(|other| {
            other
                .runs
                .iter()
                .any(|(task, run, _)| *task == call.task && *run != call.run)
        });
        let own = state.workers.entry(worker.id.clone()).or_default();
        own.admit(call.epoch)?;
        if own
            .runs
            .iter()
            .any(|(task, run, _)| *task == call.task && *run == call.run)
        {
            return Ok(StartReply::Started {
                clock: WorkerTime(now.0),
            });
        }
        if own.ended.get(&call.task).is_some_and(|run| *run >= call.run) {
            return Ok(StartReply::Refused { reason: "old".into() });
        }
        own.lease_until = own.lease_until.max(ClockTime(call.lease_until.0));
        own.runs.push((call.task.clone(), call.run, now + run_ms));
        if elsewhere {
            state.twice.push(call.task.clone());
        }
        let process = self.process;
        state.began.push((call.task.clone(), call.run, process));
        Ok(StartReply::Started {
            clock: WorkerTime(now.0),
        })
    }

    async fn stop(
        &self,
        worker: &WorkerReport,
        call: &StopCall,
        deadline: ClockTime,
    ) -> Result<(), WorkerError> {
        self.reach(deadline).await?;
        let mut state = lock(&self.state);
        let own = state.workers.entry(worker.id.clone()).or_default();
        own.admit(call.epoch)?;
        match own
            .runs
            .iter()
            .position(|(task, run, _)| *task == call.task && *run == call.run)
        {
            Some(at) => {
                let (task, run, _) = own.runs.remove(at);
                own.finish(task, run, EndKind::Stopped);
            }
            None => {
                own.ended.insert(call.task.clone(), call.run);
            }
        }
        Ok(())
    }

    async fn hold(
        &self,
        worker: &WorkerReport,
        call: &HoldCall,
        deadline: ClockTime,
    ) -> Result<HoldReply, WorkerError> {
        let until = self.clock.now() + call.wait_ms;
        loop {
            self.reach(deadline).await?;
            {
                let now = self.clock.now();
                let mut state = lock(&self.state);
                let run_ms = state.run_ms.max(1);
                let own = state.workers.entry(worker.id.clone()).or_default();
                own.admit(call.epoch)?;
                own.ends.retain(|end| end.number > call.acknowledged);
                if let Some(lease) = call.lease_until {
                    own.lease_until = own.lease_until.max(ClockTime(lease.0));
                }
                if !own.ends.is_empty() || now >= until {
                    let running = own.runs.iter().map(|(task, run, ends_at)| RunStatus {
                        task: Some(task.clone()),
                        run: *run,
                        checkpoint: "".into(),
                        percent: u32::try_from(100 - ends_at.millis_since(now) * 100 / run_ms).unwrap(),
                    });
                    return Ok(HoldReply {
                        clock: WorkerTime(now.0),
                        born_ms: Some(1),
                        running: running.collect(),
                        ended: own.ends.clone(),
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) fn decode_workers(rows: &[RowEntry], _now: ClockTime) -> Vec<WorkerReport> {
    let present = rows.iter().filter(|row| row.value.is_some());
    let reports = present.map(|row| WorkerReport {
        id: row.key.clone(),
        started_at_ms: 1,
        address: "127.0.0.1:1".into(),
        service: "maps".into(),
        centre: "trent".into(),
        labels: vec!["a".into(), "r0".into()],
        capacity: ResourceAmount {
            millicores: 64_000,
            memory_mb: 256_000,
            accelerators: 8,
        },
        leaves_at: None,
    });
    reports.collect()
}

pub(crate) fn decode_policy(rows: &[RowEntry]) -> PolicyRows {
    let rule = Arc::new(queue_rule());
    let mut pool = PoolPolicy {
        version: rows.iter().map(|row| row.version).max().unwrap_or(1),
        ..PoolPolicy::default()
    };
    pool.queues.insert(rule.name.clone(), rule);
    PolicyRows {
        front: Some(Arc::new(FrontPolicy {
            pool: Arc::new(pool),
            ..FrontPolicy::default()
        })),
        centres: Vec::new(),
    }
}

fn queue_rule() -> QueueRule {
    QueueRule {
        name: "normal".into(),
        service: "maps".into(),
        priority: 1,
        max_attempts: 4,
        stretch: 3.0,
        allowance_ms: 1_000,
    }
}

/// One process: its gate for callers and its part in placing work.
pub(crate) struct TestProcess {
    pub(crate) gate: JobGate<FakeStore>,
    pub(crate) stopping: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl TestProcess {
    pub(crate) fn start(number: usize, store: &FakeStore, fleet: &FakeFleet) -> Self {
        let clock = BootClock::of_runtime();
        let store = store.for_process(number);
        let board = Arc::new(PolicyBoard::new(clock));
        let stopping = CancellationToken::new();
        let context = Arc::new(DispatchContext {
            store: store.clone(),
            link: fleet.for_process(number),
            decode_workers,
            board: board.clone(),
            seat: Default::default(),
            peers: None,
            state: Default::default(),
            clock,
            stopping: stopping.clone(),
            options: DispatchOptions {
                vm: format!("vm-{number}").into(),
                process: 1_000 + number as u64,
                worker_table: WORKER_TABLE,
                seat_handicap_ms: 0,
                core: CoreOptions::default(),
            },
        });
        let tasks = vec![
            tokio::spawn(follow_policy(store.clone(), board, CONFIG_TABLE, decode_policy)),
            tokio::spawn(run_seat(context)),
        ];
        Self {
            gate: JobGate::new(store, clock, GateOptions::default()),
            stopping,
            tasks,
        }
    }

    /// Ends the process without any notice.
    pub(crate) fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// A store with a configuration and `workers` workers.
pub(crate) fn store_with(workers: usize) -> FakeStore {
    let store = FakeStore::new();
    store.put(CONFIG_TABLE, "config", b"1");
    for number in 0..workers {
        store.put(WORKER_TABLE, &format!("w{number}"), b"1");
    }
    store
}

pub(crate) fn job(tasks: u32) -> JobBody {
    JobBody {
        account: "north".into(),
        queue: "normal".into(),
        service: "maps".into(),
        spec: "work".into(),
        steps: vec![StepBody {
            count: tasks,
            millicores: 1_000,
            memory_mb: 100,
            accelerators: 1,
            estimate_ms: 3_000,
            ..StepBody::default()
        }],
        accepted_at_ms: BootClock::default().wall().0,
        max_attempts: 4,
        stretch: 3.0,
        body_hash: u64::from(tasks),
        ..JobBody::default()
    }
}

pub(crate) fn deadline(millis: u64) -> ClockTime {
    BootClock::of_runtime().now() + millis
}

pub(crate) async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until a job is in a final stage; returns the stage's name.
pub(crate) async fn final_stage(process: &TestProcess, id: &str, limit_ms: u64) -> &'static str {
    let until = deadline(limit_ms);
    loop {
        let status = process.gate.status(id, deadline(2_000)).await;
        if let arbutuspick_dispatch::StatusOutcome::Known { stage, .. } = status
            && stage.is_final()
        {
            return stage.name();
        }
        assert!(
            deadline(0) < until,
            "job {id} did not end in {limit_ms} ms: {status:?}"
        );
        pass(50).await;
    }
}
