use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use hyper::StatusCode;
use serde::Serialize;
use tokio::time::Instant;

use crate::http_client::HttpClient;
use crate::json_call::{build_post, check_status, decode_body};
use crate::{
    AttemptRequest, CallError, EpochRequest, PrepareRequest, ProcessClock, RefusalBody, RenewRequest,
    StartRequest, WorkerStatus,
};

/// Maximum size of a response body; it includes the task results.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Response of a worker, with the times of the call on the clock of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerResponse {
    /// Time before the request was sent.
    pub sent_at: ClockTime,
    /// Time at which the complete response was received.
    pub received_at: ClockTime,
    /// Status of the worker, or its refusal.
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
/// let response = client.epoch(&request, Duration::from_millis(500)).await?;
/// println!("accepted: {}", response.result.is_ok());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: HttpClient,
    clock: ProcessClock,
}

impl WorkerClient {
    /// Creates a client, which connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address, MAX_RESPONSE_BYTES),
            clock: ProcessClock::new(),
        }
    }

    /// Returns the address of the worker.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Raises the highest accepted epoch of the worker.
    pub async fn epoch(
        &self,
        request: &EpochRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/epoch", request, timeout).await
    }

    /// Reserves resources for the members of an attempt.
    pub async fn prepare(
        &self,
        request: &PrepareRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/prepare", request, timeout).await
    }

    /// Starts the prepared members of an attempt.
    pub async fn start(
        &self,
        request: &StartRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/start", request, timeout).await
    }

    /// Extends gang leases and returns the state of every part.
    pub async fn renew(
        &self,
        request: &RenewRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/renew", request, timeout).await
    }

    /// Permanently forbids starting an attempt.
    pub async fn void(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/void", request, timeout).await
    }

    /// Stops a running attempt.
    pub async fn stop(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/stop", request, timeout).await
    }

    /// Writes a checkpoint of each member of a running attempt.
    pub async fn checkpoint(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/checkpoint", request, timeout).await
    }

    /// Slows a running attempt down.
    pub async fn throttle(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/throttle", request, timeout).await
    }

    /// Removes an ended attempt from the worker's state.
    pub async fn release(
        &self,
        request: &AttemptRequest,
        timeout: Duration,
    ) -> Result<WorkerResponse, CallError> {
        self.call("/v1/release", request, timeout).await
    }

    async fn call<B>(&self, path: &str, body: &B, timeout: Duration) -> Result<WorkerResponse, CallError>
    where
        B: Serialize,
    {
        let request = build_post(path, body)?;
        let sent_at = self.clock.now();
        let response = self.client.call(request, Instant::now() + timeout).await?;
        let received_at = self.clock.now();
        let result = if response.status == StatusCode::CONFLICT {
            Err(decode_body(&response.body)?)
        } else {
            Ok(decode_body(&check_status(response)?.body)?)
        };
        Ok(WorkerResponse {
            sent_at,
            received_at,
            result,
        })
    }
}
