//! Guards against a non-idempotent request that runs twice for one key, counted at the upstreams, with
//! entry daemons in separate processes.

mod harness;

use std::collections::BTreeMap;

use arbutuspick_standins::{PlatformControl, UpstreamControl, WriteDelay};
use futures::future::join_all;
use harness::{ApiResponse, PoolOptions, TestPool, work_body};
use hyper::StatusCode;

type CallResult = Result<ApiResponse, String>;

async fn start() -> TestPool {
    let pool = TestPool::start(PoolOptions::default()).await;
    for entry in 0..pool.entries.len() {
        pool.wait_routing(entry, "parks").await;
    }
    pool
}

/// Sends the request of a key, whose body depends only on the key.
async fn keyed(pool: &TestPool, entry: usize, key: &str, work_ms: u64, deadline_ms: &str) -> CallResult {
    let http = pool.entries[entry].http;
    let headers = [("idempotency-key", key), ("x-deadline-ms", deadline_ms)];
    pool.api
        .request(http, "parks", &work_body(key, work_ms), &headers)
        .await
}

fn outcome(response: &CallResult) -> &str {
    response.as_ref().map_or("", ApiResponse::outcome)
}

/// Sends the request of every key to both entry VMs at once and returns the responses of each key.
async fn send_to_both(pool: &TestPool, keys: &[String], work_ms: u64) -> Vec<[CallResult; 2]> {
    let calls = keys.iter().map(async |key| {
        let (first, second) = tokio::join!(
            keyed(pool, 0, key, work_ms, "8000"),
            keyed(pool, 1, key, work_ms, "8000")
        );
        [first, second]
    });
    join_all(calls).await
}

fn keys(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{number}")).collect()
}

/// Checks the runs of a key against all responses to its callers.
fn check_key(pool: &TestPool, key: &str, responses: &[&CallResult]) {
    let runs = pool.request_runs(key);
    assert!(runs <= 1, "{key} ran {runs} times: {responses:?}");
    let ran: Vec<&ApiResponse> = responses
        .iter()
        .filter_map(|response| response.as_ref().ok())
        .filter(|response| response.outcome() == "ran")
        .collect();
    assert!(
        ran.is_empty() || runs == 1,
        "{key} did not run, but was reported so: {responses:?}"
    );
    for response in &ran {
        assert_eq!(response.body, ran[0].body, "{key} has two responses");
    }
}

/// Guards against two entry VMs that both send the request of a key that they receive at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_vms() {
    let pool = start().await;
    // Small waves stay within the rate limit of table writes, so that every request can run.
    for wave in 0..12 {
        let keys = keys(&format!("wave-{wave}"), 8);
        let responses = send_to_both(&pool, &keys, 100).await;
        for (key, [first, second]) in keys.iter().zip(&responses) {
            check_key(&pool, key, &[first, second]);
            for response in [first, second] {
                assert_eq!(outcome(response), "ran", "{key}: {response:?}");
            }
        }
    }
}

/// Guards against a request that two VMs send because its claim took effect and the response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn response_lost() {
    let pool = start().await;
    pool.platform.control(&PlatformControl {
        lose_answers: Some(2),
        ..PlatformControl::default()
    });
    check_faulty_table(&pool).await;
}

/// Guards against a claim that takes effect after its request was abandoned or has run at another VM.
#[tokio::test(flavor = "multi_thread")]
async fn late_write() {
    let pool = start().await;
    pool.platform.control(&PlatformControl {
        delay_writes: Some(WriteDelay {
            every: 3,
            after_ms: 1_500,
        }),
        ..PlatformControl::default()
    });
    check_faulty_table(&pool).await;
}

/// Sends requests while the table is faulty, and again afterwards, and checks their runs.
async fn check_faulty_table(pool: &TestPool) {
    let keys = keys("slot", 30);
    let during = send_to_both(pool, &keys, 20).await;
    let repeated = send_to_both(pool, &keys, 20).await;
    pool.platform.control(&PlatformControl {
        lose_answers: Some(0),
        delay_writes: Some(WriteDelay::default()),
        ..PlatformControl::default()
    });
    let after = send_to_both(pool, &keys, 20).await;
    let mut ran = 0;
    for (index, key) in keys.iter().enumerate() {
        let responses: Vec<&CallResult> = [&during, &repeated, &after]
            .into_iter()
            .flat_map(|responses| &responses[index])
            .collect();
        check_key(pool, key, &responses);
        ran += pool.request_runs(key);
    }
    // If few requests ran, the test would prove nothing.
    let waves = [&during, &repeated, &after].map(|wave| {
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for response in wave.iter().flatten() {
            *reasons.entry(outcome_and_reason(response)).or_default() += 1;
        }
        reasons
    });
    assert!(
        ran as usize > keys.len() / 2,
        "only {ran} requests ran: {waves:?}"
    );
}

