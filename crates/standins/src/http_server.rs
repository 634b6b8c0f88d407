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

/// A whole request.
#[derive(Clone, Debug)]
pub(crate) struct ServerRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ServerRequest {
    /// Decodes the JSON body, or returns the answer that says why it cannot.
    pub(crate) fn json<T>(&self) -> Result<T, ServerReply>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|e| ServerReply::text(StatusCode::BAD_REQUEST, e.to_string()))
    }

    /// Returns a parameter of the query.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }
}

/// What a server does with a request.
#[derive(Debug)]
pub(crate) enum ServerReply {
    /// Sends a whole answer.
    Answer(Box<Response<Bytes>>),
    /// Closes the connection without an answer.
    Close,
    /// Sends the first half of the answer and closes the connection.
    CutBody(Box<Response<Bytes>>),
}

impl ServerReply {
    pub(crate) fn text<M>(status: StatusCode, message: M) -> Self
    where
        M: Into<String>,
    {
        let mut response = Response::new(Bytes::from(message.into()));
        *response.status_mut() = status;
        Self::Answer(Box::new(response))
    }

    pub(crate) fn json<T>(status: StatusCode, body: &T) -> Self
    where
        T: Serialize,
    {
        let bytes = serde_json::to_vec(body).expect("stand-ins answer with plain structs");
        let mut response = Response::new(Bytes::from(bytes));
        *response.status_mut() = status;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        Self::Answer(Box::new(response))
    }

    pub(crate) fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, "not found")
    }

    fn into_response(self) -> Result<Response<BoxBody<Bytes, io::Error>>, io::Error> {
        match self {
            Self::Answer(response) => Ok((*response).map(|bytes| Full::new(bytes).map_err(never).boxed())),
            Self::Close => Err(io::Error::other("connection closed on purpose")),
            Self::CutBody(response) => Ok(cut(*response)),
        }
    }
}

fn never(error: Infallible) -> io::Error {
    match error {}
}

fn cut(response: Response<Bytes>) -> Response<BoxBody<Bytes, io::Error>> {
    let length = HeaderValue::from(response.body().len());
    let mut response = response.map(|bytes| {
        let half = bytes.slice(..bytes.len() / 2);
        let frames = [
            Ok(Frame::data(half)),
            Err(io::Error::other("answer cut on purpose")),
        ];
        BodyExt::boxed(StreamBody::new(stream::iter(frames)))
    });
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// A listening server; it and its connections end when this is dropped.
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
    /// Listens on a loopback port (0 for an ephemeral one); connections over the limit are closed.
    pub(crate) async fn start<H, F>(port: u16, max_connections: usize, handler: H) -> io::Result<Self>
    where
        H: Fn(ServerRequest) -> F + Send + Sync + 'static,
        F: Future<Output = ServerReply> + Send + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, max_connections, Arc::new(handler)));
        Ok(Self {
            address,
            task: task.abort_handle(),
        })
    }
}

async fn accept<H, F>(listener: TcpListener, max_connections: usize, handler: Arc<H>)
where
    H: Fn(ServerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = ServerReply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, for example; the caller sees a slow connection.
            tokio::task::yield_now().await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() < max_connections {
            connections.spawn(serve(stream, Arc::clone(&handler)));
        }
    }
}

async fn serve<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(ServerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = ServerReply> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { answer(request, handler.as_ref()).await }
    });
    // Errors are connections that were closed, by the client or on purpose.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer<H, F>(
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
