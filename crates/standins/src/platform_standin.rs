use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{VmEntry, VmList};
use arbutuspick_model::PlatformTime;
use arbutuspick_records::{ReadQuery, ScanQuery, TableResponse, TableRow, TableTransaction};
use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::time::sleep;

use crate::call_stats::{CallCounter, CallStats};
use crate::http_server::{HttpServer, ServerReply, ServerRequest};
use crate::platform_control::{PlatformControl, PlatformSettings};
use crate::standin_table::{MAX_ROWS, StandinTable};
use crate::vm_history::VmHistory;
use crate::wall_clock::WallClock;

const MAX_CONNECTIONS: usize = 4096;

/// Options of a platform stand-in.
#[derive(Clone, Debug, Default)]
pub struct PlatformOptions {
    /// Port, or 0 for an ephemeral one.
    pub port: u16,
    /// Names of additional listeners, each on an ephemeral port and with its own simulated outage.
    pub listeners: Vec<String>,
    /// Initial list of VMs.
    pub vms: Vec<VmEntry>,
    /// Initial fault settings.
    pub settings: PlatformSettings,
}

#[derive(Debug)]
struct PlatformState {
    table: StandinTable,
    objects: HashMap<String, Bytes>,
    vms: VmHistory,
    settings: PlatformSettings,
    calls: CallCounter,
    /// Writes since the fault settings were last changed.
    write_count: u64,
}

#[derive(Debug)]
struct PlatformShared {
    clock: WallClock,
    state: Mutex<PlatformState>,
}

/// In-memory implementation of the platform's table, object store and list of VMs.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// use arbutuspick_standins::{PlatformOptions, PlatformStandin};
/// let platform = PlatformStandin::start(PlatformOptions::default()).await?;
/// assert!(platform.address().ip().is_loopback());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct PlatformStandin {
    shared: Arc<PlatformShared>,
    server: HttpServer,
    listeners: BTreeMap<String, HttpServer>,
}

impl PlatformStandin {
    /// Starts the stand-in, which stops when it is dropped.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let PlatformOptions {
            port,
            listeners: names,
            vms,
            settings,
        } = options;
        let state = PlatformState {
            table: StandinTable::default(),
            objects: HashMap::new(),
            vms: VmHistory::new(vms),
            settings,
            calls: CallCounter::default(),
            write_count: 0,
        };
        let shared = Arc::new(PlatformShared {
            clock: WallClock::new(),
            state: Mutex::new(state),
        });
        let server = start_listener(&shared, port, "").await?;
        let mut listeners = BTreeMap::new();
        for name in names {
            let listener = start_listener(&shared, 0, &name).await?;
            listeners.insert(name, listener);
        }
        Ok(Self {
            shared,
            server,
            listeners,
        })
    }

    /// Returns the address of the main listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the addresses of the additional listeners by name.
    pub fn listeners(&self) -> BTreeMap<String, SocketAddr> {
        self.listeners
            .iter()
            .map(|(name, server)| (name.clone(), server.address))
            .collect()
    }

    /// Changes the fault settings and VMs, as `POST /control` does.
    pub fn control(&self, control: &PlatformControl) -> PlatformSettings {
        self.shared.control(control)
    }

    /// Returns the numbers of calls received.
    pub fn stats(&self) -> CallStats {
        self.shared.state.lock().calls.stats()
    }

    /// Returns the table's row under a key.
    pub fn row(&self, key: &str) -> Option<TableRow> {
        self.shared.state.lock().table.row(key).cloned()
    }

    /// Returns the object under a key.
    pub fn object(&self, key: &str) -> Option<Bytes> {
        self.shared.state.lock().objects.get(key).cloned()
    }

    /// Returns the current time of the platform's clock.
    pub fn time(&self) -> PlatformTime {
        PlatformTime(self.shared.clock.now_ms())
    }
}

async fn start_listener(shared: &Arc<PlatformShared>, port: u16, listener: &str) -> io::Result<HttpServer> {
    let shared = Arc::clone(shared);
    let listener: Arc<str> = listener.into();
    HttpServer::start(port, MAX_CONNECTIONS, move |request| {
        let (shared, listener) = (Arc::clone(&shared), Arc::clone(&listener));
        async move { shared.respond(&listener, request).await }
    })
    .await
}

/// Fault that is injected into a write.
enum WriteFault {
    None,
    LoseResponse,
    Delay(Duration),
}

