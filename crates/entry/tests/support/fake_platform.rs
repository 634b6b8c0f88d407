use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use arbutuspick_clients::{VmEntry, VmList, VmRole};
use arbutuspick_model::{CentreName, PlatformTime, RackName, WorkerCapacity};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{CommitResult, ReadQuery, RowPage, ScanQuery, TableResponse, TableTransaction};
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;

#[derive(Default)]
pub(crate) struct PlatformState {
    pub(crate) table: MemoryTable,
    /// If set, reads return these rows, as a lagging replica would.
    pub(crate) old_rows: Option<MemoryTable>,
    pub(crate) objects: HashMap<String, Bytes>,
    pub(crate) vms: Vec<VmEntry>,
    /// Number of further commits whose responses are lost after they took effect.
    pub(crate) lose_answers: u32,
    /// Number of reads of `config/head`.
    pub(crate) head_reads: u32,
}

#[derive(Clone)]
pub(crate) struct FakePlatform {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<PlatformState>>,
}

impl FakePlatform {
    pub(crate) async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let platform = Self {
            address,
            state: Arc::default(),
        };
        let router = Router::new()
            .route("/v1/table/transact", post(transact))
            .route("/v1/table/read", post(read))
            .route("/v1/table/scan", post(scan))
            .route(
                "/v1/objects/{*key}",
                get(get_object).put(put_object).delete(delete_object),
            )
            .route("/v1/vms", get(list))
            .with_state(platform.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        platform
    }

    pub(crate) fn with<Change, Value>(&self, change: Change) -> Value
    where
        Change: FnOnce(&mut PlatformState) -> Value,
    {
        change(&mut self.state.lock().unwrap())
    }
}

pub(crate) fn now() -> PlatformTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    PlatformTime(elapsed.as_millis() as u64)
}

fn table_response<T>(body: T) -> Json<TableResponse<T>> {
    Json(TableResponse { time: now(), body })
}

async fn transact(
    State(platform): State<FakePlatform>,
    Json(transaction): Json<TableTransaction>,
) -> Result<Json<TableResponse<CommitResult>>, StatusCode> {
    platform.with(|state| {
        let result = state.table.commit(&transaction);
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
            return Err(StatusCode::BAD_GATEWAY);
        }
        Ok(table_response(result))
    })
}

async fn read(
    State(platform): State<FakePlatform>,
    Json(query): Json<ReadQuery>,
) -> Json<TableResponse<RowPage>> {
    platform.with(|state| {
        state.head_reads += u32::from(query.keys.iter().any(|key| &**key == "config/head"));
        table_response(state.old_rows.as_ref().unwrap_or(&state.table).read(&query))
    })
}

async fn scan(
    State(platform): State<FakePlatform>,
    Json(query): Json<ScanQuery>,
) -> Json<TableResponse<RowPage>> {
    platform.with(|state| table_response(state.table.scan(&query)))
}

async fn get_object(
    State(platform): State<FakePlatform>,
    Path(key): Path<String>,
) -> Result<Bytes, StatusCode> {
    platform.with(|state| state.objects.get(&key).cloned().ok_or(StatusCode::NOT_FOUND))
}

async fn put_object(State(platform): State<FakePlatform>, Path(key): Path<String>, body: Bytes) {
    platform.with(|state| state.objects.insert(key, body));
}

async fn delete_object(State(platform): State<FakePlatform>, Path(key): Path<String>) {
    platform.with(|state| state.objects.remove(&key));
}

async fn list(
    State(platform): State<FakePlatform>,
    Query(query): Query<HashMap<String, String>>,
) -> Json<VmList> {
    let role = match query.get("role").map(String::as_str) {
        Some("entry") => VmRole::Entry,
        Some("upstream") => VmRole::Upstream,
        _ => VmRole::Worker,
    };
    let centre = query.get("data_centre");
    let vms = platform.with(|state| {
        let vms = state.vms.iter().filter(|vm| vm.role == role);
        let vms = vms.filter(|vm| centre.is_none_or(|centre| vm.data_centre.as_str() == centre));
        vms.cloned().collect()
    });
    Json(VmList { as_of: now(), vms })
}

/// Returns a full-size worker at an address without a listener.
pub(crate) fn worker_vm(number: usize, centre: &str) -> VmEntry {
    VmEntry {
        name: format!("{centre}-worker-{number}"),
        role: VmRole::Worker,
        data_centre: CentreName::try_from(centre).unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        leaving: false,
        service: None,
        rack: Some(RackName::try_from(format!("{centre}-rack-{}", number / 8)).unwrap()),
        capacity: Some(WorkerCapacity::default()),
    }
}
