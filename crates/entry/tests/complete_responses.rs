//! Guards against responses that are truncated, swapped or lost on their way to the caller, with entry
//! daemons in separate processes.

mod harness;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arbutuspick_clients::VmEntry;
use arbutuspick_standins::{PlatformControl, UpstreamControl};
use futures::future::join_all;
use harness::{ApiResponse, PoolOptions, TestPool, wait_until, work_body};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

async fn start() -> TestPool {
    let pool = TestPool::start(PoolOptions::default()).await;
    for entry in 0..pool.entries.len() {
        pool.wait_routing(entry, "parks").await;
    }
    pool
}

fn sha256(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Checks that a response with the outcome "ran" is complete and belongs to this request.
fn check_response(id: &str, body: &Value, response: &ApiResponse) {
    assert_eq!(response.headers["x-request-id"], id, "{response:?}");
    if response.outcome() != "ran" {
        return;
    }
    let result = response
        .json()
        .unwrap_or_else(|| panic!("{id} got a truncated response: {response:?}"));
    assert_eq!(result["id"], id, "response of another request: {response:?}");
    let digest = sha256(&serde_json::to_vec(body).unwrap());
    assert_eq!(result["digest"], digest, "response to another body: {response:?}");
}

/// An upstream that sends the head and a part of the body of every response, then closes the connection.
///
/// The stand-in cannot do this: with `cut_every` it closes the connection before the head is sent.
struct TruncatingUpstream {
    truncated: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl TruncatingUpstream {
    /// Starts the upstream, adds it to the platform's list and waits until it has truncated a response.
    async fn start(pool: &TestPool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let truncated = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&truncated);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond_truncated(stream, Arc::clone(&counter)));
            }
        });
        let entry = VmEntry {
            name: "trent-booking-900".into(),
            address,
            ..pool.upstreams[0].upstreams[0].entry()
        };
        pool.platform.control(&PlatformControl {
            add_vms: vec![entry],
            ..PlatformControl::default()
        });
        wait_until("a response is truncated", async || {
            let headers = [("x-idempotent", "true"), ("x-deadline-ms", "1000")];
            for entry in &pool.entries {
                let body = work_body("first", 0);
                let _ = pool.api.request(entry.http, "parks", &body, &headers).await;
            }
            (truncated.load(Ordering::Acquire) > 0).then_some(())
        })
        .await;
        Self { truncated, task }
    }
}

