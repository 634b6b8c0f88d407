use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{PoolOrder, StartAnswer, TaskName, WorkerKey, WorkerListing, WorkerReport};
use futures::FutureExt;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;

use crate::BootClock;
use crate::leader_authority::LeaderAuthority;
use crate::order_sender::{MAX_LOST_CONNECTIONS, OrderSender, START_LEASE_MS};
use crate::worker_client::{ConnectionId, PollCall, WorkerClient, WorkerError};

/// Wait of a listing call for a run to end, in milliseconds; also the interval at which progress is reported
/// and leases are renewed.
const LISTING_WAIT_MS: u64 = 1_000;
/// Time that a listing call may take beyond its wait, in milliseconds.
const LISTING_GRACE_MS: u64 = 500;
/// Consecutive failed listing calls after which the worker counts as unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 2;
/// Base delay after a failed listing call, in milliseconds; doubled by every consecutive failure.
const BASE_BACKOFF_MS: u64 = 100;
/// Maximum delay between attempts to reach a worker, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;
/// Maximum wait for the commit of ended runs before they are listed again, in milliseconds.
const COMMIT_WAIT_MS: u64 = 1_000;
/// Maximum number of concurrent orders to one worker.
const MAX_CONCURRENT_ORDERS: usize = 4;

/// Event that a session reports to the leader.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// The worker listed its runs.
    Listed(WorkerListing),
    /// A start order was answered or given up.
    StartAnswered {
        task: TaskName,
        run: u32,
        answer: StartAnswer,
    },
    /// A stop order was answered.
    StopAnswered { task: TaskName, run: u32 },
    /// The worker is unreachable; its leases have expired by `lease_expiry`.
    Unreachable { lease_expiry: ClockTime },
    /// The session has failed unexpectedly.
    SessionFailed,
    /// Another process answers at the worker's address.
    Replaced,
    /// The worker has restarted under its id.
    Restarted,
    /// The worker rejected the epoch, because it has seen a later one.
    Fenced,
}

/// State of a session that the leader sets and the listing loop reads.
#[derive(Debug, Default)]
pub(crate) struct SessionState {
    /// Ended runs up to this number are stored and may be acknowledged to the worker.
    acknowledged: AtomicU64,
    /// Whether the worker has to be listed.
    needs_listing: AtomicBool,
    changed: Notify,
}

impl SessionState {
    /// Updates the state and wakes the listing loop if the state has changed.
    pub(crate) fn update(&self, acknowledged: u64, needs_listing: bool) {
        let previous = self.acknowledged.fetch_max(acknowledged, Ordering::AcqRel);
        let needed_listing = self.needs_listing.swap(needs_listing, Ordering::AcqRel);
        if previous < acknowledged || needed_listing != needs_listing {
            self.changed.notify_one();
        }
    }
}

/// The leader's session with one worker; dropping it aborts its tasks.
#[derive(Debug)]
pub(crate) struct WorkerSession<C> {
    key: WorkerKey,
    state: Arc<SessionState>,
    sender: Arc<OrderSender<C>>,
    events: UnboundedSender<(WorkerKey, WorkerEvent)>,
    permits: Arc<Semaphore>,
    tasks: JoinSet<()>,
}

