//! An answer must never reach another request than its own, and a request must not be sent twice.

mod support;

use std::sync::atomic::Ordering;

use arbutuspick_clients::{CallError, ProcessClock, UpstreamClient, UpstreamRequest};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use support::{FakeServer, Script, answer};

fn request(millis: u64) -> UpstreamRequest {
    UpstreamRequest {
        method: Method::POST,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{}"),
        deadline: ProcessClock::new().now() + millis,
    }
}

#[tokio::test]
async fn late_answer() {
    let server = FakeServer::start(|index| match index {
        0 => Script::Hang,
        _ => Script::Answer(answer(200, "second")),
    })
    .await;
    let client = UpstreamClient::new(server.address, 4);
    let error = client.send(request(100)).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    // The server sees that the connection was closed, so a late answer has no way to the client.
    server.closed.acquire().await.unwrap().forget();
    let answer = client.send(request(10_000)).await.unwrap();
    assert_eq!(answer.body, "second");
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn reused_connection() {
    let server = FakeServer::start(|index| Script::Answer(answer(200, &index.to_string()))).await;
    let client = UpstreamClient::new(server.address, 1);
    for index in 0..20 {
        let answer = client.send(request(10_000)).await.unwrap();
        assert_eq!(answer.body, index.to_string());
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn connection_limit() {
    let server = FakeServer::start(|_| Script::Hang).await;
    let client = UpstreamClient::new(server.address, 1);
    let hanging = client.clone();
    let first = tokio::spawn(async move { hanging.send(request(60_000)).await });
    while server.request_count() == 0 {
        tokio::task::yield_now().await;
    }
    let error = client.send(request(60_000)).await.unwrap_err();
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
    first.abort();
}

#[tokio::test]
async fn closed_after_receipt() {
    let server = FakeServer::start(|_| Script::Drop).await;
    let error = UpstreamClient::new(server.address, 4)
        .send(request(10_000))
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    assert_eq!(server.request_count(), 1);
}

#[tokio::test]
async fn too_long_answer() {
    let body = "x".repeat(1024 * 1024 + 1);
    let server = FakeServer::start(move |_| Script::Answer(answer(200, &body))).await;
    let error = UpstreamClient::new(server.address, 4)
        .send(request(10_000))
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
}

#[tokio::test]
async fn passed_deadline() {
    let server = FakeServer::start(|_| Script::Answer(answer(200, ""))).await;
    let error = UpstreamClient::new(server.address, 4)
        .send(request(0))
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
    assert_eq!(server.request_count(), 0);
}
