//! A small server whose answers the tests script, byte by byte.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the server does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// Reads the request, then writes these bytes and keeps the connection.
    Answer(String),
    /// Reads the request, then writes these bytes and closes the connection.
    AnswerAndClose(String),
    /// Reads the request and closes the connection.
    Drop,
    /// Reads the request and never answers.
    Hang,
}

/// A running server.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<AtomicUsize>,
    pub(crate) connections: Arc<AtomicUsize>,
    /// Connections that the client closed.
    pub(crate) closed: Arc<tokio::sync::Semaphore>,
}

impl FakeServer {
    /// Starts a server; the function gets the index of the request, from 0.
    pub(crate) async fn start<F>(script: F) -> Self
    where
        F: Fn(usize) -> Script + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::new(tokio::sync::Semaphore::new(0)),
        };
        let (requests, connections) = (Arc::clone(&server.requests), Arc::clone(&server.connections));
        let closed = Arc::clone(&server.closed);
        let script = Arc::new(script);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, script) = (Arc::clone(&requests), Arc::clone(&script));
                let closed = Arc::clone(&closed);
                tokio::spawn(async move {
                    serve(stream, &requests, script.as_ref()).await;
                    closed.add_permits(1);
                });
            }
        });
        server
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn serve<F>(mut stream: TcpStream, requests: &AtomicUsize, script: &F)
where
    F: Fn(usize) -> Script,
{
    while read_request(&mut stream).await {
        match script(requests.fetch_add(1, Ordering::SeqCst)) {
            Script::Answer(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap(),
            Script::AnswerAndClose(bytes) => {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                return;
            }
            Script::Drop => return,
            Script::Hang => {}
        }
    }
}

/// Reads one request with a content length; returns false when the client closed the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| {
                line.to_ascii_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            })
            .unwrap_or(0);
        if body.len() >= length {
            return true;
        }
    }
}

/// Builds a whole answer.
pub(crate) fn answer(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Body of an empty page of the table.
pub(crate) fn empty_page(time: u64) -> String {
    answer(
        200,
        &format!(r#"{{"time":{time},"body":{{"rows":[],"more":false}}}}"#),
    )
}

/// Keeps paused time from advancing by itself while the test waits for the network.
pub(crate) struct HeldTime {
    _sender: mpsc::Sender<()>,
}

impl HeldTime {
    /// Pauses time until the value is dropped; only `tokio::time::advance` moves it.
    pub(crate) fn pause() -> Self {
        tokio::time::pause();
        let (sender, receiver) = mpsc::channel::<()>();
        // tokio doesn't advance paused time by itself while a blocking task runs.
        tokio::task::spawn_blocking(move || receiver.recv());
        Self { _sender: sender }
    }
}
