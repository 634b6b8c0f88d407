//! Guards against work that runs although its caller was told "not_run", counted at the workers and at the
//! upstreams, with entry daemons in processes of their own.

mod harness;

use std::time::Duration;

use arbutuspick_standins::{PlatformControl, UpstreamControl, WorkerControl, WriteDelay};
use futures::future::join_all;
use harness::{ApiAnswer, PoolOptions, TestPool, let_pass, wait_until, work};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

type Answer = Result<ApiAnswer, String>;

/// How a caller marks its request.
#[derive(Clone, Copy, PartialEq)]
enum Marking {
    Idempotent,
    Keyed,
    Plain,
}

const MARKINGS: [Marking; 3] = [Marking::Idempotent, Marking::Keyed, Marking::Plain];

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
    marking: Marking,
    work_ms: u64,
    deadline: &str,
) -> Answer {
    let http = pool.entries[entry].http;
    let mut headers = vec![("x-deadline-ms", deadline)];
    match marking {
        Marking::Idempotent => headers.push(("x-idempotent", "true")),
        Marking::Keyed => headers.push(("idempotency-key", id)),
        Marking::Plain => {}
    }
    pool.api
        .request(http, "parks", &work(id, work_ms), &headers)
        .await
}

/// Sends requests of all markings through all entry VMs at once and checks every answer.
async fn send_many(pool: &TestPool, prefix: &str, count: usize, work_ms: u64, deadline: &str) -> Tally {
    let calls = (0..count).map(async |number| {
        let id = format!("{prefix}-{number}");
        let marking = MARKINGS[number % MARKINGS.len()];
        let entry = number / MARKINGS.len() % pool.entries.len();
        let answer = send(pool, entry, &id, marking, work_ms, deadline).await;
        (id, marking, answer)
    });
    let answers = join_all(calls).await;
    let mut tally = Tally::default();
    for (id, marking, answer) in &answers {
        tally.check(pool, id, *marking, answer);
    }
    tally
}

/// Numbers of answers by outcome.
#[derive(Debug, Default)]
struct Tally {
    ran: usize,
    not_run: usize,
    unknown: usize,
    lost: usize,
    refused: Vec<String>,
}

impl Tally {
    fn check(&mut self, pool: &TestPool, id: &str, marking: Marking, answer: &Answer) {
        let runs = pool.request_runs(id);
        let Ok(answer) = answer else {
            self.lost += 1;
            return;
        };
        match answer.outcome() {
            "ran" => {
                self.ran += 1;
                assert!(runs >= 1, "{id} did not run: {answer:?}");
            }
            "not_run" => {
                self.not_run += 1;
                self.refused.push(id.to_owned());
                assert_eq!(runs, 0, "{id} ran: {answer:?}");
            }
            "unknown" => self.unknown += 1,
            _ => panic!("{id} has no outcome: {answer:?}"),
        }
        assert!(
            marking == Marking::Idempotent || runs <= 1,
            "{id} ran {runs} times: {answer:?}"
        );
    }
}

/// Guards against refusals of a full queue, full upstreams and passed deadlines whose requests run.
#[tokio::test(flavor = "multi_thread")]
async fn overload_refuses() {
    let pool = start().await;
    let tally = send_many(&pool, "rush", 900, 150, "1500").await;
    assert!(tally.ran > 0 && tally.not_run > 100, "{tally:?}");
    let again = send_many(&pool, "tight", 200, 200, "250").await;
    assert!(again.not_run > 0, "{again:?}");
    // Requests that were refused must not run later either.
    for id in tally.refused.iter().chain(&again.refused) {
        assert_eq!(pool.request_runs(id), 0, "{id} ran after its refusal");
    }
}

/// Guards against "not_run" for a request that one upstream ran before another refused its repetition.
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
            let tally = send_many(&pool, &format!("round-{round}-{wave}"), 90, 30, "700").await;
            refused += tally.not_run;
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

