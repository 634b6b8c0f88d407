use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::CallError;

/// A connection that was idle for longer is not reused, since the server may be closing it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections in the pool of one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Number of the next connection of this process.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// Identifies a connection within this process; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// A complete HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Connection on which the response arrived.
    pub connection: ConnectionId,
}

/// A connection that carries one request at a time; closed on drop.
#[derive(Debug)]
struct PooledConnection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_since: Instant,
    open_connections: Arc<AtomicUsize>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends requests to one address over a pool of keep-alive connections. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    host: Option<Arc<str>>,
    max_body_bytes: usize,
    max_idle: usize,
    read_buffer_bytes: Option<usize>,
    open_connections: Arc<AtomicUsize>,
    idle: Arc<Mutex<Vec<PooledConnection>>>,
}

impl HttpClient {
    /// Creates a client of one address that accepts response bodies up to `max_body_bytes`.
    pub fn new(address: SocketAddr, max_body_bytes: usize) -> Self {
        Self {
            address,
            host: None,
            max_body_bytes,
            max_idle: MAX_IDLE_CONNECTIONS,
            read_buffer_bytes: None,
            open_connections: Arc::default(),
            idle: Arc::default(),
        }
    }

    /// Sets the `Host` header, which is the address by default.
    pub fn with_host<H>(self, host: H) -> Self
    where
        H: Into<Arc<str>>,
    {
        Self {
            host: Some(host.into()),
            ..self
        }
    }

    /// Sets how many idle connections are kept, by default 64.
    pub fn with_max_idle(self, max_idle: usize) -> Self {
        Self { max_idle, ..self }
    }

    /// Sets the size of the read buffer of a connection, which by default grows from 8 KiB.
    pub fn with_read_buffer(self, bytes: usize) -> Self {
        Self {
            read_buffer_bytes: Some(bytes),
            ..self
        }
    }

    /// Counts the open connections of this client, idle or not, in a counter that clients may share.
    pub fn with_connection_count(self, open_connections: Arc<AtomicUsize>) -> Self {
        Self {
            open_connections,
            ..self
        }
    }

    /// Closes the connections that have been idle for so long that they would not be used again.
    pub fn close_expired(&self) {
        self.close_idle(IDLE_TIMEOUT);
    }

    /// Closes the connections that have been idle for this long.
    pub fn close_idle(&self, idle_time: Duration) {
        let now = Instant::now();
        self.lock_idle().retain(|connection| {
            !connection.sender.is_closed() && now.duration_since(connection.idle_since) < idle_time
        });
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the request and returns the complete response, whatever its status.
    ///
    /// When the deadline passes or the future is dropped, the connection is closed.
    pub async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        if Instant::now() >= deadline {
            return Err(CallError::not_sent("the deadline has passed"));
        }
        self.insert_host(&mut request)?;
        // If an idle connection turns out to be closed, the unsent request is tried on the next one.
        loop {
            let (mut connection, is_new) = match self.take_idle() {
                Some(connection) => (connection, false),
                None => (self.connect(deadline).await?, true),
            };
            match send(&mut connection, request, deadline).await {
                Ok(response) => return self.finish_call(connection, response, deadline).await,
                Err(SendError::NotSent(unsent_request, _)) if !is_new && Instant::now() < deadline => {
                    request = *unsent_request;
                }
                Err(SendError::NotSent(_, message)) => return Err(CallError::not_sent(message)),
                Err(SendError::Ambiguous(message)) => {
                    // Connections to one server tend to fail together, so the idle ones are closed, too.
                    self.lock_idle().clear();
                    return Err(CallError::ambiguous(message));
                }
            }
        }
    }

    /// Sends the request on this connection only, so that it reaches the process that answered on it before, or
    /// none.
    ///
    /// The request is not sent if the connection has been closed or carries another request.
    pub async fn call_on(
        &self,
        connection: ConnectionId,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        self.insert_host(&mut request)?;
        let Some(mut connection) = self.take_connection(connection) else {
            return Err(CallError::not_sent("the connection has been closed"));
        };
        match send(&mut connection, request, deadline).await {
            Ok(response) => self.finish_call(connection, response, deadline).await,
            Err(SendError::NotSent(_, message)) => Err(CallError::not_sent(message)),
            Err(SendError::Ambiguous(message)) => Err(CallError::ambiguous(message)),
        }
    }

