use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arbutuspick_model::{ClockTime, WorkerTime};
use arbutuspick_pool::{PoolOrder, StartAnswer, TaskName, WorkerKey, WorkerListing, WorkerReport};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;

use crate::BootClock;
use crate::order_sender::{OrderSender, START_LEASE_MS};
use crate::seat_authority::SeatAuthority;
use crate::worker_link::{HoldCall, WorkerError, WorkerLink};

/// Longest wait of a listing for an end, in milliseconds; progress and leases are as old as this.
const LISTING_WAIT_MS: u64 = 1_000;
/// A listing is given up this long after its wait, in milliseconds.
const LISTING_SLACK_MS: u64 = 500;
/// Failed listings in a row after which the worker counts as unreachable.
const LOST_AFTER: u32 = 2;
/// Pause after a failed listing, in milliseconds; doubles up to the longest.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause between attempts to reach a worker, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 800;
/// Longest wait for the commit of ends before they are listed again, in milliseconds.
const COMMIT_WAIT_MS: u64 = 1_000;
/// Most orders to one worker at a time.
const ORDERS_AT_ONCE: usize = 4;
/// A worker's clock may run this much slow, in percent, with a margin of one.
const CLOCK_DRIFT_PERCENT: u64 = 3;

/// What a session found out.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// The runs of the worker.
    Listed(WorkerListing),
    /// What became of a start.
    Started {
        task: TaskName,
        run: u32,
        answer: StartAnswer,
    },
    /// A stop was answered.
    Stopped { task: TaskName, run: u32 },
    /// The worker does not answer; by the time given its leases have run out.
    Lost { lease_bound: ClockTime },
    /// Another process answers at its address.
    Replaced,
    /// A later epoch is in force.
    Fenced,
}

/// Estimates a worker's clock from its answers.
#[derive(Debug, Default)]
pub(crate) struct WorkerClock {
    /// The worker's clock less ours, in milliseconds, as a wrapped difference; 0 before the first answer.
    offset: AtomicU64,
    known: AtomicBool,
    bound: AtomicU64,
}

impl WorkerClock {
    /// Notes the clock of an answer received at `now`.
    pub(crate) fn note(&self, clock: WorkerTime, now: ClockTime) {
        self.offset.store(clock.0.wrapping_sub(now.0), Ordering::Release);
        self.known.store(true, Ordering::Release);
    }

    /// Returns the end of a lease on the worker's clock and notes until when it binds us.
    pub(crate) fn lease_until(&self, now: ClockTime, lease_ms: u64) -> Option<WorkerTime> {
        if lease_ms == 0 || !self.known.load(Ordering::Acquire) {
            return None;
        }
        let bound = now.0 + lease_ms + lease_ms * CLOCK_DRIFT_PERCENT / 100;
        self.bound.fetch_max(bound, Ordering::AcqRel);
        Some(WorkerTime(
            now.0.wrapping_add(self.offset.load(Ordering::Acquire)) + lease_ms,
        ))
    }

    /// Returns until when leases that we granted may last.
    pub(crate) fn lease_bound(&self) -> ClockTime {
        ClockTime(self.bound.load(Ordering::Acquire))
    }
}

/// The parts of a session that the holder sets.
#[derive(Debug, Default)]
pub(crate) struct SessionState {
    /// Ends up to this number are stored and may be acknowledged.
    acknowledged: AtomicU64,
    /// The worker has to be listed.
    active: AtomicBool,
    changed: Notify,
}

impl SessionState {
    pub(crate) fn set(&self, acknowledged: u64, active: bool) {
        let before = self.acknowledged.fetch_max(acknowledged, Ordering::AcqRel);
        let was_active = self.active.swap(active, Ordering::AcqRel);
        if before < acknowledged || was_active != active {
            self.changed.notify_one();
        }
    }
}

/// The holder's link to one worker; ends when it is dropped.
#[derive(Debug)]
pub(crate) struct WorkerSession<L> {
    key: WorkerKey,
    state: Arc<SessionState>,
    sender: Arc<OrderSender<L>>,
    events: UnboundedSender<(WorkerKey, WorkerEvent)>,
    permits: Arc<Semaphore>,
    tasks: JoinSet<()>,
}

