//! Guards against a resumed job that repeats the work before its checkpoint, and against a job that starts
//! from the beginning because its checkpoint can't be read.

mod support;

use arbutuspick_clients::{CallError, PartState};
use arbutuspick_model::AttemptNumber;
use arbutuspick_standins::{PlatformControl, PlatformOptions, PlatformStandin};
use support::{CALL_TIMEOUT, WorkerFixture, advance, finished, worker_options};

async fn start() -> (PlatformStandin, WorkerFixture) {
    let platform = PlatformStandin::start(PlatformOptions::default()).await.unwrap();
    let mut options = worker_options();
    options.platform = Some(platform.address());
    (platform, WorkerFixture::start_with(options).await)
}

#[tokio::test]
async fn resumed_task() {
    let (platform, mut fixture) = start().await;
    fixture
        .prepare(r#"{"run_ms": 1000, "output": "x"}"#)
        .await
        .unwrap();
    fixture.start_task().await.unwrap();
    advance(600).await;
    let answer = fixture
        .client
        .checkpoint(&fixture.attempt_request(), CALL_TIMEOUT)
        .await
        .unwrap();
    let prefix = answer.result.unwrap().parts[0].checkpoint.clone().unwrap();
    assert_eq!(&*prefix, format!("checkpoint/{}/1", fixture.job));
    for index in 0..2 {
        let object = platform.object(&format!("{prefix}/{index}")).unwrap();
        assert_eq!(object, r#"{"done_ms":600}"#);
    }
    fixture.stop().await.unwrap();
    fixture.attempt = AttemptNumber(2);
    let mut request =
        fixture.prepare_request(r#"{"run_ms": 1000, "output": "x"}"#, fixture.clock().await + 5000);
    request.checkpoint = Some(prefix);
    fixture.send_prepare(&request).await.unwrap();
    fixture.start_task().await.unwrap();
    advance(400).await;
    let status = fixture.present_epoch(1).await.unwrap();
    let states: Vec<_> = status.parts.iter().map(|part| part.state.clone()).collect();
    assert_eq!(states, [PartState::Stopped, finished("x")]);
    let resumed: Vec<_> = fixture
        .worker
        .log()
        .runs
        .iter()
        .map(|run| run.resumed_ms)
        .collect();
    assert_eq!(resumed, [None, None, Some(600), Some(600)]);
}

#[tokio::test]
async fn missing_checkpoint() {
    let (_platform, fixture) = start().await;
    let mut request = fixture.prepare_request("{}", fixture.clock().await + 5000);
    request.checkpoint = Some("checkpoint/none".into());
    let error = fixture.client.prepare(&request, CALL_TIMEOUT).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    assert!(fixture.present_epoch(1).await.unwrap().parts.is_empty());
}

#[tokio::test]
async fn failed_write() {
    let (platform, fixture) = start().await;
    fixture.prepare(r#"{"run_ms": 1000}"#).await.unwrap();
    fixture.start_task().await.unwrap();
    platform.control(&PlatformControl {
        object_outage: Some(true),
        ..PlatformControl::default()
    });
    fixture
        .client
        .checkpoint(&fixture.attempt_request(), CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(fixture.present_epoch(1).await.unwrap().parts[0].checkpoint, None);
}
