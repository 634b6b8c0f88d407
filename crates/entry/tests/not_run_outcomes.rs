//! Guards against work that runs although the response was "not_run", counted at the workers and the
//! upstreams, with entry daemons in separate processes.

mod harness;

use std::time::Duration;

use arbutuspick_standins::{PlatformControl, UpstreamControl, WorkerControl, WriteDelay};
use futures::future::join_all;
use harness::{ApiResponse, PoolOptions, TestPool, wait_for, wait_until, work_body};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

type CallResult = Result<ApiResponse, String>;

/// How a caller marks a request.
#[derive(Clone, Copy, PartialEq)]
enum RequestMode {
    Idempotent,
    Keyed,
    Plain,
}

const REQUEST_MODES: [RequestMode; 3] = [RequestMode::Idempotent, RequestMode::Keyed, RequestMode::Plain];

async fn start() -> TestPool {
    let pool = TestPool::start(PoolOptions::default()).await;
    for entry in 0..pool.entries.len() {
        pool.wait_routing(entry, "parks").await;
    }
    pool
}

async fn send(
    pool: &TestPool,
    entry: usize,
    id: &str,
    mode: RequestMode,
    work_ms: u64,
    deadline: &str,
) -> CallResult {
    let http = pool.entries[entry].http;
    let mut headers = vec![("x-deadline-ms", deadline)];
    match mode {
        RequestMode::Idempotent => headers.push(("x-idempotent", "true")),
        RequestMode::Keyed => headers.push(("idempotency-key", id)),
        RequestMode::Plain => {}
    }
    pool.api
        .request(http, "parks", &work_body(id, work_ms), &headers)
        .await
}

/// Sends requests of all modes to all entry VMs at once and checks every response.
async fn send_many(
    pool: &TestPool,
    prefix: &str,
    count: usize,
    work_ms: u64,
    deadline: &str,
) -> OutcomeCounts {
    let calls = (0..count).map(async |number| {
        let id = format!("{prefix}-{number}");
        let mode = REQUEST_MODES[number % REQUEST_MODES.len()];
        let entry = number / REQUEST_MODES.len() % pool.entries.len();
        let response = send(pool, entry, &id, mode, work_ms, deadline).await;
        (id, mode, response)
    });
    let responses = join_all(calls).await;
    let mut counts = OutcomeCounts::default();
    for (id, mode, response) in &responses {
        counts.check(pool, id, *mode, response);
    }
    counts
}

/// Number of responses by outcome.
#[derive(Debug, Default)]
struct OutcomeCounts {
    ran: usize,
    not_run: usize,
    unknown: usize,
    lost: usize,
    refused: Vec<String>,
}

impl OutcomeCounts {
    fn check(&mut self, pool: &TestPool, id: &str, mode: RequestMode, response: &CallResult) {
        let runs = pool.request_runs(id);
        let Ok(response) = response else {
            self.lost += 1;
            return;
        };
        match response.outcome() {
            "ran" => {
                self.ran += 1;
                assert!(runs >= 1, "{id} did not run: {response:?}");
            }
            "not_run" => {
                self.not_run += 1;
                self.refused.push(id.to_owned());
                assert_eq!(runs, 0, "{id} ran: {response:?}");
            }
            "unknown" => self.unknown += 1,
            _ => panic!("{id} has no outcome: {response:?}"),
        }
        assert!(
            mode == RequestMode::Idempotent || runs <= 1,
            "{id} ran {runs} times: {response:?}"
        );
    }
}

/// Guards against requests that run after they were refused for a full queue, full upstreams or a deadline.
#[tokio::test(flavor = "multi_thread")]
async fn overload_refuses() {
    let pool = start().await;
    let counts = send_many(&pool, "rush", 900, 150, "1500").await;
    assert!(counts.ran > 0 && counts.not_run > 100, "{counts:?}");
    let again = send_many(&pool, "tight", 200, 200, "250").await;
    assert!(again.not_run > 0, "{again:?}");
    // Refused requests must not run later either.
    for id in counts.refused.iter().chain(&again.refused) {
        assert_eq!(pool.request_runs(id), 0, "{id} ran after its refusal");
    }
}

