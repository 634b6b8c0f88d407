use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{
    JobBody, JobRecord, LatencySample, PoolCore, PoolOrder, RecordChange, StopReason, WorkerKey, WorkerReport,
};
use prost::Message;
use tokio::sync::mpsc::{UnboundedReceiver, channel, unbounded_channel};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::commit_log::{CommitLog, SeatLost};
use crate::holder_feeds::{
    HolderEvent, RETRY_MS, TAKEOVER_READ_MS, follow_intake, follow_workers, seek_stronger,
};
use crate::row_store::{RowEntry, RowStore, RowWrite, read_table};
use crate::seat_authority::{LEASE_AUTHORITY_MS, SeatAuthority};
use crate::seat_record::{
    CANCEL_SUFFIX, INTAKE_TABLE, PENDING_KEY, PROGRESS_TABLE, PendingRecord, SEAT_TABLE, SeatRecord,
};
use crate::seat_run::{DispatchContext, SeatView};
use crate::worker_link::WorkerLink;
use crate::worker_session::{WorkerEvent, WorkerSession};

/// Shortest time between decisions, in milliseconds, so that one commit carries what came close together.
const DECISION_GAP_MS: u64 = 25;
/// Longest time between decisions while nothing happens, in milliseconds.
const TICK_MS: u64 = 200;
/// Longest time between commits, in milliseconds; others take the seat after a second without one.
const RENEW_MS: u64 = 250;
/// Counts of waiting jobs are stored at most this often, in milliseconds.
const PENDING_MS: u64 = 800;
/// A worker's clock may be 2% slow; what it holds after a takeover is waited for this much longer, in percent.
const DRIFT_PERCENT: u64 = 4;

/// The holder of one epoch.
pub(crate) struct HolderRun<S, L, W> {
    context: Arc<DispatchContext<S, L, W>>,
    core: PoolCore,
    log: CommitLog<S>,
    authority: Arc<SeatAuthority>,
    sessions: HashMap<WorkerKey, WorkerSession<L>>,
    worker_events: UnboundedReceiver<(WorkerKey, WorkerEvent)>,
    worker_sender: tokio::sync::mpsc::UnboundedSender<(WorkerKey, WorkerEvent)>,
    /// Cancel requests in the store.
    cancel_rows: HashSet<Arc<str>>,
    /// Bodies in the store.
    body_rows: HashSet<Arc<str>>,
    removals: Vec<RowWrite>,
    pending: HashMap<Arc<str>, u64>,
    pending_at: ClockTime,
    committed_at: ClockTime,
    lost_bound: ClockTime,
    /// When the holder before was last seen at work.
    vacant_since: ClockTime,
}

/// Why a holder stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderEnd {
    /// Another process holds the seat.
    Lost,
    /// The process stops.
    Stopped,
    /// The seat was left to a stronger VM.
    HandedOver,
}

