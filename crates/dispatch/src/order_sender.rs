use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{StartAnswer, StartOrder, StopOrder, WorkerReport};

use crate::BootClock;
use crate::seat_authority::SeatAuthority;
use crate::worker_link::{StartCall, StartReply, StopCall, WorkerError, WorkerLink};
use crate::worker_session::{WorkerClock, WorkerEvent};

/// An order without an answer is repeated after this time, in milliseconds; answers take a few.
const ATTEMPT_MS: u64 = 350;
/// Most attempts for one order.
const ATTEMPTS: u32 = 3;
/// Pause after an order that could not be sent, in milliseconds.
const RETRY_MS: u64 = 50;
/// Lease of a start, in milliseconds: a start that arrives later than this is refused by the worker.
pub(crate) const START_LEASE_MS: u64 = 4_000;

/// Sends orders to one worker.
#[derive(Debug)]
pub(crate) struct OrderSender<L> {
    pub(crate) link: L,
    pub(crate) clock: BootClock,
    pub(crate) authority: Arc<SeatAuthority>,
    pub(crate) worker: Arc<WorkerReport>,
    pub(crate) worker_clock: Arc<WorkerClock>,
}

impl<L> OrderSender<L>
where
    L: WorkerLink,
{
    /// Sends a start until it is answered; repeating it is safe, since a run starts once.
    pub(crate) async fn start(&self, order: &StartOrder) -> Result<StartAnswer, WorkerEvent> {
        let mut unclear = false;
        for _ in 0..ATTEMPTS {
            let now = self.clock.now();
            if !self.authority.may_order(now) || now > order.send_before {
                break;
            }
            let lease_ms = self.authority.lease_ms(now, START_LEASE_MS);
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
            };
            let sent_at = self.clock.now();
            match self.link.start(&self.worker, &call, now + ATTEMPT_MS).await {
                Ok(StartReply::Started { clock }) => {
                    self.worker_clock.note(clock, self.clock.now());
                    self.record_latency(sent_at);
                    return Ok(StartAnswer::Started);
                }
                Ok(StartReply::Refused { reason }) => {
                    log::warn!(
                        "[start] task={} run={} worker={} refused={reason} unclear={unclear}",
                        order.task,
                        order.run,
                        self.worker.id
                    );
                    return Ok(if unclear {
                        StartAnswer::Unconfirmed
                    } else {
                        StartAnswer::Refused
                    });
                }
                Err(error) => {
                    log::warn!(
                        "[start] task={} run={} worker={} error={error}",
                        order.task,
                        order.run,
                        self.worker.id
                    );
                    match error {
                        WorkerError::Replaced => return Err(WorkerEvent::Replaced),
                        WorkerError::Fenced => return Err(WorkerEvent::Fenced),
                        WorkerError::Unclear { .. } => unclear = true,
                        WorkerError::NotSent { .. } => self.pause().await,
                    }
                }
            }
        }
        Ok(if unclear {
            StartAnswer::Unconfirmed
        } else {
            StartAnswer::NotSent
        })
    }

    /// Sends a stop; returns whether it was answered.
    pub(crate) async fn stop(&self, order: &StopOrder) -> Result<bool, WorkerEvent> {
        let call = StopCall {
            task: order.task.clone(),
            run: order.run,
            epoch: self.authority.epoch(),
        };
        for _ in 0..ATTEMPTS {
            let now = self.clock.now();
            if !self.authority.may_order(now) {
                break;
            }
            match self.link.stop(&self.worker, &call, now + ATTEMPT_MS).await {
                Ok(()) => {
                    self.record_latency(now);
                    return Ok(true);
                }
                Err(WorkerError::Replaced) => return Err(WorkerEvent::Replaced),
                Err(WorkerError::Fenced) => return Err(WorkerEvent::Fenced),
                Err(error) => {
                    log::warn!(
                        "[stop] task={} run={} worker={} error={error}",
                        order.task,
                        order.run,
                        self.worker.id
                    );
                    if matches!(error, WorkerError::NotSent { .. }) {
                        self.pause().await;
                    }
                }
            }
        }
        Ok(false)
    }

    async fn pause(&self) {
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_latency(&self, sent_at: ClockTime) {
        let seconds = self.clock.now().millis_since(sent_at) as f64 / 1000.0;
        metrics::histogram!("arbutuspick_worker_call_seconds").record(seconds);
    }
}
