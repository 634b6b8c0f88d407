//! HTTP server whose responses the tests define byte by byte.
#![allow(dead_code, reason = "no test file uses the whole module")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the server does with a request.
#[derive(Clone, Debug)]
pub(crate) enum ServerAction {
    /// Writes these bytes and keeps the connection open.
    Respond(String),
    /// Writes these bytes and closes the connection.
    RespondAndClose(String),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without a response.
    Hang,
}

/// A running test server.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<AtomicUsize>,
    pub(crate) connections: Arc<AtomicUsize>,
    /// One permit per closed connection.
    pub(crate) closed: Arc<tokio::sync::Semaphore>,
}

impl FakeServer {
    /// Starts a server; `choose_action` receives the zero-based index of the request.
    pub(crate) async fn start<F>(choose_action: F) -> Self
    where
        F: Fn(usize) -> ServerAction + Send + Sync + 'static,
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
        let choose_action = Arc::new(choose_action);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, choose_action) = (Arc::clone(&requests), Arc::clone(&choose_action));
                let closed = Arc::clone(&closed);
                tokio::spawn(async move {
                    serve(stream, &requests, choose_action.as_ref()).await;
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

async fn serve<F>(mut stream: TcpStream, requests: &AtomicUsize, choose_action: &F)
where
    F: Fn(usize) -> ServerAction,
{
    while read_request(&mut stream).await {
        match choose_action(requests.fetch_add(1, Ordering::SeqCst)) {
            ServerAction::Respond(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap(),
            ServerAction::RespondAndClose(bytes) => {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                return;
            }
            ServerAction::Close => return,
            ServerAction::Hang => {}
        }
    }
}

/// Reads one request; returns false if the client closed the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
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

/// Builds a complete JSON response.
pub(crate) fn http_response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Builds a table response with an empty page.
pub(crate) fn empty_page(time: u64) -> String {
    http_response(
        200,
        &format!(r#"{{"time":{time},"body":{{"rows":[],"more":false}}}}"#),
    )
}

/// Pauses the tokio clock and keeps it from advancing automatically while the test waits for the network.
pub(crate) struct PausedTime {
    _sender: mpsc::Sender<()>,
}

impl PausedTime {
    /// Pauses the clock; until the value is dropped, only `tokio::time::advance` moves it.
    pub(crate) fn pause() -> Self {
        tokio::time::pause();
        let (sender, receiver) = mpsc::channel::<()>();
        // tokio does not auto-advance a paused clock while a blocking task runs.
        tokio::task::spawn_blocking(move || receiver.recv());
        Self { _sender: sender }
    }
}
