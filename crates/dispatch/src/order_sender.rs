use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{StartAnswer, StartOrder, StopOrder, WorkerReport};

use crate::BootClock;
use crate::leader_authority::LeaderAuthority;
use crate::worker_client::{ConnectionId, StartCall, StartReply, StopCall, WorkerClient, WorkerError};
use crate::worker_clock::WorkerClock;
use crate::worker_session::WorkerEvent;

/// Timeout in milliseconds after which an unanswered order is retried; answers take a few milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 350;
/// Maximum number of attempts for one order.
const MAX_ATTEMPTS: u32 = 3;
/// Calls in a row that were not sent because their connection had been closed, after which a call is sent on any
/// connection: some workers may close each connection after an answer.
pub(crate) const MAX_LOST_CONNECTIONS: u32 = 3;
/// Delay after an order that could not be sent, in milliseconds.
const RETRY_DELAY_MS: u64 = 50;
/// Lease that a start order grants, in milliseconds; the worker refuses a start that arrives after its end.
pub(crate) const START_LEASE_MS: u64 = 4_000;

/// Sends orders to one worker.
#[derive(Debug)]
pub(crate) struct OrderSender<C> {
    pub(crate) client: C,
    pub(crate) clock: BootClock,
    pub(crate) authority: Arc<LeaderAuthority>,
    pub(crate) worker: Arc<WorkerReport>,
    pub(crate) worker_clock: Arc<WorkerClock>,
    /// Connections on which the incarnation of this session has answered and that carry no call.
    pub(crate) verified: Mutex<Vec<ConnectionId>>,
}

impl<C> OrderSender<C>
where
    C: WorkerClient,
{
    /// Returns a connection that leads to the incarnation of this session. A start that reached another one would hold
    /// a lease of the clock of that one, which begins anew.
    async fn verified_connection(&self) -> Result<ConnectionId, WorkerError> {
        if let Some(connection) = self.lock_verified().pop() {
            return Ok(connection);
        }
        let deadline = self.clock.now() + ATTEMPT_TIMEOUT_MS;
        let identity = self
            .client
            .identify(&self.worker, self.authority.epoch(), deadline)
            .await?;
        if identity
            .born_ms
            .is_some_and(|born| born != self.worker.started_at_ms)
        {
            return Err(WorkerError::Restarted);
        }
        self.worker_clock.update(identity.clock, self.clock.now());
        Ok(identity.connection)
    }

    fn lock_verified(&self) -> MutexGuard<'_, Vec<ConnectionId>> {
        self.verified.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a start order and retries until it is answered; a retry is safe, since a run starts only once.
    pub(crate) async fn start(&self, order: &StartOrder) -> Result<StartAnswer, WorkerEvent> {
        let mut is_indeterminate = false;
        let mut attempts = 0;
        let mut lost_connections = 0;
        while attempts < MAX_ATTEMPTS {
            attempts += 1;
            let verified = self.verified_connection().await;
            let now = self.clock.now();
            if !self.authority.may_send_orders(now) || now > order.send_before {
                break;
            }
            let connection = match verified {
                Ok(connection) => connection,
                Err(error) => {
                    log::warn!(
                        "[start] task={} run={} worker={} not sent, error={error}",
                        order.task,
                        order.run,
                        self.worker.id
                    );
                    if let Some(event) = session_end(&error) {
                        return Err(event);
                    }
                    self.wait_for_retry().await;
                    continue;
                }
            };
            let lease_ms = self.authority.max_lease_ms(now, START_LEASE_MS);
            let Some(lease_until) = self.worker_clock.lease_until(now, lease_ms) else {
                break;
            };
            let call = StartCall {
                task: order.task.clone(),
                run: order.run,
                spec: order.spec.clone(),
                checkpoint: order.checkpoint.clone(),
                epoch: self.authority.epoch(),
                lease_until,
                only_on: (lost_connections < MAX_LOST_CONNECTIONS).then_some(connection),
            };
            let sent_at = self.clock.now();
            match self
                .client
                .start(&self.worker, &call, now + ATTEMPT_TIMEOUT_MS)
                .await
            {
                Ok(StartReply::Started { clock }) => {
                    self.lock_verified().push(connection);
                    self.worker_clock.update(clock, self.clock.now());
                    self.record_latency(sent_at);
                    return Ok(StartAnswer::Started);
                }
                Ok(StartReply::Refused { reason }) => {
                    self.lock_verified().push(connection);
                    log::warn!(
                        "[start] task={} run={} worker={} refused={reason} unclear={is_indeterminate}",
                        order.task,
                        order.run,
                        self.worker.id
                    );
                    // An earlier attempt without an answer may have started the run.
                    return Ok(if is_indeterminate {
                        StartAnswer::Unconfirmed
                    } else {
                        StartAnswer::Refused
                    });
                }
                Err(WorkerError::ConnectionClosed) => {
                    // The others have been idle for longer.
                    self.lock_verified().clear();
                    lost_connections += 1;
                    attempts -= 1;
                }
                Err(error) => {
                    log::warn!(
                        "[start] task={} run={} worker={} error={error}",
                        order.task,
                        order.run,
                        self.worker.id
                    );
                    if let Some(event) = session_end(&error) {
                        return Err(event);
                    }
                    if matches!(error, WorkerError::Indeterminate { .. }) {
                        is_indeterminate = true;
                    } else {
                        self.lock_verified().push(connection);
                        self.wait_for_retry().await;
                    }
                }
            }
        }
        Ok(if is_indeterminate {
            StartAnswer::Unconfirmed
        } else {
            StartAnswer::NotSent
        })
    }

    /// Sends a stop order and retries until it is answered; returns whether it was.
    pub(crate) async fn stop(&self, order: &StopOrder) -> Result<bool, WorkerEvent> {
        let call = StopCall {
            task: order.task.clone(),
            run: order.run,
            epoch: self.authority.epoch(),
        };
        for _ in 0..MAX_ATTEMPTS {
            let now = self.clock.now();
            if !self.authority.may_send_orders(now) {
                break;
            }
            match self
                .client
                .stop(&self.worker, &call, now + ATTEMPT_TIMEOUT_MS)
                .await
            {
                Ok(()) => {
                    self.record_latency(now);
                    return Ok(true);
                }
                Err(error) => {
                    if let Some(event) = session_end(&error) {
                        return Err(event);
                    }
                    log::warn!(
                        "[stop] task={} run={} worker={} error={error}",
                        order.task,
                        order.run,
                        self.worker.id
                    );
                    if matches!(error, WorkerError::NotSent { .. }) {
                        self.wait_for_retry().await;
                    }
                }
            }
        }
        Ok(false)
    }

    async fn wait_for_retry(&self) {
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_latency(&self, sent_at: ClockTime) {
        let seconds = self.clock.now().millis_since(sent_at) as f64 / 1000.0;
        metrics::histogram!("arbutuspick_worker_call_seconds").record(seconds);
    }
}

/// Returns the event by which an error ends the session.
fn session_end(error: &WorkerError) -> Option<WorkerEvent> {
    match error {
        WorkerError::Replaced => Some(WorkerEvent::Replaced),
        WorkerError::Restarted => Some(WorkerEvent::Restarted),
        WorkerError::Fenced => Some(WorkerEvent::Fenced),
        WorkerError::ConnectionClosed | WorkerError::NotSent { .. } | WorkerError::Indeterminate { .. } => {
            None
        }
    }
}