/// Returns the outcome of a call with its reason, for messages.
fn outcome_and_reason(response: &CallResult) -> String {
    match response {
        Ok(response) => format!(
            "{} {}",
            response.outcome(),
            String::from_utf8_lossy(&response.body)
        ),
        Err(error) => error.clone(),
    }
}

/// Guards against a request that is retried after the upstream ran it and closed the connection.
#[tokio::test(flavor = "multi_thread")]
async fn connection_closed() {
    let pool = start().await;
    pool.control_upstreams(&UpstreamControl {
        close_every: Some(1),
        ..UpstreamControl::default()
    });
    // Few enough keys that the upstreams are not ejected because of their failures.
    let keys = keys("slot", 4);
    let during = send_to_both(&pool, &keys, 20).await;
    let (http, body) = (pool.entries[0].http, work_body("plain", 20));
    let plain = pool.api.request(http, "parks", &body, &[]).await;
    pool.control_upstreams(&UpstreamControl {
        close_every: Some(0),
        ..UpstreamControl::default()
    });
    let after = send_to_both(&pool, &keys, 20).await;
    for (index, key) in keys.iter().enumerate() {
        let responses: Vec<&CallResult> = during[index].iter().chain(&after[index]).collect();
        check_key(&pool, key, &responses);
        assert_eq!(pool.request_runs(key), 1, "{key}: {responses:?}");
        for response in responses {
            assert_eq!(outcome(response), "unknown", "{key}: {response:?}");
        }
    }
    assert_eq!(outcome(&plain), "unknown", "{plain:?}");
    assert_eq!(pool.request_runs("plain"), 1);
}

/// Guards against a second run when a caller repeats its key at another VM after its entry VM crashed.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let mut pool = start().await;
    let keys = keys("slot", 12);
    let mut lost = 0;
    for round in 0..2 {
        let keys: Vec<String> = keys.iter().map(|key| format!("{key}-{round}")).collect();
        // Each VM is killed once, so that a replaced process is used as well.
        let (killed, other) = (round, 1 - round);
        let http = pool.entries[killed].http;
        let calls: Vec<_> = keys
            .iter()
            .map(|key| {
                let (api, key) = (pool.api.clone(), key.clone());
                tokio::spawn(async move {
                    let headers = [("idempotency-key", key.as_str())];
                    api.request(http, "parks", &work_body(&key, 400), &headers).await
                })
            })
            .collect();
        harness::wait_until("some requests run", async || {
            let running = keys.iter().filter(|key| pool.request_runs(key) > 0).count();
            (running >= 4).then_some(())
        })
        .await;
        pool.entries[killed].kill();
        let first: Vec<CallResult> = join_all(calls).await.into_iter().map(Result::unwrap).collect();
        let second = join_all(keys.iter().map(|key| keyed(&pool, other, key, 400, "3000"))).await;
        pool.entries[killed].start();
        pool.wait_ready().await;
        pool.wait_routing(killed, "parks").await;
        let third = join_all(keys.iter().map(|key| keyed(&pool, killed, key, 400, "3000"))).await;
        for (index, key) in keys.iter().enumerate() {
            check_key(&pool, key, &[&first[index], &second[index], &third[index]]);
            lost += usize::from(first[index].is_err());
        }
    }
    assert!(lost > 0, "no request was lost with its entry VM");
}

/// Guards against a key that is accepted for another body, during or after its first request.
#[tokio::test(flavor = "multi_thread")]
async fn different_body() {
    let pool = start().await;
    let first = keyed(&pool, 0, "slot", 600, "8000");
    let others = async {
        harness::wait_until("the request runs", async || {
            (pool.request_runs("slot") == 1).then_some(())
        })
        .await;
        assert_refused(&pool).await;
    };
    let (first, ()) = tokio::join!(first, others);
    assert_eq!(outcome(&first), "ran", "{first:?}");
    assert_refused(&pool).await;
    assert_eq!((pool.request_runs("slot"), pool.request_runs("other")), (1, 0));
}

async fn assert_refused(pool: &TestPool) {
    for entry in &pool.entries {
        let headers = [("idempotency-key", "slot")];
        let response = pool
            .api
            .request(entry.http, "parks", &work_body("other", 0), &headers)
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::CONFLICT, "{response:?}");
        assert_eq!(
            response.json().unwrap()["error"]["code"],
            "key_reused",
            "{response:?}"
        );
    }
}
