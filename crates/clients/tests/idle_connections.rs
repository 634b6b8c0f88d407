//! Connections that stay open without use.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arbutuspick_clients::HttpClient;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use support::{FakeServer, ServerAction};
use tokio::time::Instant;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Number of calls at the same time.
const CALLS: usize = 6;
/// Number of idle connections that the client keeps.
const MAX_IDLE: usize = 3;

/// Guards against a process that runs out of descriptors because of idle connections: those beyond the limit and those
/// that are closed as idle have to be gone, and the count has to follow.
#[tokio::test]
async fn closed_when_idle() {
    let server = FakeServer::start(|_| ServerAction::Respond(ANSWER.into())).await;
    let open_connections = Arc::new(AtomicUsize::new(0));
    let client = HttpClient::new(server.address, 1_000)
        .with_max_idle(MAX_IDLE)
        .with_read_buffer(512)
        .with_connection_count(open_connections.clone());
    let deadline = Instant::now() + Duration::from_secs(5);
    let request = || {
        Request::builder()
            .uri("/")
            .body(Full::<Bytes>::default())
            .unwrap()
    };
    let calls = (0..CALLS).map(|_| client.call(request(), deadline));
    for response in futures::future::join_all(calls).await {
        assert_eq!(response.unwrap().body.as_ref(), b"ok");
    }
    assert_eq!(open_connections.load(Ordering::Relaxed), MAX_IDLE);
    client.close_expired();
    assert_eq!(
        open_connections.load(Ordering::Relaxed),
        MAX_IDLE,
        "closed though usable"
    );
    client.close_idle(Duration::ZERO);
    assert_eq!(open_connections.load(Ordering::Relaxed), 0);
    assert!(client.call(request(), deadline).await.is_ok());
}
