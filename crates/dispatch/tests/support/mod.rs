//! In-memory store and workers with fault injection, shared by the processes of a test.

#![allow(dead_code)]

pub(crate) mod faulty_fleet;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbutuspick_dispatch::{
    BootClock, ConnectionId, DispatchContext, DispatchOptions, FollowOutcome, FrontendPolicy, IntakeOptions,
    JobIntake, PolicyCache, PolicyRows, PollCall, PollReply, ProcessLimits, RowEntry, RowPage, RowStore,
    RowTransaction, StartCall, StartReply, StopCall, StoreError, TransactOutcome, UseProbe, WorkerClient,
    WorkerError, WorkerIdentity, follow_policy, run_dispatch,
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
/// Prefix of the rows that take a data centre out of service.
pub(crate) const CLOSED_PREFIX: &str = "closed/";

/// Limits of the store: bytes of a value, entries of a transaction, bytes of its values.
pub(crate) const MAX_ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_TRANSACTION_BYTES: usize = 750_000;

/// Number of ends that a worker lists at a time.
const ENDS_PER_LISTING: usize = 500;

/// Fault injected into the calls of one process to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMode {
    /// No fault.
    Normal,
    /// Refuses every call without executing it.
    Refuse,
    /// Neither executes nor answers calls.
    Hang,
    /// Executes transactions but loses the answers.
    LoseAnswers,
    /// Executes transactions two seconds later and never answers them.
    DelayWrites,
    /// Answers reads of whole tables after 300 ms.
    SlowReads,
    /// Answers reads after 300 ms, with the rows as of the call, and calls for changes after 300 ms.
    SlowPages,
    /// Executes transactions after 300 ms.
    SlowCommits,
    /// Answers reads of the job records after one second and calls for changes after 300 ms.
    SlowRecords,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<(String, String), (Option<Bytes>, u64)>,
    version: u64,
    modes: HashMap<usize, StoreMode>,
}

/// The shared store, as accessed by one process.
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
            clock: BootClock::from_runtime(),
        }
    }

    pub(crate) fn for_process(&self, process: usize) -> Self {
        Self {
            process,
            ..self.clone()
        }
    }

    pub(crate) fn set_mode(&self, process: usize, mode: StoreMode) {
        lock(&self.state).modes.insert(process, mode);
    }

    pub(crate) fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        let value = Some(Bytes::copy_from_slice(value));
        state.rows.insert((table.into(), key.into()), (value, version));
    }

    pub(crate) fn remove(&self, table: &str, key: &str) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), key.into()), (None, version));
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

    fn page(&self, table: &str, from: &str, limit: usize) -> RowPage {
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
        RowPage {
            has_more: rows.len() > limit,
            rows: rows.into_iter().take(limit).collect(),
            version: state.version,
        }
    }

    fn mode(&self) -> StoreMode {
        lock(&self.state)
            .modes
            .get(&self.process)
            .copied()
            .unwrap_or(StoreMode::Normal)
    }

    async fn wait_for_deadline(&self, deadline: ClockTime) -> StoreError {
        let remaining_ms = deadline.millis_since(self.clock.now());
        tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
        StoreError::Indeterminate {
            message: "no answer".into(),
        }
    }

    async fn check_mode(&self, deadline: ClockTime) -> Result<(), StoreError> {
        tokio::time::sleep(Duration::from_millis(4)).await;
        match self.mode() {
            StoreMode::Refuse => Err(StoreError::NotExecuted {
                message: "refused".into(),
            }),
            StoreMode::Hang => Err(self.wait_for_deadline(deadline).await),
            _ => Ok(()),
        }
    }
}

/// Refuses transactions beyond the limits of the store.
fn check_size(transaction: &RowTransaction) -> Result<(), StoreError> {
    let entries = transaction.conditions.len() + transaction.writes.len();
    let values = transaction.writes.iter().filter_map(|write| write.value.as_ref());
    let (largest, total) = values.fold((0, 0), |(largest, total), value| {
        (value.len().max(largest), total + value.len())
    });
    if largest <= MAX_ROW_BYTES && entries <= MAX_ENTRIES && total <= MAX_TRANSACTION_BYTES {
        return Ok(());
    }
    Err(StoreError::NotExecuted {
        message: format!("too large: {entries} entries, a value of {largest} bytes, {total} bytes in total"),
    })
}

