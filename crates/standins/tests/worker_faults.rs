//! Checks that the worker stand-in's faults behave as the tests of the scheduler expect.

mod support;

use arbutuspick_clients::{CallError, PartState, WorkerRefusal};
use arbutuspick_model::LeaseEpoch;
use arbutuspick_standins::{TaskEnd, WorkerControl};
use support::{WorkerFixture, advance, single_state};

#[tokio::test]
async fn failed_prepare() {
    let fixture = WorkerFixture::start().await;
    fixture.worker.control(&WorkerControl {
        fail_prepare: Some(true),
        ..WorkerControl::default()
    });
    assert_eq!(fixture.prepare("{}").await, Err(WorkerRefusal::NoCapacity));
}

#[tokio::test]
async fn failed_start() {
    let fixture = WorkerFixture::start().await;
    fixture.worker.control(&WorkerControl {
        fail_start: Some(true),
        ..WorkerControl::default()
    });
    fixture.prepare("{}").await.unwrap();
    let status = fixture.start_task().await.unwrap();
    assert!(matches!(single_state(&status), PartState::Failed { .. }));
    assert!(!status.parts[0].ever_started);
    assert!(fixture.worker.log().runs.is_empty());
}

#[tokio::test]
async fn failing_tasks() {
    let fixture = WorkerFixture::start().await;
    fixture.worker.control(&WorkerControl {
        fail_every_task: Some(true),
        ..WorkerControl::default()
    });
    fixture.prepare("{}").await.unwrap();
    fixture.start_task().await.unwrap();
    advance(10).await;
    assert!(matches!(fixture.state().await, PartState::Failed { .. }));
    assert_eq!(fixture.worker.log().runs[0].end, Some(TaskEnd::Failed));
}

#[tokio::test]
async fn lost_answer() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    let request = fixture.start_request(fixture.clock().await);
    fixture.worker.control(&WorkerControl {
        lose_answers: Some(1),
        ..WorkerControl::default()
    });
    let error = fixture
        .client
        .start(&request, support::CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    fixture.worker.control(&WorkerControl {
        lose_answers: Some(0),
        ..WorkerControl::default()
    });
    assert_eq!(fixture.state().await, PartState::Running, "the call took effect");
}

#[tokio::test]
async fn crashed_worker() {
    let mut fixture = WorkerFixture::start().await;
    fixture.epoch = LeaseEpoch(7);
    fixture.prepare(r#"{"run_ms": 1000}"#).await.unwrap();
    fixture.start_task().await.unwrap();
    advance(100).await;
    fixture.worker.control(&WorkerControl {
        crash: true,
        ..WorkerControl::default()
    });
    fixture.epoch = LeaseEpoch(3);
    assert_eq!(fixture.start_task().await, Err(WorkerRefusal::UnknownAttempt));
    let run = &fixture.worker.log().runs[0];
    assert_eq!(
        (run.end, run.ended_at),
        (Some(TaskEnd::Crashed), Some(run.started_at + 100))
    );
}

#[tokio::test]
async fn hanging_worker() {
    let fixture = WorkerFixture::start().await;
    let request = fixture.prepare_request("{}", fixture.clock().await + 5000);
    fixture.worker.control(&WorkerControl {
        hang: Some(true),
        ..WorkerControl::default()
    });
    let client = fixture.client.clone();
    let call = tokio::spawn(async move { client.prepare(&request, std::time::Duration::from_secs(1)).await });
    tokio::task::yield_now().await;
    advance(1001).await;
    let error = call.await.unwrap().unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    fixture.worker.control(&WorkerControl {
        hang: Some(false),
        ..WorkerControl::default()
    });
    assert!(
        fixture.present_epoch(1).await.unwrap().parts.is_empty(),
        "the call had no effect"
    );
}

#[tokio::test]
async fn worker_down() {
    let fixture = WorkerFixture::start().await;
    fixture.worker.control(&WorkerControl {
        down: Some(true),
        crash: true,
        ..WorkerControl::default()
    });
    let request = fixture.prepare_request("{}", arbutuspick_model::WorkerTime(5000));
    fixture
        .client
        .prepare(&request, support::CALL_TIMEOUT)
        .await
        .unwrap_err();
    fixture.worker.control(&WorkerControl {
        down: Some(false),
        ..WorkerControl::default()
    });
    assert!(fixture.present_epoch(1).await.unwrap().parts.is_empty());
}
