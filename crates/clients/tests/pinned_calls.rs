//! Calls that must reach the process that answered before.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutuspick_clients::{CallError, HttpClient};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use support::{FakeServer, ServerAction};
use tokio::time::Instant;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn request() -> Request<Full<Bytes>> {
    Request::builder().uri("/").body(Full::default()).unwrap()
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// Guards against a call that is sent on another connection than the one it is meant for, where another process may
/// answer.
#[tokio::test]
async fn closed_connection() {
    let server = FakeServer::start(|index| match index {
        1 => ServerAction::RespondAndClose(ANSWER.into()),
        _ => ServerAction::Respond(ANSWER.into()),
    })
    .await;
    let client = HttpClient::new(server.address, 1_000);
    let first = client.call(request(), deadline()).await.unwrap();
    let second = client
        .call_on(first.connection, request(), deadline())
        .await
        .unwrap();
    assert_eq!(second.connection, first.connection);
    server.closed.acquire().await.unwrap().forget();
    // The client may notice the closed connection before or after it has written to it.
    let refused = client.call_on(first.connection, request(), deadline()).await;
    assert!(refused.is_err(), "{refused:?}");
    assert_eq!(server.requests.load(Ordering::SeqCst), 2);
    let third = client.call(request(), deadline()).await.unwrap();
    assert_ne!(third.connection, first.connection);
    let refused = client.call_on(first.connection, request(), deadline()).await;
    assert!(matches!(refused, Err(CallError::NotSent { .. })), "{refused:?}");
}