/// Guards against "not_run" for a request that one upstream ran before another one refused its retry.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_fail() {
    let pool = start().await;
    let faults = [
        [
            UpstreamControl {
                fail: Some(true),
                ..UpstreamControl::default()
            },
            UpstreamControl {
                down: Some(true),
                ..UpstreamControl::default()
            },
        ],
        [
            UpstreamControl {
                close_every: Some(2),
                ..UpstreamControl::default()
            },
            UpstreamControl {
                cut_every: Some(2),
                ..UpstreamControl::default()
            },
        ],
        [
            UpstreamControl {
                close_every: Some(1),
                ..UpstreamControl::default()
            },
            UpstreamControl {
                down: Some(true),
                ..UpstreamControl::default()
            },
        ],
        [
            UpstreamControl {
                late_ms: Some(600),
                ..UpstreamControl::default()
            },
            UpstreamControl {
                fail: Some(true),
                close_every: Some(3),
                ..UpstreamControl::default()
            },
        ],
        [
            UpstreamControl {
                down: Some(true),
                ..UpstreamControl::default()
            },
            UpstreamControl {
                down: Some(true),
                ..UpstreamControl::default()
            },
        ],
    ];
    let mut refused = 0;
    for (round, controls) in faults.iter().enumerate() {
        for (upstream, control) in pool.upstreams[0].upstreams.iter().zip(controls) {
            upstream.control(control);
        }
        for wave in 0..3 {
            let counts = send_many(&pool, &format!("round-{round}-{wave}"), 90, 30, "700").await;
            refused += counts.not_run;
        }
        pool.control_upstreams(&UpstreamControl {
            leaving: None,
            down: Some(false),
            fail: Some(false),
            late_ms: Some(0),
            cut_every: Some(0),
            close_every: Some(0),
        });
    }
    assert!(refused > 0, "no request was refused");
}

/// Guards against requests and jobs that run after they were refused because of a platform outage.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage() {
    let pool = start().await;
    pool.platform.control(&PlatformControl {
        outage: Some(true),
        ..PlatformControl::default()
    });
    let http = pool.entries[0].http;
    let down = send(&pool, 0, "down", RequestMode::Keyed, 10, "8000")
        .await
        .unwrap();
    // Whether an earlier call with the key ran cannot be looked up, so "not run" might be wrong.
    assert_eq!(down.outcome(), "unknown", "{down:?}");
    assert_eq!(down.json().unwrap()["reason"], "key_unresolved", "{down:?}");
    assert!(down.headers.contains_key("retry-after"), "{down:?}");
    let plain = send(&pool, 1, "plain", RequestMode::Plain, 10, "8000")
        .await
        .unwrap();
    assert_eq!(plain.outcome(), "ran", "{plain:?}");
    let mut refused: Vec<String> = Vec::new();
    let job = submit(&pool, http, "outage").await.unwrap();
    assert_eq!(job.outcome(), "unknown", "{job:?}");
    assert_eq!(job.json().unwrap()["reason"], "key_unresolved", "{job:?}");
    refused.push("outage".into());
    for round in 0..3 {
        refused.extend(submit_during_late_writes(&pool, round).await);
    }
    // A job that is submitted now starts after the refused ones would have started.
    let last = wait_until("a job is accepted", async || {
        let response = submit(&pool, http, "last").await.ok()?;
        (response.status == StatusCode::ACCEPTED)
            .then(|| response.json().unwrap()["job"].as_str().unwrap().to_owned())
    })
    .await;
    let status = pool.api.wait_outcome(http, "parks", &last).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    wait_for(Duration::from_secs(2)).await;
    assert_not_started(&pool, &refused);
    assert_eq!(pool.request_runs("down"), 0);
}

