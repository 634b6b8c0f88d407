//! Guards against a response that is returned for another request, and against a request that is sent twice.

mod support;

use std::sync::atomic::Ordering;

use arbutuspick_clients::{CallError, ProcessClock, UpstreamClient, UpstreamRequest};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use support::{FakeServer, ServerAction, http_response};

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
async fn late_response() {
    let server = FakeServer::start(|index| match index {
        0 => ServerAction::Hang,
        _ => ServerAction::Respond(http_response(200, "second")),
    })
    .await;
    let client = UpstreamClient::new(server.address, 4);
    let error = client.send(request(100)).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    // Once the server sees that the connection is closed, a late response cannot reach the client.
    server.closed.acquire().await.unwrap().forget();
    let response = client.send(request(10_000)).await.unwrap();
    assert_eq!(response.body, "second");
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn reused_connection() {
    let server =
        FakeServer::start(|index| ServerAction::Respond(http_response(200, &index.to_string()))).await;
    let client = UpstreamClient::new(server.address, 1);
    for index in 0..20 {
        let response = client.send(request(10_000)).await.unwrap();
        assert_eq!(response.body, index.to_string());
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn connection_limit() {
    let server = FakeServer::start(|_| ServerAction::Hang).await;
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
    let server = FakeServer::start(|_| ServerAction::Close).await;
    let error = UpstreamClient::new(server.address, 4)
        .send(request(10_000))
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    assert_eq!(server.request_count(), 1);
}

#[tokio::test]
async fn too_long_response() {
    let body = "x".repeat(1024 * 1024 + 1);
    let server = FakeServer::start(move |_| ServerAction::Respond(http_response(200, &body))).await;
    let error = UpstreamClient::new(server.address, 4)
        .send(request(10_000))
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
}

#[tokio::test]
async fn passed_deadline() {
    let server = FakeServer::start(|_| ServerAction::Respond(http_response(200, ""))).await;
    let error = UpstreamClient::new(server.address, 4)
        .send(request(0))
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
    assert_eq!(server.request_count(), 0);
}
