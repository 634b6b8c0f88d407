use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::CallError;

/// A connection that was idle for longer is not used again, since the server may be closing it.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Most idle connections kept for an address.
const MAX_IDLE: usize = 64;

/// A whole answer.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

/// A connection that carries one request at a time; closed when dropped.
#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_since: Instant,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sends requests to one address over kept connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    address: SocketAddr,
    host: Option<Arc<str>>,
    max_body_bytes: usize,
    idle: Arc<Mutex<Vec<OpenConnection>>>,
}

impl HttpCaller {
    /// Returns a caller of one address that accepts answers up to a size.
    pub fn new(address: SocketAddr, max_body_bytes: usize) -> Self {
        Self {
            address,
            host: None,
            max_body_bytes,
            idle: Arc::default(),
        }
    }

    /// Names this host in requests instead of the address.
    pub fn with_host<H>(self, host: H) -> Self
    where
        H: Into<Arc<str>>,
    {
        Self {
            host: Some(host.into()),
            ..self
        }
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the request and returns the whole answer, whatever its status.
    ///
    /// When the deadline passes or the future is dropped, the connection is closed.
    pub async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<WholeAnswer, CallError> {
        if Instant::now() >= deadline {
            return Err(CallError::not_sent("the deadline has passed"));
        }
        let host = self
            .host
            .as_ref()
            .map_or_else(|| self.address.to_string(), ToString::to_string);
        let host =
            HeaderValue::try_from(host).map_err(|e| CallError::not_sent(format!("invalid host: {e}")))?;
        request.headers_mut().insert(HOST, host);
        // An idle connection that turns out to be closed returns the request unsent.
        loop {
            let (mut connection, fresh) = match self.take_idle() {
                Some(connection) => (connection, false),
                None => (self.connect(deadline).await?, true),
            };
            match send(&mut connection, request, deadline).await {
                Ok(response) => {
                    let answer = self.read_whole(response, deadline).await?;
                    self.keep(connection);
                    return Ok(answer);
                }
                Err(SendFailure::Unsent(unsent, _)) if !fresh && Instant::now() < deadline => {
                    request = *unsent;
                }
                Err(SendFailure::Unsent(_, message)) => return Err(CallError::not_sent(message)),
                Err(SendFailure::Unclear(message)) => {
                    // Connections that went silent do so together, so none of the idle ones is trusted.
                    self.lock_idle().clear();
                    return Err(CallError::ambiguous(message));
                }
            }
        }
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<OpenConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<OpenConnection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        idle.retain(|connection| {
            !connection.sender.is_closed() && now.duration_since(connection.idle_since) < IDLE_LIMIT
        });
        idle.pop()
    }

    fn keep(&self, mut connection: OpenConnection) {
        connection.idle_since = Instant::now();
        let mut idle = self.lock_idle();
        if idle.len() < MAX_IDLE && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<OpenConnection, CallError> {
        let address = self.address;
        let stream = timeout_at(deadline, TcpStream::connect(address))
            .await
            .map_err(|_| CallError::not_sent(format!("connecting to {address} timed out")))?
            .map_err(|e| CallError::not_sent(format!("cannot connect to {address}: {e}")))?;
        stream
            .set_nodelay(true)
            .map_err(|e| CallError::not_sent(format!("cannot set no-delay: {e}")))?;
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| CallError::not_sent(format!("cannot open connection to {address}: {e}")))?;
        let task = tokio::spawn(async move {
            // The error is also returned to the sender of the request.
            let _ = driver.await;
        });
        Ok(OpenConnection {
            sender,
            driver: task.abort_handle(),
            idle_since: Instant::now(),
        })
    }

    async fn read_whole(
        &self,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<WholeAnswer, CallError> {
        let (parts, body) = response.into_parts();
        let collected = timeout_at(deadline, Limited::new(body, self.max_body_bytes).collect())
            .await
            .map_err(|_| CallError::ambiguous("the deadline passed during the answer"))?
            .map_err(|e| CallError::ambiguous(format!("the answer was cut or too long: {e}")))?;
        let body = collected.to_bytes();
        check_length(parts.status, &parts.headers, body.len())?;
        Ok(WholeAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Without a stated length, an answer that was cut cannot be told from a whole one.
fn check_length(status: StatusCode, headers: &HeaderMap, received: usize) -> Result<(), CallError> {
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Ok(());
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        if headers.contains_key(TRANSFER_ENCODING) {
            return Ok(());
        }
        return Err(CallError::ambiguous("the answer states no length"));
    };
    let stated = length.to_str().ok().and_then(|text| text.parse().ok());
    if stated == Some(received) {
        return Ok(());
    }
    Err(CallError::ambiguous(format!(
        "the answer has {received} bytes, not {length:?}"
    )))
}

enum SendFailure {
    Unsent(Box<Request<Full<Bytes>>>, String),
    Unclear(String),
}

async fn send(
    connection: &mut OpenConnection,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Response<Incoming>, SendFailure> {
    match timeout_at(deadline, connection.sender.ready()).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => return Err(SendFailure::Unsent(Box::new(request), e.to_string())),
        Err(_) => {
            return Err(SendFailure::Unsent(
                Box::new(request),
                "the deadline passed".into(),
            ));
        }
    }
    match timeout_at(deadline, connection.sender.try_send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(mut e)) => match e.take_message() {
            Some(request) => Err(SendFailure::Unsent(Box::new(request), e.error().to_string())),
            None => Err(SendFailure::Unclear(format!(
                "the connection failed: {}",
                e.error()
            ))),
        },
        Err(_) => Err(SendFailure::Unclear(
            "the deadline passed before an answer came".into(),
        )),
    }
}