impl Drop for TruncatingUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn respond_truncated(mut stream: TcpStream, truncated: Arc<AtomicU64>) {
    let mut request = vec![0; 16 * 1024];
    let Ok(received) = stream.read(&mut request).await else {
        return;
    };
    if request[..received].starts_with(b"GET /health") {
        let _ = stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .await;
        return;
    }
    truncated.fetch_add(1, Ordering::AcqRel);
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 120\r\n\r\n{\"id\":\"call-";
    let _ = stream.write_all(response).await;
    let _ = stream.shutdown().await;
}

/// Guards against a late or truncated response that is sent to its caller or to another one.
#[tokio::test(flavor = "multi_thread")]
async fn late_and_truncated() {
    let pool = start().await;
    let faults = [
        UpstreamControl {
            late_ms: Some(250),
            cut_every: Some(7),
            ..UpstreamControl::default()
        },
        UpstreamControl {
            cut_every: Some(5),
            ..UpstreamControl::default()
        },
    ];
    for (upstream, control) in pool.upstreams[0].upstreams.iter().zip(&faults) {
        upstream.control(control);
    }
    let truncating = TruncatingUpstream::start(&pool).await;
    let (mut ran, mut unknown) = (0, 0);
    for wave in 0..6 {
        let calls = (0..150).map(async |number| {
            let id = format!("call-{wave}-{number}");
            let mut body = work_body(&id, number % 5 * 20);
            // Bodies of different lengths, so that parts of two responses do not form a valid one.
            body["padding"] = "x".repeat(number as usize * 7).into();
            // Some deadlines pass between the run and the late response.
            let deadline = ["200", "300", "600", "3000"][number as usize % 4];
            let mut headers = vec![("x-request-id", id.as_str()), ("x-deadline-ms", deadline)];
            match number % 3 {
                0 => headers.push(("x-idempotent", "true")),
                1 => headers.push(("idempotency-key", id.as_str())),
                _ => {}
            }
            let http = pool.entries[number as usize % 2].http;
            let response = pool.api.request(http, "parks", &body, &headers).await;
            let response = response.unwrap_or_else(|error| panic!("{id} got no response: {error}"));
            check_response(&id, &body, &response);
            response.outcome().to_owned()
        });
        for outcome in join_all(calls).await {
            ran += usize::from(outcome == "ran");
            unknown += usize::from(outcome == "unknown");
        }
    }
    assert!(ran > 50 && unknown > 0, "{ran} ran, {unknown} unknown");
    let truncated = truncating.truncated.load(Ordering::Acquire);
    assert!(truncated > 5, "only {truncated} response bodies were truncated");
}

/// Guards against a recorded response that is replayed to another request, or truncated, at another VM.
#[tokio::test(flavor = "multi_thread")]
async fn replayed_responses() {
    let pool = start().await;
    for entry in [0, 1] {
        let calls = (0..20).map(async |number| {
            let key = format!("slot-{number}");
            let id = format!("call-{entry}-{number}");
            let body = work_body(&key, 20);
            let headers = [("x-request-id", id.as_str()), ("idempotency-key", key.as_str())];
            let http = pool.entries[entry].http;
            let response = pool.api.request(http, "parks", &body, &headers).await.unwrap();
            assert_eq!(response.outcome(), "ran", "{response:?}");
            assert_eq!(response.headers["x-request-id"], id.as_str(), "{response:?}");
            let result = response.json().unwrap();
            assert_eq!(result["id"], key.as_str(), "{response:?}");
            let digest = sha256(&serde_json::to_vec(&body).unwrap());
            assert_eq!(result["digest"], digest, "{response:?}");
        });
        join_all(calls).await;
    }
}

fn job_body(output: &str, run_ms: u64) -> Value {
    let payload = json!({"run_ms": run_ms, "output": output}).to_string();
    json!({"shape": {"tasks": 2, "accelerators": 8}, "idempotent": true, "payload": payload})
}

/// Reads the result of a job, which must exist, and checks that it is complete.
async fn check_result(pool: &TestPool, entry: usize, job: &str, output: &str) {
    let path = format!("/v1/jobs/{job}/result");
    let http = pool.entries[entry].http;
    let response = pool
        .api
        .call(http, Method::GET, &path, "account:parks", None, &[])
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert_eq!(
        response.headers["x-result-sha256"],
        sha256(&response.body).as_str(),
        "{response:?}"
    );
    let members = response.json().unwrap();
    let members = members.as_array().unwrap();
    assert_eq!(members.len(), 2, "{response:?}");
    for member in members {
        assert_eq!(member["output"], output, "result of another job: {response:?}");
    }
}

/// Guards against a result that is lost, truncated or swapped while entry VMs are replaced.
#[tokio::test(flavor = "multi_thread")]
async fn result_survives() {
    let mut pool = start().await;
    let http = pool.entries[0].http;
    let outputs = ["output-0", "output-1"];
    let mut jobs = Vec::new();
    for output in outputs {
        jobs.push(
            pool.api
                .submit(http, "parks", &job_body(output, 2_500), output)
                .await,
        );
    }
    for job in &jobs {
        pool.api.wait_state(http, "parks", job, "running").await;
    }
    // The jobs end while the VM that accepted them is being replaced.
    pool.entries[0].kill();
    let other = pool.entries[1].http;
    for job in &jobs {
        let status = pool.api.wait_outcome(other, "parks", job).await;
        assert_eq!(status["outcome"], "ran", "{status}");
    }
    pool.entries[0].start();
    for (job, output) in jobs.iter().zip(outputs) {
        check_result(&pool, 1, job, output).await;
    }
    pool.wait_ready().await;
    pool.entries[1].kill();
    for (job, output) in jobs.iter().zip(outputs) {
        check_result(&pool, 0, job, output).await;
    }
}

/// Guards against waiting callers that are disconnected, or cannot continue, when their entry VM stops.
#[tokio::test(flavor = "multi_thread")]
async fn waiters_continue() {
    let mut pool = start().await;
    let (first, second) = (pool.entries[0].http, pool.entries[1].http);
    let job = pool
        .api
        .submit(first, "parks", &job_body("output-0", 8_000), "job")
        .await;
    pool.api.wait_state(first, "parks", &job, "running").await;
    let path = format!("/v1/jobs/{job}/wait");
    let waiters: Vec<_> = (0..40)
        .map(|_| {
            let (api, path) = (pool.api.clone(), path.clone());
            tokio::spawn(async move {
                api.call(first, Method::GET, &path, "account:parks", None, &[])
                    .await
            })
        })
        .collect();
    wait_until("the callers wait", async || {
        let path = "/debug/state";
        let state = pool
            .api
            .call(first, Method::GET, path, harness::OPERATOR, None, &[])
            .await
            .ok()?
            .json()?;
        (state["waiters_left"] == 4_096 - 40).then_some(())
    })
    .await;
    pool.entries[0].terminate();
    for waiter in join_all(waiters).await {
        let response = waiter.unwrap().expect("a waiting caller was disconnected");
        assert_eq!(
            (response.status, &response.json().unwrap()["continue"]),
            (StatusCode::OK, &json!(job)),
            "{response:?}"
        );
    }
    let again = (0..40).map(|_| {
        let (api, path) = (pool.api.clone(), path.clone());
        async move {
            api.call(second, Method::GET, &path, "account:parks", None, &[])
                .await
                .unwrap()
        }
    });
    for response in join_all(again).await {
        assert_eq!(response.json().unwrap()["outcome"], "ran", "{response:?}");
    }
    assert_eq!(pool.entries[0].exit_code().await, 0);
    check_result(&pool, 1, &job, "output-0").await;
    assert_eq!(pool.finished_attempts(&job, 2), 1);
}
