use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING, UPGRADE};
use hyper::{HeaderMap, Method, Request, StatusCode};
use tokio::sync::Semaphore;

use crate::http_client::HttpClient;
use crate::{CallError, ProcessClock};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers; connection-level headers are dropped, and `Host` and `Content-Length` are set anew.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time at which the request is abandoned and its connection closed.
    pub deadline: ClockTime,
}

/// A complete response of an upstream, whatever its status.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client of one upstream; each connection carries one request at a time.
///
/// ```no_run
/// # async fn example() -> Result<(), arbutuspick_clients::CallError> {
/// use arbutuspick_clients::{ProcessClock, UpstreamClient, UpstreamRequest};
/// let client = UpstreamClient::new("127.0.0.1:7200".parse().unwrap(), 9);
/// let request = UpstreamRequest {
///     method: hyper::Method::POST,
///     path: "/".into(),
///     headers: hyper::HeaderMap::new(),
///     body: "{}".into(),
///     deadline: ProcessClock::new().now() + 1_000,
/// };
/// println!("{}", client.send(request).await?.status);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    client: HttpClient,
    connections: Arc<Semaphore>,
    clock: ProcessClock,
}

impl UpstreamClient {
    /// Creates a client with a connection limit, which connects on the first request.
    pub fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self {
            client: HttpClient::new(address, MAX_RESPONSE_BYTES),
            connections: Arc::new(Semaphore::new(max_connections)),
            clock: ProcessClock::new(),
        }
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Sends a request; the error says whether any bytes may have been sent.
    pub async fn send(&self, request: UpstreamRequest) -> Result<UpstreamResponse, CallError> {
        let deadline = self.clock.instant(request.deadline);
        let _permit = self
            .connections
            .try_acquire()
            .map_err(|_| CallError::not_sent("all connections to the upstream are in use"))?;
        let response = self.client.call(to_http_request(request)?, deadline).await?;
        Ok(UpstreamResponse {
            status: response.status,
            headers: response.headers,
            body: response.body,
        })
    }
}

fn to_http_request(request: UpstreamRequest) -> Result<Request<Full<Bytes>>, CallError> {
    let UpstreamRequest {
        method,
        path,
        mut headers,
        body,
        deadline: _,
    } = request;
    for name in [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    let mut http_request = Request::builder()
        .method(method)
        .uri(path.as_ref())
        .body(Full::new(body))
        .map_err(|e| CallError::not_sent(format!("invalid request: {e}")))?;
    *http_request.headers_mut() = headers;
    Ok(http_request)
}
