use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

/// A request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct ServerRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ServerRequest {
    /// Decodes the JSON body, or returns a reply with status 400 and the decoding error.
    pub(crate) fn json<T>(&self) -> Result<T, ServerReply>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|e| ServerReply::text(StatusCode::BAD_REQUEST, e.to_string()))
    }

    /// Returns the value of a query parameter.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }
}

/// How the server replies to a request.
#[derive(Debug)]
pub(crate) enum ServerReply {
    /// Sends the complete response.
    Response(Box<Response<Bytes>>),
    /// Closes the connection without a response.
    Close,
    /// Sends the first half of the response body and closes the connection.
    TruncatedBody(Box<Response<Bytes>>),
}

impl ServerReply {
    pub(crate) fn text<M>(status: StatusCode, message: M) -> Self
    where
        M: Into<String>,
    {
        let mut response = Response::new(Bytes::from(message.into()));
        *response.status_mut() = status;
        Self::Response(Box::new(response))
    }

    pub(crate) fn json<T>(status: StatusCode, body: &T) -> Self
    where
        T: Serialize,
    {
        let bytes = serde_json::to_vec(body).expect("response bodies serialize to JSON");
        let mut response = Response::new(Bytes::from(bytes));
        *response.status_mut() = status;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        Self::Response(Box::new(response))
    }

    pub(crate) fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, "not found")
    }

    fn into_response(self) -> Result<Response<BoxBody<Bytes, io::Error>>, io::Error> {
        match self {
            Self::Response(response) => {
                Ok((*response).map(|bytes| Full::new(bytes).map_err(infallible_to_io).boxed()))
            }
            Self::Close => Err(io::Error::other("connection closed by an injected fault")),
            Self::TruncatedBody(response) => Ok(truncate(*response)),
        }
    }
}

fn infallible_to_io(error: Infallible) -> io::Error {
    match error {}
}

fn truncate(response: Response<Bytes>) -> Response<BoxBody<Bytes, io::Error>> {
    let length = HeaderValue::from(response.body().len());
    let mut response = response.map(|bytes| {
        let half = bytes.slice(..bytes.len() / 2);
        let frames = [
            Ok(Frame::data(half)),
            Err(io::Error::other("response body truncated by an injected fault")),
        ];
        BodyExt::boxed(StreamBody::new(stream::iter(frames)))
    });
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// A listening HTTP server; dropping it closes the listener and its connections.
#[derive(Debug)]
pub(crate) struct HttpServer {
    pub(crate) address: SocketAddr,
    task: AbortHandle,
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HttpServer {
    /// Listens on a loopback port (0 for an ephemeral one) and closes connections beyond `max_connections`.
    pub(crate) async fn start<H, F>(port: u16, max_connections: usize, handler: H) -> io::Result<Self>
    where
        H: Fn(ServerRequest) -> F + Send + Sync + 'static,
        F: Future<Output = ServerReply> + Send + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, max_connections, Arc::new(handler)));
        Ok(Self {
            address,
            task: task.abort_handle(),
        })
    }
}

async fn accept_connections<H, F>(listener: TcpListener, max_connections: usize, handler: Arc<H>)
where
    H: Fn(ServerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = ServerReply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails when file descriptors run out, for example; the client sees a slow connection.
            tokio::task::yield_now().await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() < max_connections {
            connections.spawn(serve_connection(stream, Arc::clone(&handler)));
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(ServerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = ServerReply> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handle_request(request, handler.as_ref()).await }
    });
    // An error means that the client or an injected fault closed the connection.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request<H, F>(
    request: Request<Incoming>,
    handler: &H,
) -> Result<Response<BoxBody<Bytes, io::Error>>, io::Error>
where
    H: Fn(ServerRequest) -> F,
    F: Future<Output = ServerReply>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let request = ServerRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    handler(request).await.into_response()
}
