//! Guards against a placement holder that lost its lease and still prepares, starts or stops tasks because
//! its calls arrive late.

mod support;

use arbutuspick_clients::{PartState, WorkerRefusal};
use arbutuspick_model::{LeaseEpoch, WorkerTime};
use support::{WorkerFixture, advance, finished, single_state};

#[tokio::test]
async fn lower_epoch() {
    let mut fixture = WorkerFixture::start().await;
    fixture.present_epoch(5).await.unwrap();
    assert_eq!(fixture.present_epoch(4).await, Err(WorkerRefusal::StaleEpoch));
    assert_eq!(fixture.present_epoch(5).await.unwrap().epoch, LeaseEpoch(5));
    fixture.epoch = LeaseEpoch(4);
    assert_eq!(fixture.prepare("{}").await, Err(WorkerRefusal::StaleEpoch));
    assert_eq!(fixture.start_task().await, Err(WorkerRefusal::StaleEpoch));
    assert_eq!(fixture.void().await, Err(WorkerRefusal::StaleEpoch));
}

#[tokio::test]
async fn newer_epoch() {
    let mut fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    let status = fixture.present_epoch(2).await.unwrap();
    assert_eq!(
        single_state(&status),
        PartState::Prepared,
        "a new holder sees what the old one prepared"
    );
    assert_eq!(fixture.start_task().await, Err(WorkerRefusal::StaleEpoch));
    fixture.epoch = LeaseEpoch(2);
    fixture.start_task().await.unwrap();
}

#[tokio::test]
async fn late_start() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    let request = fixture.start_request(fixture.clock().await);
    advance(2001).await;
    assert_eq!(fixture.send_start(&request).await, Err(WorkerRefusal::TooLate));
    assert!(fixture.worker.log().runs.is_empty());
}

#[tokio::test]
async fn start_at_limit() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    let request = fixture.start_request(fixture.clock().await);
    advance(2000).await;
    assert_eq!(
        single_state(&fixture.send_start(&request).await.unwrap()),
        PartState::Running
    );
}

#[tokio::test]
async fn repeated_start() {
    let fixture = WorkerFixture::start().await;
    fixture
        .prepare(r#"{"run_ms": 300, "output": "done"}"#)
        .await
        .unwrap();
    let request = fixture.start_request(fixture.clock().await);
    fixture.send_start(&request).await.unwrap();
    advance(400).await;
    assert_eq!(
        single_state(&fixture.send_start(&request).await.unwrap()),
        finished("done")
    );
    advance(5000).await;
    assert_eq!(
        single_state(&fixture.send_start(&request).await.unwrap()),
        finished("done")
    );
    assert_eq!(fixture.worker.log().runs.len(), 2, "each member ran once");
}

#[tokio::test]
async fn void_before_start() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    let status = fixture.void().await.unwrap();
    assert!(!status.parts[0].ever_started);
    assert_eq!(fixture.start_task().await, Err(WorkerRefusal::Voided));
    assert_eq!(fixture.prepare("{}").await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn void_before_prepare() {
    // A delayed prepare arrives after the void of its attempt.
    let fixture = WorkerFixture::start().await;
    assert!(!fixture.void().await.unwrap().parts[0].ever_started);
    assert_eq!(fixture.prepare("{}").await, Err(WorkerRefusal::Voided));
    fixture
        .client
        .release(&fixture.attempt_request(), support::CALL_TIMEOUT)
        .await
        .unwrap()
        .result
        .unwrap();
    assert_eq!(fixture.prepare("{}").await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn void_after_start() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    fixture.start_task().await.unwrap();
    let status = fixture.void().await.unwrap();
    assert!(status.parts[0].ever_started);
    assert_eq!(single_state(&status), PartState::Running);
}

#[tokio::test]
async fn unknown_attempt() {
    let fixture = WorkerFixture::start().await;
    assert_eq!(fixture.start_task().await, Err(WorkerRefusal::UnknownAttempt));
    assert_eq!(fixture.stop().await, Err(WorkerRefusal::UnknownAttempt));
    let request = fixture.prepare_request("{}", WorkerTime(0));
    assert_eq!(fixture.send_prepare(&request).await, Err(WorkerRefusal::TooLate));
}
