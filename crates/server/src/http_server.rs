use std::convert::Infallible;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::client_stream::ClientStream;
use crate::{ClientBody, ClientGuard, ConnectionLease};

/// Maximum size of a head in bytes; configurations permit 16 KB.
pub const MAX_HEAD_BYTES: usize = 24 * 1024;
/// Timeout for the headers of the next request on a connection, in seconds.
const HEADER_TIMEOUT_S: u64 = 20;
/// Interval at which a server that stops closes the connections that it does not wait for, in milliseconds.
const STOP_CHECK_INTERVAL_MS: u64 = 100;
/// Delay after a failed accept, in milliseconds; file descriptors may be exhausted.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

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
    let service = service_fn(|request: Request<Incoming>| {
        let (handler, lease) = (handler.clone(), lease.clone());
        async move {
            lease.run();
            let request = request.map(|incoming| ClientBody::new(incoming, lease.clone()));
            let response = handler(request).await;
            let size = response.body().size_hint().lower();
            lease.respond(
                usize::try_from(size).unwrap_or(usize::MAX),
                response.status().is_success(),
            );
            Ok::<_, Infallible>(response)
        }
    });
    let stream = ClientStream::new(stream, lease.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(HEADER_TIMEOUT_S))
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut turn_waiter = lease.turn_waiter();
    let served = async {
        let mut is_stopping = false;
        loop {
            let turn = poll_fn(|context| {
                ready!(turn_waiter.poll_turn(context));
                connection.as_mut().poll(context)
            });
            tokio::select! {
                result = turn => return result,
                () = shutdown.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    connection.as_mut().graceful_shutdown();
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
