//! Work done before a checkpoint must not be done again, and lost checkpoints must not restart a job.

mod support;

use arbutuspick_clients::{CallError, PartState};
use arbutuspick_model::AttemptNumber;
use arbutuspick_standins::{PlatformControl, PlatformOptions, PlatformStandin};
use support::{TIMEOUT, WorkerCase, advance, finished, worker_options};

async fn start() -> (PlatformStandin, WorkerCase) {
    let platform = PlatformStandin::start(PlatformOptions::default()).await.unwrap();
    let mut options = worker_options();
    options.platform = Some(platform.address());
    (platform, WorkerCase::start_with(options).await)
}

#[tokio::test]
async fn resumed_work() {
    let (platform, mut case) = start().await;
    case.prepare(r#"{"run_ms": 1000, "output": "x"}"#).await.unwrap();
    case.start_task().await.unwrap();
    advance(600).await;
    let answer = case
        .client
        .checkpoint(&case.attempt_request(), TIMEOUT)
        .await
        .unwrap();
    let prefix = answer.result.unwrap().parts[0].checkpoint.clone().unwrap();
    assert_eq!(&*prefix, format!("checkpoint/{}/1", case.job));
    for index in 0..2 {
        let object = platform.object(&format!("{prefix}/{index}")).unwrap();
        assert_eq!(object, r#"{"done_ms":600}"#);
    }
    case.stop().await.unwrap();
    case.attempt = AttemptNumber(2);
    let mut request = case.prepare_request(r#"{"run_ms": 1000, "output": "x"}"#, case.clock().await + 5000);
    request.checkpoint = Some(prefix);
    case.prepare_as(&request).await.unwrap();
    case.start_task().await.unwrap();
    advance(400).await;
    let status = case.present_epoch(1).await.unwrap();
    let states: Vec<_> = status.parts.iter().map(|part| part.state.clone()).collect();
    assert_eq!(states, [PartState::Stopped, finished("x")]);
    let resumed: Vec<_> = case.worker.log().runs.iter().map(|run| run.resumed_ms).collect();
    assert_eq!(resumed, [None, None, Some(600), Some(600)]);
}

#[tokio::test]
async fn unreadable_checkpoint() {
    let (_platform, case) = start().await;
    let mut request = case.prepare_request("{}", case.clock().await + 5000);
    request.checkpoint = Some("checkpoint/none".into());
    let error = case.client.prepare(&request, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    assert!(case.present_epoch(1).await.unwrap().parts.is_empty());
}

#[tokio::test]
async fn unwritten_checkpoint() {
    let (platform, case) = start().await;
    case.prepare(r#"{"run_ms": 1000}"#).await.unwrap();
    case.start_task().await.unwrap();
    platform.control(&PlatformControl {
        object_outage: Some(true),
        ..PlatformControl::default()
    });
    case.client
        .checkpoint(&case.attempt_request(), TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(case.present_epoch(1).await.unwrap().parts[0].checkpoint, None);
}
