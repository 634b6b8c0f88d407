//! Guards against a task that runs on after its gang lease, and against a reservation that is kept after its
//! hold.

mod support;

use arbutuspick_clients::{LeaseExtension, PartState, RenewRequest, WorkerRefusal};
use arbutuspick_standins::TaskEnd;
use support::{CALL_TIMEOUT, WorkerFixture, advance, finished};

#[tokio::test]
async fn expired_lease() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare(r#"{"run_ms": 60000}"#).await.unwrap();
    fixture.start_task().await.unwrap();
    advance(14_999).await;
    assert_eq!(fixture.state().await, PartState::Running);
    // No call reaches the worker when the lease expires; the task must still end at that time.
    advance(20_000).await;
    assert_eq!(fixture.state().await, PartState::LeaseExpired);
    for run in fixture.worker.log().runs {
        assert_eq!(run.end, Some(TaskEnd::LeaseExpired));
        assert_eq!(run.ended_at, Some(run.started_at + 15_000));
    }
    assert_eq!(fixture.start_task().await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn renewed_lease() {
    let fixture = WorkerFixture::start().await;
    fixture
        .prepare(r#"{"run_ms": 40000, "output": "x"}"#)
        .await
        .unwrap();
    fixture.start_task().await.unwrap();
    for _ in 0..4 {
        advance(10_000).await;
        let extension = LeaseExtension {
            job: fixture.job,
            attempt: fixture.attempt,
            lease_until: fixture.clock().await + 15_000,
        };
        let request = RenewRequest {
            epoch: fixture.epoch,
            leases: vec![extension],
        };
        fixture
            .client
            .renew(&request, CALL_TIMEOUT)
            .await
            .unwrap()
            .result
            .unwrap();
    }
    assert_eq!(fixture.state().await, finished("x"));
}

#[tokio::test]
async fn shorter_lease() {
    let fixture = WorkerFixture::start().await;
    fixture
        .prepare(r#"{"run_ms": 12000, "output": "x"}"#)
        .await
        .unwrap();
    fixture.start_task().await.unwrap();
    let extension = LeaseExtension {
        job: fixture.job,
        attempt: fixture.attempt,
        lease_until: fixture.clock().await + 1,
    };
    let request = RenewRequest {
        epoch: fixture.epoch,
        leases: vec![extension],
    };
    fixture
        .client
        .renew(&request, CALL_TIMEOUT)
        .await
        .unwrap()
        .result
        .unwrap();
    advance(12_000).await;
    assert_eq!(
        fixture.state().await,
        finished("x"),
        "a delayed renewal must not shorten the lease"
    );
}

#[tokio::test]
async fn expired_hold() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    advance(5000).await;
    assert_eq!(fixture.state().await, PartState::Voided);
    assert_eq!(fixture.start_task().await, Err(WorkerRefusal::Voided));
}

#[tokio::test]
async fn stopped_task() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare(r#"{"run_ms": 1000}"#).await.unwrap();
    fixture.start_task().await.unwrap();
    advance(400).await;
    fixture.stop().await.unwrap();
    advance(5000).await;
    assert_eq!(fixture.state().await, PartState::Stopped);
    let run = &fixture.worker.log().runs[0];
    assert_eq!(run.ended_at, Some(run.started_at + 400));
}

#[tokio::test]
async fn throttled_task() {
    let fixture = WorkerFixture::start().await;
    fixture
        .prepare(r#"{"run_ms": 1000, "output": "x"}"#)
        .await
        .unwrap();
    fixture.start_task().await.unwrap();
    advance(500).await;
    fixture
        .client
        .throttle(&fixture.attempt_request(), CALL_TIMEOUT)
        .await
        .unwrap()
        .result
        .unwrap();
    advance(999).await;
    assert_eq!(fixture.state().await, PartState::Running);
    advance(1).await;
    assert_eq!(fixture.state().await, finished("x"));
}