/// Guards against requests and jobs that run after they were refused for an outage of the platform.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage() {
    let pool = start().await;
    pool.platform.control(&PlatformControl {
        outage: Some(true),
        ..PlatformControl::default()
    });
    let http = pool.entries[0].http;
    let down = send(&pool, 0, "down", Marking::Keyed, 10, "8000").await.unwrap();
    // Whether an earlier call with the key ran cannot be looked up now, so "not run" would be no truth.
    assert_eq!(down.outcome(), "unknown", "{down:?}");
    assert_eq!(down.json().unwrap()["reason"], "key_unresolved", "{down:?}");
    assert!(down.headers.contains_key("retry-after"), "{down:?}");
    let plain = send(&pool, 1, "plain", Marking::Plain, 10, "8000").await.unwrap();
    assert_eq!(plain.outcome(), "ran", "{plain:?}");
    let mut refused: Vec<String> = Vec::new();
    let job = submit(&pool, http, "outage").await.unwrap();
    assert_eq!(job.outcome(), "unknown", "{job:?}");
    assert_eq!(job.json().unwrap()["reason"], "key_unresolved", "{job:?}");
    refused.push("outage".into());
    for round in 0..3 {
        refused.extend(cut_writes(&pool, round).await);
    }
    // A job that is submitted now starts after those that were refused could have started.
    let last = wait_until("a job is accepted", async || {
        let answer = submit(&pool, http, "last").await.ok()?;
        (answer.status == StatusCode::ACCEPTED)
            .then(|| answer.json().unwrap()["job"].as_str().unwrap().to_owned())
    })
    .await;
    let status = pool.api.outcome(http, "parks", &last).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    let_pass(Duration::from_secs(2)).await;
    assert_unstarted(&pool, &refused);
    assert_eq!(pool.request_runs("down"), 0);
}

/// Lets writes take effect after their connection was closed and the platform went down, and returns the
/// jobs that were refused.
async fn cut_writes(pool: &TestPool, round: usize) -> Vec<String> {
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
    // The first lost answer makes a VM back off, so jobs and requests take turns at being first.
    let pause = |first: bool| Duration::from_millis(if first { 1 } else { 150 });
    let jobs = async {
        let_pass(pause(round.is_multiple_of(2))).await;
        let calls = outputs.iter().enumerate().map(|(number, output)| {
            let entry = number % pool.entries.len();
            submit(pool, pool.entries[entry].http, output)
        });
        join_all(calls).await
    };
    let prefix = format!("outage-{round}");
    let requests = async {
        let_pass(pause(!round.is_multiple_of(2))).await;
        send_many(pool, &prefix, 24, 20, "4000").await
    };
    let outage = async {
        let_pass(Duration::from_millis(400)).await;
        pool.platform.control(&PlatformControl {
            outage: Some(true),
            ..PlatformControl::default()
        });
    };
    let (answers, tally, ()) = tokio::join!(jobs, requests, outage);
    pool.platform.control(&PlatformControl {
        outage: Some(false),
        delay_writes: Some(WriteDelay::default()),
        ..PlatformControl::default()
    });
    for id in &tally.refused {
        assert_eq!(pool.request_runs(id), 0, "{id} ran after its refusal");
    }
    let refused = |answer: &Answer| answer.as_ref().is_ok_and(|answer| answer.outcome() == "not_run");
    let pairs = outputs.into_iter().zip(&answers);
    pairs
        .filter_map(|(output, answer)| refused(answer).then_some(output))
        .collect()
}

fn job_body(output: &str, run_ms: u64) -> Value {
    let payload = json!({"run_ms": run_ms, "output": output}).to_string();
    json!({"shape": {"tasks": 1, "accelerators": 8}, "payload": payload})
}

