use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arbutuspick_model::{ClockTime, JobId, WorkerName};
use arbutuspick_records::{CentreRecord, HolderGuard, Versioned};
use arbutuspick_sched::PlacementCore;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::holder_event::{HolderEvent, HolderMessage};
use crate::holder_view::HolderView;
use crate::job_entry::JobEntry;
use crate::placement_lease::{LeaseValidity, PlacementLease, acquire_lease, renew_lease};
use crate::table_reader::{read_centre, read_placed_jobs};
use crate::worker_session::WorkerSession;
use crate::{HolderContext, HolderOptions};

/// Interval of the main loop, which sends due calls and lets the placement core decide.
const TICK_INTERVAL_MS: u64 = 50;
/// Interval of inbox reads when no notification arrives.
const INBOX_READ_INTERVAL_MS: u64 = 2_000;
/// Interval of reads of the data centre row, which holds the operators' order.
const CENTRE_READ_INTERVAL_MS: u64 = 1_000;
/// Interval of reads of the workers in the platform's VM list.
const WORKER_LIST_INTERVAL_MS: u64 = 2_000;
/// Interval at which the view is published.
const VIEW_INTERVAL_MS: u64 = 500;
/// Delay before the state is read again after a failed read during a takeover.
const REBUILD_RETRY_MS: u64 = 500;

/// Acquires the placement lease of a data centre whenever it is free and places jobs while it is held, until
/// shutdown.
///
/// On shutdown the lease is released, so that another entry VM can take over at once. Running gangs continue.
pub async fn run_holder(
    options: HolderOptions,
    context: HolderContext,
    mut messages: mpsc::Receiver<HolderMessage>,
    view: Arc<ArcSwap<HolderView>>,
    shutdown: CancellationToken,
) {
    while let Some(lease) = acquire_lease(&options, &context, &shutdown).await {
        let epoch = lease.guard.epoch;
        log::info!(
            "[holder] acquired placement lease data_centre={} epoch={epoch}",
            options.data_centre
        );
        metrics::counter!("arbutuspick_holder_takeovers_total").increment(1);
        run_with_lease(&options, &context, lease, &mut messages, &view, &shutdown).await;
        view.store(Arc::default());
        log::info!(
            "[holder] stopped placing under placement lease data_centre={} epoch={epoch}",
            options.data_centre
        );
    }
}

async fn run_with_lease(
    options: &HolderOptions,
    context: &HolderContext,
    lease: PlacementLease,
    messages: &mut mpsc::Receiver<HolderMessage>,
    view: &ArcSwap<HolderView>,
    shutdown: &CancellationToken,
) {
    let guard = lease.guard.clone();
    let validity = LeaseValidity {
        valid_until: lease.valid_until,
        lost: false,
    };
    let (validity_sender, validity) = watch::channel(validity);
    let stop = CancellationToken::new();
    let renewal = tokio::spawn(renew_lease(
        lease,
        options.clone(),
        context.clone(),
        validity_sender,
        stop.clone(),
    ));
    let (sender, events) = mpsc::channel(4_096);
    let mut holder = PlacementHolder::new(options.clone(), context.clone(), guard, sender, validity);
    if holder.rebuild(shutdown).await {
        holder.run(events, messages, view, shutdown).await;
    }
    stop.cancel();
    // The renewal task releases the lease. Its commit has a deadline, so this wait is bounded.
    if let Err(error) = renewal.await {
        log::error!("[holder] lease renewal task failed: {error}");
    }
}

/// The state of the placement lease holder. One event loop owns the pool and the jobs of the data centre.
pub(crate) struct PlacementHolder {
    pub(crate) options: HolderOptions,
    pub(crate) context: HolderContext,
    pub(crate) guard: HolderGuard,
    pub(crate) core: PlacementCore,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) workers: BTreeMap<WorkerName, WorkerSession>,
    /// Jobs that have members on each worker.
    pub(crate) jobs_by_worker: BTreeMap<WorkerName, BTreeSet<JobId>>,
    /// Jobs whose inbox notices are being accepted.
    pub(crate) accepting: BTreeSet<JobId>,
    pub(crate) centre: Option<Versioned<CentreRecord>>,
    /// Channel on which I/O tasks report their results to the event loop.
    pub(crate) events: mpsc::Sender<HolderEvent>,
    pub(crate) tasks: JoinSet<()>,
    /// Whether another process is known to hold the placement lease.
    pub(crate) superseded: bool,
    /// Whether a write of the progress of an operator's order, or the read after it, is in flight.
    pub(crate) progress_in_flight: bool,
    /// When the current state of the data centre was first read.
    pub(crate) centre_state_since: ClockTime,
    pub(crate) validity: watch::Receiver<LeaseValidity>,
    next_inbox_read_at: ClockTime,
    inbox_in_flight: bool,
    next_centre_read_at: ClockTime,
    next_worker_list_at: ClockTime,
    next_view_at: ClockTime,
}

