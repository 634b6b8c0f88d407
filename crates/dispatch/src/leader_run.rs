use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{
    JobBody, JobRecord, LatencySample, PoolCore, PoolOrder, RecordChange, StopReason, WaitReason, WorkerKey,
    WorkerReport,
};
use prost::Message;
use tokio::sync::mpsc::{UnboundedReceiver, channel, unbounded_channel};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::commit_writer::{CommitWriter, LeadershipLost};
use crate::dispatch_loop::{DispatchContext, LeaderView};
use crate::expiring_rows::ExpiringRows;
use crate::intake_key::{IntakeKey, REQUEST_RETENTION_MS, cancel_key};
use crate::leader_authority::{LEASE_WINDOW_MS, LeaderAuthority};
use crate::leader_feeds::{
    LeaderEvent, LeaderLoad, RETRY_DELAY_MS, ReadySuccessor, TAKEOVER_READ_TIMEOUT_MS, follow_intake,
    watch_limits, watch_workers,
};
use crate::leader_record::{
    INTAKE_TABLE, LEADER_TABLE, LeaderRecord, PENDING_KEY, PROGRESS_TABLE, PendingRecord,
};
use crate::learned_rows::{append_learned, read_learned, restore_learned};
use crate::loop_meter::{LoopMeter, PassPhase};
use crate::loss_report::LossReport;
use crate::progress_rows::ProgressRows;
use crate::row_store::{RowEntry, RowStore, RowWrite, read_table};
use crate::worker_client::WorkerClient;
use crate::worker_session::{WorkerEvent, WorkerSession};

/// Minimum interval between decisions, in milliseconds, so that one commit covers a burst of events.
const MIN_DECISION_INTERVAL_MS: u64 = 25;
/// Interval between decisions while no events arrive, in milliseconds.
const IDLE_DECISION_INTERVAL_MS: u64 = 200;
/// Maximum interval between commits, in milliseconds; others try to take over after a second without one.
const MAX_COMMIT_INTERVAL_MS: u64 = 250;
/// Minimum interval between updates of the stored counts of pending jobs, in milliseconds.
const MIN_PENDING_UPDATE_INTERVAL_MS: u64 = 800;
/// Maximum number of expired requests of a kind that a commit removes, so that they do not delay its orders.
const MAX_EXPIRED_ROWS: usize = 40;
/// Maximum wait for the answers to open orders before leadership is handed over, in milliseconds.
const HANDOVER_WAIT_MS: u64 = 350;
/// Interval between looks at the open orders meanwhile, in milliseconds.
const HANDOVER_POLL_MS: u64 = 5;
/// Margin added to the wait for leases of an earlier leader, in percent; a worker's clock may be 2% slow.
const LEASE_WAIT_MARGIN_PERCENT: u64 = 4;

/// The leader of one epoch: runs the scheduler, stores its decisions and sends the orders.
pub(crate) struct LeaderRun<S, C, W> {
    context: Arc<DispatchContext<S, C, W>>,
    core: PoolCore,
    writer: CommitWriter<S>,
    authority: Arc<LeaderAuthority>,
    sessions: HashMap<WorkerKey, WorkerSession<C>>,
    worker_events: UnboundedReceiver<(WorkerKey, WorkerEvent)>,
    worker_event_sender: tokio::sync::mpsc::UnboundedSender<(WorkerKey, WorkerEvent)>,
    /// Jobs with a cancel request in the store, also requests that were read before the body of their job.
    cancel_rows: HashSet<Arc<str>>,
    /// Cancel requests whose jobs are not known, by job.
    early_cancels: ExpiringRows,
    /// Withdrawals of jobs, by the key of their row.
    withdrawals: ExpiringRows,
    /// Jobs with a body in the store.
    body_rows: HashSet<Arc<str>>,
    /// Rows to remove with the next commit.
    row_removals: Vec<RowWrite>,
    progress_rows: ProgressRows,
    /// Numbers of pending jobs by queue, as last stored.
    pending: HashMap<Arc<str>, u64>,
    pending_stored_at: ClockTime,
    /// When the latest commit began.
    committed_at: ClockTime,
    /// Time by which all leases granted by earlier leaders have expired.
    earlier_lease_expiry: ClockTime,
    /// When the row of the earlier leader was last seen to change.
    leaderless_since: ClockTime,
    meter: LoopMeter,
    load: Arc<LeaderLoad>,
    losses: LossReport,
}

