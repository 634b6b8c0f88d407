//! A worker's refusal must be told apart from a call whose outcome is open.

mod support;

use std::time::Duration;

use arbutuspick_clients::{CallError, EpochRequest, RefusalBody, WorkerClient, WorkerRefusal, WorkerStatus};
use arbutuspick_model::{LeaseEpoch, WorkerTime};
use support::{FakeServer, Script, answer};

const TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: EpochRequest = EpochRequest { epoch: LeaseEpoch(3) };

async fn call(script: Script) -> Result<Result<WorkerStatus, RefusalBody>, CallError> {
    let server = FakeServer::start(move |_| script.clone()).await;
    let answer = WorkerClient::new(server.address).epoch(&REQUEST, TIMEOUT).await?;
    assert!(answer.sent_at <= answer.received_at);
    Ok(answer.result)
}

#[tokio::test]
async fn accepted_epoch() {
    let body = r#"{"clock":17,"epoch":3,"parts":[],"used_cores":0}"#;
    let status = call(Script::Answer(answer(200, body))).await.unwrap().unwrap();
    assert_eq!((status.clock, status.epoch), (WorkerTime(17), LeaseEpoch(3)));
}

#[tokio::test]
async fn stale_epoch() {
    let body = r#"{"refusal":"stale_epoch","clock":17,"epoch":4}"#;
    let refusal = call(Script::Answer(answer(409, body)))
        .await
        .unwrap()
        .unwrap_err();
    assert_eq!(refusal.refusal, WorkerRefusal::StaleEpoch);
    assert_eq!(refusal.epoch, LeaseEpoch(4));
}

#[tokio::test]
async fn unreadable_refusal() {
    let error = call(Script::Answer(answer(409, "{}"))).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
}

#[tokio::test]
async fn lost_answer() {
    let error = call(Script::Drop).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
}