impl PlatformShared {
    async fn respond(self: Arc<Self>, listener: &str, request: ServerRequest) -> ServerReply {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/control") => match request.json() {
                Ok(control) => return ServerReply::json(StatusCode::OK, &self.control(&control)),
                Err(reply) => return reply,
            },
            (&Method::GET, "/control/stats") => {
                return ServerReply::json(StatusCode::OK, &self.state.lock().calls.stats());
            }
            _ => {}
        }
        let write = is_write(&request);
        let (delay_ms, fault) = {
            let mut state = self.state.lock();
            state.calls.count(self.clock.now_ms(), write);
            if state.settings.closes_connection(listener, &request.path) {
                return ServerReply::Close;
            }
            (state.settings.delay_ms, state.write_fault(write))
        };
        let delay = Duration::from_millis(delay_ms);
        match fault {
            WriteFault::None => self.perform_in_task(delay, request).await,
            WriteFault::LoseResponse => {
                self.perform_in_task(delay, request).await;
                ServerReply::Close
            }
            WriteFault::Delay(after) => {
                tokio::spawn(self.perform_in_task(delay + after, request));
                ServerReply::Close
            }
        }
    }

    /// Performs a call after a delay, in its own task: it takes effect even if the client disconnects
    /// meanwhile.
    async fn perform_in_task(self: Arc<Self>, delay: Duration, request: ServerRequest) -> ServerReply {
        if delay.is_zero() {
            return self.perform(&request);
        }
        let task = tokio::spawn(async move {
            sleep(delay).await;
            self.perform(&request)
        });
        task.await.unwrap_or(ServerReply::Close)
    }

    fn perform(&self, request: &ServerRequest) -> ServerReply {
        let method = &request.method;
        match request.path.as_str() {
            "/v1/table/transact" if method == Method::POST => match request.json::<TableTransaction>() {
                Ok(transaction) => self.table_reply(|table| table.transact(&transaction)),
                Err(reply) => reply,
            },
            "/v1/table/read" if method == Method::POST => match request.json::<ReadQuery>() {
                Ok(query) if query.keys.len() <= MAX_ROWS => self.table_reply(|table| table.read(&query)),
                Ok(_) => ServerReply::text(StatusCode::BAD_REQUEST, "keys: must be at most 256"),
                Err(reply) => reply,
            },
            "/v1/table/scan" if method == Method::POST => match request.json::<ScanQuery>() {
                Ok(query) => self.table_reply(|table| table.scan(&query)),
                Err(reply) => reply,
            },
            "/v1/vms" if method == Method::GET => self.list_vms(request),
            path => match path.strip_prefix("/v1/objects/") {
                Some(key) => self.object_call(method, key, &request.body),
                None => ServerReply::not_found(),
            },
        }
    }

    fn table_reply<T, F>(&self, call: F) -> ServerReply
    where
        T: Serialize,
        F: FnOnce(&mut StandinTable) -> T,
    {
        let mut state = self.state.lock();
        let body = call(&mut state.table);
        // The clock is read under the lock, so that responses have times in the order of their transactions.
        let time = PlatformTime(self.clock.now_ms());
        ServerReply::json(StatusCode::OK, &TableResponse { time, body })
    }

    fn object_call(&self, method: &Method, key: &str, body: &Bytes) -> ServerReply {
        let objects = &mut self.state.lock().objects;
        match *method {
            Method::PUT => {
                objects.insert(key.to_owned(), body.clone());
                ServerReply::text(StatusCode::OK, "")
            }
            Method::GET => match objects.get(key) {
                Some(bytes) => ServerReply::Response(Box::new(Response::new(bytes.clone()))),
                None => ServerReply::not_found(),
            },
            Method::DELETE => match objects.remove(key) {
                Some(_) => ServerReply::text(StatusCode::OK, ""),
                None => ServerReply::not_found(),
            },
            _ => ServerReply::text(StatusCode::METHOD_NOT_ALLOWED, "use PUT, GET or DELETE"),
        }
    }

    fn list_vms(&self, request: &ServerRequest) -> ServerReply {
        let role = request.parameter("role");
        let centre = request.parameter("data_centre");
        let mut state = self.state.lock();
        let as_of = self.clock.now_ms().saturating_sub(state.settings.vm_lag_ms);
        state.vms.prune_before(as_of.saturating_sub(60_000));
        let matches = |vm: &&VmEntry| {
            let vm_role = serde_json::to_value(vm.role).unwrap_or_default();
            role.is_none_or(|role| vm_role == role)
                && centre.is_none_or(|centre| vm.data_centre.as_str() == centre)
        };
        let list = VmList {
            as_of: PlatformTime(as_of),
            vms: state.vms.list_at(as_of).iter().filter(matches).cloned().collect(),
        };
        ServerReply::json(StatusCode::OK, &list)
    }

    fn control(&self, control: &PlatformControl) -> PlatformSettings {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let state = &mut *state;
        state.settings.apply(control);
        state.write_count = 0;
        for entry in &control.add_vms {
            state.vms.add(now_ms, entry.clone());
        }
        for key in &control.leaving_vms {
            state.vms.set_leaving(now_ms, key.role, &key.name);
        }
        for key in &control.remove_vms {
            state.vms.remove(now_ms, key.role, &key.name);
        }
        state.settings.clone()
    }
}

impl PlatformState {
    fn write_fault(&mut self, write: bool) -> WriteFault {
        if !write {
            return WriteFault::None;
        }
        self.write_count += 1;
        let count = self.write_count;
        let delay = self.settings.delay_writes;
        if delay.every > 0 && count.is_multiple_of(delay.every) {
            return WriteFault::Delay(Duration::from_millis(delay.after_ms));
        }
        if self.settings.lose_answers > 0 && count.is_multiple_of(self.settings.lose_answers) {
            return WriteFault::LoseResponse;
        }
        WriteFault::None
    }
}

fn is_write(request: &ServerRequest) -> bool {
    request.path == "/v1/table/transact" || matches!(request.method, Method::PUT | Method::DELETE)
}