/// Submits jobs and requests while writes take effect only after their connection was closed and the
/// platform went down, and returns the refused jobs.
async fn submit_during_late_writes(pool: &TestPool, round: usize) -> Vec<String> {
    let http = pool.entries[0].http;
    pool.platform.control(&PlatformControl {
        outage: Some(false),
        ..PlatformControl::default()
    });
    wait_until("the daemons use the table again", async || {
        let job = submit(pool, http, &format!("again-{round}")).await.ok()?;
        (job.status == StatusCode::ACCEPTED).then_some(())
    })
    .await;
    pool.platform.control(&PlatformControl {
        delay_writes: Some(WriteDelay {
            every: 1,
            after_ms: 1_000,
        }),
        ..PlatformControl::default()
    });
    let outputs: Vec<String> = (0..6).map(|number| format!("job-{round}-{number}")).collect();
    // The first lost response makes a VM back off, so jobs and requests alternate in being sent first.
    let pause = |first: bool| Duration::from_millis(if first { 1 } else { 150 });
    let jobs = async {
        wait_for(pause(round.is_multiple_of(2))).await;
        let calls = outputs.iter().enumerate().map(|(number, output)| {
            let entry = number % pool.entries.len();
            submit(pool, pool.entries[entry].http, output)
        });
        join_all(calls).await
    };
    let prefix = format!("outage-{round}");
    let requests = async {
        wait_for(pause(!round.is_multiple_of(2))).await;
        send_many(pool, &prefix, 24, 20, "4000").await
    };
    let outage = async {
        wait_for(Duration::from_millis(400)).await;
        pool.platform.control(&PlatformControl {
            outage: Some(true),
            ..PlatformControl::default()
        });
    };
    let (responses, counts, ()) = tokio::join!(jobs, requests, outage);
    pool.platform.control(&PlatformControl {
        outage: Some(false),
        delay_writes: Some(WriteDelay::default()),
        ..PlatformControl::default()
    });
    for id in &counts.refused {
        assert_eq!(pool.request_runs(id), 0, "{id} ran after its refusal");
    }
    let refused = |response: &CallResult| {
        response
            .as_ref()
            .is_ok_and(|response| response.outcome() == "not_run")
    };
    let pairs = outputs.into_iter().zip(&responses);
    pairs
        .filter_map(|(output, response)| refused(response).then_some(output))
        .collect()
}

fn job_body(output: &str, run_ms: u64) -> Value {
    let payload = json!({"run_ms": run_ms, "output": output}).to_string();
    json!({"shape": {"tasks": 1, "accelerators": 8}, "payload": payload})
}

async fn submit(pool: &TestPool, http: std::net::SocketAddr, output: &str) -> CallResult {
    let headers = [("idempotency-key", output)];
    let body = job_body(output, 100);
    pool.api
        .call(
            http,
            Method::POST,
            "/v1/jobs",
            "account:parks",
            Some(&body),
            &headers,
        )
        .await
}

fn assert_not_started(pool: &TestPool, outputs: &[String]) {
    let runs = pool.task_runs();
    let started: Vec<_> = runs
        .iter()
        .filter(|run| outputs.iter().any(|output| **output == *run.output))
        .collect();
    assert!(started.is_empty(), "refused jobs ran: {started:?}");
}

/// Guards against requests that run although a stopping entry VM refused them.
#[tokio::test(flavor = "multi_thread")]
async fn stop_refuses() {
    let mut pool = start().await;
    // More requests than slots, so that some are still queued when the queue is closed.
    let calls = (0..400).map(async |number| {
        let id = format!("stop-{number}");
        let mode = REQUEST_MODES[number % REQUEST_MODES.len()];
        let response = send(&pool, 0, &id, mode, 300, "8000").await;
        (id, mode, response)
    });
    let terminate = async {
        wait_until("requests run", async || {
            (pool.request_runs("stop-0") > 0).then_some(())
        })
        .await;
        pool.entries[0].terminate();
    };
    let (responses, ()) = tokio::join!(join_all(calls), terminate);
    let mut counts = OutcomeCounts::default();
    for (id, mode, response) in &responses {
        counts.check(&pool, id, *mode, response);
    }
    assert!(counts.ran > 0 && counts.not_run > 0, "{counts:?}");
    assert_eq!(pool.entries[0].exit_code().await, 0);
}

/// Guards against a job that runs after its cancellation was reported as "not_run".
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_queued() {
    let pool = start().await;
    let (first, second) = (pool.entries[0].http, pool.entries[1].http);
    // Occupies the four workers, so that the other jobs stay queued.
    for number in 0..4 {
        let long = job_body(&format!("long-{number}"), 4_000);
        pool.api
            .submit(first, "parks", &long, &format!("long-{number}"))
            .await;
    }
    let mut jobs = Vec::new();
    for number in 0..16 {
        let output = format!("wave-{number}");
        let job = pool
            .api
            .submit(first, "parks", &job_body(&output, 1_500), &output)
            .await;
        jobs.push((job, output));
    }
    // One half is cancelled while it is queued, the other half about when the workers become free.
    let (waiting, starting) = jobs.split_at(8);
    cancel_all(&pool, second, waiting).await;
    // Slow workers keep a job in the state "starting" while its tasks start.
    for worker in &pool.fleets[0].workers {
        worker.control(&WorkerControl {
            slow_ms: Some(300),
            ..WorkerControl::default()
        });
    }
    wait_until("a job of the second half runs", async || {
        let runs = pool.task_runs();
        let is_of = |output: &str| starting.iter().any(|(_, other)| other == output);
        runs.iter().any(|run| is_of(&run.output)).then_some(())
    })
    .await;
    cancel_all(&pool, second, starting).await;
    let mut refused = Vec::new();
    for (job, output) in &jobs {
        let status = pool.api.wait_outcome(first, "parks", job).await;
        if status["outcome"] == "not_run" {
            refused.push(output.clone());
        }
    }
    assert!(refused.len() >= 8, "{refused:?}");
    let after = pool
        .api
        .submit(first, "parks", &job_body("after", 100), "after")
        .await;
    let status = pool.api.wait_outcome(first, "parks", &after).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    assert_not_started(&pool, &refused);
}

