//! Guards against confusing the refusal of a worker with a call whose outcome is ambiguous.

mod support;

use std::time::Duration;

use arbutuspick_clients::{CallError, EpochRequest, RefusalBody, WorkerClient, WorkerRefusal, WorkerStatus};
use arbutuspick_model::{LeaseEpoch, WorkerTime};
use support::{FakeServer, ServerAction, http_response};

const TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: EpochRequest = EpochRequest { epoch: LeaseEpoch(3) };

async fn call(action: ServerAction) -> Result<Result<WorkerStatus, RefusalBody>, CallError> {
    let server = FakeServer::start(move |_| action.clone()).await;
    let response = WorkerClient::new(server.address).epoch(&REQUEST, TIMEOUT).await?;
    assert!(response.sent_at <= response.received_at);
    Ok(response.result)
}

#[tokio::test]
async fn accepted_epoch() {
    let body = r#"{"clock":17,"epoch":3,"parts":[],"used_cores":0}"#;
    let status = call(ServerAction::Respond(http_response(200, body)))
        .await
        .unwrap()
        .unwrap();
    assert_eq!((status.clock, status.epoch), (WorkerTime(17), LeaseEpoch(3)));
}

#[tokio::test]
async fn stale_epoch() {
    let body = r#"{"refusal":"stale_epoch","clock":17,"epoch":4}"#;
    let refusal = call(ServerAction::Respond(http_response(409, body)))
        .await
        .unwrap()
        .unwrap_err();
    assert_eq!(refusal.refusal, WorkerRefusal::StaleEpoch);
    assert_eq!(refusal.epoch, LeaseEpoch(4));
}

#[tokio::test]
async fn unreadable_refusal() {
    let error = call(ServerAction::Respond(http_response(409, "{}")))
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
}

#[tokio::test]
async fn lost_response() {
    let error = call(ServerAction::Close).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
}
