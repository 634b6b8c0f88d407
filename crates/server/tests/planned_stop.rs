//! What a server that stops waits for.

use std::sync::Arc;
use std::time::Duration;

use arbutuspick_server::{ClientBody, ClientGuard, ClientLimits, serve};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use yare::parameterized;

const LIMITS: ClientLimits = ClientLimits {
    max_connections: 20,
    max_bytes: 64 * 1024 * 1024,
};
/// Size of a response that does not fit the buffers of a connection, in bytes.
const LARGE_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Time limit of each step; the timeouts of a server that does not stop are 20 s for a head and 60 s for a body.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of checks of how many connections are open.
const MAX_CHECKS: usize = 2_000;

struct StoppingServer {
    guard: ClientGuard,
    address: std::net::SocketAddr,
    shutdown: CancellationToken,
    task: JoinHandle<()>,
    /// Permits that requests to `/held` wait for.
    held: Arc<Semaphore>,
}

impl StoppingServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let guard = ClientGuard::new("test", LIMITS);
        let shutdown = CancellationToken::new();
        let held = Arc::new(Semaphore::new(0));
        let handler_held = held.clone();
        let handler = move |request: Request<ClientBody>| {
            let held = handler_held.clone();
            async move {
                let path = request.uri().path().to_owned();
                let body = request.into_body().read().await.unwrap_or_default();
                let body = match path.as_str() {
                    "/large" => Bytes::from(vec![b'x'; LARGE_RESPONSE_BYTES]),
                    "/held" => {
                        held.acquire().await.unwrap().forget();
                        body
                    }
                    _ => body,
                };
                Response::new(Full::new(body))
            }
        };
        let task = tokio::spawn(serve(listener, guard.clone(), shutdown.clone(), handler));
        Self {
            guard,
            address,
            shutdown,
            task,
            held,
        }
    }

    /// Connects and sends part of a request or a whole one.
    async fn send(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream
    }

    /// Makes a whole request; connections that were opened before have been read by then.
    async fn exchange(&self) {
        let mut stream = self
            .send(b"GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n")
            .await;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        assert!(response.starts_with(b"HTTP/1.1 200"));
    }

    async fn wait_connections(&self, expected: usize) {
        for _ in 0..MAX_CHECKS {
            if self.guard.load().0 == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!(
            "{} connections are open instead of {expected}",
            self.guard.load().0
        );
    }
}

/// Guards against a stop that lasts as long as a client likes, because it has sent part of a request, or does not read the
/// response; and against a request that was read whole and gets no response for it.
#[parameterized(
    cut_body = { b"POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 9\r\n\r\ncut" },
    cut_chunk = { b"POST / HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n9\r\ncut" },
    cut_head = { b"POST / HTTP/1.1\r\nhost: te" },
    empty_lines = { b"\r\n\r\n" },
    no_request = { b"" },
    unread_response = { b"GET /large HTTP/1.1\r\nhost: test\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn stalled_client(bytes: &[u8]) {
    let server = StoppingServer::start().await;
    let request = b"POST /held HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody";
    let mut ordinary = server.send(request).await;
    let _stalled = server.send(bytes).await;
    server.exchange().await;
    server.wait_connections(2).await;
    server.shutdown.cancel();
    server.wait_connections(1).await;
    server.held.add_permits(1);
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, ordinary.read_to_end(&mut response)).await;
    assert!(
        matches!(read, Ok(Ok(_))),
        "the ordinary request was cut: {read:?}"
    );
    assert!(response.starts_with(b"HTTP/1.1 200") && response.ends_with(b"body"));
    let ended = tokio::time::timeout(TIMEOUT, server.task).await;
    assert!(ended.is_ok(), "the server did not stop");
}