async fn cancel_all(pool: &TestPool, http: std::net::SocketAddr, jobs: &[(String, String)]) {
    let calls = jobs.iter().map(async |(job, _)| {
        let path = format!("/v1/jobs/{job}");
        pool.api
            .call(http, Method::DELETE, &path, "account:parks", None, &[])
            .await
            .unwrap()
    });
    for response in join_all(calls).await {
        let accepted = response.status == StatusCode::ACCEPTED || response.status == StatusCode::CONFLICT;
        assert!(accepted, "{response:?}");
    }
}

/// Guards against a job that fits in no data centre and stays queued for ever, or runs partially.
#[tokio::test(flavor = "multi_thread")]
async fn never_fits() {
    let pool = start().await;
    let http = pool.entries[0].http;
    let shapes = [
        json!({"tasks": 1024, "accelerators": 8}),
        json!({"tasks": 5, "accelerators": 8, "adjacency": "rack"}),
        json!({"tasks": 1, "cores": 60_000, "accelerators": 1}),
    ];
    let mut refused = Vec::new();
    for (number, shape) in shapes.iter().enumerate() {
        let output = format!("never-{number}");
        let payload = json!({"run_ms": 50, "output": output}).to_string();
        let body = json!({"shape": shape, "idempotent": true, "payload": payload});
        let response = pool
            .api
            .call(http, Method::POST, "/v1/jobs", "account:parks", Some(&body), &[])
            .await
            .unwrap();
        if response.status == StatusCode::ACCEPTED {
            let job = response.json().unwrap()["job"].as_str().unwrap().to_owned();
            let status = pool.api.wait_outcome(http, "parks", &job).await;
            assert_eq!(status["outcome"], "not_run", "{status}");
        } else {
            assert_eq!(response.outcome(), "not_run", "{response:?}");
        }
        refused.push(output);
    }
    assert_not_started(&pool, &refused);
}

/// Guards against "not_run" for a request that ran under the same key before the platform went down.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_request() {
    let pool = start().await;
    let first = send(&pool, 0, "slot", RequestMode::Keyed, 10, "8000")
        .await
        .unwrap();
    assert_eq!(
        (first.outcome(), pool.request_runs("slot")),
        ("ran", 1),
        "{first:?}"
    );
    pool.platform.control(&PlatformControl {
        outage: Some(true),
        ..PlatformControl::default()
    });
    // Several rounds, since the response of a VM changes once it has noticed the outage.
    for round in 0..6 {
        let entry = round % pool.entries.len();
        let again = send(&pool, entry, "slot", RequestMode::Keyed, 10, "1000")
            .await
            .unwrap();
        assert_ne!(again.outcome(), "not_run", "round {round}: {again:?}");
    }
}

/// Guards against "not_run" for a job that was recorded under the same key before the platform went down.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_submission() {
    let pool = start().await;
    let http = pool.entries[0].http;
    let job = pool
        .api
        .submit(http, "parks", &job_body("slot", 100), "slot")
        .await;
    let status = pool.api.wait_outcome(http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    pool.platform.control(&PlatformControl {
        outage: Some(true),
        ..PlatformControl::default()
    });
    // Several rounds, since the response of a VM changes once it has noticed the outage.
    for round in 0..4 {
        let calls = pool.entries.iter().flat_map(|entry| [entry.http; 3]);
        for again in join_all(calls.map(|http| submit(&pool, http, "slot"))).await {
            let again = again.unwrap();
            assert_ne!(again.outcome(), "not_run", "round {round}: {again:?}");
        }
    }
}