/// Why a leader stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderExit {
    /// Another process has become leader.
    Lost,
    /// The process is shutting down.
    Stopped,
    /// The leader resigned in favour of a VM with more capacity.
    HandedOver,
    /// The leader resigned because one of its feeds had failed.
    FeedFailed,
}

impl<S, C, W> LeaderRun<S, C, W>
where
    S: RowStore,
    C: WorkerClient,
    W: Fn(&[RowEntry], ClockTime) -> Vec<WorkerReport> + Send + Sync + 'static,
{
    pub(crate) fn new(
        context: Arc<DispatchContext<S, C, W>>,
        record: LeaderRecord,
        version: u64,
        acquired_at: ClockTime,
        leaderless_since: ClockTime,
    ) -> Self {
        let authority = Arc::new(LeaderAuthority::new(record.epoch, acquired_at));
        let (worker_event_sender, worker_events) = unbounded_channel();
        let writer = CommitWriter::new(
            context.store.clone(),
            context.clock,
            authority.clone(),
            record,
            version,
        );
        let wait_ms = LEASE_WINDOW_MS + LEASE_WINDOW_MS * LEASE_WAIT_MARGIN_PERCENT / 100;
        Self {
            core: PoolCore::new(context.options.core.clone()),
            writer,
            authority,
            sessions: HashMap::new(),
            worker_events,
            worker_event_sender,
            cancel_rows: HashSet::new(),
            early_cancels: ExpiringRows::default(),
            withdrawals: ExpiringRows::default(),
            body_rows: HashSet::new(),
            row_removals: Vec::new(),
            progress_rows: ProgressRows::new(context.options.max_row_bytes),
            pending: HashMap::new(),
            pending_stored_at: acquired_at,
            committed_at: acquired_at,
            earlier_lease_expiry: context.clock.now() + wait_ms,
            leaderless_since,
            meter: LoopMeter::new(acquired_at),
            load: Arc::default(),
            losses: LossReport::new(acquired_at),
            context,
        }
    }

    /// Runs until leadership is lost or handed over, or the process stops.
    pub(crate) async fn run(mut self) -> LeaderExit {
        // Subscribed before the policy is first read, so that a change while the tables are read is seen.
        let mut policy_changes = self.context.policy_cache.subscribe();
        let (intake_after, started) = match self.load_state().await {
            Ok(state) => state,
            Err(LeadershipLost) => return LeaderExit::Lost,
        };
        let ready_at = self.context.clock.now();
        record_takeover(ready_at.millis_since(self.leaderless_since));
        self.publish_leader(self.context.leader.load().pending.clone(), ready_at);
        log::info!(
            "[seat] ready epoch={} jobs={} workers={} took_ms={} vacant_ms={}",
            self.authority.epoch(),
            self.core.summary().jobs,
            self.core.summary().workers,
            ready_at.millis_since(started),
            ready_at.millis_since(self.leaderless_since),
        );
        let (sender, mut events) = unbounded_channel();
        let mut feeds = JoinSet::new();
        feeds.spawn(follow_intake(self.context.clone(), intake_after, sender.clone()));
        feeds.spawn(watch_workers(self.context.clone(), sender));
        let (successor_sender, mut successors) = channel(1);
        feeds.spawn(watch_limits(
            self.context.clone(),
            self.load.clone(),
            successor_sender,
        ));
        let stopping = self.context.stopping.clone();
        let mut last_decision_at = Instant::now();
        loop {
            tokio::time::sleep_until(last_decision_at + Duration::from_millis(MIN_DECISION_INTERVAL_MS))
                .await;
            let tick = tokio::time::sleep(Duration::from_millis(IDLE_DECISION_INTERVAL_MS));
            tokio::select! {
                event = self.worker_events.recv() => if let Some((key, event)) = event {
                    self.apply_worker_event(key, event);
                },
                event = events.recv() => if let Some(event) = event { self.apply_event(event); },
                changed = policy_changes.changed() => if changed.is_ok() { self.apply_policy(); },
                () = stopping.cancelled() => return self.resign(LeaderExit::Stopped).await,
                Some(ended) = feeds.join_next() => {
                    // Without one of its feeds the leader would go on with an outdated view.
                    log::error!("[seat] a feed of the leader has failed epoch={}: {ended:?}", self.authority.epoch());
                    return self.resign(LeaderExit::FeedFailed).await;
                }
                Some(successor) = successors.recv() => return self.hand_over(successor).await,
                () = tick => {}
            }
            self.meter.end_phase(PassPhase::Wait, self.context.clock.now());
            while let Ok((key, event)) = self.worker_events.try_recv() {
                self.apply_worker_event(key, event);
            }
            while let Ok(event) = events.try_recv() {
                self.apply_event(event);
            }
            // No decision is made with a policy that has already been replaced.
            if policy_changes.has_changed().unwrap_or(false) {
                policy_changes.mark_unchanged();
                self.apply_policy();
            }
            self.meter.end_phase(PassPhase::Apply, self.context.clock.now());
            last_decision_at = Instant::now();
            let now = self.context.clock.now();
            self.context.state_dump.answer(|| self.core.dump(now));
            if self.authority.is_revoked() || self.decide_and_send(&mut events).await.is_err() {
                return LeaderExit::Lost;
            }
        }
    }

    /// Publishes the leader view for callers of this VM and the state dump.
    fn publish_leader(&self, pending: HashMap<Arc<str>, u64>, now: ClockTime) {
        self.context.leader.store(Arc::new(LeaderView {
            vm: self.context.options.vm.clone(),
            epoch: self.authority.epoch(),
            pending,
            read_at: now,
        }));
    }

    /// Resigns in favour of a VM that is ready to lead.
    ///
    /// Open orders are awaited and their answers stored, so that the next leader knows which runs have started.
    async fn hand_over(mut self, successor: ReadySuccessor) -> LeaderExit {
        let ReadySuccessor { vm, reason } = successor;
        let epoch = self.authority.epoch();
        log::info!("[seat] handing over to vm={vm} epoch={epoch} reason={reason}");
        metrics::counter!("arbutuspick_handovers_total", "reason" => reason.to_string()).increment(1);
        let deadline = self.context.clock.now() + HANDOVER_WAIT_MS;
        loop {
            // An order counts as open from when its task is first polled.
            tokio::time::sleep(Duration::from_millis(HANDOVER_POLL_MS)).await;
            let has_open_orders = self.sessions.values().any(WorkerSession::has_open_orders);
            if !has_open_orders || self.context.clock.now() >= deadline {
                break;
            }
        }
        while let Ok((key, event)) = self.worker_events.try_recv() {
            self.apply_worker_event(key, event);
        }
        let changes = self.core.take_changes();
        let writes = self.collect_writes(changes, self.context.clock.now());
        if self.writer.commit(writes).await.is_err() || self.writer.resign(Some(&vm)).await.is_err() {
            return LeaderExit::Lost;
        }
        log::info!("[seat] resigned epoch={epoch} successor={vm}");
        LeaderExit::HandedOver
    }

    async fn resign(mut self, exit: LeaderExit) -> LeaderExit {
        if self.writer.resign(None).await.is_ok() {
            log::info!("[seat] resigned epoch={}", self.authority.epoch());
        }
        exit
    }

    /// Restores the state that earlier leaders stored; returns the version from which to follow job intake
    /// and the time when loading started.
    async fn load_state(&mut self) -> Result<(u64, ClockTime), LeadershipLost> {
        let started = self.context.clock.now();
        self.apply_policy();
        let (workers, progress, learned) = tokio::join!(
            self.read_with_retries(self.context.options.worker_table),
            self.read_with_retries(PROGRESS_TABLE),
            read_learned(&self.context.store, started),
        );
        let (workers, progress) = (workers?.0, progress?.0);
        // Read last, so that the first decision knows every cancel request that was answered until then, however long
        // the other tables took.
        let (intake, after) = self.read_with_retries(INTAKE_TABLE).await?;
        let now = self.context.clock.now();
        restore_learned(&mut self.core, learned, now);
        for report in (self.context.decode_workers)(&workers, now) {
            self.core.update_worker(report, now);
        }
        let wall = self.context.clock.wall();
        let (records, stale_rows) = self.progress_rows.load(progress);
        self.row_removals.extend(stale_rows);
        for (job, record) in &records {
            if record.stage().is_final() {
                self.core
                    .restore_ended_job(job, record, now, wall, self.earlier_lease_expiry);
            }
        }
        self.apply_intake(intake, &records);
        self.open_sessions();
        Ok((after, started))
    }

    async fn read_with_retries(&self, table: &'static str) -> Result<(Vec<RowEntry>, u64), LeadershipLost> {
        loop {
            let deadline = self.context.clock.now() + TAKEOVER_READ_TIMEOUT_MS;
            match read_table(&self.context.store, table, deadline).await {
                Ok(contents) => return Ok(contents),
                Err(error) => log::warn!("[seat] table={table} read failed: {error}"),
            }
            // A leader cannot decide anything without the tables; another process may be able to read them.
            // The limit for orders is extended by the timeout of a read, so that one read that times out is
            // retried.
            if self.authority.is_revoked()
                || !self
                    .authority
                    .may_send_orders(self.context.clock.now() - TAKEOVER_READ_TIMEOUT_MS)
            {
                return Err(LeadershipLost);
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    fn apply_policy(&mut self) {
        let view = self.context.policy_cache.view();
        if let Some(frontend) = &view.frontend {
            self.core.apply_policy(frontend.pool.clone());
        }
        self.core.set_closed_centres(view.closed_centres.clone());
    }

    fn apply_event(&mut self, event: LeaderEvent) {
        match event {
            LeaderEvent::Intake(rows) | LeaderEvent::IntakeReset(rows) => {
                self.apply_intake(rows, &HashMap::new());
            }
            LeaderEvent::Workers {
                reports,
                removes_missing,
                departed,
            } => {
                self.end_departed(&departed);
                self.apply_workers(reports, removes_missing);
            }
        }
    }

    /// Applies accepted jobs and cancel requests, the bodies before the cancel requests that refer to them.
    fn apply_intake(&mut self, rows: Vec<RowEntry>, records: &HashMap<Arc<str>, JobRecord>) {
        let now = self.context.clock.now();
        let wall = self.context.clock.wall();
        let mut cancels = Vec::new();
        for row in rows {
            let Some(value) = row.value else { continue };
            match IntakeKey::from(row.key.as_ref()) {
                IntakeKey::Body(_) => {}
                IntakeKey::Cancel(job) => {
                    cancels.push(Arc::<str>::from(job));
                    continue;
                }
                IntakeKey::Withdrawal => {
                    self.withdrawals.insert(row.key, now + REQUEST_RETENTION_MS);
                    continue;
                }
            }
            let is_new = self.body_rows.insert(row.key.clone());
            let record = records.get(&row.key);
            if record.is_some_and(|record| record.stage().is_final()) {
                continue;
            }
            match JobBody::decode(value) {
                Ok(body) if is_new => {
                    log::info!(
                        "[job] id={} queue={} account={} stage=loaded version={} shape={}",
                        row.key,
                        body.queue,
                        body.account,
                        row.version,
                        body.shape()
                    );
                    let record = record.cloned().unwrap_or_else(|| initial_record(&body));
                    self.core
                        .add_job(&row.key, body, &record, now, wall, self.earlier_lease_expiry);
                    if self.cancel_rows.contains(&row.key) {
                        cancels.push(row.key);
                    }
                }
                Ok(_) => {}
                Err(error) => log::error!("[job] id={} cannot decode its body: {error}", row.key),
            }
        }
        for job in cancels {
            self.cancel_rows.insert(job.clone());
            if self.core.cancel_job(&job, now) {
                self.early_cancels.remove(&job);
            } else if self.core.has_ended(&job) {
                self.remove_intake(&job);
            } else {
                // A table is read page by page, so its request may be read before the body of a job.
                self.early_cancels.insert(job, now + REQUEST_RETENTION_MS);
            }
        }
    }

    fn remove_intake(&mut self, job: &Arc<str>) {
        if self.body_rows.remove(job) {
            self.row_removals.push(row_removal(INTAKE_TABLE, job.clone()));
        }
        if self.cancel_rows.remove(job) {
            self.row_removals.push(row_removal(INTAKE_TABLE, cancel_key(job)));
        }
    }

    /// Ends the workers that have shut down; a run on them cannot go on.
    fn end_departed(&mut self, departed: &[Arc<str>]) {
        let now = self.context.clock.now();
        for id in departed {
            if let Some(key) = self.core.worker_key(id)
                && self.core.apply_departure(key, now)
            {
                self.sessions.remove(&key);
            }
        }
    }

    fn apply_workers(&mut self, reports: Vec<WorkerReport>, removes_missing: bool) {
        let now = self.context.clock.now();
        let mut present = HashSet::new();
        for report in reports {
            present.insert(report.id.clone());
            self.core.update_worker(report, now);
        }
        if removes_missing {
            for key in self.core.worker_keys() {
                if let Some(report) = self.core.worker_report(key)
                    && !present.contains(&report.id)
                {
                    log::info!(
                        "[worker] id={} centre={} state=removed from the list",
                        report.id,
                        report.centre
                    );
                    self.core.mark_removed(key);
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
                self.context.worker_client.clone(),
                self.context.clock,
                self.authority.clone(),
                self.context.options.core.lease_ms,
                self.worker_event_sender.clone(),
            );
            session.state().update(0, true);
            self.sessions.insert(key, session);
        }
        let workers = self.sessions.len() as u64;
        self.load.set_workers(workers);
        self.writer.set_workers(workers);
    }

    fn apply_worker_event(&mut self, key: WorkerKey, event: WorkerEvent) {
        self.meter.count_event();
        let now = self.context.clock.now();
        match event {
            WorkerEvent::Listed(listing) => self.core.apply_listing(key, &listing, now),
            WorkerEvent::StartAnswered { task, run, answer } => {
                self.core.apply_start_answer(&task, run, key, answer, now);
            }
            WorkerEvent::StopAnswered { task, run } => self.core.apply_stop_answer(&task, run, key, now),
            WorkerEvent::Unreachable { lease_expiry } => {
                self.core.extend_lease_expiry(key, lease_expiry);
                self.core.mark_unreachable(key, now);
            }
            WorkerEvent::Replaced => {
                if let Some(report) = self.core.worker_report(key) {
                    log::info!("[worker] id={} state=replaced", report.id);
                }
                self.core.end_incarnation(key, now);
                self.sessions.remove(&key);
            }
            WorkerEvent::SessionFailed => {
                // The session is opened again with the next read of the worker registry.
                if let Some(session) = self.sessions.remove(&key) {
                    self.core.extend_lease_expiry(key, session.seal());
                }
                self.core.mark_unreachable(key, now);
            }
            WorkerEvent::Restarted => {
                if let Some(report) = self.core.worker_report(key) {
                    log::info!("[worker] id={} state=restarted", report.id);
                }
                self.core.mark_restarted(key, now);
                self.sessions.remove(&key);
            }
            WorkerEvent::Fenced => {
                log::warn!(
                    "[seat] a worker has seen a later epoch than {}",
                    self.authority.epoch()
                );
                self.authority.revoke();
            }
        }
    }

    /// Passes the end of all granted leases on to the core, for workers whose runs are held until then.
    fn seal_expired_leases(&mut self, now: ClockTime) {
        for (key, session) in &self.sessions {
            if self.core.awaits_lease_expiry(*key) {
                self.core.extend_lease_expiry(*key, session.seal_expired(now));
            }
        }
    }

    /// Decides, stores the decisions and then sends the resulting orders, as far as they still hold.
    async fn decide_and_send(
        &mut self,
        events: &mut UnboundedReceiver<LeaderEvent>,
    ) -> Result<(), LeadershipLost> {
        let now = self.context.clock.now();
        self.seal_expired_leases(now);
        self.core.decide(now, self.context.clock.wall());
        let orders = self.core.take_orders();
        record_latencies(self.core.take_latency_samples());
        self.losses.record(&self.core.take_losses(), now);
        let changes = self.core.take_changes();
        let acknowledged: Vec<(WorkerKey, u64)> = self
            .sessions
            .keys()
            .map(|key| (*key, self.core.applied_end(*key)))
            .collect();
        let writes = self.collect_writes(changes, now);
        let (order_count, row_count) = (orders.len(), writes.len());
        self.meter.end_phase(PassPhase::Decide, self.context.clock.now());
        if !writes.is_empty() || now.millis_since(self.committed_at) >= MAX_COMMIT_INTERVAL_MS {
            self.writer.commit(writes).await?;
            self.committed_at = now;
            self.record_metrics(now);
        }
        self.meter.end_phase(PassPhase::Commit, self.context.clock.now());
        for (key, end) in acknowledged {
            let needs_listing = self.core.needs_listing(key);
            if let Some(session) = self.sessions.get(&key) {
                session.state().update(end, needs_listing);
            }
        }
        // A cancel request that arrived during the commit is applied before the starts that it makes pointless.
        while let Ok(event) = events.try_recv() {
            self.apply_event(event);
        }
        let mut stop_counts: BTreeMap<(Arc<str>, StopReason), usize> = BTreeMap::new();
        for order in orders {
            let worker = match &order {
                PoolOrder::Start(start) if !self.core.has_job(&start.task.job) => {
                    log::info!(
                        "[start] task={} run={} dropped cause=job ended",
                        start.task,
                        start.run
                    );
                    continue;
                }
                PoolOrder::Start(start) => start.worker,
                PoolOrder::Stop(stop) => {
                    log::debug!(
                        "[stop] task={} run={} reason={:?}",
                        stop.task,
                        stop.run,
                        stop.reason
                    );
                    *stop_counts
                        .entry((stop.task.job.clone(), stop.reason))
                        .or_default() += 1;
                    stop.worker
                }
            };
            if let Some(session) = self.sessions.get_mut(&worker) {
                session.send(order);
            }
        }
        for ((job, reason), tasks) in stop_counts {
            log::info!("[stop] job={job} tasks={tasks} reason={reason:?}");
        }
        let now = self.context.clock.now();
        self.meter.end_phase(PassPhase::Send, now);
        let waiting_tasks = self.core.summary().waiting_tasks;
        self.meter.end_pass(order_count, row_count, waiting_tasks, now);
        self.load.set_late(self.meter.is_late());
        Ok(())
    }

    fn collect_writes(&mut self, changes: Vec<RecordChange>, now: ClockTime) -> Vec<RowWrite> {
        let mut writes = Vec::with_capacity(changes.len());
        for change in changes {
            let ended = change
                .record
                .as_ref()
                .is_none_or(|record| record.stage().is_final());
            if ended {
                self.remove_intake(&change.job);
            }
            self.progress_rows
                .append_writes(change.job, change.record, &mut writes);
        }
        for job in self.early_cancels.take_expired(now, MAX_EXPIRED_ROWS) {
            log::info!("[job] id={job} cancel request removed cause=no such job");
            self.remove_intake(&job);
        }
        let withdrawals = self.withdrawals.take_expired(now, MAX_EXPIRED_ROWS);
        let removals = withdrawals.into_iter().map(|key| row_removal(INTAKE_TABLE, key));
        self.row_removals.extend(removals);
        writes.append(&mut self.row_removals);
        append_learned(
            &mut self.core,
            self.context.options.max_row_bytes,
            now,
            &mut writes,
        );
        let pending = self.core.pending_by_queue();
        if pending != self.pending
            && now.millis_since(self.pending_stored_at) >= MIN_PENDING_UPDATE_INTERVAL_MS
        {
            let record = PendingRecord::new(&pending, self.context.options.max_row_bytes);
            writes.push(RowWrite {
                table: LEADER_TABLE,
                key: PENDING_KEY.into(),
                value: Some(record.encode_to_vec().into()),
            });
            self.publish_leader(pending.clone(), now);
            self.pending = pending;
            self.pending_stored_at = now;
        }
        writes
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_metrics(&mut self, sent_at: ClockTime) {
        let seconds = self.context.clock.now().millis_since(sent_at) as f64 / 1000.0;
        metrics::histogram!("arbutuspick_commit_seconds").record(seconds);
        let summary = self.core.summary();
        metrics::gauge!("arbutuspick_jobs").set(summary.jobs as f64);
        metrics::gauge!("arbutuspick_waiting_tasks").set(summary.waiting_tasks as f64);
        metrics::gauge!("arbutuspick_placed_tasks").set(summary.placed_tasks as f64);
        metrics::gauge!("arbutuspick_urgent_room_workers").set(self.core.urgent_room() as f64);
        metrics::gauge!("arbutuspick_listed_workers").set(summary.listed_workers as f64);
        let speeds = self.core.speed_summary();
        for (tier, workers) in [
            ("fast", speeds.fast),
            ("usual", speeds.usual),
            ("slow", speeds.slow),
        ] {
            metrics::gauge!("arbutuspick_worker_speeds", "tier" => tier).set(workers as f64);
        }
        metrics::gauge!("arbutuspick_worker_speed_ratio").set(speeds.ratio);
        let moves = self.core.take_move_counts();
        for (reason, runs) in [
            ("leaving", moves.leaving),
            ("stalled", moves.stalled),
            ("slow", moves.slow),
        ] {
            metrics::counter!("arbutuspick_run_moves_total", "reason" => reason).increment(runs);
        }
        for reason in WaitReason::ALL {
            let units = self.core.wait_counts().get(&reason).copied().unwrap_or(0);
            metrics::gauge!("arbutuspick_waiting_units", "reason" => reason.name()).set(units as f64);
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn record_latencies(samples: Vec<LatencySample>) {
    for sample in samples {
        let (name, millis) = match sample {
            LatencySample::FirstStart(millis) => ("arbutuspick_first_start_seconds", millis),
            LatencySample::Reclaim(millis) => ("arbutuspick_reclaim_seconds", millis),
        };
        metrics::histogram!(name).record(millis as f64 / 1000.0);
    }
}

#[allow(clippy::cast_precision_loss)]
fn record_takeover(leaderless_ms: u64) {
    metrics::histogram!("arbutuspick_takeover_seconds").record(leaderless_ms as f64 / 1000.0);
}

fn row_removal(table: &'static str, key: Arc<str>) -> RowWrite {
    RowWrite {
        table,
        key,
        value: None,
    }
}

/// Returns the record of a job that was accepted but not yet placed.
fn initial_record(body: &JobBody) -> JobRecord {
    JobRecord {
        account: body.account.clone(),
        queue: body.queue.clone(),
        body_hash: body.body_hash,
        ..JobRecord::default()
    }
}