impl<L> WorkerSession<L>
where
    L: WorkerLink,
{
    pub(crate) fn open(
        key: WorkerKey,
        worker: WorkerReport,
        link: L,
        clock: BootClock,
        authority: Arc<SeatAuthority>,
        lease_ms: u64,
        events: UnboundedSender<(WorkerKey, WorkerEvent)>,
    ) -> Self {
        let state = Arc::new(SessionState::default());
        let sender = Arc::new(OrderSender {
            link,
            clock,
            authority,
            worker: Arc::new(worker),
            worker_clock: Arc::default(),
        });
        let mut tasks = JoinSet::new();
        let listing = ListingLoop {
            key,
            state: state.clone(),
            sender: sender.clone(),
            lease_ms,
            events: events.clone(),
        };
        tasks.spawn(listing.run());
        Self {
            key,
            state,
            sender,
            events,
            permits: Arc::new(Semaphore::new(ORDERS_AT_ONCE)),
            tasks,
        }
    }

    pub(crate) fn state(&self) -> &SessionState {
        &self.state
    }

    /// Sends an order in the background; its result comes as an event.
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
                    Ok(answer) => WorkerEvent::Started {
                        task: order.task,
                        run: order.run,
                        answer,
                    },
                    Err(event) => event,
                },
                PoolOrder::Stop(order) => match sender.stop(&order).await {
                    Ok(true) => WorkerEvent::Stopped {
                        task: order.task,
                        run: order.run,
                    },
                    Ok(false) => return,
                    Err(event) => event,
                },
            };
            // The holder may have gone; nothing is left to tell then.
            let _ = events.send((key, event));
        });
    }
}

/// Lists the runs of a worker again and again and renews their lease.
struct ListingLoop<L> {
    key: WorkerKey,
    state: Arc<SessionState>,
    sender: Arc<OrderSender<L>>,
    lease_ms: u64,
    events: UnboundedSender<(WorkerKey, WorkerEvent)>,
}

impl<L> ListingLoop<L>
where
    L: WorkerLink,
{
    async fn run(self) {
        let mut told = 0;
        let mut reached = false;
        let mut failures = 0;
        loop {
            let active = self.state.active.load(Ordering::Acquire);
            let acknowledged = self.state.acknowledged.load(Ordering::Acquire);
            if !active && acknowledged <= told {
                self.state.changed.notified().await;
                continue;
            }
            match self.list(acknowledged, reached && active).await {
                Ok(listing) => {
                    failures = 0;
                    reached = true;
                    told = acknowledged;
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
                Err(WorkerError::Fenced) => {
                    let _ = self.events.send((self.key, WorkerEvent::Fenced));
                    return;
                }
                Err(error) => {
                    failures += 1;
                    self.note_failure(failures, &error);
                    if failures >= LOST_AFTER {
                        reached = false;
                    }
                    let pause = (FIRST_PAUSE_MS << failures.min(6)).min(LONGEST_PAUSE_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    async fn list(&self, acknowledged: u64, wait: bool) -> Result<WorkerListing, WorkerError> {
        let sender = &self.sender;
        let asked_at = sender.clock.now();
        let lease_ms = sender.authority.lease_ms(asked_at, self.lease_ms);
        // A short lease would only replace a longer one that a start brought.
        let extends = wait && lease_ms > START_LEASE_MS / 4;
        let lease_until = if extends {
            sender.worker_clock.lease_until(asked_at, lease_ms)
        } else {
            None
        };
        let wait_ms = if wait { LISTING_WAIT_MS } else { 0 };
        let call = HoldCall {
            epoch: sender.authority.epoch(),
            acknowledged,
            lease_until,
            wait_ms,
        };
        let deadline = asked_at + wait_ms + LISTING_SLACK_MS;
        let reply = sender.link.hold(&sender.worker, &call, deadline).await?;
        if reply
            .born_ms
            .is_some_and(|born| born != sender.worker.started_at_ms)
        {
            return Err(WorkerError::Replaced);
        }
        sender.worker_clock.note(reply.clock, sender.clock.now());
        Ok(WorkerListing {
            asked_at,
            running: reply.running,
            ended: reply.ended,
        })
    }

    fn note_failure(&self, failures: u32, error: &WorkerError) {
        if failures == LOST_AFTER {
            let lease_bound = self.sender.worker_clock.lease_bound();
            log::warn!(
                "[worker] id={} lost error={error} lease_bound={lease_bound} now={}",
                self.sender.worker.id,
                self.sender.clock.now()
            );
            let _ = self.events.send((self.key, WorkerEvent::Lost { lease_bound }));
        }
    }

    /// Ends are listed again until they are acknowledged, so the next listing waits for their commit.
    async fn wait_for_commit(&self, newest: u64) {
        let committed = async {
            while self.state.acknowledged.load(Ordering::Acquire) < newest {
                self.state.changed.notified().await;
            }
        };
        let limit = Duration::from_millis(COMMIT_WAIT_MS);
        if tokio::time::timeout(limit, committed).await.is_err() {
            log::debug!(
                "[worker] id={} ends up to {newest} are not stored yet",
                self.sender.worker.id
            );
        }
    }
}
