use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use arbutuspick_clients::{CallError, ProcessClock, UpstreamClient, UpstreamRequest, UpstreamResponse};
use arbutuspick_model::{CentreName, ClockTime};
use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method};
use serde_json::Value;

/// Maximum number of concurrent connections to one entry VM.
const MAX_CONNECTIONS: usize = 1024;

/// One call to the API of the entry VMs.
#[derive(Clone, Debug)]
pub(crate) struct EntryCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl EntryCall {
    pub(crate) fn new(method: Method, path: &str, token: &str) -> Self {
        let call = Self {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        call.with_header(AUTHORIZATION, &format!("Bearer {token}"))
    }

    pub(crate) fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::try_from(value) {
            self.headers.insert(name, value);
        }
        self
    }

    pub(crate) fn with_json(mut self, body: &Value) -> Self {
        self.body = body.to_string().into();
        self.with_header(CONTENT_TYPE, "application/json")
    }
}

/// Clients of the entry VMs, called in turn as by a load balancer.
#[derive(Debug)]
pub(crate) struct EntryPool {
    pub(crate) clock: ProcessClock,
    clients: Vec<(CentreName, UpstreamClient)>,
    next: AtomicUsize,
}

impl EntryPool {
    pub(crate) fn new(entries: &[(CentreName, SocketAddr)]) -> Self {
        let client = |(centre, address): &(CentreName, SocketAddr)| {
            (centre.clone(), UpstreamClient::new(*address, MAX_CONNECTIONS))
        };
        Self {
            clock: ProcessClock::new(),
            clients: entries.iter().map(client).collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// Returns each data centre with a client of one of its entry VMs.
    pub(crate) fn centres(&self) -> Vec<(CentreName, UpstreamClient)> {
        let mut centres = self.clients.clone();
        centres.sort_by(|a, b| a.0.cmp(&b.0));
        centres.dedup_by(|a, b| a.0 == b.0);
        centres
    }

    /// Sends a call to the next entry VM that accepts a connection.
    pub(crate) async fn call(
        &self,
        call: &EntryCall,
        deadline: ClockTime,
    ) -> Result<UpstreamResponse, CallError> {
        let mut last_error = None;
        for _ in 0..self.clients.len() {
            let index = self.next.fetch_add(1, Ordering::Relaxed) % self.clients.len();
            match send(&self.clients[index].1, call, deadline).await {
                Err(error @ CallError::NotSent { .. }) => last_error = Some(error),
                result => return result,
            }
        }
        Err(last_error.unwrap_or_else(|| CallError::NotSent {
            message: "there is no entry VM".into(),
            retry_after_ms: 0,
        }))
    }
}

/// Sends a call to one entry VM.
pub(crate) async fn send(
    client: &UpstreamClient,
    call: &EntryCall,
    deadline: ClockTime,
) -> Result<UpstreamResponse, CallError> {
    let EntryCall {
        method,
        path,
        headers,
        body,
    } = call.clone();
    let request = UpstreamRequest {
        method,
        path: path.into(),
        headers,
        body,
        deadline,
    };
    client.send(request).await
}

/// Returns the decoded JSON body, or null if it is invalid.
pub(crate) fn json_body(response: &UpstreamResponse) -> Value {
    serde_json::from_slice(&response.body).unwrap_or_default()
}
