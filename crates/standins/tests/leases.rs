//! A task must not outlive its gang lease, and a reservation must not outlive its hold.

mod support;

use arbutuspick_clients::{LeaseExtension, PartState, RenewRequest, WorkerRefusal};
use arbutuspick_standins::TaskEnd;
use support::{TIMEOUT, WorkerCase, advance, finished};

#[tokio::test]
async fn expired_lease() {
    let case = WorkerCase::start().await;
    case.prepare(r#"{"run_ms": 60000}"#).await.unwrap();
    case.start_task().await.unwrap();
    advance(14_999).await;
    assert_eq!(case.state().await, PartState::Running);
    // Nobody calls the worker at the end of the lease; the end is still the lease's.
    advance(20_000).await;
    assert_eq!(case.state().await, PartState::LeaseExpired);
    for run in case.worker.log().runs {
        assert_eq!(run.how, Some(TaskEnd::LeaseExpired));
        assert_eq!(run.ended_at, Some(run.started_at + 15_000));
    }
    assert_eq!(case.start_task().await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn renewed_lease() {
    let case = WorkerCase::start().await;
    case.prepare(r#"{"run_ms": 40000, "output": "x"}"#).await.unwrap();
    case.start_task().await.unwrap();
    for _ in 0..4 {
        advance(10_000).await;
        let extension = LeaseExtension {
            job: case.job,
            attempt: case.attempt,
            lease_until: case.clock().await + 15_000,
        };
        let request = RenewRequest {
            epoch: case.epoch,
            leases: vec![extension],
        };
        case.client
            .renew(&request, TIMEOUT)
            .await
            .unwrap()
            .result
            .unwrap();
    }
    assert_eq!(case.state().await, finished("x"));
}

#[tokio::test]
async fn shorter_lease() {
    let case = WorkerCase::start().await;
    case.prepare(r#"{"run_ms": 12000, "output": "x"}"#).await.unwrap();
    case.start_task().await.unwrap();
    let extension = LeaseExtension {
        job: case.job,
        attempt: case.attempt,
        lease_until: case.clock().await + 1,
    };
    let request = RenewRequest {
        epoch: case.epoch,
        leases: vec![extension],
    };
    case.client
        .renew(&request, TIMEOUT)
        .await
        .unwrap()
        .result
        .unwrap();
    advance(12_000).await;
    assert_eq!(
        case.state().await,
        finished("x"),
        "a delayed renewal must not shorten the lease"
    );
}

#[tokio::test]
async fn expired_hold() {
    let case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    advance(5000).await;
    assert_eq!(case.state().await, PartState::Voided);
    assert_eq!(case.start_task().await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn stopped_task() {
    let case = WorkerCase::start().await;
    case.prepare(r#"{"run_ms": 1000}"#).await.unwrap();
    case.start_task().await.unwrap();
    advance(400).await;
    case.stop().await.unwrap();
    advance(5000).await;
    assert_eq!(case.state().await, PartState::Stopped);
    let run = &case.worker.log().runs[0];
    assert_eq!(run.ended_at, Some(run.started_at + 400));
}

#[tokio::test]
async fn throttled_task() {
    let case = WorkerCase::start().await;
    case.prepare(r#"{"run_ms": 1000, "output": "x"}"#).await.unwrap();
    case.start_task().await.unwrap();
    advance(500).await;
    case.client
        .throttle(&case.attempt_request(), TIMEOUT)
        .await
        .unwrap()
        .result
        .unwrap();
    advance(999).await;
    assert_eq!(case.state().await, PartState::Running);
    advance(1).await;
    assert_eq!(case.state().await, finished("x"));
}