async fn submit(pool: &TestPool, http: std::net::SocketAddr, output: &str) -> Answer {
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

fn assert_unstarted(pool: &TestPool, outputs: &[String]) {
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
    // More work than the slots, so that some requests still wait when the queue is closed.
    let calls = (0..400).map(async |number| {
        let id = format!("stop-{number}");
        let marking = MARKINGS[number % MARKINGS.len()];
        let answer = send(&pool, 0, &id, marking, 300, "8000").await;
        (id, marking, answer)
    });
    let terminate = async {
        wait_until("requests run", async || {
            (pool.request_runs("stop-0") > 0).then_some(())
        })
        .await;
        pool.entries[0].terminate();
    };
    let (answers, ()) = tokio::join!(join_all(calls), terminate);
    let mut tally = Tally::default();
    for (id, marking, answer) in &answers {
        tally.check(&pool, id, *marking, answer);
    }
    assert!(tally.ran > 0 && tally.not_run > 0, "{tally:?}");
    assert_eq!(pool.entries[0].exit_code().await, 0);
}

/// Guards against a job that runs after its cancellation was reported as "not_run".
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_queued() {
    let pool = start().await;
    let (first, second) = (pool.entries[0].http, pool.entries[1].http);
    // Fills the four workers, so that the others wait.
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
    // One half is cancelled while it waits, the other half about when the workers become free.
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
        let status = pool.api.outcome(first, "parks", job).await;
        if status["outcome"] == "not_run" {
            refused.push(output.clone());
        }
    }
    assert!(refused.len() >= 8, "{refused:?}");
    let after = pool
        .api
        .submit(first, "parks", &job_body("after", 100), "after")
        .await;
    let status = pool.api.outcome(first, "parks", &after).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    assert_unstarted(&pool, &refused);
}

async fn cancel_all(pool: &TestPool, http: std::net::SocketAddr, jobs: &[(String, String)]) {
    let calls = jobs.iter().map(async |(job, _)| {
        let path = format!("/v1/jobs/{job}");
        pool.api
            .call(http, Method::DELETE, &path, "account:parks", None, &[])
            .await
            .unwrap()
    });
    for answer in join_all(calls).await {
        let accepted = answer.status == StatusCode::ACCEPTED || answer.status == StatusCode::CONFLICT;
        assert!(accepted, "{answer:?}");
    }
}

/// Guards against a job that fits nowhere and is kept for ever, or runs in part.
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
        let answer = pool
            .api
            .call(http, Method::POST, "/v1/jobs", "account:parks", Some(&body), &[])
            .await
            .unwrap();
        if answer.status == StatusCode::ACCEPTED {
            let job = answer.json().unwrap()["job"].as_str().unwrap().to_owned();
            let status = pool.api.outcome(http, "parks", &job).await;
            assert_eq!(status["outcome"], "not_run", "{status}");
        } else {
            assert_eq!(answer.outcome(), "not_run", "{answer:?}");
        }
        refused.push(output);
    }
    assert_unstarted(&pool, &refused);
}

/// Guards against "not_run" for a request that ran under the same key before the platform went down.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_request() {
    let pool = start().await;
    let first = send(&pool, 0, "slot", Marking::Keyed, 10, "8000").await.unwrap();
    assert_eq!(
        (first.outcome(), pool.request_runs("slot")),
        ("ran", 1),
        "{first:?}"
    );
    pool.platform.control(&PlatformControl {
        outage: Some(true),
        ..PlatformControl::default()
    });
    // Several rounds, since a VM answers in another way once it knows of the outage.
    for round in 0..6 {
        let entry = round % pool.entries.len();
        let again = send(&pool, entry, "slot", Marking::Keyed, 10, "1000")
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
    let status = pool.api.outcome(http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    pool.platform.control(&PlatformControl {
        outage: Some(true),
        ..PlatformControl::default()
    });
    // Several rounds, since a VM answers in another way once it knows of the outage.
    for round in 0..4 {
        let calls = pool.entries.iter().flat_map(|entry| [entry.http; 3]);
        for again in join_all(calls.map(|http| submit(&pool, http, "slot"))).await {
            let again = again.unwrap();
            assert_ne!(again.outcome(), "not_run", "round {round}: {again:?}");
        }
    }
}
