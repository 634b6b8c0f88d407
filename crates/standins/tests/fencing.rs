//! A holder that lost its lease must not start or stop anything, however late its calls arrive.

mod support;

use arbutuspick_clients::{PartState, WorkerRefusal};
use arbutuspick_model::{LeaseEpoch, WorkerTime};
use support::{WorkerCase, advance, finished, only_state};

#[tokio::test]
async fn lower_epoch() {
    let mut case = WorkerCase::start().await;
    case.present_epoch(5).await.unwrap();
    assert_eq!(case.present_epoch(4).await, Err(WorkerRefusal::StaleEpoch));
    assert_eq!(case.present_epoch(5).await.unwrap().epoch, LeaseEpoch(5));
    case.epoch = LeaseEpoch(4);
    assert_eq!(case.prepare("{}").await, Err(WorkerRefusal::StaleEpoch));
    assert_eq!(case.start_task().await, Err(WorkerRefusal::StaleEpoch));
    assert_eq!(case.void().await, Err(WorkerRefusal::StaleEpoch));
}

#[tokio::test]
async fn stopped_by_newer_epoch() {
    let mut case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    let status = case.present_epoch(2).await.unwrap();
    assert_eq!(
        only_state(&status),
        PartState::Prepared,
        "a new holder sees what the old one prepared"
    );
    assert_eq!(case.start_task().await, Err(WorkerRefusal::StaleEpoch));
    case.epoch = LeaseEpoch(2);
    case.start_task().await.unwrap();
}

#[tokio::test]
async fn late_start() {
    let case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    let request = case.start_request(case.clock().await);
    advance(2001).await;
    assert_eq!(case.start_as(&request).await, Err(WorkerRefusal::TooLate));
    assert!(case.worker.log().runs.is_empty());
}

#[tokio::test]
async fn start_at_limit() {
    let case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    let request = case.start_request(case.clock().await);
    advance(2000).await;
    assert_eq!(
        only_state(&case.start_as(&request).await.unwrap()),
        PartState::Running
    );
}

#[tokio::test]
async fn repeated_start() {
    let case = WorkerCase::start().await;
    case.prepare(r#"{"run_ms": 300, "output": "done"}"#)
        .await
        .unwrap();
    let request = case.start_request(case.clock().await);
    case.start_as(&request).await.unwrap();
    advance(400).await;
    assert_eq!(
        only_state(&case.start_as(&request).await.unwrap()),
        finished("done")
    );
    advance(5000).await;
    assert_eq!(
        only_state(&case.start_as(&request).await.unwrap()),
        finished("done")
    );
    assert_eq!(case.worker.log().runs.len(), 2, "each member ran once");
}

#[tokio::test]
async fn void_before_start() {
    let case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    let status = case.void().await.unwrap();
    assert!(!status.parts[0].ever_started);
    assert_eq!(case.start_task().await, Err(WorkerRefusal::Voided));
    assert_eq!(case.prepare("{}").await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn void_before_prepare() {
    // The prepare was delayed and arrives after the void of its attempt.
    let case = WorkerCase::start().await;
    assert!(!case.void().await.unwrap().parts[0].ever_started);
    assert_eq!(case.prepare("{}").await, Err(WorkerRefusal::Voided));
    case.client
        .release(&case.attempt_request(), support::TIMEOUT)
        .await
        .unwrap()
        .result
        .unwrap();
    assert_eq!(case.prepare("{}").await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn void_after_start() {
    let case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    case.start_task().await.unwrap();
    let status = case.void().await.unwrap();
    assert!(status.parts[0].ever_started);
    assert_eq!(only_state(&status), PartState::Running);
}

#[tokio::test]
async fn unknown_attempt() {
    let case = WorkerCase::start().await;
    assert_eq!(case.start_task().await, Err(WorkerRefusal::UnknownAttempt));
    assert_eq!(case.stop().await, Err(WorkerRefusal::UnknownAttempt));
    let request = case.prepare_request("{}", WorkerTime(0));
    assert_eq!(case.prepare_as(&request).await, Err(WorkerRefusal::TooLate));
}