fn apply(state: &mut StoreState, transaction: &RowTransaction) -> TransactOutcome {
    let live_row = |state: &StoreState, table: &str, key: &str| {
        let row = state.rows.get(&(table.into(), key.into()));
        row.filter(|(value, _)| value.is_some()).cloned()
    };
    let conditions_hold = transaction.conditions.iter().all(|condition| {
        let version = live_row(state, condition.table, &condition.key).map_or(0, |(_, version)| version);
        version == condition.version
    });
    if !conditions_hold {
        let rows = transaction.conditions.iter().filter_map(|condition| {
            let (value, version) = live_row(state, condition.table, &condition.key)?;
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
    for write in &transaction.writes {
        let name = (write.table.to_owned(), write.key.to_string());
        state.rows.insert(name, (write.value.clone(), version));
    }
    TransactOutcome::Committed { version }
}

impl RowStore for FakeStore {
    async fn transact(
        &self,
        transaction: &RowTransaction,
        deadline: ClockTime,
    ) -> Result<TransactOutcome, StoreError> {
        self.check_mode(deadline).await?;
        check_size(transaction)?;
        match self.mode() {
            StoreMode::LoseAnswers => {
                apply(&mut lock(&self.state), transaction);
                Err(self.wait_for_deadline(deadline).await)
            }
            StoreMode::DelayWrites => {
                let (state, transaction) = (self.state.clone(), transaction.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                    apply(&mut lock(&state), &transaction);
                });
                Err(self.wait_for_deadline(deadline).await)
            }
            mode => {
                if mode == StoreMode::SlowCommits {
                    tokio::time::sleep(Duration::from_millis(300)).await;
                }
                Ok(apply(&mut lock(&self.state), transaction))
            }
        }
    }

    async fn read(
        &self,
        table: &'static str,
        from: &str,
        limit: usize,
        deadline: ClockTime,
    ) -> Result<RowPage, StoreError> {
        self.check_mode(deadline).await?;
        match self.mode() {
            StoreMode::SlowReads => tokio::time::sleep(Duration::from_millis(300)).await,
            StoreMode::SlowRecords if table == "progress" => {
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            _ => {}
        }
        let page = self.page(table, from, limit);
        if self.mode() == StoreMode::SlowPages {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        Ok(page)
    }

    async fn follow(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
        deadline: ClockTime,
    ) -> Result<FollowOutcome, StoreError> {
        let until = self.clock.now() + wait_ms;
        if matches!(self.mode(), StoreMode::SlowRecords | StoreMode::SlowPages) {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        loop {
            self.check_mode(deadline).await?;
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
                    return Ok(FollowOutcome::Changes {
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
    disconnected: HashSet<usize>,
    /// Started runs in order: task, number of the run, process that sent the order.
    started_runs: Vec<(TaskName, u32, usize)>,
    duplicated_tasks: Vec<TaskName>,
    expired_leases: usize,
    run_ms: u64,
    /// Present connection to all workers; calls meant for another one are not sent.
    connection: u64,
    /// Whether workers close the connection after each reply.
    closes_connections: bool,
    /// Number of acknowledgements, and of those that were sent on any connection.
    acknowledgements: usize,
    unpinned_acknowledgements: usize,
    /// Numbers of starts and of renewals of leases that were sent on any connection.
    unpinned_starts: usize,
    unpinned_renewals: usize,
}

impl FleetState {
    /// Checks that a call is meant for the present connection.
    fn check_connection_id(&self, only_on: Option<ConnectionId>) -> Result<(), WorkerError> {
        match only_on {
            Some(connection) if connection.0 != self.connection => Err(WorkerError::ConnectionClosed),
            _ => Ok(()),
        }
    }

    /// Returns the connection of a reply, and closes it if workers do so after each reply.
    fn reply_connection(&mut self) -> ConnectionId {
        let connection = ConnectionId(self.connection);
        self.connection += u64::from(self.closes_connections);
        connection
    }
}

/// The shared workers, as accessed by one process.
#[derive(Clone, Debug)]
pub(crate) struct FakeFleet {
    state: Arc<Mutex<FleetState>>,
    process: usize,
    clock: BootClock,
}

impl FakeFleet {
    /// Returns workers that run every task for `run_ms`.
    pub(crate) fn new(run_ms: u64) -> Self {
        let fleet = Self {
            state: Arc::default(),
            process: 0,
            clock: BootClock::from_runtime(),
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

    /// Disconnects a process from all workers.
    pub(crate) fn disconnect(&self, process: usize) {
        lock(&self.state).disconnected.insert(process);
    }

    pub(crate) fn started_runs(&self) -> Vec<(TaskName, u32, usize)> {
        lock(&self.state).started_runs.clone()
    }

    /// Returns the tasks that were started while another run of them was active.
    pub(crate) fn duplicated_tasks(&self) -> Vec<TaskName> {
        lock(&self.state).duplicated_tasks.clone()
    }

    pub(crate) fn close_connections(&self, after_each_reply: bool) {
        let mut state = lock(&self.state);
        state.connection += 1;
        state.closes_connections = after_each_reply;
    }

    /// Returns the number of acknowledgements, and of those that were sent on any connection.
    pub(crate) fn acknowledgements(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.acknowledgements, state.unpinned_acknowledgements)
    }

    /// Returns the numbers of starts and of renewals of leases that were sent on any connection.
    pub(crate) fn unpinned_grants(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.unpinned_starts, state.unpinned_renewals)
    }

    pub(crate) fn expired_leases(&self) -> usize {
        lock(&self.state).expired_leases
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
        let mut expired = 0;
        for worker in lock(&self.state).workers.values_mut() {
            let is_expired = worker.lease_until < now;
            for (task, run, ends_at) in std::mem::take(&mut worker.runs) {
                if ends_at > now && !is_expired {
                    worker.runs.push((task, run, ends_at));
                    continue;
                }
                let kind = if ends_at <= now {
                    EndKind::Done
                } else {
                    EndKind::LeaseExpired
                };
                expired += usize::from(kind == EndKind::LeaseExpired);
                worker.finish(task, run, kind);
            }
        }
        lock(&self.state).expired_leases += expired;
    }

    async fn check_connection(&self, deadline: ClockTime) -> Result<(), WorkerError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if lock(&self.state).disconnected.contains(&self.process) {
            let remaining_ms = deadline.millis_since(self.clock.now());
            tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
            return Err(WorkerError::Indeterminate {
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

    fn check_epoch(&mut self, epoch: u64) -> Result<(), WorkerError> {
        if epoch < self.epoch {
            return Err(WorkerError::Fenced);
        }
        self.epoch = epoch;
        Ok(())
    }
}

impl WorkerClient for FakeFleet {
    async fn identify(
        &self,
        worker: &WorkerReport,
        epoch: u64,
        deadline: ClockTime,
    ) -> Result<WorkerIdentity, WorkerError> {
        self.check_connection(deadline).await?;
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state
            .workers
            .entry(worker.id.clone())
            .or_default()
            .check_epoch(epoch)?;
        Ok(WorkerIdentity {
            clock: WorkerTime(now.0),
            born_ms: Some(1),
            connection: state.reply_connection(),
        })
    }

    async fn start(
        &self,
        worker: &WorkerReport,
        call: &StartCall,
        deadline: ClockTime,
    ) -> Result<StartReply, WorkerError> {
        self.check_connection(deadline).await?;
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.check_connection_id(call.only_on)?;
        state.unpinned_starts += usize::from(call.only_on.is_none());
        state.reply_connection();
        let run_ms = state.run_ms;
        let is_running_elsewhere = state.workers.values().any(|other| {
            other
                .runs
                .iter()
                .any(|(task, run, _)| *task == call.task && *run != call.run)
        });
        let own = state.workers.entry(worker.id.clone()).or_default();
        own.check_epoch(call.epoch)?;
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
        if is_running_elsewhere {
            state.duplicated_tasks.push(call.task.clone());
        }
        let process = self.process;
        state.started_runs.push((call.task.clone(), call.run, process));
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
        self.check_connection(deadline).await?;
        let mut state = lock(&self.state);
        let own = state.workers.entry(worker.id.clone()).or_default();
        own.check_epoch(call.epoch)?;
        match own
            .runs
            .iter()
            .position(|(task, run, _)| *task == call.task && *run == call.run)
        {
            Some(index) => {
                let (task, run, _) = own.runs.remove(index);
                own.finish(task, run, EndKind::Stopped);
            }
            None => {
                own.ended.insert(call.task.clone(), call.run);
            }
        }
        Ok(())
    }

    async fn poll(
        &self,
        worker: &WorkerReport,
        call: &PollCall,
        deadline: ClockTime,
    ) -> Result<PollReply, WorkerError> {
        {
            let mut state = lock(&self.state);
            state.check_connection_id(call.only_on)?;
            let acknowledges = call.acknowledged > 0;
            state.acknowledgements += usize::from(acknowledges);
            state.unpinned_acknowledgements += usize::from(acknowledges && call.only_on.is_none());
            state.unpinned_renewals += usize::from(call.lease_until.is_some() && call.only_on.is_none());
        }
        let until = self.clock.now() + call.wait_ms;
        loop {
            self.check_connection(deadline).await?;
            {
                let now = self.clock.now();
                let mut state = lock(&self.state);
                let connection = state.reply_connection();
                let run_ms = state.run_ms.max(1);
                let own = state.workers.entry(worker.id.clone()).or_default();
                own.check_epoch(call.epoch)?;
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
                    return Ok(PollReply {
                        clock: WorkerTime(now.0),
                        born_ms: Some(1),
                        running: running.collect(),
                        ended: own.ends.iter().take(ENDS_PER_LISTING).cloned().collect(),
                        connection,
                        is_complete: own.ends.len() < ENDS_PER_LISTING,
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) fn decode_workers(rows: &[RowEntry], _now: ClockTime) -> Vec<WorkerReport> {
    let live_rows = rows.iter().filter(|row| row.value.is_some());
    let reports = live_rows.map(|row| WorkerReport {
        id: row.key.clone(),
        started_at_ms: 1,
        heartbeat: 0,
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
        frontend: Some(Arc::new(FrontendPolicy {
            pool: Arc::new(pool),
            ..FrontendPolicy::default()
        })),
        centres: rows
            .iter()
            .filter_map(|row| Some((row.key.strip_prefix(CLOSED_PREFIX)?.into(), row.value.is_some())))
            .collect(),
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

/// A process under test: its job intake and its part in leader election and scheduling.
pub(crate) struct TestProcess {
    pub(crate) intake: JobIntake<FakeStore>,
    pub(crate) stopping: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl TestProcess {
    pub(crate) fn start(number: usize, store: &FakeStore, fleet: &FakeFleet) -> Self {
        let clock = BootClock::from_runtime();
        let store = store.for_process(number);
        let cache = Arc::new(PolicyCache::new(clock));
        let stopping = CancellationToken::new();
        let context = Arc::new(DispatchContext {
            store: store.clone(),
            worker_client: fleet.for_process(number),
            decode_workers,
            policy_cache: cache.clone(),
            leader: Default::default(),
            peer_probe: None,
            use_probe: UseProbe::default(),
            state_dump: Default::default(),
            clock,
            stopping: stopping.clone(),
            options: DispatchOptions {
                vm: format!("vm-{number}").into(),
                instance_id: 1_000 + number as u64,
                worker_table: WORKER_TABLE,
                registry_silence_ms: 4_500,
                limits: ProcessLimits::default(),
                max_row_bytes: MAX_ROW_BYTES,
                core: CoreOptions::default(),
            },
        });
        let tasks = vec![
            tokio::spawn(follow_policy(store.clone(), cache, CONFIG_TABLE, decode_policy)),
            tokio::spawn(run_dispatch(context)),
        ];
        Self {
            intake: JobIntake::new(store, clock, IntakeOptions::default()),
            stopping,
            tasks,
        }
    }

    /// Aborts the process without a graceful stop.
    pub(crate) fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Returns a store with a configuration and `workers` workers.
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
    BootClock::from_runtime().now() + millis
}

pub(crate) async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until a job is in a final stage; returns the name of the stage.
pub(crate) async fn final_stage(process: &TestProcess, id: &str, limit_ms: u64) -> &'static str {
    let until = deadline(limit_ms);
    loop {
        let status = process.intake.status(id, deadline(2_000)).await;
        if let arbutuspick_dispatch::StatusOutcome::Known { stage, .. } = status
            && stage.is_final()
        {
            return stage.name();
        }
        assert!(
            deadline(0) < until,
            "job {id} did not end in {limit_ms} ms: {status:?}"
        );
        sleep_ms(50).await;
    }
}
