use std::fmt::{Debug, Formatter};
use std::future::poll_fn;
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use metrics::Gauge;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::client_limits::head_limit;
use crate::client_turns::{ClientTurns, TurnWaiter};
use crate::head_watch::HeadWatch;
use crate::{Admission, ClientLedger, ClientLimits, ClosureReason, ConnectionKey};

#[derive(Debug)]
struct GuardState {
    ledger: ClientLedger,
    /// Tokens that end the tasks of the connections.
    closers: SecondaryMap<ConnectionKey, CancellationToken>,
}

#[derive(Debug)]
struct GuardShared {
    listener: &'static str,
    started_at: Instant,
    state: Mutex<GuardState>,
    turns: Arc<ClientTurns>,
    connection_gauge: Gauge,
    byte_gauge: Gauge,
}

/// Carries out the decisions of a [`ClientLedger`] for the connections of one listener.
#[derive(Clone, Debug)]
pub struct ClientGuard {
    shared: Arc<GuardShared>,
    permitted_head: PermittedHead,
}

/// Returns the size of a head that the configuration permits, in bytes.
#[derive(Clone)]
struct PermittedHead(Arc<dyn Fn() -> usize + Send + Sync>);

impl Debug for PermittedHead {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PermittedHead")
    }
}

/// A connection that is admitted; its memory is returned when the lease is dropped.
#[derive(Debug)]
pub struct ConnectionLease {
    shared: Arc<GuardShared>,
    key: ConnectionKey,
    closed: CancellationToken,
    head_watch: HeadWatch,
    /// Maximum size of a head, in bytes.
    head_limit: usize,
}

impl ClientGuard {
    /// Creates the guard of a listener; `listener` names it in metrics and log lines.
    pub fn new(listener: &'static str, limits: ClientLimits) -> Self {
        log::info!(
            "[server] listener={listener} max_connections={} max_bytes={}",
            limits.max_connections,
            limits.max_bytes
        );
        let state = GuardState {
            ledger: ClientLedger::new(limits),
            closers: SecondaryMap::new(),
        };
        let shared = GuardShared {
            listener,
            started_at: Instant::now(),
            state: Mutex::new(state),
            turns: Arc::new(ClientTurns::new()),
            connection_gauge: metrics::gauge!("arbutuspick_client_connections", "listener" => listener),
            byte_gauge: metrics::gauge!("arbutuspick_client_bytes", "listener" => listener),
        };
        Self {
            shared: Arc::new(shared),
            permitted_head: PermittedHead(Arc::new(|| 0)),
        }
    }

    /// Sets what returns the size of a head that the configuration permits, in bytes; it is called for each connection.
    #[must_use]
    pub fn with_permitted_head<F>(mut self, permitted_bytes: F) -> Self
    where
        F: Fn() -> usize + Send + Sync + 'static,
    {
        self.permitted_head = PermittedHead(Arc::new(permitted_bytes));
        self
    }

    /// Returns the number of open connections and the memory that they hold, in bytes.
    pub fn load(&self) -> (usize, usize) {
        let state = self.shared.state.lock();
        (state.ledger.open_connections(), state.ledger.held_bytes())
    }

    /// Closes the connections that a stop does not wait for, once input that has arrived was read.
    pub(crate) async fn close_unfinished(&self) {
        let mut turn_waiter = self.shared.turns.waiter();
        poll_fn(|context| turn_waiter.poll_turn(context)).await;
        self.shared.decide(ClientLedger::stop);
        self.shared.record_load();
    }

    /// Admits a connection, or returns `None` if there is no room for it.
    pub fn connect(&self) -> Option<Arc<ConnectionLease>> {
        let closed = CancellationToken::new();
        let head_limit = head_limit((self.permitted_head.0)());
        let admission = self.shared.decide(|ledger, now| {
            ledger.set_head_limit(head_limit);
            ledger.connect(now)
        });
        let Admission::Admitted(key) = admission else {
            self.shared.record_refusal("connections");
            return None;
        };
        self.shared.state.lock().closers.insert(key, closed.clone());
        self.shared.record_load();
        Some(Arc::new(ConnectionLease {
            shared: self.shared.clone(),
            key,
            closed,
            head_watch: HeadWatch::new(),
            head_limit,
        }))
    }
}

