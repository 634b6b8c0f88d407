//! Faults must do what tests of the scheduler assume of them.

mod support;

use arbutuspick_clients::{CallError, PartState, WorkerRefusal};
use arbutuspick_model::LeaseEpoch;
use arbutuspick_standins::{TaskEnd, WorkerControl};
use support::{WorkerCase, advance, only_state};

#[tokio::test]
async fn failed_prepare() {
    let case = WorkerCase::start().await;
    case.worker.control(&WorkerControl {
        fail_prepare: Some(true),
        ..WorkerControl::default()
    });
    assert_eq!(case.prepare("{}").await, Err(WorkerRefusal::NoCapacity));
}

#[tokio::test]
async fn failed_start() {
    let case = WorkerCase::start().await;
    case.worker.control(&WorkerControl {
        fail_start: Some(true),
        ..WorkerControl::default()
    });
    case.prepare("{}").await.unwrap();
    let status = case.start_task().await.unwrap();
    assert!(matches!(only_state(&status), PartState::Failed { .. }));
    assert!(!status.parts[0].ever_started);
    assert!(case.worker.log().runs.is_empty());
}

#[tokio::test]
async fn failing_tasks() {
    let case = WorkerCase::start().await;
    case.worker.control(&WorkerControl {
        fail_every_task: Some(true),
        ..WorkerControl::default()
    });
    case.prepare("{}").await.unwrap();
    case.start_task().await.unwrap();
    advance(10).await;
    assert!(matches!(case.state().await, PartState::Failed { .. }));
    assert_eq!(case.worker.log().runs[0].how, Some(TaskEnd::Failed));
}

#[tokio::test]
async fn lost_answer() {
    let case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    let request = case.start_request(case.clock().await);
    case.worker.control(&WorkerControl {
        lose_answers: Some(1),
        ..WorkerControl::default()
    });
    let error = case.client.start(&request, support::TIMEOUT).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    case.worker.control(&WorkerControl {
        lose_answers: Some(0),
        ..WorkerControl::default()
    });
    assert_eq!(case.state().await, PartState::Running, "the call took effect");
}

#[tokio::test]
async fn crashed_worker() {
    let mut case = WorkerCase::start().await;
    case.epoch = LeaseEpoch(7);
    case.prepare(r#"{"run_ms": 1000}"#).await.unwrap();
    case.start_task().await.unwrap();
    advance(100).await;
    case.worker.control(&WorkerControl {
        crash: true,
        ..WorkerControl::default()
    });
    case.epoch = LeaseEpoch(3);
    assert_eq!(case.start_task().await, Err(WorkerRefusal::UnknownAttempt));
    let run = &case.worker.log().runs[0];
    assert_eq!(
        (run.how, run.ended_at),
        (Some(TaskEnd::Crashed), Some(run.started_at + 100))
    );
}

#[tokio::test]
async fn hanging_worker() {
    let case = WorkerCase::start().await;
    let request = case.prepare_request("{}", case.clock().await + 5000);
    case.worker.control(&WorkerControl {
        hang: Some(true),
        ..WorkerControl::default()
    });
    let client = case.client.clone();
    let call = tokio::spawn(async move { client.prepare(&request, std::time::Duration::from_secs(1)).await });
    tokio::task::yield_now().await;
    advance(1001).await;
    let error = call.await.unwrap().unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    case.worker.control(&WorkerControl {
        hang: Some(false),
        ..WorkerControl::default()
    });
    assert!(
        case.present_epoch(1).await.unwrap().parts.is_empty(),
        "the call had no effect"
    );
}

#[tokio::test]
async fn worker_down() {
    let case = WorkerCase::start().await;
    case.worker.control(&WorkerControl {
        down: Some(true),
        crash: true,
        ..WorkerControl::default()
    });
    let request = case.prepare_request("{}", arbutuspick_model::WorkerTime(5000));
    case.client.prepare(&request, support::TIMEOUT).await.unwrap_err();
    case.worker.control(&WorkerControl {
        down: Some(false),
        ..WorkerControl::default()
    });
    assert!(case.present_epoch(1).await.unwrap().parts.is_empty());
}