    fn insert_host(&self, request: &mut Request<Full<Bytes>>) -> Result<(), CallError> {
        let host = self
            .host
            .as_ref()
            .map_or_else(|| self.address.to_string(), ToString::to_string);
        let host =
            HeaderValue::try_from(host).map_err(|e| CallError::not_sent(format!("invalid host: {e}")))?;
        request.headers_mut().insert(HOST, host);
        Ok(())
    }

    /// Reads the response and keeps the connection for further calls.
    async fn finish_call(
        &self,
        connection: PooledConnection,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        let response = self.read_response(connection.id, response, deadline).await?;
        self.return_idle(connection);
        Ok(response)
    }

    fn take_connection(&self, id: ConnectionId) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        let index = idle.iter().position(|connection| {
            let is_usable =
                !connection.sender.is_closed() && now.duration_since(connection.idle_since) < IDLE_TIMEOUT;
            connection.id == id && is_usable
        })?;
        Some(idle.remove(index))
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<PooledConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        idle.retain(|connection| {
            !connection.sender.is_closed() && now.duration_since(connection.idle_since) < IDLE_TIMEOUT
        });
        idle.pop()
    }

    fn return_idle(&self, mut connection: PooledConnection) {
        connection.idle_since = Instant::now();
        let mut idle = self.lock_idle();
        if idle.len() < self.max_idle && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<PooledConnection, CallError> {
        let address = self.address;
        let stream = timeout_at(deadline, TcpStream::connect(address))
            .await
            .map_err(|_| CallError::not_sent(format!("connecting to {address} timed out")))?
            .map_err(|e| CallError::not_sent(format!("cannot connect to {address}: {e}")))?;
        stream
            .set_nodelay(true)
            .map_err(|e| CallError::not_sent(format!("cannot set no-delay: {e}")))?;
        let (sender, driver) = Builder::new()
            .read_buf_exact_size(self.read_buffer_bytes)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| CallError::not_sent(format!("cannot open connection to {address}: {e}")))?;
        let task = tokio::spawn(async move {
            // The error is also returned to the caller that sent the request.
            let _ = driver.await;
        });
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        Ok(PooledConnection {
            id: ConnectionId(NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed)),
            sender,
            driver: task.abort_handle(),
            idle_since: Instant::now(),
            open_connections: self.open_connections.clone(),
        })
    }

    async fn read_response(
        &self,
        connection: ConnectionId,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        let (parts, body) = response.into_parts();
        let collected = timeout_at(deadline, Limited::new(body, self.max_body_bytes).collect())
            .await
            .map_err(|_| CallError::ambiguous("the deadline passed during the answer"))?
            .map_err(|e| CallError::ambiguous(format!("the answer was cut or too long: {e}")))?;
        let body = collected.to_bytes();
        check_content_length(parts.status, &parts.headers, body.len())?;
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            connection,
        })
    }
}

/// Checks the body against its `Content-Length`.
///
/// Without a declared length or chunked encoding, a truncated response cannot be told from a complete one.
fn check_content_length(status: StatusCode, headers: &HeaderMap, received: usize) -> Result<(), CallError> {
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Ok(());
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        if headers.contains_key(TRANSFER_ENCODING) {
            return Ok(());
        }
        return Err(CallError::ambiguous("the answer states no length"));
    };
    let declared = length.to_str().ok().and_then(|text| text.parse().ok());
    if declared == Some(received) {
        return Ok(());
    }
    Err(CallError::ambiguous(format!(
        "the answer has {received} bytes, not {length:?}"
    )))
}

enum SendError {
    /// No byte was sent; returns the request.
    NotSent(Box<Request<Full<Bytes>>>, String),
    /// Bytes may have been sent.
    Ambiguous(String),
}

async fn send(
    connection: &mut PooledConnection,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Response<Incoming>, SendError> {
    match timeout_at(deadline, connection.sender.ready()).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => return Err(SendError::NotSent(Box::new(request), e.to_string())),
        Err(_) => {
            return Err(SendError::NotSent(
                Box::new(request),
                "the deadline passed".into(),
            ));
        }
    }
    match timeout_at(deadline, connection.sender.try_send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(mut e)) => match e.take_message() {
            Some(request) => Err(SendError::NotSent(Box::new(request), e.error().to_string())),
            None => Err(SendError::Ambiguous(format!(
                "the connection failed: {}",
                e.error()
            ))),
        },
        Err(_) => Err(SendError::Ambiguous(
            "the deadline passed before an answer came".into(),
        )),
    }
}