impl GuardShared {
    /// Makes a decision, and closes the connections that it names.
    fn decide<D, T>(&self, decide: D) -> T
    where
        D: FnOnce(&mut ClientLedger, ClockTime) -> T,
    {
        let elapsed_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut state = self.state.lock();
        let decision = decide(&mut state.ledger, ClockTime(elapsed_ms));
        let closures = state.ledger.take_closures();
        for closure in &closures {
            if let Some(closer) = state.closers.get(closure.key) {
                closer.cancel();
            }
        }
        drop(state);
        for closure in closures {
            let reason = reason_name(closure.reason);
            log::info!(
                "[server] listener={} closed a connection reason={reason} held_bytes={}",
                self.listener,
                closure.held_bytes
            );
            metrics::counter!(
                "arbutuspick_client_closures_total", "listener" => self.listener, "reason" => reason
            )
            .increment(1);
        }
        decision
    }

    fn record_refusal(&self, reason: &'static str) {
        log::info!(
            "[server] listener={} refused a client reason={reason}",
            self.listener
        );
        metrics::counter!(
            "arbutuspick_client_refusals_total", "listener" => self.listener, "reason" => reason
        )
        .increment(1);
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_load(&self) {
        let state = self.state.lock();
        self.connection_gauge.set(state.ledger.open_connections() as f64);
        self.byte_gauge.set(state.ledger.held_bytes() as f64);
    }
}

fn reason_name(reason: ClosureReason) -> &'static str {
    match reason {
        ClosureReason::Stalled => "stalled",
        ClosureReason::Idle => "idle",
        ClosureReason::Slow => "slow",
        ClosureReason::Share => "share",
    }
}

impl ConnectionLease {
    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Returns the maximum size of a head, in bytes.
    pub(crate) fn head_limit(&self) -> usize {
        self.head_limit
    }

    pub(crate) fn head_watch(&self) -> &HeadWatch {
        &self.head_watch
    }

    /// Returns what the connection waits for before it is polled, so that other tasks of the process run in between.
    pub(crate) fn turn_waiter(&self) -> TurnWaiter {
        self.shared.turns.waiter()
    }

    /// Records bytes that were received; returns whether the connection may receive more.
    pub fn receive(&self, bytes: usize) -> bool {
        let admitted = self
            .shared
            .decide(|ledger, now| ledger.receive(self.key, bytes, now));
        self.count_refusal(admitted)
    }

    /// Reserves memory for the body of a request that is still arriving; returns whether there is room.
    pub fn reserve(&self, bytes: usize) -> bool {
        let admitted = self
            .shared
            .decide(|ledger, now| ledger.reserve(self.key, bytes, now));
        self.count_refusal(admitted)
    }

    /// Records the client account of the current request; `None` if it needs none.
    pub fn identify(&self, account: Option<Arc<str>>) {
        self.shared.decide(|ledger, _| ledger.identify(self.key, account));
    }

    /// Records that a request is being processed; returns false if the connection is being closed.
    pub fn run(&self) -> bool {
        self.shared.decide(|ledger, _| ledger.run(self.key))
    }

    /// Records that a head with this many headers was read; returns whether there is room for its request.
    pub(crate) fn begin(&self, header_count: usize, has_body: bool) -> bool {
        self.head_watch.begin_request(has_body);
        let admitted = self
            .shared
            .decide(|ledger, now| ledger.begin(self.key, header_count, now));
        self.count_refusal(admitted)
    }

    /// Returns whether responses that are not read leave room for another one.
    pub fn has_room(&self) -> bool {
        let has_room = self.shared.decide(|ledger, now| ledger.has_room(self.key, now));
        self.count_refusal(has_room)
    }

    /// Records that a request has a response of this size.
    pub fn respond(&self, bytes: usize, is_served: bool) {
        self.shared
            .decide(|ledger, now| ledger.respond(self.key, bytes, is_served, now));
    }

    /// Records that part of a response was sent.
    pub fn send(&self) {
        self.shared.decide(|ledger, now| ledger.send(self.key, now));
    }

    /// Records that everything was sent.
    pub fn finish(&self) {
        self.head_watch.end_request();
        self.shared.decide(|ledger, now| ledger.finish(self.key, now));
    }

    fn count_refusal(&self, admitted: bool) -> bool {
        if !admitted && !self.closed.is_cancelled() {
            self.shared.record_refusal("memory");
            self.shared.record_load();
        }
        admitted
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        state.ledger.disconnect(self.key);
        state.closers.remove(self.key);
        drop(state);
        self.shared.record_load();
    }
}
