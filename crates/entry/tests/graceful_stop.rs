//! Guards against a planned stop that interrupts work or disconnects callers, with entry daemons in separate
//! processes.

mod harness;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arbutuspick_standins::TaskEnd;
use futures::future::join_all;
use harness::{ApiResponse, OPERATOR, PoolOptions, TestPool, wait_for, wait_until, work_body};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Time after SIGTERM in which the load balancer still sends requests; section 5.9 of the design document.
const BALANCER_LAG: Duration = Duration::from_secs(2);
/// Longest time without a placement holder; section 5.1.
const MAX_TAKEOVER: Duration = Duration::from_secs(6);
/// Longest planned stop: the lag of the load balancer and the limit for requests in flight.
const MAX_STOP: Duration = Duration::from_secs(32);

async fn start() -> TestPool {
    let pool = TestPool::start(PoolOptions::default()).await;
    for entry in 0..pool.entries.len() {
        pool.wait_routing(entry, "parks").await;
    }
    pool
}

fn gang(run_ms: u64) -> Value {
    let payload = json!({"run_ms": run_ms, "output": "whole"}).to_string();
    json!({
        "shape": {"tasks": 3, "accelerators": 8, "adjacency": "rack"}, "idempotent": true,
        "payload": payload,
    })
}

/// Returns the epoch of the placement lease and its deadline in platform time.
fn lease(pool: &TestPool) -> (u64, u64) {
    let row = pool.platform.row("lease/trent").unwrap();
    let row: Value = serde_json::from_str(&row.value).unwrap();
    (row["epoch"].as_u64().unwrap(), row["deadline"].as_u64().unwrap())
}

async fn holds_lease(pool: &TestPool, entry: usize) -> bool {
    let http = pool.entries[entry].http;
    let path = "/v1/operator/workers";
    let response = pool.api.call(http, Method::GET, path, OPERATOR, None, &[]).await;
    let body = response
        .ok()
        .and_then(|response| response.json())
        .unwrap_or_default();
    !body["holder"].is_null()
}

/// Sends requests of 700 ms one after another until `stop_at` is set, and returns the responses.
async fn send_until(
    pool: &TestPool,
    entry: usize,
    caller: usize,
    stop_at: &AtomicBool,
) -> Vec<(String, Result<ApiResponse, String>)> {
    let http = pool.entries[entry].http;
    let mut responses = Vec::new();
    // Bounded, so that the load of a hanging test ends.
    for number in 0..100 {
        if stop_at.load(Ordering::Acquire) {
            break;
        }
        let id = format!("call-{caller}-{number}");
        let mut headers = vec![("x-request-id", id.as_str()), ("x-deadline-ms", "20000")];
        match caller % 3 {
            0 => headers.push(("x-idempotent", "true")),
            1 => headers.push(("idempotency-key", id.as_str())),
            _ => {}
        }
        let response = pool
            .api
            .request(http, "parks", &work_body(&id, 700), &headers)
            .await;
        responses.push((id, response));
    }
    responses
}

