use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{VmEntry, VmRole};
use arbutuspick_model::{CentreName, ServiceName, UpstreamName};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Response, StatusCode};
use parking_lot::Mutex;
use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::time::sleep;

use crate::http_server::{HttpServer, ServerReply, ServerRequest};
use crate::upstream_control::{RequestLog, RequestRuns, UpstreamControl, UpstreamFaults};
use crate::wall_clock::WallClock;

/// Options of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Name.
    pub name: UpstreamName,
    /// Data centre.
    pub data_centre: CentreName,
    /// Service.
    pub service: ServiceName,
    /// Maximum number of concurrent requests; further ones are rejected as "not run".
    pub slots: u64,
    /// Maximum number of connections; further ones are closed.
    pub max_connections: usize,
    /// Port, or 0 for an ephemeral one.
    pub port: u16,
    /// Maximum random addition to the service time, in percent of the requested time.
    pub jitter_percent: u64,
}

impl UpstreamOptions {
    /// Creates options with 8 slots and 64 connections on an ephemeral port.
    pub fn new(name: UpstreamName, data_centre: CentreName, service: ServiceName) -> Self {
        Self {
            name,
            data_centre,
            service,
            slots: 8,
            max_connections: 64,
            port: 0,
            jitter_percent: 50,
        }
    }
}

/// Body of a request; unknown fields are ignored, and any other body counts as the default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamPayload {
    /// Id under which the run is logged; if it is empty, the header `x-request-id` is used.
    pub id: String,
    /// Service time in milliseconds, without jitter.
    pub work_ms: u64,
}

/// Body of the response to a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamResult {
    /// Id of the request.
    pub id: String,
    /// Hexadecimal SHA-256 of the request body.
    pub digest: String,
    /// Upstream that ran it.
    pub upstream: UpstreamName,
}

#[derive(Debug, Default)]
struct UpstreamState {
    faults: UpstreamFaults,
    in_flight: u64,
    run_count: u64,
    log: RequestLog,
}

#[derive(Debug)]
struct UpstreamShared {
    options: UpstreamOptions,
    clock: WallClock,
    state: Mutex<UpstreamState>,
}

/// Occupies a slot until it is dropped.
struct SlotGuard(Arc<UpstreamShared>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.state.lock().in_flight -= 1;
    }
}

/// Simulated instance of a service with a limited number of slots.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use arbutuspick_model::{CentreName, ServiceName, UpstreamName};
/// use arbutuspick_standins::{UpstreamOptions, UpstreamStandin};
/// let options = UpstreamOptions::new(
///     UpstreamName::try_from("trent-booking-0")?,
///     CentreName::try_from("trent")?,
///     ServiceName::try_from("booking")?,
/// );
/// let upstream = UpstreamStandin::start(options).await?;
/// assert_eq!(upstream.log().refused, 0);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct UpstreamStandin {
    shared: Arc<UpstreamShared>,
    server: HttpServer,
}

