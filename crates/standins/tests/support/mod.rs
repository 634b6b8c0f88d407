//! One worker in paused time, and short calls to it.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::sync::{Arc, mpsc};
use std::time::Duration;

use arbutuspick_clients::{
    AttemptRequest, EpochRequest, MemberAllocation, PartState, PrepareRequest, RenewRequest, StartRequest,
    WorkerClient, WorkerRefusal, WorkerStatus,
};
use arbutuspick_model::{AttemptNumber, CentreName, JobId, LeaseEpoch, RackName, WorkerName, WorkerTime};
use arbutuspick_standins::{WorkerOptions, WorkerStandin};

pub(crate) const TIMEOUT: Duration = Duration::from_secs(3600);

/// Keeps paused time from advancing by itself while the test waits for the network.
pub(crate) struct HeldTime {
    _sender: mpsc::Sender<()>,
}

impl HeldTime {
    pub(crate) fn pause() -> Self {
        tokio::time::pause();
        let (sender, receiver) = mpsc::channel::<()>();
        // tokio doesn't advance paused time by itself while a blocking task runs.
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

/// A worker with a client that holds one epoch and runs one attempt.
pub(crate) struct WorkerCase {
    pub(crate) worker: WorkerStandin,
    pub(crate) client: WorkerClient,
    pub(crate) epoch: LeaseEpoch,
    pub(crate) job: JobId,
    pub(crate) attempt: AttemptNumber,
    _held: HeldTime,
}

pub(crate) type Answered = Result<WorkerStatus, WorkerRefusal>;

impl WorkerCase {
    pub(crate) async fn start() -> Self {
        Self::start_with(worker_options()).await
    }

    pub(crate) async fn start_with(options: WorkerOptions) -> Self {
        let held = HeldTime::pause();
        let worker = WorkerStandin::start(options).await.unwrap();
        Self {
            client: WorkerClient::new(worker.address()),
            worker,
            epoch: LeaseEpoch(1),
            job: JobId::generate(),
            attempt: AttemptNumber(1),
            _held: held,
        }
    }

    pub(crate) async fn clock(&self) -> WorkerTime {
        let request = EpochRequest { epoch: self.epoch };
        let answer = self.client.epoch(&request, TIMEOUT).await.unwrap();
        match answer.result {
            Ok(status) => status.clock,
            Err(refusal) => refusal.clock,
        }
    }

    pub(crate) async fn present_epoch(&self, epoch: u64) -> Answered {
        let request = EpochRequest {
            epoch: LeaseEpoch(epoch),
        };
        let answer = self.client.epoch(&request, TIMEOUT).await.unwrap();
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

    pub(crate) async fn prepare_as(&self, request: &PrepareRequest) -> Answered {
        let answer = self.client.prepare(request, TIMEOUT).await.unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    pub(crate) async fn prepare(&self, payload: &str) -> Answered {
        let hold_until = self.clock().await + 5000;
        self.prepare_as(&self.prepare_request(payload, hold_until)).await
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

    pub(crate) async fn start_as(&self, request: &StartRequest) -> Answered {
        let answer = self.client.start(request, TIMEOUT).await.unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    pub(crate) async fn start_task(&self) -> Answered {
        let request = self.start_request(self.clock().await);
        self.start_as(&request).await
    }

    pub(crate) fn attempt_request(&self) -> AttemptRequest {
        AttemptRequest {
            epoch: self.epoch,
            job: self.job,
            attempt: self.attempt,
        }
    }

    pub(crate) async fn void(&self) -> Answered {
        let answer = self.client.void(&self.attempt_request(), TIMEOUT).await.unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    pub(crate) async fn stop(&self) -> Answered {
        let answer = self.client.stop(&self.attempt_request(), TIMEOUT).await.unwrap();
        answer.result.map_err(|body| body.refusal)
    }

    /// Returns the state of the only part.
    pub(crate) async fn state(&self) -> PartState {
        let request = RenewRequest {
            epoch: self.epoch,
            leases: Vec::new(),
        };
        let answer = self.client.renew(&request, TIMEOUT).await.unwrap();
        only_state(&answer.result.unwrap())
    }
}

pub(crate) fn only_state(status: &WorkerStatus) -> PartState {
    let [part] = status.parts.as_slice() else {
        panic!("not one part: {:?}", status.parts);
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
