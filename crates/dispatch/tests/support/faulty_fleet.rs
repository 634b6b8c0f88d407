//! Workers with drifting clocks behind a faulty network, which check that no task runs twice.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbutuspick_dispatch::{
    BootClock, ConnectionId, PollCall, PollReply, RowEntry, StartCall, StartReply, StopCall, WorkerClient,
    WorkerError, WorkerIdentity,
};
use arbutuspick_model::{ClockTime, WorkerTime};
use arbutuspick_pool::{EndKind, ResourceAmount, RunEnd, RunStatus, TaskName, WorkerReport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{FakeStore, WORKER_TABLE};

/// Interval at which workers renew their registry entries, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// Time of silence after which an entry expires, in milliseconds.
pub(crate) const SILENCE_MS: u64 = 3 * HEARTBEAT_MS;
/// Longest lease that a worker grants, in milliseconds on its clock.
const MAX_LEASE_MS: u64 = 10_000;
/// Number of ends that a worker lists at a time.
const ENDS_PER_LISTING: usize = 2;
/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 300;
/// Delay after which an order without an answer takes effect, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;
/// Delay of a registry write that gets no answer, in milliseconds.
const LATE_WRITE_MS: std::ops::Range<u64> = 1_000..6_000;
/// Share of the registry writes that get no answer and are carried out late, in percent.
const LATE_WRITE_PERCENT: u32 = 12;
/// Data centres of the workers; only data centre 0 can be cut off.
pub(crate) const CENTRES: usize = 2;

#[derive(Clone, Debug)]
struct ActiveRun {
    task: TaskName,
    run: u32,
    ends_at: ClockTime,
    stopped_at: Option<ClockTime>,
}

#[derive(Debug)]
struct FaultyWorker {
    id: Arc<str>,
    centre: usize,
    born: u64,
    started_at: ClockTime,
    /// Speed of the worker's clock, in thousandths.
    speed: u64,
    up_from: ClockTime,
    leaving: bool,
    /// When a leaving worker shuts down.
    departs_at: Option<ClockTime>,
    heartbeat_at: ClockTime,
    /// Number of the latest heartbeat of this incarnation.
    heartbeat: u64,
    epoch: u64,
    lease_until: u64,
    runs: Vec<ActiveRun>,
    ends: Vec<RunEnd>,
    ended_runs: HashMap<TaskName, u32>,
    next_end: u64,
    /// Ends up to this number were listed before the lease expired, so acknowledging them means nothing.
    void_end: u64,
}

impl FaultyWorker {
    fn clock(&self, now: ClockTime) -> u64 {
        now.millis_since(self.started_at) * self.speed / 1_000
    }

    fn restart(&mut self, now: ClockTime, down_ms: u64) {
        self.born += 1;
        self.up_from = now + down_ms;
        self.started_at = self.up_from;
        (self.epoch, self.lease_until, self.next_end, self.void_end) = (0, 0, 0, 0);
        (self.leaving, self.departs_at, self.heartbeat) = (false, None, 0);
        self.runs.clear();
        self.ends.clear();
        self.ended_runs.clear();
    }

    fn finish(&mut self, run: &ActiveRun, kind: EndKind) {
        self.next_end += 1;
        let known = self.ended_runs.entry(run.task.clone()).or_default();
        *known = (*known).max(run.run);
        self.ends.push(RunEnd {
            number: self.next_end,
            task: Some(run.task.clone()),
            run: run.run,
            kind,
            checkpoint: "".into(),
        });
    }

    fn end_runs(&mut self, now: ClockTime) {
        let expired = self.lease_until < self.clock(now);
        for run in std::mem::take(&mut self.runs) {
            if run.stopped_at.is_some_and(|at| at <= now) {
                self.finish(&run, EndKind::Stopped);
            } else if run.ends_at <= now {
                self.finish(&run, EndKind::Done);
            } else if expired {
                self.finish(&run, EndKind::LeaseExpired);
            } else {
                self.runs.push(run);
            }
        }
        if expired {
            self.void_end = self.next_end;
        }
    }

    fn extend_lease(&mut self, until: u64, now: ClockTime) {
        let limit = self.clock(now) + MAX_LEASE_MS;
        self.lease_until = self.lease_until.max(until.min(limit));
    }
}

#[derive(Debug)]
struct FleetState {
    workers: BTreeMap<Arc<str>, FaultyWorker>,
    rng: StdRng,
    cut_until: ClockTime,
    /// Share of the orders that get no answer, in percent.
    lossy_percent: u32,
    starts: usize,
    violations: Vec<String>,
    /// Runs whose worker reported them as done and was told that this is stored.
    acknowledged: HashMap<TaskName, u32>,
    /// Tasks that were started again after a run of them had ended as done, though that was not acknowledged.
    restarted_done: HashSet<(TaskName, u32)>,
}

impl FleetState {
    fn is_cut(&self, worker: &FaultyWorker, now: ClockTime) -> bool {
        worker.centre == 0 && now < self.cut_until
    }

    fn start(&mut self, id: &str, call: &StartCall, now: ClockTime) -> Result<StartReply, WorkerError> {
        let others = self
            .workers
            .values_mut()
            .filter(|worker| worker.id.as_ref() != id);
        let mut elsewhere = None;
        let mut done_runs = Vec::new();
        for other in others {
            other.end_runs(now);
            let done = other.ends.iter().filter(|end| {
                end.kind == EndKind::Done && end.task.as_ref() == Some(&call.task) && end.run != call.run
            });
            done_runs.extend(done.map(|end| (call.task.clone(), end.run)));
            let found = other.runs.iter().any(|run| run.task == call.task);
            elsewhere = elsewhere.or(found.then(|| other.id.clone()));
        }
        let worker = self.workers.get_mut(id).expect("unknown worker");
        worker.end_runs(now);
        if call.epoch < worker.epoch {
            return Err(WorkerError::Fenced);
        }
        worker.epoch = call.epoch;
        let started = StartReply::Started {
            clock: WorkerTime(worker.clock(now)),
        };
        if worker
            .runs
            .iter()
            .any(|run| run.task == call.task && run.run == call.run)
        {
            return Ok(started);
        }
        let refused = |reason: &str| {
            Ok(StartReply::Refused {
                reason: reason.into(),
            })
        };
        if worker
            .ended_runs
            .get(&call.task)
            .is_some_and(|run| *run >= call.run)
        {
            return refused("old");
        }
        if call.lease_until.0 < worker.clock(now) {
            return refused("late");
        }
        worker.extend_lease(call.lease_until.0, now);
        let same_worker = worker.runs.iter().any(|run| run.task == call.task);
        let run_ms = self.rng.random_range(300..9_000);
        worker.runs.push(ActiveRun {
            task: call.task.clone(),
            run: call.run,
            ends_at: now + run_ms,
            stopped_at: None,
        });
        self.starts += 1;
        self.restarted_done.extend(done_runs);
        if let Some(other) = elsewhere {
            self.violations.push(format!(
                "{now} {}/{} on {id} runs on {other}",
                call.task, call.run
            ));
        }
        if same_worker || self.acknowledged.contains_key(&call.task) {
            self.violations
                .push(format!("{now} {}/{} again on {id}", call.task, call.run));
        }
        Ok(started)
    }
}

/// The workers as accessed by one process.
#[derive(Clone, Debug)]
pub(crate) struct FaultyFleet {
    state: Arc<Mutex<FleetState>>,
    clock: BootClock,
}

impl FaultyFleet {
    pub(crate) fn new(workers: usize, seed: u64) -> Self {
        let clock = BootClock::from_runtime();
        let now = clock.now();
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = (0..workers).map(|number| {
            let id: Arc<str> = format!("w{number}").into();
            let worker = FaultyWorker {
                id: id.clone(),
                centre: number % CENTRES,
                born: 1,
                started_at: now,
                speed: [980, 1_000, 1_020][rng.random_range(0..3)],
                up_from: now,
                leaving: false,
                departs_at: None,
                heartbeat_at: now,
                heartbeat: 0,
                epoch: 0,
                lease_until: 0,
                runs: Vec::new(),
                ends: Vec::new(),
                ended_runs: HashMap::new(),
                next_end: 0,
                void_end: 0,
            };
            (id, worker)
        });
        let workers = workers.collect();
        let state = FleetState {
            workers,
            rng,
            cut_until: now,
            lossy_percent: 0,
            starts: 0,
            violations: Vec::new(),
            acknowledged: HashMap::new(),
            restarted_done: HashSet::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    fn with<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&mut FleetState, ClockTime) -> T,
    {
        action(&mut self.state.lock().unwrap(), self.clock.now())
    }

    /// Cuts data centre 0 off from all processes and from the registry.
    pub(crate) fn cut(&self, millis: u64) {
        self.with(|state, now| state.cut_until = now + millis);
    }

    pub(crate) fn set_lossy(&self, percent: u32) {
        self.with(|state, _| state.lossy_percent = percent);
    }

    pub(crate) fn restart(&self, number: usize, down_ms: u64) {
        self.with(|state, now| {
            let count = state.workers.len();
            if let Some(worker) = state.workers.values_mut().nth(number % count) {
                worker.restart(now, down_ms);
            }
        });
    }

    /// Lets a worker announce that it leaves; it shuts down after `millis` and comes back later.
    pub(crate) fn leave(&self, number: usize, millis: u64) {
        self.with(|state, now| {
            let count = state.workers.len();
            if let Some(worker) = state.workers.values_mut().nth(number % count) {
                worker.leaving = true;
                worker.departs_at = Some(now + millis);
            }
        });
    }

    pub(crate) fn starts(&self) -> usize {
        self.with(|state, _| state.starts)
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.with(|state, _| state.violations.clone())
    }

    /// Keeps the registry: heartbeats, entries of leaving workers, entries that expire, and writes that are
    /// carried out late, even after the next incarnation of the worker has begun.
    pub(crate) async fn run_registry(self, store: FakeStore) {
        let mut stored_at: BTreeMap<Arc<str>, ClockTime> = BTreeMap::new();
        // Late writes: when each is carried out, the id and the entry, `None` for a removal.
        let mut late_writes: Vec<(ClockTime, Arc<str>, Option<String>)> = Vec::new();
        loop {
            self.with(|state, now| {
                for (_, id, value) in late_writes.extract_if(.., |(at, _, _)| *at <= now) {
                    match value {
                        Some(value) => {
                            store.put(WORKER_TABLE, &id, value.as_bytes());
                            stored_at.insert(id, now);
                        }
                        None => store.remove(WORKER_TABLE, &id),
                    }
                }
                let cut_until = state.cut_until;
                let rng = &mut state.rng;
                let mut late_at = || {
                    let is_late = rng.random_range(0..100) < LATE_WRITE_PERCENT;
                    is_late.then(|| now + rng.random_range(LATE_WRITE_MS))
                };
                for worker in state.workers.values_mut() {
                    let is_cut = worker.centre == 0 && now < cut_until;
                    if worker.departs_at.is_some_and(|at| at <= now) {
                        worker.restart(now, 4_000);
                        match late_at() {
                            _ if is_cut => {}
                            Some(at) => late_writes.push((at, worker.id.clone(), None)),
                            None => {
                                store.remove(WORKER_TABLE, &worker.id);
                                stored_at.remove(&worker.id);
                            }
                        }
                    }
                    let is_up = now >= worker.up_from;
                    if is_up && !is_cut && (now >= worker.heartbeat_at || !stored_at.contains_key(&worker.id))
                    {
                        worker.heartbeat_at = now + HEARTBEAT_MS;
                        worker.heartbeat += 1;
                        let value = format!(
                            "{} {} {} {}",
                            worker.born, worker.leaving, worker.centre, worker.heartbeat
                        );
                        if let Some(at) = late_at() {
                            late_writes.push((at, worker.id.clone(), Some(value)));
                        } else {
                            store.put(WORKER_TABLE, &worker.id, value.as_bytes());
                            stored_at.insert(worker.id.clone(), now);
                        }
                    }
                }
                stored_at.retain(|id, at| {
                    let expired = now.millis_since(*at) >= SILENCE_MS;
                    if expired {
                        store.remove(WORKER_TABLE, id);
                    }
                    !expired
                });
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn wait_until(&self, deadline: ClockTime) -> WorkerError {
        let remaining_ms = deadline.millis_since(self.clock.now());
        tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
        WorkerError::Indeterminate {
            message: "no answer".into(),
        }
    }

    /// Delays a call and returns whether its answer is lost, and whether it takes effect late.
    async fn transmit(&self, id: &str, deadline: ClockTime) -> Result<(bool, bool), WorkerError> {
        let delay_ms = self.with(|state, _| state.rng.random_range(1..40));
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let (cut, down) = self.with(|state, now| {
            let worker = &state.workers[id];
            (state.is_cut(worker, now), now < worker.up_from)
        });
        if cut {
            return Err(self.wait_until(deadline).await);
        }
        if down {
            return Err(WorkerError::NotSent {
                message: "connection refused".into(),
            });
        }
        Ok(self.with(|state, _| {
            let lossy = state.rng.random_range(0..100) < state.lossy_percent;
            (lossy, lossy && state.rng.random_bool(0.6))
        }))
    }
}

impl WorkerClient for FaultyFleet {
    async fn identify(
        &self,
        worker: &WorkerReport,
        epoch: u64,
        deadline: ClockTime,
    ) -> Result<WorkerIdentity, WorkerError> {
        let (lost, _) = self.transmit(&worker.id, deadline).await?;
        let reply = self.with(|state, now| {
            let own = state.workers.get_mut(&worker.id).expect("unknown worker");
            if epoch < own.epoch {
                return Err(WorkerError::Fenced);
            }
            own.epoch = epoch;
            Ok(WorkerIdentity {
                clock: WorkerTime(own.clock(now)),
                born_ms: Some(own.born),
                connection: ConnectionId(own.born),
            })
        });
        if lost {
            return Err(self.wait_until(deadline).await);
        }
        reply
    }

    async fn start(
        &self,
        worker: &WorkerReport,
        call: &StartCall,
        deadline: ClockTime,
    ) -> Result<StartReply, WorkerError> {
        let (lost, late) = self.transmit(&worker.id, deadline).await?;
        let born = self.with(|state, _| state.workers[&worker.id].born);
        if call.only_on.is_some_and(|connection| connection.0 != born) {
            return Err(WorkerError::ConnectionClosed);
        }
        if late {
            let (fleet, call, id) = (self.clone(), call.clone(), worker.id.clone());
            tokio::spawn(async move {
                let (delay_ms, born) =
                    fleet.with(|state, _| (state.rng.random_range(LATE_MS), state.workers[&id].born));
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                fleet.with(|state, now| {
                    if state.workers[&id].born == born {
                        let _ = state.start(&id, &call, now);
                    }
                });
            });
            return Err(self.wait_until(deadline).await);
        }
        let reply = self.with(|state, now| state.start(&worker.id, call, now));
        if lost {
            return Err(self.wait_until(deadline).await);
        }
        reply
    }

    async fn stop(
        &self,
        worker: &WorkerReport,
        call: &StopCall,
        deadline: ClockTime,
    ) -> Result<(), WorkerError> {
        let (lost, _) = self.transmit(&worker.id, deadline).await?;
        let reply = self.with(|state, now| {
            let own = state.workers.get_mut(&worker.id).expect("unknown worker");
            own.end_runs(now);
            if call.epoch < own.epoch {
                return Err(WorkerError::Fenced);
            }
            own.epoch = call.epoch;
            let mut running = own.runs.iter_mut();
            match running.find(|run| run.task == call.task && run.run == call.run) {
                Some(run) => run.stopped_at = run.stopped_at.or(Some(now + STOP_MS)),
                None => {
                    let known = own.ended_runs.entry(call.task.clone()).or_default();
                    *known = (*known).max(call.run);
                }
            }
            Ok(())
        });
        if lost {
            return Err(self.wait_until(deadline).await);
        }
        reply
    }

    async fn poll(
        &self,
        worker: &WorkerReport,
        call: &PollCall,
        deadline: ClockTime,
    ) -> Result<PollReply, WorkerError> {
        // The process to which the connection of this call leads; it ends with the process.
        let mut born = call.only_on.map(|connection| connection.0);
        let mut is_sent = false;
        let (lost, _) = self.transmit(&worker.id, deadline).await?;
        let until = self.clock.now() + call.wait_ms;
        loop {
            let present = self.with(|state, _| state.workers[&worker.id].born);
            if born.replace(present).is_some_and(|earlier| earlier != present) {
                let message = "the connection was closed".into();
                return Err(if is_sent {
                    WorkerError::Indeterminate { message }
                } else {
                    WorkerError::ConnectionClosed
                });
            }
            is_sent = true;
            let reply = self.with(|state, now| {
                if state.is_cut(&state.workers[&worker.id], now) {
                    return None;
                }
                let own = state.workers.get_mut(&worker.id).expect("unknown worker");
                own.end_runs(now);
                if call.epoch < own.epoch {
                    return Some(Err(WorkerError::Fenced));
                }
                own.epoch = call.epoch;
                if let Some(lease) = call.lease_until {
                    own.extend_lease(lease.0, now);
                }
                let counted = own.void_end + 1..=call.acknowledged;
                let acknowledged = own.ends.iter().filter(|end| counted.contains(&end.number));
                for end in acknowledged.filter(|end| end.kind == EndKind::Done) {
                    let task = end.task.clone().expect("no task");
                    if state.restarted_done.contains(&(task.clone(), end.run)) {
                        let violation = format!("{now} {task}/{} started again, then acknowledged", end.run);
                        state.violations.push(violation);
                    }
                    state.acknowledged.insert(task, end.run);
                }
                own.ends.retain(|end| end.number > call.acknowledged);
                if own.ends.is_empty() && now < until {
                    return None;
                }
                let running = own.runs.iter().map(|run| RunStatus {
                    task: Some(run.task.clone()),
                    run: run.run,
                    checkpoint: "".into(),
                    percent: 50,
                });
                Some(Ok(PollReply {
                    clock: WorkerTime(own.clock(now)),
                    born_ms: Some(own.born),
                    running: running.collect(),
                    ended: own.ends.iter().take(ENDS_PER_LISTING).cloned().collect(),
                    connection: ConnectionId(own.born),
                    is_complete: own.ends.len() < ENDS_PER_LISTING,
                }))
            });
            match reply {
                Some(_) if lost => return Err(self.wait_until(deadline).await),
                Some(reply) => return reply,
                None if self.clock.now() >= deadline => return Err(self.wait_until(deadline).await),
                None => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

pub(crate) fn decode_faulty_workers(rows: &[RowEntry], now: ClockTime) -> Vec<WorkerReport> {
    let decode = |row: &RowEntry| {
        let text = String::from_utf8(row.value.as_ref()?.to_vec()).ok()?;
        let parts: Vec<&str> = text.split(' ').collect();
        let leaving = parts.get(1)? == &"true";
        let born: u64 = parts.first()?.parse().ok()?;
        Some(WorkerReport {
            id: row.key.clone(),
            started_at_ms: born,
            heartbeat: parts.get(3)?.parse().ok()?,
            address: "127.0.0.1:1".into(),
            service: "maps".into(),
            centre: format!("dc{}", parts.get(2)?).into(),
            labels: vec![format!("k{}", born % 3).into(), "r0".into()],
            capacity: ResourceAmount {
                millicores: 64_000,
                memory_mb: 256_000,
                accelerators: 8,
            },
            leaves_at: leaving.then(|| now + 2_000),
        })
    };
    rows.iter().filter_map(decode).collect()
}
