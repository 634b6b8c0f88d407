//! A minimal entry VM with one worker and one upstream, without records and retries, that can inject faults.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{
    AttemptRequest, EpochRequest, MemberAllocation, MemberResult, PartState, PrepareRequest, ProcessClock,
    RenewRequest, StartRequest, UpstreamClient, UpstreamRequest, WorkerClient,
};
use arbutuspick_model::{AttemptNumber, JobId, LeaseEpoch, WorkerTime};
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(5);
const FAR_FUTURE: WorkerTime = WorkerTime(1 << 50);

/// Fault that the entry VM injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryFault {
    None,
    /// Sends every request to the upstream twice.
    RunTwice,
    /// Reports "not run" for jobs that ran.
    DenyRuns,
    /// Drops the last member of every result.
    TruncateResults,
}

struct EntryState {
    worker: WorkerClient,
    upstream: UpstreamClient,
    fault: EntryFault,
    /// Admits one gang at a time, since there is no placement.
    worker_permit: Semaphore,
    jobs: Mutex<HashMap<String, Option<Vec<MemberResult>>>>,
    keys: Mutex<HashSet<String>>,
}

type SharedState = State<Arc<EntryState>>;

pub(crate) async fn start_entry(worker: SocketAddr, upstream: SocketAddr, fault: EntryFault) -> SocketAddr {
    let state = EntryState {
        worker: WorkerClient::new(worker),
        upstream: UpstreamClient::new(upstream, 64),
        fault,
        worker_permit: Semaphore::new(1),
        jobs: Mutex::default(),
        keys: Mutex::default(),
    };
    let app = Router::new()
        .route("/v1/jobs", post(submit))
        .route("/v1/jobs/{id}/wait", get(wait))
        .route("/v1/jobs/{id}/result", get(result))
        .route("/v1/services/{service}/requests", post(request))
        .route("/v1/pool", get(pool))
        .route(
            "/v1/operator/data-centres/{dc}",
            get(async || Json(json!({"order": 7}))),
        )
        .route("/v1/operator/data-centres/{dc}/{order}", post(order))
        .with_state(Arc::new(state));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

async fn submit(State(state): SharedState, Json(body): Json<Value>) -> Response {
    let id = JobId::generate();
    state.jobs.lock().insert(id.to_string(), None);
    tokio::spawn(async move {
        let results = run_gang(&state, id, &body).await;
        state.jobs.lock().insert(id.to_string(), Some(results));
    });
    (StatusCode::ACCEPTED, Json(json!({"job": id, "state": "queued"}))).into_response()
}

async fn run_gang(state: &EntryState, job: JobId, body: &Value) -> Vec<MemberResult> {
    let _permit = state.worker_permit.acquire().await.unwrap();
    let (epoch, attempt) = (LeaseEpoch(1), AttemptNumber(1));
    let tasks = body["shape"]["tasks"].as_u64().unwrap() as u32;
    let prepare = PrepareRequest {
        epoch,
        job,
        attempt,
        members: (0..tasks)
            .map(|index| MemberAllocation {
                index,
                accelerators: 1 << index,
            })
            .collect(),
        cores: 1,
        memory_mib: 1,
        payload: body["payload"].as_str().unwrap().into(),
        checkpointable: false,
        checkpoint: None,
        hold_until: FAR_FUTURE,
    };
    let start = StartRequest {
        epoch,
        job,
        attempt,
        start_before: FAR_FUTURE,
        lease_until: FAR_FUTURE,
    };
    let worker = &state.worker;
    worker
        .epoch(&EpochRequest { epoch }, TIMEOUT)
        .await
        .unwrap()
        .result
        .unwrap();
    worker.prepare(&prepare, TIMEOUT).await.unwrap().result.unwrap();
    worker.start(&start, TIMEOUT).await.unwrap().result.unwrap();
    loop {
        let renew = RenewRequest {
            epoch,
            leases: Vec::new(),
        };
        let status = worker.renew(&renew, TIMEOUT).await.unwrap().result.unwrap();
        if let PartState::Finished { results } = status.parts[0].state.clone() {
            let attempt = AttemptRequest { epoch, job, attempt };
            worker.release(&attempt, TIMEOUT).await.unwrap().result.unwrap();
            return results;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

async fn wait(State(state): SharedState, Path(id): Path<String>) -> Json<Value> {
    let outcome = loop {
        if state.jobs.lock()[&id].is_some() {
            break match state.fault {
                EntryFault::DenyRuns => "not_run",
                _ => "ran",
            };
        }
        sleep(Duration::from_millis(5)).await;
    };
    Json(json!({"job": id, "state": outcome, "attempt": 1, "data_centre": "trent"}))
}

async fn result(State(state): SharedState, Path(id): Path<String>) -> Json<Vec<MemberResult>> {
    let mut results = state.jobs.lock()[&id].clone().unwrap();
    if state.fault == EntryFault::TruncateResults {
        results.pop();
    }
    Json(results)
}

async fn request(State(state): SharedState, headers: HeaderMap, body: Bytes) -> Response {
    if let Some(key) = headers.get("idempotency-key")
        && !state.keys.lock().insert(key.to_str().unwrap().to_owned())
    {
        let outcome = json!({"outcome": "unknown", "reason": "claimed_elsewhere"});
        return with_outcome(
            (StatusCode::GATEWAY_TIMEOUT, Json(outcome)).into_response(),
            "unknown",
        );
    }
    let upstream_request = UpstreamRequest {
        method: Method::POST,
        path: "/".into(),
        headers: HeaderMap::new(),
        body,
        deadline: ProcessClock::new().now() + 5_000,
    };
    if state.fault == EntryFault::RunTwice {
        state.upstream.send(upstream_request.clone()).await.unwrap();
    }
    let answer = state.upstream.send(upstream_request).await.unwrap();
    let outcome = if answer.status == StatusCode::OK {
        "ran"
    } else {
        "not_run"
    };
    with_outcome((answer.status, answer.body).into_response(), outcome)
}

fn with_outcome(mut response: Response, outcome: &'static str) -> Response {
    response
        .headers_mut()
        .insert("x-outcome", HeaderValue::from_static(outcome));
    response
}

async fn pool() -> Json<Value> {
    // Numbers of free cells by level: one accelerator and one whole worker.
    let summary = json!({"free": [1, 0, 0, 1, 0, 0, 0]});
    let out = json!({"data_centre": "severn", "state": "out", "summary": null});
    Json(json!({"data_centres": [out, {"data_centre": "trent", "state": "in", "summary": summary}]}))
}

async fn order(Json(body): Json<Value>) -> Response {
    // 7 is the number of the latest recorded order, on which the next order must be based.
    if body["based_on"] == 7 {
        return Json(json!({"state": "recorded"})).into_response();
    }
    StatusCode::CONFLICT.into_response()
}
