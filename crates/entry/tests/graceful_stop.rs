//! Guards against a planned stop that cuts off work or callers, with entry daemons in processes of their
//! own.

mod harness;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arbutuspick_standins::TaskEnd;
use futures::future::join_all;
use harness::{ApiAnswer, OPERATOR, PoolOptions, TestPool, let_pass, wait_until, work};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Time after SIGTERM in which the balancer still sends requests, by section 5.9 of the design page.
const BALANCER_LAG: Duration = Duration::from_secs(2);
/// Longest time without a placement holder, by section 5.1.
const HOLDER_BOUND: Duration = Duration::from_secs(6);
/// Longest planned stop: the balancer's lag and the limit for requests in flight.
const STOP_BOUND: Duration = Duration::from_secs(32);

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
    let answer = pool.api.call(http, Method::GET, path, OPERATOR, None, &[]).await;
    let body = answer.ok().and_then(|answer| answer.json()).unwrap_or_default();
    !body["holder"].is_null()
}

/// Sends requests of 700 ms one after the other, as long as a balancer would, and returns the answers.
async fn call_until(
    pool: &TestPool,
    entry: usize,
    caller: usize,
    stop_at: &AtomicBool,
) -> Vec<(String, Result<ApiAnswer, String>)> {
    let http = pool.entries[entry].http;
    let mut answers = Vec::new();
    // Bounded, so that a hanging test ends its load.
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
        let answer = pool.api.request(http, "parks", &work(&id, 700), &headers).await;
        answers.push((id, answer));
    }
    answers
}

/// Guards against a stop that cuts off requests, gangs or waiting callers, keeps the lease or fails.
#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load() {
    let mut pool = start().await;
    let victim = pool.holder_of("trent").await;
    let other = 1 - victim;
    let (http, other_http) = (pool.entries[victim].http, pool.entries[other].http);
    let job = pool.api.submit(http, "parks", &gang(14_000), "gang").await;
    pool.api.reach(http, "parks", &job, "running").await;
    let waiter = tokio::spawn({
        let (api, path) = (pool.api.clone(), format!("/v1/jobs/{job}/wait"));
        async move {
            api.call(http, Method::GET, &path, "account:parks", None, &[])
                .await
        }
    });
    let (held_epoch, _) = lease(&pool);
    let lag_over = Arc::new(AtomicBool::new(false));
    let calls = join_all((0..10).map(|caller| call_until(&pool, victim, caller, &lag_over)));
    let stop = async {
        wait_until("requests run", async || {
            (pool.request_runs("call-9-1") > 0).then_some(())
        })
        .await;
        pool.entries[victim].terminate();
        let terminated = Instant::now();
        wait_until("readiness fails", async || {
            (!pool.api.is_ready(http).await).then_some(())
        })
        .await;
        assert!(terminated.elapsed() < BALANCER_LAG, "readiness fails too late");
        // A lease that is not given up lasts for 4 s after its last renewal.
        wait_until("the lease is given up", async || {
            let (epoch, deadline_ms) = lease(&pool);
            (epoch > held_epoch || deadline_ms <= pool.platform.time().0).then_some(())
        })
        .await;
        assert!(
            terminated.elapsed() < BALANCER_LAG,
            "the lease is given up too late"
        );
        // A request that is sent at the very end of the lag may meet a connection that just closed.
        let rest = (BALANCER_LAG - Duration::from_millis(300)).saturating_sub(terminated.elapsed());
        let_pass(rest).await;
        lag_over.store(true, Ordering::Release);
        wait_until("another VM holds the lease", async || {
            holds_lease(&pool, other).await.then_some(())
        })
        .await;
        assert!(terminated.elapsed() < HOLDER_BOUND, "{:?}", terminated.elapsed());
        terminated
    };
    let (answers, terminated) = tokio::join!(calls, stop);
    for (id, answer) in answers.into_iter().flatten() {
        let answer = answer.unwrap_or_else(|error| panic!("{id} was cut off: {error}"));
        assert_eq!(answer.outcome(), "ran", "{id}: {answer:?}");
        assert_eq!(answer.json().unwrap()["id"], id.as_str(), "{answer:?}");
        assert_eq!(pool.request_runs(&id), 1, "{id}: {answer:?}");
    }
    let waited = waiter.await.unwrap().expect("the waiting caller was cut off");
    assert_eq!(
        (waited.status, &waited.json().unwrap()["continue"]),
        (StatusCode::OK, &json!(job)),
        "{waited:?}"
    );
    assert_eq!(pool.entries[victim].exit_code().await, 0);
    assert!(terminated.elapsed() < STOP_BOUND, "{:?}", terminated.elapsed());
    let status = pool.api.outcome(other_http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    let runs = pool.runs_of(&job);
    assert!(
        runs.len() == 3 && runs.iter().all(|run| run.end == Some(TaskEnd::Finished)),
        "{runs:?}"
    );
}

/// Guards against a stop that ends before a long request has its answer, or before its outcome is recorded.
#[tokio::test(flavor = "multi_thread")]
async fn long_request() {
    let mut pool = start().await;
    let http = pool.entries[0].http;
    let calls = ["slow-0", "slow-1", "slow-2"].map(|id| {
        let api = pool.api.clone();
        tokio::spawn(async move {
            let headers = [("idempotency-key", id)];
            let answer = api.request(http, "parks", &work(id, 9_000), &headers).await;
            (id, answer)
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
        let (id, answer) = call.unwrap();
        let answer = answer.unwrap_or_else(|error| panic!("{id} was cut off: {error}"));
        assert_eq!(answer.outcome(), "ran", "{id}: {answer:?}");
        bodies.push((id, answer.body));
    }
    assert_eq!(pool.entries[0].exit_code().await, 0);
    for (id, body) in bodies {
        let headers = [("idempotency-key", id)];
        let http = pool.entries[1].http;
        let again = pool
            .api
            .request(http, "parks", &work(id, 9_000), &headers)
            .await
            .unwrap();
        assert_eq!((again.outcome(), &again.body), ("ran", &body), "{again:?}");
        assert_eq!(pool.request_runs(id), 1);
    }
}

/// Guards against gangs and results that are lost when every entry VM is replaced by a planned stop in turn.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut pool = start().await;
    let http = pool.entries[0].http;
    let job = pool.api.submit(http, "parks", &gang(15_000), "gang").await;
    pool.api.reach(http, "parks", &job, "running").await;
    for entry in 0..pool.entries.len() {
        pool.entries[entry].terminate();
        assert_eq!(pool.entries[entry].exit_code().await, 0);
        pool.entries[entry].start();
        pool.wait_ready().await;
    }
    let status = pool.api.outcome(http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    let runs = pool.runs_of(&job);
    assert!(
        runs.len() == 3 && runs.iter().all(|run| run.end == Some(TaskEnd::Finished)),
        "{runs:?}"
    );
}
