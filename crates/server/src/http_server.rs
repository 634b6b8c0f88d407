use std::error::Error;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::client_stream::ClientStream;
use crate::{ClientBody, ClientGuard, ConnectionLease};

/// Length of the shortest header, in bytes.
const SHORTEST_HEADER_BYTES: usize = "a:\r\n".len();
/// Timeout for the headers of the next request on a connection, in seconds.
const HEADER_TIMEOUT_S: u64 = 20;
/// Interval at which a server that stops closes the connections that it does not wait for, in milliseconds.
const STOP_CHECK_INTERVAL_MS: u64 = 100;
/// Delay after a failed accept, in milliseconds; file descriptors may be exhausted.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

type HttpConnection<S> = http1::Connection<TokioIo<ClientStream>, S>;

/// There is no room for a request. Its connection is closed without a response.
#[derive(Debug, Snafu)]
#[snafu(display("there is no room for the request"))]
struct NoRoomError;

/// Serves connections until `shutdown` is cancelled, then completes the requests that were received.
///
/// A client that stalls in the middle of a request or of reading a response is not waited for.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    guard: ClientGuard,
    shutdown: CancellationToken,
    handler: H,
) where
    H: Fn(Request<ClientBody>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without room the connection is closed without a response: a 503 would promise that the job of a
                // request that is not read never runs, but an earlier request may have stored it.
                if let Some(lease) = guard.connect() {
                    connections.spawn(serve_connection(stream, lease, shutdown.clone(), handler.clone()));
                }
            }
            Err(error) => {
                log::warn!("[server] cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
    let mut checks = tokio::time::interval(Duration::from_millis(STOP_CHECK_INTERVAL_MS));
    loop {
        tokio::select! {
            ended = connections.join_next() => if ended.is_none() {
                return;
            },
            _ = checks.tick() => guard.close_unfinished().await,
        }
    }
}

fn http_builder(head_limit: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(HEADER_TIMEOUT_S))
        .max_buf_size(head_limit);
    builder
}

/// Replaces a connection of which no more than part of a head was read by one that takes as many headers as fit a head.
fn with_many_headers<S, B>(connection: HttpConnection<S>, head_limit: usize) -> HttpConnection<S>
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut parts = connection.into_parts();
    parts.io.inner_mut().put_back(&parts.read_buf);
    http_builder(head_limit)
        .max_headers(head_limit / SHORTEST_HEADER_BYTES)
        .serve_connection(parts.io, parts.service)
}

/// Passes a request to the handler; fails if there is no room for it, or its connection is being closed.
async fn handle_request<H, F, B>(
    handler: Arc<H>,
    lease: Arc<ConnectionLease>,
    request: Request<Incoming>,
) -> Result<Response<B>, NoRoomError>
where
    H: Fn(Request<ClientBody>) -> F,
    F: Future<Output = Response<B>>,
    B: Body,
{
    let has_body = !request.body().is_end_stream();
    if !lease.begin(request.headers().len(), has_body) {
        return Err(NoRoomError);
    }
    let request = request.map(|incoming| ClientBody::new(incoming, lease.clone()));
    let mut response = handler(request).await;
    if lease.head_watch().has_many_headers() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let size = response.body().size_hint().lower();
    lease.respond(
        usize::try_from(size).unwrap_or(usize::MAX),
        response.status().is_success(),
    );
    Ok(response)
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    lease: Arc<ConnectionLease>,
    shutdown: CancellationToken,
    handler: Arc<H>,
) where
    H: Fn(Request<ClientBody>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[server] cannot set TCP_NODELAY: {error}");
    }
    let service = service_fn(|request| handle_request(handler.clone(), lease.clone(), request));
    let stream = ClientStream::new(stream, lease.clone());
    let mut connection = http_builder(lease.head_limit()).serve_connection(TokioIo::new(stream), service);
    // Whether the connection was replaced by one that takes many headers.
    let mut takes_many_headers = false;
    let mut turn_waiter = lease.turn_waiter();
    let served = async {
        let mut is_stopping = false;
        loop {
            let turn = poll_fn(|context| {
                ready!(turn_waiter.poll_turn(context));
                match Pin::new(&mut connection).poll(context) {
                    Poll::Ready(result) => Poll::Ready(Some(result)),
                    Poll::Pending if lease.head_watch().has_many_headers() != takes_many_headers => {
                        Poll::Ready(None)
                    }
                    Poll::Pending => Poll::Pending,
                }
            });
            tokio::select! {
                result = turn => match result {
                    Some(result) => return result,
                    None => {
                        takes_many_headers = true;
                        connection = with_many_headers(connection, lease.head_limit());
                    }
                },
                () = shutdown.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    };
    let result = tokio::select! {
        result = served => result,
        () = lease.closed() => return,
    };
    if let Err(error) = result {
        log::debug!("[server] connection failed: {error}");
    }
}
