use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use hyper::StatusCode;
use serde::Serialize;
use tokio::time::Instant;

use crate::http_caller::HttpCaller;
use crate::json_call::{build_post, check_status, decode_body};
use crate::{
    AttemptRequest, CallError, EpochRequest, PrepareRequest, ProcessClock, RefusalBody, RenewRequest,
    StartRequest, WorkerStatus,
};

/// Largest answer of a worker; results of its tasks are in it.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A worker's answer with the times of the call on this process's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAnswer {
    /// Time before the request was sent.
    pub sent_at: ClockTime,
    /// Time at which the whole answer was received.
    pub received_at: ClockTime,
    /// Status, or the worker's refusal.
    pub result: Result<WorkerStatus, RefusalBody>,
}

/// Client of one worker. Clones share connections.
///
/// ```no_run
/// # async fn example() -> Result<(), arbutuspick_clients::CallError> {
/// use std::time::Duration;
/// use arbutuspick_model::LeaseEpoch;
/// use arbutuspick_clients::{EpochRequest, WorkerClient};
/// let client = WorkerClient::new("127.0.0.1:7100".parse().unwrap());
/// let request = EpochRequest { epoch: LeaseEpoch(1) };
/// let answer = client.epoch(&request, Duration::from_millis(500)).await?;
/// println!("accepted: {}", answer.result.is_ok());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct WorkerClient {
    caller: HttpCaller,
    clock: ProcessClock,
}

impl WorkerClient {
    /// Creates a client; it connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: HttpCaller::new(address, MAX_ANSWER_BYTES),
            clock: ProcessClock::new(),
        }
    }

    /// Returns the address of the worker.
    pub fn address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Presents an epoch.
    pub async fn epoch(&self, request: &EpochRequest, timeout: Duration) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/epoch", request, timeout).await
    }

    /// Reserves what members need.
    pub async fn prepare(
        &self,
        request: &PrepareRequest,
        timeout: Duration,
    ) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/prepare", request, timeout).await
    }

    /// Starts prepared members.
    pub async fn start(&self, request: &StartRequest, timeout: Duration) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/start", request, timeout).await
    }

    /// Extends gang leases and returns the state of every part.
    pub async fn renew(&self, request: &RenewRequest, timeout: Duration) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/renew", request, timeout).await
    }

    /// Forbids a start of the attempt for good.
    pub async fn void(&self, request: &AttemptRequest, timeout: Duration) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/void", request, timeout).await
    }

    /// Stops a running attempt.
    pub async fn stop(&self, request: &AttemptRequest, timeout: Duration) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/stop", request, timeout).await
    }

    /// Writes checkpoints of a running attempt.
    pub async fn checkpoint(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/checkpoint", request, timeout).await
    }

    /// Slows a running attempt down.
    pub async fn throttle(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/throttle", request, timeout).await
    }

    /// Makes the worker forget an ended attempt.
    pub async fn release(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerAnswer, CallError> {
        self.call("/v1/release", request, timeout).await
    }

    async fn call<Q>(&self, path: &str, query: &Q, timeout: Duration) -> Result<WorkerAnswer, CallError>
    where
        Q: Serialize,
    {
        let request = build_post(path, query)?;
        let sent_at = self.clock.now();
        let answer = self.caller.call(request, Instant::now() + timeout).await?;
        let received_at = self.clock.now();
        let result = if answer.status == StatusCode::CONFLICT {
            Err(decode_body(&answer.body)?)
        } else {
            Ok(decode_body(&check_status(answer)?.body)?)
        };
        Ok(WorkerAnswer {
            sent_at,
            received_at,
            result,
        })
    }
}