impl PlacementHolder {
    fn new(
        options: HolderOptions,
        context: HolderContext,
        guard: HolderGuard,
        events: mpsc::Sender<HolderEvent>,
        validity: watch::Receiver<LeaseValidity>,
    ) -> Self {
        let core = PlacementCore::new(options.placement.clone());
        Self {
            options,
            context,
            guard,
            core,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            jobs_by_worker: BTreeMap::new(),
            accepting: BTreeSet::new(),
            centre: None,
            events,
            tasks: JoinSet::new(),
            superseded: false,
            progress_in_flight: false,
            centre_state_since: ClockTime(0),
            validity,
            next_inbox_read_at: ClockTime(0),
            inbox_in_flight: false,
            next_centre_read_at: ClockTime(0),
            next_worker_list_at: ClockTime(0),
            next_view_at: ClockTime(0),
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.context.clock.now()
    }

    /// Returns whether the lease allows the holder to prepare and start attempts.
    pub(crate) fn may_place(&self, now: ClockTime) -> bool {
        let LeaseValidity { valid_until, lost } = *self.validity.borrow();
        !lost && !self.superseded && now < valid_until
    }

    /// Rebuilds the state from the rows of earlier holders, retrying failed reads.
    ///
    /// Returns false on shutdown or when the lease is lost.
    async fn rebuild(&mut self, shutdown: &CancellationToken) -> bool {
        loop {
            match self.read_state().await {
                Ok(()) => return true,
                Err(error) => log::warn!("[holder] cannot read state from table: {error}"),
            }
            let pause = self.context.clock.instant(self.now() + REBUILD_RETRY_MS);
            tokio::select! {
                () = shutdown.cancelled() => return false,
                () = tokio::time::sleep_until(pause) => {}
            }
            if self.validity.borrow().lost {
                return false;
            }
        }
    }

    async fn read_state(&mut self) -> Result<(), arbutuspick_clients::CallError> {
        let centre = self.options.data_centre.clone();
        let row = read_centre(&self.context.table, &centre).await?;
        let rows = read_placed_jobs(&self.context.table, &centre).await?;
        self.apply_config();
        self.apply_centre(row);
        for row in rows {
            self.add_job(row);
        }
        Ok(())
    }

    async fn run(
        &mut self,
        mut events: mpsc::Receiver<HolderEvent>,
        messages: &mut mpsc::Receiver<HolderMessage>,
        view: &ArcSwap<HolderView>,
        shutdown: &CancellationToken,
    ) {
        let mut ticks = tokio::time::interval(std::time::Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(event) = events.recv() => self.handle_event(event),
                Some(message) = messages.recv() => self.handle_message(message),
                _ = ticks.tick() => self.tick(view),
            }
            while let Ok(event) = events.try_recv() {
                self.handle_event(event);
            }
            if self.superseded || self.validity.borrow().lost {
                return;
            }
            self.decide();
            while self.tasks.try_join_next().is_some() {}
        }
    }

    fn handle_message(&mut self, message: HolderMessage) {
        match message {
            HolderMessage::InboxChanged => self.next_inbox_read_at = ClockTime(0),
            HolderMessage::ConfigChanged => self.apply_config(),
            HolderMessage::Dump(reply) => {
                // The requester may have timed out and dropped the receiver.
                let _ = reply.send(self.dump());
            }
        }
    }

    fn tick(&mut self, view: &ArcSwap<HolderView>) {
        let now = self.now();
        if now >= self.next_worker_list_at {
            self.next_worker_list_at = now + WORKER_LIST_INTERVAL_MS;
            self.request_workers();
        }
        if now >= self.next_centre_read_at {
            self.next_centre_read_at = now + CENTRE_READ_INTERVAL_MS;
            self.request_centre();
        }
        if now >= self.next_inbox_read_at && !self.inbox_in_flight && self.accepting.is_empty() {
            self.next_inbox_read_at = now + INBOX_READ_INTERVAL_MS;
            self.inbox_in_flight = true;
            self.request_inbox();
        }
        self.send_heartbeats(now);
        self.tick_attempts(now);
        self.record_centre_progress();
        if now >= self.next_view_at {
            self.next_view_at = now + VIEW_INTERVAL_MS;
            view.store(Arc::new(self.view()));
        }
    }

    fn handle_event(&mut self, event: HolderEvent) {
        match event {
            HolderEvent::WorkerAnswered {
                worker,
                call,
                attempt,
                answer,
            } => {
                self.handle_worker_answer(&worker, call, attempt, answer);
            }
            HolderEvent::WriteFinished {
                job,
                follow_up,
                outcome,
            } => self.handle_write_outcome(job, follow_up, *outcome),
            HolderEvent::InboxRead(result) => {
                self.inbox_in_flight = false;
                match result {
                    Ok(items) => self.accept_notices(items),
                    Err(error) => log::debug!("[holder] cannot read inbox: {error}"),
                }
            }
            HolderEvent::NoticesProcessed(outcomes) => {
                for outcome in outcomes {
                    self.handle_notice_outcome(outcome);
                }
            }
            HolderEvent::CentreRead(Ok(row)) => self.apply_centre(row),
            HolderEvent::CentreRead(Err(error)) => {
                log::debug!("[holder] cannot read data centre row: {error}");
            }
            HolderEvent::WorkersListed(Ok(list)) => self.apply_workers(&list),
            HolderEvent::WorkersListed(Err(error)) => {
                log::debug!("[holder] cannot list workers: {error}");
            }
        }
    }

    /// Makes the next read of the data centre row due at once.
    pub(crate) fn refresh_centre(&mut self) {
        self.next_centre_read_at = ClockTime(0);
    }
}
