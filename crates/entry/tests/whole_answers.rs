//! Guards against answers that are cut, mixed up or lost on their way to the caller, with entry daemons in
//! processes of their own.

mod harness;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arbutuspick_clients::VmEntry;
use arbutuspick_standins::{PlatformControl, UpstreamControl};
use futures::future::join_all;
use harness::{ApiAnswer, PoolOptions, TestPool, wait_until, work};
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

/// Checks that an answer that is said to have run is whole and belongs to this request.
fn check_answer(id: &str, body: &Value, answer: &ApiAnswer) {
    assert_eq!(answer.headers["x-request-id"], id, "{answer:?}");
    if answer.outcome() != "ran" {
        return;
    }
    let result = answer
        .json()
        .unwrap_or_else(|| panic!("{id} got a cut answer: {answer:?}"));
    assert_eq!(result["id"], id, "answer of another request: {answer:?}");
    let digest = sha256(&serde_json::to_vec(body).unwrap());
    assert_eq!(result["digest"], digest, "answer to another body: {answer:?}");
}

/// An upstream that sends the head and a part of the body of every answer and closes the connection.
///
/// The stand-in with `cut_every` closes it before the head has left its buffer.
struct CutUpstream {
    cut: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl CutUpstream {
    /// Starts the upstream, lists it and waits until both entry VMs have sent requests to it.
    async fn start(pool: &TestPool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&cut);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_cut(stream, Arc::clone(&counter)));
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
        wait_until("an answer is cut", async || {
            let headers = [("x-idempotent", "true"), ("x-deadline-ms", "1000")];
            for entry in &pool.entries {
                let body = work("first", 0);
                let _ = pool.api.request(entry.http, "parks", &body, &headers).await;
            }
            (cut.load(Ordering::Acquire) > 0).then_some(())
        })
        .await;
        Self { cut, task }
    }
}

impl Drop for CutUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer_cut(mut stream: TcpStream, cut: Arc<AtomicU64>) {
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
    cut.fetch_add(1, Ordering::AcqRel);
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 120\r\n\r\n{\"id\":\"call-";
    let _ = stream.write_all(answer).await;
    let _ = stream.shutdown().await;
}

/// Guards against an answer that comes late or in part and is given to its caller or to another one.
#[tokio::test(flavor = "multi_thread")]
async fn late_and_cut() {
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
    let cutter = CutUpstream::start(&pool).await;
    let (mut ran, mut unknown) = (0, 0);
    for wave in 0..6 {
        let calls = (0..150).map(async |number| {
            let id = format!("call-{wave}-{number}");
            let mut body = work(&id, number % 5 * 20);
            // Bodies of different lengths, so that parts of two answers do not fit together.
            body["padding"] = "x".repeat(number as usize * 7).into();
            // Some deadlines pass between the run and the late answer.
            let deadline = ["200", "300", "600", "3000"][number as usize % 4];
            let mut headers = vec![("x-request-id", id.as_str()), ("x-deadline-ms", deadline)];
            match number % 3 {
                0 => headers.push(("x-idempotent", "true")),
                1 => headers.push(("idempotency-key", id.as_str())),
                _ => {}
            }
            let http = pool.entries[number as usize % 2].http;
            let answer = pool.api.request(http, "parks", &body, &headers).await;
            let answer = answer.unwrap_or_else(|error| panic!("{id} got no answer: {error}"));
            check_answer(&id, &body, &answer);
            answer.outcome().to_owned()
        });
        for outcome in join_all(calls).await {
            ran += usize::from(outcome == "ran");
            unknown += usize::from(outcome == "unknown");
        }
    }
    assert!(ran > 50 && unknown > 0, "{ran} ran, {unknown} unknown");
    let cut = cutter.cut.load(Ordering::Acquire);
    assert!(cut > 5, "only {cut} answers were cut in their bodies");
}

/// Guards against a recorded answer that is replayed to another request or in part at another entry VM.
#[tokio::test(flavor = "multi_thread")]
async fn replayed_answers() {
    let pool = start().await;
    for entry in [0, 1] {
        let calls = (0..20).map(async |number| {
            let key = format!("slot-{number}");
            let id = format!("call-{entry}-{number}");
            let body = work(&key, 20);
            let headers = [("x-request-id", id.as_str()), ("idempotency-key", key.as_str())];
            let http = pool.entries[entry].http;
            let answer = pool.api.request(http, "parks", &body, &headers).await.unwrap();
            assert_eq!(answer.outcome(), "ran", "{answer:?}");
            assert_eq!(answer.headers["x-request-id"], id.as_str(), "{answer:?}");
            let result = answer.json().unwrap();
            assert_eq!(result["id"], key.as_str(), "{answer:?}");
            let digest = sha256(&serde_json::to_vec(&body).unwrap());
            assert_eq!(result["digest"], digest, "{answer:?}");
        });
        join_all(calls).await;
    }
}

fn job_body(output: &str, run_ms: u64) -> Value {
    let payload = json!({"run_ms": run_ms, "output": output}).to_string();
    json!({"shape": {"tasks": 2, "accelerators": 8}, "idempotent": true, "payload": payload})
}

/// Reads the result of a job, which has to be there, and checks that it is whole.
async fn check_result(pool: &TestPool, entry: usize, job: &str, output: &str) {
    let path = format!("/v1/jobs/{job}/result");
    let http = pool.entries[entry].http;
    let answer = pool
        .api
        .call(http, Method::GET, &path, "account:parks", None, &[])
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(
        answer.headers["x-result-sha256"],
        sha256(&answer.body).as_str(),
        "{answer:?}"
    );
    let members = answer.json().unwrap();
    let members = members.as_array().unwrap();
    assert_eq!(members.len(), 2, "{answer:?}");
    for member in members {
        assert_eq!(member["output"], output, "not the own result: {answer:?}");
    }
}

/// Guards against a result that is lost, cut or swapped while entry VMs are replaced.
#[tokio::test(flavor = "multi_thread")]
async fn result_elsewhere() {
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
        pool.api.reach(http, "parks", job, "running").await;
    }
    // The results arrive while the VM that took the jobs is replaced.
    pool.entries[0].kill();
    let other = pool.entries[1].http;
    for job in &jobs {
        let status = pool.api.outcome(other, "parks", job).await;
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

/// Guards against callers who wait for a job and are cut off, or cannot go on, when their entry VM stops.
#[tokio::test(flavor = "multi_thread")]
async fn waiters_continue() {
    let mut pool = start().await;
    let (first, second) = (pool.entries[0].http, pool.entries[1].http);
    let job = pool
        .api
        .submit(first, "parks", &job_body("output-0", 8_000), "job")
        .await;
    pool.api.reach(first, "parks", &job, "running").await;
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
        let answer = waiter.unwrap().expect("a waiting caller was cut off");
        assert_eq!(
            (answer.status, &answer.json().unwrap()["continue"]),
            (StatusCode::OK, &json!(job)),
            "{answer:?}"
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
    for answer in join_all(again).await {
        assert_eq!(answer.json().unwrap()["outcome"], "ran", "{answer:?}");
    }
    assert_eq!(pool.entries[0].exit_code().await, 0);
    check_result(&pool, 1, &job, "output-0").await;
    assert_eq!(pool.finished_attempts(&job, 2), 1);
}
