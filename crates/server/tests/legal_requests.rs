//! Single requests inside the limits, however they are made up.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arbutuspick_server::{ClientBody, ClientGuard, ListenerLimits, serve};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use yare::parameterized;

/// Maximum size of a head in the configurations of the deployments, in bytes.
const LEGAL_HEAD_BYTES: usize = 16_384;
/// Maximum size of a body in the configurations of the deployments, in bytes.
const LEGAL_BODY_BYTES: usize = 262_144;
/// Memory and descriptors of the smallest VM of the deployments.
const SMALLEST_VM: (usize, usize) = (120, 3_075);

/// Fills a head up to the largest legal size with headers of this length, line end included.
fn head_of(header_bytes: usize) -> Vec<u8> {
    let mut head = b"GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n".to_vec();
    for number in 0_usize.. {
        // Names differ where they are long enough to.
        let mut header = match header_bytes {
            4..=8 => "a:".to_owned(),
            _ => format!("h{number:04}:"),
        };
        header.extend(std::iter::repeat_n('v', header_bytes - 2 - header.len()));
        header.push_str("\r\n");
        if head.len() + header.len() + 2 > LEGAL_HEAD_BYTES {
            break;
        }
        head.extend_from_slice(header.as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    head
}

fn request_path() -> Vec<u8> {
    let head = "GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    let path = "x".repeat(LEGAL_HEAD_BYTES - head.len());
    head.replacen('/', &format!("/{path}"), 1).into_bytes()
}

/// A body of the largest legal size in chunks of this size.
fn chunked_body(chunk_bytes: usize) -> Vec<u8> {
    let mut request =
        b"POST / HTTP/1.1\r\nhost: test\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    request.extend_from_slice(&chunk.as_bytes().repeat(LEGAL_BODY_BYTES / chunk_bytes));
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

/// Guards against a request inside the limits of the deployments that is refused in calm, for a limit that is in no
/// configuration.
#[parameterized(
    shortest_headers = { head_of(4) },
    short_headers = { head_of(9) },
    many_headers = { head_of(100) },
    one_header = { head_of(LEGAL_HEAD_BYTES - 60) },
    long_path = { request_path() },
    small_chunks = { chunked_body(1) },
    large_chunks = { chunked_body(65_536) },
)]
#[test_macro(tokio::test)]
async fn served_in_calm(request: Vec<u8>) {
    let (memory_mb, max_descriptors) = SMALLEST_VM;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = ListenerLimits::derive(memory_mb, max_descriptors).callers;
    let guard = ClientGuard::new("test", limits);
    let most_held = Arc::new(AtomicUsize::new(0));
    let (handler_guard, handler_most) = (guard.clone(), most_held.clone());
    let handler = move |request: Request<ClientBody>| {
        let (guard, most_held) = (handler_guard.clone(), handler_most.clone());
        async move {
            let body = request.into_body().with_limit(LEGAL_BODY_BYTES).read().await;
            most_held.fetch_max(guard.load().1, Ordering::Relaxed);
            Response::new(Full::new(Bytes::from(format!("{} bytes", body.unwrap().len()))))
        }
    };
    tokio::spawn(serve(listener, guard, CancellationToken::new(), handler));
    // The connection is also used for a request before.
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n")
        .await
        .unwrap();
    let mut first = [0; 200];
    let length = stream.read(&mut first).await.unwrap();
    assert!(first[..length].ends_with(b"0 bytes"));
    stream.write_all(&request).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    println!("{} bytes held", most_held.load(Ordering::Relaxed));
}
