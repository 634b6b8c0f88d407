//! A worker stand-in under paused time, with methods to call it.
#![allow(dead_code, reason = "every test file uses a part of the module")]

use std::sync::{Arc, mpsc};
use std::time::Duration;

use arbutuspick_clients::{
    AttemptRequest, EpochRequest, MemberAllocation, PartState, PrepareRequest, RenewRequest, StartRequest,
    WorkerClient, WorkerRefusal, WorkerStatus,
};
use arbutuspick_model::{AttemptNumber, CentreName, JobId, LeaseEpoch, RackName, WorkerName, WorkerTime};
use arbutuspick_standins::{WorkerOptions, WorkerStandin};

pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(3600);

/// Pauses tokio's clock and keeps it from advancing by itself while a test waits for the network.
pub(crate) struct PausedClock {
    _sender: mpsc::Sender<()>,
}

impl PausedClock {
    pub(crate) fn pause() -> Self {
        tokio::time::pause();
        let (sender, receiver) = mpsc::channel::<()>();
        // tokio doesn't advance paused time automatically while a blocking task runs.
        tokio::task::spawn_blocking(move || receiver.recv());
        Self { _sender: sender }
    }
}

pub(crate) async fn advance(millis: u64) {
    tokio::time::advance(Duration::from_millis(millis)).await;
}

pub(crate) fn worker_options() -> WorkerOptions {
    WorkerOptions::new(
        WorkerName::try_from("trent-w0").unwrap(),
        CentreName::try_from("trent").unwrap(),
        RackName::try_from("trent-r0").unwrap(),
    )
}

/// A worker, its client, and the epoch, job and attempt that the calls carry.
pub(crate) struct WorkerFixture {
    pub(crate) worker: WorkerStandin,
    pub(crate) client: WorkerClient,
    pub(crate) epoch: LeaseEpoch,
    pub(crate) job: JobId,
    pub(crate) attempt: AttemptNumber,
    _paused_clock: PausedClock,
}

pub(crate) type CallResult = Result<WorkerStatus, WorkerRefusal>;

impl WorkerFixture {
    pub(crate) async fn start() -> Self {
        Self::start_with(worker_options()).await
    }

    pub(crate) async fn start_with(options: WorkerOptions) -> Self {
        let paused_clock = PausedClock::pause();
        let worker = WorkerStandin::start(options).await.unwrap();
        Self {
            client: WorkerClient::new(worker.address()),
            worker,
            epoch: LeaseEpoch(1),
            job: JobId::generate(),
            attempt: AttemptNumber(1),
            _paused_clock: paused_clock,
        }
    }

    pub(crate) async fn clock(&self) -> WorkerTime {
        let request = EpochRequest { epoch: self.epoch };
        let answer = self.client.epoch(&request, CALL_TIMEOUT).await.unwrap();
        match answer.result {
            Ok(status) => status.clock,
            Err(refusal) => refusal.clock,
        }
    }

    pub(crate) async fn present_epoch(&self, epoch: u64) -> CallResult {
        let request = EpochRequest {
            epoch: LeaseEpoch(epoch),
        };
        let answer = self.client.epoch(&request, CALL_TIMEOUT).await.unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    pub(crate) fn prepare_request(&self, payload: &str, hold_until: WorkerTime) -> PrepareRequest {
        PrepareRequest {
            epoch: self.epoch,
            job: self.job,
            attempt: self.attempt,
            members: vec![
                MemberAllocation {
                    index: 0,
                    accelerators: 0b1111,
                },
                MemberAllocation {
                    index: 1,
                    accelerators: 0b1111_0000,
                },
            ],
            cores: 4,
            memory_mib: 1024,
            payload: payload.into(),
            checkpointable: true,
            checkpoint: None,
            hold_until,
        }
    }

    pub(crate) async fn send_prepare(&self, request: &PrepareRequest) -> CallResult {
        let answer = self.client.prepare(request, CALL_TIMEOUT).await.unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    pub(crate) async fn prepare(&self, payload: &str) -> CallResult {
        let hold_until = self.clock().await + 5000;
        self.send_prepare(&self.prepare_request(payload, hold_until))
            .await
    }

    pub(crate) fn start_request(&self, now: WorkerTime) -> StartRequest {
        StartRequest {
            epoch: self.epoch,
            job: self.job,
            attempt: self.attempt,
            start_before: now + 2000,
            lease_until: now + 15_000,
        }
    }

    pub(crate) async fn send_start(&self, request: &StartRequest) -> CallResult {
        let answer = self.client.start(request, CALL_TIMEOUT).await.unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    pub(crate) async fn start_task(&self) -> CallResult {
        let request = self.start_request(self.clock().await);
        self.send_start(&request).await
    }

    pub(crate) fn attempt_request(&self) -> AttemptRequest {
        AttemptRequest {
            epoch: self.epoch,
            job: self.job,
            attempt: self.attempt,
        }
    }

    pub(crate) async fn void(&self) -> CallResult {
        let answer = self
            .client
            .void(&self.attempt_request(), CALL_TIMEOUT)
            .await
            .unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    pub(crate) async fn stop(&self) -> CallResult {
        let answer = self
            .client
            .stop(&self.attempt_request(), CALL_TIMEOUT)
            .await
            .unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    /// Returns the state of the worker's only part.
    pub(crate) async fn state(&self) -> PartState {
        let request = RenewRequest {
            epoch: self.epoch,
            leases: Vec::new(),
        };
        let answer = self.client.renew(&request, CALL_TIMEOUT).await.unwrap();
        single_state(&answer.result.unwrap())
    }
}

pub(crate) fn single_state(status: &WorkerStatus) -> PartState {
    let [part] = status.parts.as_slice() else {
        panic!("expected one part, got {:?}", status.parts);
    };
    part.state.clone()
}

pub(crate) fn finished(output: &str) -> PartState {
    let output: Arc<str> = output.into();
    let result = |index| arbutuspick_clients::MemberResult {
        index,
        output: Arc::clone(&output),
    };
    PartState::Finished {
        results: vec![result(0), result(1)],
    }
}