impl<C> WorkerSession<C>
where
    C: WorkerClient,
{
    pub(crate) fn open(
        key: WorkerKey,
        worker: WorkerReport,
        client: C,
        clock: BootClock,
        authority: Arc<LeaderAuthority>,
        lease_ms: u64,
        events: UnboundedSender<(WorkerKey, WorkerEvent)>,
    ) -> Self {
        let state = Arc::new(SessionState::default());
        let sender = Arc::new(OrderSender {
            client,
            clock,
            authority,
            worker: Arc::new(worker),
            worker_clock: Arc::default(),
            verified: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        let listing = ListingLoop {
            key,
            state: state.clone(),
            sender: sender.clone(),
            lease_ms,
            events: events.clone(),
        };
        let (id, failed_events) = (sender.worker.id.clone(), events.clone());
        tasks.spawn(async move {
            if AssertUnwindSafe(listing.run()).catch_unwind().await.is_err() {
                log::error!("[worker] id={id} its session has failed");
                // The leader may have stopped; the event is not needed then.
                let _ = failed_events.send((key, WorkerEvent::SessionFailed));
            }
        });
        Self {
            key,
            state,
            sender,
            events,
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
            tasks,
        }
    }

    pub(crate) fn state(&self) -> &SessionState {
        &self.state
    }

    /// Returns the time by which all leases granted in this session have expired; if it has passed, no further
    /// lease is granted until the worker lists its runs.
    pub(crate) fn seal_expired(&self, now: ClockTime) -> ClockTime {
        self.sender.worker_clock.seal_expired(now)
    }

    /// Ends the grants of leases; returns the time by which those granted so far have expired.
    pub(crate) fn seal(&self) -> ClockTime {
        self.sender.worker_clock.seal()
    }

    /// Returns whether orders have not been answered or given up.
    pub(crate) fn has_open_orders(&self) -> bool {
        self.permits.available_permits() < MAX_CONCURRENT_ORDERS
    }

    /// Sends an order in the background; reports the result as an event.
    pub(crate) fn send(&mut self, order: PoolOrder) {
        while self.tasks.try_join_next().is_some() {}
        let (key, sender, events) = (self.key, self.sender.clone(), self.events.clone());
        let permits = self.permits.clone();
        self.tasks.spawn(async move {
            // The semaphore is never closed.
            let Ok(_permit) = permits.acquire().await else {
                return;
            };
            let event = match order {
                PoolOrder::Start(order) => match sender.start(&order).await {
                    Ok(answer) => WorkerEvent::StartAnswered {
                        task: order.task,
                        run: order.run,
                        answer,
                    },
                    Err(event) => event,
                },
                PoolOrder::Stop(order) => match sender.stop(&order).await {
                    Ok(true) => WorkerEvent::StopAnswered {
                        task: order.task,
                        run: order.run,
                    },
                    Ok(false) => return,
                    Err(event) => event,
                },
            };
            // The leader may have stopped; the event is not needed then.
            let _ = events.send((key, event));
        });
    }
}

/// Lists the runs of a worker periodically and renews its lease.
struct ListingLoop<C> {
    key: WorkerKey,
    state: Arc<SessionState>,
    sender: Arc<OrderSender<C>>,
    lease_ms: u64,
    events: UnboundedSender<(WorkerKey, WorkerEvent)>,
}

impl<C> ListingLoop<C>
where
    C: WorkerClient,
{
    async fn run(self) {
        let mut acknowledged_to_worker = 0;
        let mut is_reachable = false;
        // The connection on which the incarnation of this session answered the latest call.
        let mut verified = None;
        let mut lost_connections = 0;
        let mut failures = 0;
        loop {
            let needs_listing = self.state.needs_listing.load(Ordering::Acquire);
            let acknowledged = self.state.acknowledged.load(Ordering::Acquire);
            if !needs_listing && acknowledged <= acknowledged_to_worker {
                self.state.changed.notified().await;
                continue;
            }
            // A restarted worker numbers its ends anew and would drop those up to the acknowledged number, and its
            // clock begins anew, so that a lease of the clock before would last too long. So both are sent only on
            // the connection of an answer of the same incarnation, the number once.
            let is_due = verified.is_some() && acknowledged > acknowledged_to_worker;
            let sent = if is_due { acknowledged } else { 0 };
            let only_on = verified.filter(|_| lost_connections < MAX_LOST_CONNECTIONS);
            let may_wait = is_reachable && needs_listing && verified.is_some();
            match self.list(sent, only_on, may_wait).await {
                Ok((listing, connection)) => {
                    failures = 0;
                    is_reachable = true;
                    verified = Some(connection);
                    if only_on.is_some() {
                        lost_connections = 0;
                    }
                    acknowledged_to_worker = acknowledged_to_worker.max(sent);
                    let newest = listing.ended.iter().map(|end| end.number).max();
                    if self
                        .events
                        .send((self.key, WorkerEvent::Listed(listing)))
                        .is_err()
                    {
                        return;
                    }
                    if let Some(newest) = newest {
                        self.wait_for_commit(newest).await;
                    }
                }
                Err(WorkerError::Replaced) => {
                    let _ = self.events.send((self.key, WorkerEvent::Replaced));
                    return;
                }
                Err(WorkerError::Restarted) => {
                    let _ = self.events.send((self.key, WorkerEvent::Restarted));
                    return;
                }
                Err(WorkerError::Fenced) => {
                    let _ = self.events.send((self.key, WorkerEvent::Fenced));
                    return;
                }
                Err(WorkerError::ConnectionClosed) => {
                    log::debug!("[worker] id={} lists on a new connection", self.sender.worker.id);
                    lost_connections += 1;
                    verified = None;
                }
                Err(error) => {
                    failures += 1;
                    verified = None;
                    self.report_failure(failures, &error);
                    if failures >= UNREACHABLE_AFTER_FAILURES {
                        is_reachable = false;
                    }
                    let delay_ms = (BASE_BACKOFF_MS << failures.min(6)).min(MAX_BACKOFF_MS);
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    async fn list(
        &self,
        acknowledged: u64,
        only_on: Option<ConnectionId>,
        wait: bool,
    ) -> Result<(WorkerListing, ConnectionId), WorkerError> {
        let sender = &self.sender;
        let sent_at = sender.clock.now();
        let lease_ms = sender.authority.max_lease_ms(sent_at, self.lease_ms);
        // A short lease could replace the longer lease of a recent start.
        let renews_lease = wait && lease_ms > START_LEASE_MS / 4;
        let lease_until = if renews_lease {
            sender.worker_clock.lease_until(sent_at, lease_ms)
        } else {
            None
        };
        let wait_ms = if wait { LISTING_WAIT_MS } else { 0 };
        let call = PollCall {
            epoch: sender.authority.epoch(),
            acknowledged,
            only_on,
            lease_until,
            wait_ms,
        };
        let deadline = sent_at + wait_ms + LISTING_GRACE_MS;
        let reply = sender.client.poll(&sender.worker, &call, deadline).await?;
        if reply
            .born_ms
            .is_some_and(|born| born != sender.worker.started_at_ms)
        {
            return Err(WorkerError::Restarted);
        }
        sender.worker_clock.update(reply.clock, sender.clock.now());
        sender.worker_clock.reopen();
        let listing = WorkerListing {
            asked_at: sent_at,
            running: reply.running,
            ended: reply.ended,
            is_complete: reply.is_complete,
        };
        Ok((listing, reply.connection))
    }

    fn report_failure(&self, failures: u32, error: &WorkerError) {
        if failures == UNREACHABLE_AFTER_FAILURES {
            let lease_expiry = self.sender.worker_clock.lease_expiry();
            log::warn!(
                "[worker] id={} unreachable error={error} lease_bound={lease_expiry} now={}",
                self.sender.worker.id,
                self.sender.clock.now()
            );
            let _ = self
                .events
                .send((self.key, WorkerEvent::Unreachable { lease_expiry }));
        }
    }

    /// Waits until ended runs up to this number are stored; they are listed until they are acknowledged.
    async fn wait_for_commit(&self, newest: u64) {
        let committed = async {
            while self.state.acknowledged.load(Ordering::Acquire) < newest {
                self.state.changed.notified().await;
            }
        };
        let limit = Duration::from_millis(COMMIT_WAIT_MS);
        if tokio::time::timeout(limit, committed).await.is_err() {
            log::debug!(
                "[worker] id={} ended runs up to {newest} are not stored yet",
                self.sender.worker.id
            );
        }
    }
}