impl<S, L, W> HolderRun<S, L, W>
where
    S: RowStore,
    L: WorkerLink,
    W: Fn(&[RowEntry], ClockTime) -> Vec<WorkerReport> + Send + Sync + 'static,
{
    pub(crate) fn new(
        context: Arc<DispatchContext<S, L, W>>,
        record: SeatRecord,
        version: u64,
        taken_at: ClockTime,
        vacant_since: ClockTime,
    ) -> Self {
        let authority = Arc::new(SeatAuthority::new(record.epoch, taken_at));
        let (worker_sender, worker_events) = unbounded_channel();
        let log = CommitLog::new(
            context.store.clone(),
            context.clock,
            authority.clone(),
            record,
            version,
        );
        let wait_ms = LEASE_AUTHORITY_MS + LEASE_AUTHORITY_MS * DRIFT_PERCENT / 100;
        Self {
            core: PoolCore::new(context.options.core.clone()),
            log,
            authority,
            sessions: HashMap::new(),
            worker_events,
            worker_sender,
            cancel_rows: HashSet::new(),
            body_rows: HashSet::new(),
            removals: Vec::new(),
            pending: HashMap::new(),
            pending_at: taken_at,
            committed_at: taken_at,
            lost_bound: context.clock.now() + wait_ms,
            vacant_since,
            context,
        }
    }

    /// Runs until the seat is lost or the process stops.
    pub(crate) async fn run(mut self) -> HolderEnd {
        let (intake_after, started) = match self.load().await {
            Ok(found) => found,
            Err(SeatLost) => return HolderEnd::Lost,
        };
        let ready_at = self.context.clock.now();
        record_takeover(ready_at.millis_since(self.vacant_since));
        self.publish_seat(self.context.seat.load().pending.clone(), ready_at);
        log::info!(
            "[seat] ready epoch={} jobs={} workers={} took_ms={} vacant_ms={}",
            self.authority.epoch(),
            self.core.summary().jobs,
            self.core.summary().workers,
            ready_at.millis_since(started),
            ready_at.millis_since(self.vacant_since),
        );
        let (sender, mut events) = unbounded_channel();
        let mut loops = JoinSet::new();
        loops.spawn(follow_intake(self.context.clone(), intake_after, sender.clone()));
        loops.spawn(follow_workers(self.context.clone(), sender));
        let handicap_ms = self.context.options.seat_handicap_ms;
        let (strong, mut stronger) = channel(1);
        loops.spawn(seek_stronger(self.context.clone(), strong));
        let mut policy = self.context.board.subscribe();
        let stopping = self.context.stopping.clone();
        let mut last = Instant::now();
        loop {
            tokio::time::sleep_until(last + Duration::from_millis(DECISION_GAP_MS)).await;
            let tick = tokio::time::sleep(Duration::from_millis(TICK_MS));
            tokio::select! {
                event = self.worker_events.recv() => if let Some((key, event)) = event {
                    self.apply_worker(key, event);
                },
                event = events.recv() => if let Some(event) = event { self.apply(event); },
                changed = policy.changed() => if changed.is_ok() { self.apply_policy(); },
                () = stopping.cancelled() => return self.release(HolderEnd::Stopped).await,
                Some(vm) = stronger.recv() => {
                    log::info!("[seat] left to vm={vm} epoch={} handicap_ms={handicap_ms}", self.authority.epoch());
                    return self.release(HolderEnd::HandedOver).await;
                }
                () = tick => {}
            }
            while let Ok((key, event)) = self.worker_events.try_recv() {
                self.apply_worker(key, event);
            }
            while let Ok(event) = events.try_recv() {
                self.apply(event);
            }
            last = Instant::now();
            let now = self.context.clock.now();
            self.context.state.answer(|| self.core.dump(now));
            if self.authority.is_lost() || self.step().await.is_err() {
                return HolderEnd::Lost;
            }
        }
    }

    /// Lets callers of this VM and the state dump know of the seat.
    fn publish_seat(&self, pending: HashMap<Arc<str>, u64>, now: ClockTime) {
        self.context.seat.store(Arc::new(SeatView {
            holder: self.context.options.vm.clone(),
            epoch: self.authority.epoch(),
            pending,
            read_at: now,
        }));
    }

    async fn release(mut self, end: HolderEnd) -> HolderEnd {
        if self.log.release().await.is_ok() {
            log::info!("[seat] released epoch={}", self.authority.epoch());
        }
        end
    }

    /// Reads everything that earlier holders stored.
    async fn load(&mut self) -> Result<(u64, ClockTime), SeatLost> {
        let started = self.context.clock.now();
        self.apply_policy();
        let (workers, progress, intake) = tokio::join!(
            self.read_until(self.context.options.worker_table),
            self.read_until(PROGRESS_TABLE),
            self.read_until(INTAKE_TABLE),
        );
        let (workers, progress, (intake, after)) = (workers?.0, progress?.0, intake?);
        let now = self.context.clock.now();
        for report in (self.context.decode_workers)(&workers, now) {
            self.core.update_worker(report, now);
        }
        let mut records: HashMap<Arc<str>, JobRecord> = HashMap::new();
        for row in progress {
            let Some(value) = row.value else { continue };
            match JobRecord::decode(value) {
                Ok(record) => {
                    if record.stage().is_final() {
                        self.core.track_final_record(&row.key, now);
                    }
                    records.insert(row.key, record);
                }
                Err(error) => log::error!("[seat] job={} its record cannot be read: {error}", row.key),
            }
        }
        self.apply_intake(intake, &records);
        self.open_sessions();
        Ok((after, started))
    }

    async fn read_until(&self, table: &'static str) -> Result<(Vec<RowEntry>, u64), SeatLost> {
        loop {
            let deadline = self.context.clock.now() + TAKEOVER_READ_MS;
            match read_table(&self.context.store, table, deadline).await {
                Ok(found) => return Ok(found),
                Err(error) => log::warn!("[seat] table={table} cannot be read: {error}"),
            }
            // Without the tables nothing can be decided; another process may have them.
            if self.authority.is_lost()
                || !self
                    .authority
                    .may_order(self.context.clock.now() - TAKEOVER_READ_MS)
            {
                return Err(SeatLost);
            }
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }

    fn apply_policy(&mut self) {
        let view = self.context.board.view();
        if let Some(front) = &view.front {
            self.core.apply_policy(front.pool.clone());
        }
        self.core.set_closed_centres(view.closed_centres.clone());
    }

    fn apply(&mut self, event: HolderEvent) {
        match event {
            HolderEvent::Intake(rows) | HolderEvent::IntakeReset(rows) => {
                self.apply_intake(rows, &HashMap::new());
            }
            HolderEvent::Workers { reports, steady } => self.apply_workers(reports, steady),
        }
    }

    /// Takes up accepted jobs and cancel requests. Bodies come before the cancel requests that name them.
    fn apply_intake(&mut self, rows: Vec<RowEntry>, records: &HashMap<Arc<str>, JobRecord>) {
        let now = self.context.clock.now();
        let wall = self.context.clock.wall();
        let mut cancels = Vec::new();
        for row in rows {
            let Some(value) = row.value else { continue };
            if let Some(job) = row.key.strip_suffix(CANCEL_SUFFIX) {
                cancels.push(Arc::<str>::from(job));
                continue;
            }
            let fresh = self.body_rows.insert(row.key.clone());
            let record = records.get(&row.key);
            if record.is_some_and(|record| record.stage().is_final()) {
                continue;
            }
            match JobBody::decode(value) {
                Ok(body) if fresh => {
                    log::info!(
                        "[job] id={} queue={} account={} stage=taken up version={} shape={}",
                        row.key,
                        body.queue,
                        body.account,
                        row.version,
                        body.shape()
                    );
                    let record = record.cloned().unwrap_or_else(|| first_record(&body));
                    self.core
                        .add_job(&row.key, body, &record, now, wall, self.lost_bound);
                }
                Ok(_) => {}
                Err(error) => log::error!("[job] id={} its body cannot be read: {error}", row.key),
            }
        }
        for job in cancels {
            self.cancel_rows.insert(job.clone());
            if !self.core.cancel_job(&job, now) {
                self.remove_intake(&job);
            }
        }
    }

    fn remove_intake(&mut self, job: &Arc<str>) {
        if self.body_rows.remove(job) {
            self.removals.push(removal(INTAKE_TABLE, job.clone()));
        }
        if self.cancel_rows.remove(job) {
            self.removals
                .push(removal(INTAKE_TABLE, format!("{job}{CANCEL_SUFFIX}").into()));
        }
    }

    fn apply_workers(&mut self, reports: Vec<WorkerReport>, steady: bool) {
        let now = self.context.clock.now();
        let mut present = HashSet::new();
        for report in reports {
            present.insert(self.core.update_worker(report, now));
        }
        if steady {
            for key in self.core.worker_keys() {
                if !present.contains(&key) {
                    if let Some(report) = self.core.worker_report(key) {
                        log::info!(
                            "[worker] id={} centre={} state=removed from the list",
                            report.id,
                            report.centre
                        );
                    }
                    self.core.mark_removed(key, now);
                }
            }
        }
        self.open_sessions();
    }

    fn open_sessions(&mut self) {
        let core = &self.core;
        self.sessions.retain(|key, _| core.worker_report(*key).is_some());
        for key in self.core.worker_keys() {
            if self.sessions.contains_key(&key) {
                continue;
            }
            let Some(report) = self.core.worker_report(key) else {
                continue;
            };
            let session = WorkerSession::open(
                key,
                report.clone(),
                self.context.link.clone(),
                self.context.clock,
                self.authority.clone(),
                self.context.options.core.lease_ms,
                self.worker_sender.clone(),
            );
            session.state().set(0, true);
            self.sessions.insert(key, session);
        }
    }

    fn apply_worker(&mut self, key: WorkerKey, event: WorkerEvent) {
        let now = self.context.clock.now();
        match event {
            WorkerEvent::Listed(listing) => self.core.apply_listing(key, &listing, now),
            WorkerEvent::Started { task, run, answer } => {
                self.core.apply_start_answer(&task, run, key, answer, now);
            }
            WorkerEvent::Stopped { task, run } => self.core.apply_stop_answer(&task, run, key, now),
            WorkerEvent::Lost { lease_bound } => {
                self.core.extend_lease_expiry(key, lease_bound);
                self.core.mark_unreachable(key, now);
            }
            WorkerEvent::Replaced => {
                if let Some(report) = self.core.worker_report(key) {
                    log::info!("[worker] id={} state=replaced", report.id);
                }
                self.core.end_incarnation(key, now);
                self.sessions.remove(&key);
            }
            WorkerEvent::Fenced => {
                log::warn!(
                    "[seat] a worker knows a later epoch than {}",
                    self.authority.epoch()
                );
                self.authority.lose();
            }
        }
    }

    /// Decides, stores what was decided and then sends the orders.
    async fn step(&mut self) -> Result<(), SeatLost> {
        let now = self.context.clock.now();
        self.core.decide(now, self.context.clock.wall());
        let orders = self.core.take_orders();
        record_timings(self.core.take_latency_samples());
        let changes = self.core.take_changes();
        let acknowledged: Vec<(WorkerKey, u64)> = self
            .sessions
            .keys()
            .map(|key| (*key, self.core.applied_end(*key)))
            .collect();
        let writes = self.writes(changes, now);
        if !writes.is_empty() || now.millis_since(self.committed_at) >= RENEW_MS {
            self.log.commit(writes).await?;
            self.committed_at = now;
            self.record_metrics(now);
        }
        for (key, end) in acknowledged {
            let active = self.core.needs_listing(key);
            if let Some(session) = self.sessions.get(&key) {
                session.state().set(end, active);
            }
        }
        let mut stops: BTreeMap<(Arc<str>, StopReason), usize> = BTreeMap::new();
        for order in orders {
            let worker = match &order {
                PoolOrder::Start(start) => start.worker,
                PoolOrder::Stop(stop) => {
                    log::debug!(
                        "[stop] task={} run={} reason={:?}",
                        stop.task,
                        stop.run,
                        stop.reason
                    );
                    *stops.entry((stop.task.job.clone(), stop.reason)).or_default() += 1;
                    stop.worker
                }
            };
            if let Some(session) = self.sessions.get_mut(&worker) {
                session.send(order);
            }
        }
        for ((job, reason), tasks) in stops {
            log::info!("[stop] job={job} tasks={tasks} reason={reason:?}");
        }
        Ok(())
    }

    fn writes(&mut self, changes: Vec<RecordChange>, now: ClockTime) -> Vec<RowWrite> {
        let mut writes = Vec::with_capacity(changes.len());
        for change in changes {
            let ended = change
                .record
                .as_ref()
                .is_none_or(|record| record.stage().is_final());
            if ended {
                self.remove_intake(&change.job);
            }
            writes.push(RowWrite {
                table: PROGRESS_TABLE,
                key: change.job,
                value: change.record.map(|record| record.encode_to_vec().into()),
            });
        }
        writes.append(&mut self.removals);
        let pending = self.core.pending_by_queue();
        if pending != self.pending && now.millis_since(self.pending_at) >= PENDING_MS {
            let record = PendingRecord {
                queues: pending
                    .iter()
                    .map(|(queue, count)| (queue.to_string(), *count))
                    .collect(),
            };
            writes.push(RowWrite {
                table: SEAT_TABLE,
                key: PENDING_KEY.into(),
                value: Some(record.encode_to_vec().into()),
            });
            self.publish_seat(pending.clone(), now);
            self.pending = pending;
            self.pending_at = now;
        }
        writes
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_metrics(&self, sent_at: ClockTime) {
        let seconds = self.context.clock.now().millis_since(sent_at) as f64 / 1000.0;
        metrics::histogram!("arbutuspick_commit_seconds").record(seconds);
        let summary = self.core.summary();
        metrics::gauge!("arbutuspick_jobs").set(summary.jobs as f64);
        metrics::gauge!("arbutuspick_waiting_tasks").set(summary.waiting_tasks as f64);
        metrics::gauge!("arbutuspick_placed_tasks").set(summary.placed_tasks as f64);
        metrics::gauge!("arbutuspick_listed_workers").set(summary.listed_workers as f64);
    }
}

#[allow(clippy::cast_precision_loss)]
fn record_timings(timings: Vec<LatencySample>) {
    for timing in timings {
        let (name, millis) = match timing {
            LatencySample::FirstStart(millis) => ("arbutuspick_first_start_seconds", millis),
            LatencySample::Reclaim(millis) => ("arbutuspick_reclaim_seconds", millis),
        };
        metrics::histogram!(name).record(millis as f64 / 1000.0);
    }
}

#[allow(clippy::cast_precision_loss)]
fn record_takeover(vacant_ms: u64) {
    metrics::histogram!("arbutuspick_takeover_seconds").record(vacant_ms as f64 / 1000.0);
}

fn removal(table: &'static str, key: Arc<str>) -> RowWrite {
    RowWrite {
        table,
        key,
        value: None,
    }
}

/// The record of a job that was accepted and has not been placed.
fn first_record(body: &JobBody) -> JobRecord {
    JobRecord {
        account: body.account.clone(),
        queue: body.queue.clone(),
        body_hash: body.body_hash,
        ..JobRecord::default()
    }
}