/// Guards against a stop that interrupts requests, gangs or waiting callers, keeps the lease or fails.
#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load() {
    let mut pool = start().await;
    let stopping = pool.holder_of("trent").await;
    let other = 1 - stopping;
    let (http, other_http) = (pool.entries[stopping].http, pool.entries[other].http);
    let job = pool.api.submit(http, "parks", &gang(14_000), "gang").await;
    pool.api.wait_state(http, "parks", &job, "running").await;
    let waiter = tokio::spawn({
        let (api, path) = (pool.api.clone(), format!("/v1/jobs/{job}/wait"));
        async move {
            api.call(http, Method::GET, &path, "account:parks", None, &[])
                .await
        }
    });
    let (held_epoch, _) = lease(&pool);
    let lag_over = Arc::new(AtomicBool::new(false));
    let calls = join_all((0..10).map(|caller| send_until(&pool, stopping, caller, &lag_over)));
    let stop = async {
        wait_until("requests run", async || {
            (pool.request_runs("call-9-1") > 0).then_some(())
        })
        .await;
        pool.entries[stopping].terminate();
        let terminated = Instant::now();
        wait_until("readiness fails", async || {
            (!pool.api.is_ready(http).await).then_some(())
        })
        .await;
        assert!(terminated.elapsed() < BALANCER_LAG, "readiness fails too late");
        // A lease that is not released lasts for 4 s after its last renewal.
        wait_until("the lease is released", async || {
            let (epoch, deadline_ms) = lease(&pool);
            (epoch > held_epoch || deadline_ms <= pool.platform.time().0).then_some(())
        })
        .await;
        assert!(
            terminated.elapsed() < BALANCER_LAG,
            "the lease is released too late"
        );
        // A request that is sent just before the lag ends may use a connection that has just been closed.
        let rest = (BALANCER_LAG - Duration::from_millis(300)).saturating_sub(terminated.elapsed());
        wait_for(rest).await;
        lag_over.store(true, Ordering::Release);
        wait_until("another VM holds the lease", async || {
            holds_lease(&pool, other).await.then_some(())
        })
        .await;
        assert!(terminated.elapsed() < MAX_TAKEOVER, "{:?}", terminated.elapsed());
        terminated
    };
    let (responses, terminated) = tokio::join!(calls, stop);
    for (id, response) in responses.into_iter().flatten() {
        let response = response.unwrap_or_else(|error| panic!("{id} was interrupted: {error}"));
        assert_eq!(response.outcome(), "ran", "{id}: {response:?}");
        assert_eq!(response.json().unwrap()["id"], id.as_str(), "{response:?}");
        assert_eq!(pool.request_runs(&id), 1, "{id}: {response:?}");
    }
    let waited = waiter
        .await
        .unwrap()
        .expect("the waiting caller was disconnected");
    assert_eq!(
        (waited.status, &waited.json().unwrap()["continue"]),
        (StatusCode::OK, &json!(job)),
        "{waited:?}"
    );
    assert_eq!(pool.entries[stopping].exit_code().await, 0);
    assert!(terminated.elapsed() < MAX_STOP, "{:?}", terminated.elapsed());
    let status = pool.api.wait_outcome(other_http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    let runs = pool.runs_of(&job);
    assert!(
        runs.len() == 3 && runs.iter().all(|run| run.end == Some(TaskEnd::Finished)),
        "{runs:?}"
    );
}

/// Guards against a stop that ends before a long request has a response, or before its outcome is recorded.
#[tokio::test(flavor = "multi_thread")]
async fn long_request() {
    let mut pool = start().await;
    let http = pool.entries[0].http;
    let calls = ["slow-0", "slow-1", "slow-2"].map(|id| {
        let api = pool.api.clone();
        tokio::spawn(async move {
            let headers = [("idempotency-key", id)];
            let response = api.request(http, "parks", &work_body(id, 9_000), &headers).await;
            (id, response)
        })
    });
    wait_until("the requests run", async || {
        let runs: u64 = ["slow-0", "slow-1", "slow-2"]
            .iter()
            .map(|id| pool.request_runs(id))
            .sum();
        (runs == 3).then_some(())
    })
    .await;
    pool.entries[0].terminate();
    let mut bodies = Vec::new();
    for call in join_all(calls).await {
        let (id, response) = call.unwrap();
        let response = response.unwrap_or_else(|error| panic!("{id} was interrupted: {error}"));
        assert_eq!(response.outcome(), "ran", "{id}: {response:?}");
        bodies.push((id, response.body));
    }
    assert_eq!(pool.entries[0].exit_code().await, 0);
    for (id, body) in bodies {
        let headers = [("idempotency-key", id)];
        let http = pool.entries[1].http;
        let again = pool
            .api
            .request(http, "parks", &work_body(id, 9_000), &headers)
            .await
            .unwrap();
        assert_eq!((again.outcome(), &again.body), ("ran", &body), "{again:?}");
        assert_eq!(pool.request_runs(id), 1);
    }
}

/// Guards against gangs and results that are lost when all entry VMs are restarted one after another.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut pool = start().await;
    let http = pool.entries[0].http;
    let job = pool.api.submit(http, "parks", &gang(15_000), "gang").await;
    pool.api.wait_state(http, "parks", &job, "running").await;
    for entry in 0..pool.entries.len() {
        pool.entries[entry].terminate();
        assert_eq!(pool.entries[entry].exit_code().await, 0);
        pool.entries[entry].start();
        pool.wait_ready().await;
    }
    let status = pool.api.wait_outcome(http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    let runs = pool.runs_of(&job);
    assert!(
        runs.len() == 3 && runs.iter().all(|run| run.end == Some(TaskEnd::Finished)),
        "{runs:?}"
    );
}