impl UpstreamStandin {
    /// Starts the stand-in, which stops when it is dropped.
    pub async fn start(options: UpstreamOptions) -> io::Result<Self> {
        let (port, max_connections) = (options.port, options.max_connections);
        let shared = Arc::new(UpstreamShared {
            options,
            clock: WallClock::new(),
            state: Mutex::default(),
        });
        let server_shared = Arc::clone(&shared);
        let server = HttpServer::start(port, max_connections, move |request| {
            let shared = Arc::clone(&server_shared);
            async move { shared.respond(request).await }
        })
        .await?;
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the upstream's entry in the platform's list of VMs.
    pub fn entry(&self) -> VmEntry {
        let options = &self.shared.options;
        VmEntry {
            name: options.name.to_string(),
            role: VmRole::Upstream,
            data_centre: options.data_centre.clone(),
            address: self.address(),
            leaving: false,
            service: Some(options.service.clone()),
            rack: None,
            capacity: None,
        }
    }

    /// Changes the fault settings, as `POST /control` does.
    pub fn control(&self, control: &UpstreamControl) -> UpstreamFaults {
        self.shared.control(control)
    }

    /// Returns the log of the requests that ran.
    pub fn log(&self) -> RequestLog {
        self.shared.state.lock().log.clone()
    }
}

impl UpstreamShared {
    async fn respond(self: Arc<Self>, request: ServerRequest) -> ServerReply {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/control") => match request.json() {
                Ok(control) => return ServerReply::json(StatusCode::OK, &self.control(&control)),
                Err(reply) => return reply,
            },
            (&Method::GET, "/control/log") => {
                return ServerReply::json(StatusCode::OK, &self.state.lock().log);
            }
            _ => {}
        }
        let faults = self.state.lock().faults;
        if faults.down {
            return ServerReply::Close;
        }
        let reply = if request.path == "/health" {
            ServerReply::text(StatusCode::OK, "")
        } else {
            Arc::clone(&self).run(&request, faults).await
        };
        self.add_leaving_header(reply)
    }

    async fn run(self: Arc<Self>, request: &ServerRequest, faults: UpstreamFaults) -> ServerReply {
        let payload: UpstreamPayload = request.json().unwrap_or_default();
        let id = request_id(request, &payload);
        let Some((slot, run_count)) = Arc::clone(&self).acquire_slot(&id) else {
            return not_run_reply();
        };
        let jitter_ms = payload.work_ms * self.options.jitter_percent / 100;
        let service_ms = payload.work_ms + rand::rng().random_range(0..=jitter_ms) + faults.late_ms;
        sleep(Duration::from_millis(service_ms)).await;
        drop(slot);
        let is_nth = |every: u64| every > 0 && run_count.is_multiple_of(every);
        if is_nth(faults.close_every) {
            return ServerReply::Close;
        }
        let response = self.result(id, &request.body, faults.fail);
        if is_nth(faults.cut_every) {
            return ServerReply::TruncatedBody(Box::new(response));
        }
        ServerReply::Response(Box::new(response))
    }

    /// Acquires a slot and logs the run; returns `None` and counts the rejection when no slot is free.
    fn acquire_slot(self: Arc<Self>, id: &str) -> Option<(SlotGuard, u64)> {
        let now_ms = self.clock.now_ms();
        let run_count = {
            let mut state = self.state.lock();
            if state.in_flight >= self.options.slots {
                state.log.refused += 1;
                return None;
            }
            state.in_flight += 1;
            state.run_count += 1;
            state.log.peak_in_flight = state.log.peak_in_flight.max(state.in_flight);
            let no_runs = RequestRuns { count: 0, last_at: 0 };
            let runs = state.log.ran.entry(id.to_owned()).or_insert(no_runs);
            runs.count += 1;
            runs.last_at = now_ms;
            state.run_count
        };
        Some((SlotGuard(self), run_count))
    }

    fn result(&self, id: String, body: &Bytes, fail: bool) -> Response<Bytes> {
        let header = HeaderValue::try_from(&id).ok();
        let result = UpstreamResult {
            id,
            digest: hex::encode(Sha256::digest(body)),
            upstream: self.options.name.clone(),
        };
        let bytes = serde_json::to_vec(&result).expect("the result serializes to JSON");
        let mut response = Response::new(Bytes::from(bytes));
        if fail {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        if let Some(id) = header {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    fn add_leaving_header(&self, mut reply: ServerReply) -> ServerReply {
        if let ServerReply::Response(response) | ServerReply::TruncatedBody(response) = &mut reply
            && self.state.lock().faults.leaving
        {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert("x-leaving", value);
        }
        reply
    }

    fn control(&self, control: &UpstreamControl) -> UpstreamFaults {
        let mut state = self.state.lock();
        let was_leaving = state.faults.leaving;
        state.faults.apply(control);
        if state.faults.leaving != was_leaving {
            state.log.leaving_since = state.faults.leaving.then(|| self.clock.now_ms());
        }
        state.faults
    }
}

/// Returns the id in the body, or else the header, which a proxy may replace.
fn request_id(request: &ServerRequest, payload: &UpstreamPayload) -> String {
    if !payload.id.is_empty() {
        return payload.id.clone();
    }
    let header = request
        .headers
        .get("x-request-id")
        .and_then(|id| id.to_str().ok());
    header.unwrap_or_default().to_owned()
}

fn not_run_reply() -> ServerReply {
    let mut response = Response::new(Bytes::from_static(b"every slot is taken"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let outcome = HeaderValue::from_static("not-run");
    response.headers_mut().insert("x-outcome", outcome);
    ServerReply::Response(Box::new(response))
}
