//! The server against random requests on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_server::{BodyError, ClientBody, ClientGuard, ClientLimits, serve};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Maximum size of a body in these tests, in bytes.
const BODY_LIMIT: usize = 4_000;
/// Memory that is enough for the largest body of one client.
const LIMITS: ClientLimits = ClientLimits {
    max_connections: 8,
    max_bytes: 256 * 1024,
};
/// Time limit for one exchange, so that a server that hangs fails the test.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of checks that the memory of closed connections is returned.
const MAX_CHECKS: usize = 2_000;

struct TestServer {
    runtime: Runtime,
    address: SocketAddr,
    guard: ClientGuard,
}

/// Responds to a request with its body.
async fn echo(request: Request<ClientBody>) -> Response<Full<Bytes>> {
    let (status, body) = match request.into_body().with_limit(BODY_LIMIT).read().await {
        Ok(body) => (StatusCode::OK, body),
        Err(BodyError::TooLarge { .. }) => (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()),
        Err(BodyError::Overloaded) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Err(_) => (StatusCode::BAD_REQUEST, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

impl TestServer {
    fn start(limits: ClientLimits) -> Self {
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let guard = ClientGuard::new("test", limits);
        runtime.spawn(serve(listener, guard.clone(), CancellationToken::new(), echo));
        Self {
            runtime,
            address,
            guard,
        }
    }

    /// Sends bytes in pieces and returns everything that the server responds until it closes the connection.
    ///
    /// A request that may have no end has to be `cut`, which ends the sending side of the connection.
    fn exchange(&self, pieces: &[&[u8]], cut: bool) -> Vec<u8> {
        let exchange = async {
            let mut response = Vec::new();
            let mut stream = TcpStream::connect(self.address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            for piece in pieces {
                // The server may have closed the connection because of the bytes before.
                if stream.write_all(piece).await.is_err() {
                    break;
                }
                tokio::task::yield_now().await;
            }
            if cut {
                let _ = stream.shutdown().await;
            }
            let _ = stream.read_to_end(&mut response).await;
            response
        };
        let exchange = async { tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await };
        self.runtime
            .block_on(exchange)
            .expect("the server does not respond")
    }

    /// Fails if the connections that were closed still count.
    fn check_returned(&self) {
        for _ in 0..MAX_CHECKS {
            if self.guard.load() == (0, 0) {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!(
            "connections and bytes that are still held: {:?}",
            self.guard.load()
        );
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Splits bytes at these positions, taken modulo their number.
fn split<'a>(bytes: &'a [u8], positions: &[usize]) -> Vec<&'a [u8]> {
    let mut positions: Vec<usize> = positions
        .iter()
        .map(|position| position % (bytes.len() + 1))
        .collect();
    positions.sort_unstable();
    let mut pieces = Vec::new();
    let mut begin = 0;
    for position in positions {
        pieces.push(&bytes[begin..position]);
        begin = position;
    }
    pieces.push(&bytes[begin..]);
    pieces
}

/// Returns a request with this body, whole or in chunks of these sizes.
fn encode(body: &[u8], chunk_sizes: &[usize]) -> Vec<u8> {
    let head = "POST / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n";
    if chunk_sizes.is_empty() {
        let mut request = format!("{head}content-length: {}\r\n\r\n", body.len()).into_bytes();
        request.extend_from_slice(body);
        return request;
    }
    let mut request = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let mut rest = body;
    for size in chunk_sizes.iter().cycle() {
        let (chunk, after) = rest.split_at(rest.len().min(*size));
        request.extend_from_slice(format!("{:x};e=1\r\n", chunk.len()).as_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
        rest = after;
        if chunk.is_empty() {
            return request;
        }
    }
    unreachable!("the sizes repeat until the body ends")
}

/// Guards against a body that is cut or changed because of how it arrives, and against a body over the limit that is
/// accepted.
#[test]
fn split_bodies() {
    let server = TestServer::start(LIMITS);
    let request = (
        prop::collection::vec(any::<u8>(), 0..BODY_LIMIT + 200),
        prop::collection::vec(1..900_usize, 0..4),
        prop::collection::vec(any::<usize>(), 0..6),
    );
    runner(300)
        .run(&request, |(body, chunk_sizes, positions)| {
            let bytes = encode(&body, &chunk_sizes);
            let response = server.exchange(&split(&bytes, &positions), false);
            if body.len() <= BODY_LIMIT {
                prop_assert!(response.starts_with(b"HTTP/1.1 200"));
                prop_assert!(response.ends_with(&body));
            } else {
                prop_assert!(!response.starts_with(b"HTTP/1.1 200"));
            }
            Ok(())
        })
        .unwrap();
    server.check_returned();
}

/// Guards against malformed bytes that end or block the server, or whose memory is not returned.
#[test]
fn malformed_bytes() {
    let server = TestServer::start(LIMITS);
    let request = (
        prop::collection::vec(any::<u8>(), 0..2_000),
        prop::collection::vec(1..900_usize, 0..3),
        // Bytes that are replaced, and the length after which the request is cut off.
        prop::collection::vec(
            (any::<usize>(), prop::sample::select(b"\r\n:;0fF \0x".to_vec())),
            0..12,
        ),
        any::<usize>(),
        0..40_000_usize,
    );
    runner(300)
        .run(&request, |(body, chunk_sizes, changes, cut, empty_lines)| {
            let mut bytes = encode(&body, &chunk_sizes);
            for (position, byte) in changes {
                let position = position % bytes.len();
                bytes[position] = byte;
            }
            bytes.truncate(cut % (bytes.len() + 1));
            // Half of the cases begin with empty lines.
            let lines = b"\r\n".repeat(empty_lines.saturating_sub(20_000));
            server.exchange(&[&lines, &bytes], true);
            Ok(())
        })
        .unwrap();
    server.check_returned();
    let response = server.exchange(&[&encode(b"body", &[])], false);
    assert!(response.starts_with(b"HTTP/1.1 200") && response.ends_with(b"body"));
}

/// Guards against a response to a connection that is refused, which could be untrue, and against a server that stays full.
#[test]
fn refused_connection() {
    let limits = ClientLimits {
        max_connections: 1,
        ..LIMITS
    };
    let server = TestServer::start(limits);
    let first = server
        .runtime
        .block_on(TcpStream::connect(server.address))
        .unwrap();
    while server.guard.load().0 == 0 {
        std::thread::yield_now();
    }
    assert_eq!(server.exchange(&[], false), b"");
    drop(first);
    server.check_returned();
    let response = server.exchange(&[&encode(b"body", &[])], false);
    assert!(response.ends_with(b"body"));
}
