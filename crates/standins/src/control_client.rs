use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure of a control call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{method} {address}{path}: {message}"))]
pub struct ControlError {
    /// HTTP method.
    pub method: Method,
    /// Address of the stand-in.
    pub address: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Cause of the failure.
    pub message: String,
}

/// HTTP client for the control API of stand-ins in other processes.
///
/// ```no_run
/// # async fn example() -> Result<(), arbutuspick_standins::ControlError> {
/// use arbutuspick_standins::{ControlClient, PlatformControl, PlatformSettings};
/// let client = ControlClient::new();
/// let control = PlatformControl { outage: Some(true), ..PlatformControl::default() };
/// let settings: PlatformSettings = client.post("127.0.0.1:7000".parse().unwrap(), "/control", &control).await?;
/// assert!(settings.outage);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct ControlClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for ControlClient {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlClient {
    /// Creates a client.
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<T>(&self, address: SocketAddr, path: &str) -> Result<T, ControlError>
    where
        T: DeserializeOwned,
    {
        self.call(Method::GET, address, path, Bytes::new()).await
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.
    pub async fn post<Q, T>(&self, address: SocketAddr, path: &str, body: &Q) -> Result<T, ControlError>
    where
        Q: Serialize,
        T: DeserializeOwned,
    {
        let bytes = serde_json::to_vec(body).map_err(|e| ControlError {
            method: Method::POST,
            address,
            path: path.to_owned(),
            message: e.to_string(),
        })?;
        self.call(Method::POST, address, path, bytes.into()).await
    }

    async fn call<T>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<T, ControlError>
    where
        T: DeserializeOwned,
    {
        let result = timeout(CALL_TIMEOUT, self.exchange(&method, address, path, body)).await;
        result
            .unwrap_or_else(|_| Err("timed out".into()))
            .map_err(|message| ControlError {
                method,
                address,
                path: path.to_owned(),
                message,
            })
    }

    async fn exchange<T>(
        &self,
        method: &Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| e.to_string())?;
        let response = self.client.request(request).await.map_err(|e| e.to_string())?;
        let status = response.status();
        let collected = response.into_body().collect().await.map_err(|e| e.to_string())?;
        let bytes = collected.to_bytes();
        if !status.is_success() {
            return Err(format!("status {status}: {}", String::from_utf8_lossy(&bytes)));
        }
        serde_json::from_slice(&bytes).map_err(|e| e.to_string())
    }
}
