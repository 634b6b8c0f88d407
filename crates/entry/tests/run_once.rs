//! Guards against a non-idempotent request that runs twice for one key, counted at the upstreams, with
//! entry daemons in processes of their own.

mod harness;

use arbutuspick_standins::{PlatformControl, UpstreamControl, WriteDelay};
use futures::future::join_all;
use harness::{ApiAnswer, PoolOptions, TestPool, work};
use hyper::StatusCode;

type Answer = Result<ApiAnswer, String>;

async fn start() -> TestPool {
    let pool = TestPool::start(PoolOptions::default()).await;
    for entry in 0..pool.entries.len() {
        pool.wait_routing(entry, "parks").await;
    }
    pool
}

/// Sends the request of a key, whose body depends on the key only.
async fn keyed(pool: &TestPool, entry: usize, key: &str, work_ms: u64, deadline_ms: &str) -> Answer {
    let http = pool.entries[entry].http;
    let headers = [("idempotency-key", key), ("x-deadline-ms", deadline_ms)];
    pool.api
        .request(http, "parks", &work(key, work_ms), &headers)
        .await
}

fn outcome(answer: &Answer) -> &str {
    answer.as_ref().map_or("", ApiAnswer::outcome)
}

/// Sends every key through both entry VMs at once and returns the answers of each key.
async fn through_both(pool: &TestPool, keys: &[String], work_ms: u64) -> Vec<[Answer; 2]> {
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

/// Checks one key's runs against all answers that its callers got.
fn check_key(pool: &TestPool, key: &str, answers: &[&Answer]) {
    let runs = pool.request_runs(key);
    assert!(runs <= 1, "{key} ran {runs} times: {answers:?}");
    let ran: Vec<&ApiAnswer> = answers
        .iter()
        .filter_map(|answer| answer.as_ref().ok())
        .filter(|answer| answer.outcome() == "ran")
        .collect();
    assert!(
        ran.is_empty() || runs == 1,
        "{key} did not run, but was reported so: {answers:?}"
    );
    for answer in &ran {
        assert_eq!(answer.body, ran[0].body, "{key} has two answers");
    }
}

/// Guards against two entry VMs that both send the request of a key which they get at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn two_vms() {
    let pool = start().await;
    // Small waves stay within the budget of table writes, so that every request can run.
    for wave in 0..12 {
        let keys = keys(&format!("wave-{wave}"), 8);
        let answers = through_both(&pool, &keys, 100).await;
        for (key, [first, second]) in keys.iter().zip(&answers) {
            check_key(&pool, key, &[first, second]);
            for answer in [first, second] {
                assert_eq!(outcome(answer), "ran", "{key}: {answer:?}");
            }
        }
    }
}

/// Guards against a claim whose write took effect without an answer, and whose request is sent by two VMs.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let pool = start().await;
    pool.platform.control(&PlatformControl {
        lose_answers: Some(2),
        ..PlatformControl::default()
    });
    faulty_table(&pool).await;
}

/// Guards against a claim whose write takes effect after its request was given up or run elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn write_late() {
    let pool = start().await;
    pool.platform.control(&PlatformControl {
        delay_writes: Some(WriteDelay {
            every: 3,
            after_ms: 1_500,
        }),
        ..PlatformControl::default()
    });
    faulty_table(&pool).await;
}

/// Sends keys while the table is faulty, and again afterwards.
async fn faulty_table(pool: &TestPool) {
    let keys = keys("slot", 30);
    let during = through_both(pool, &keys, 20).await;
    let repeated = through_both(pool, &keys, 20).await;
    pool.platform.control(&PlatformControl {
        lose_answers: Some(0),
        delay_writes: Some(WriteDelay::default()),
        ..PlatformControl::default()
    });
    let after = through_both(pool, &keys, 20).await;
    let mut ran = 0;
    for (index, key) in keys.iter().enumerate() {
        let answers: Vec<&Answer> = [&during, &repeated, &after]
            .into_iter()
            .flat_map(|answers| &answers[index])
            .collect();
        check_key(pool, key, &answers);
        ran += pool.request_runs(key);
    }
    // Without runs the test would show nothing.
    assert!(ran as usize > keys.len() / 2, "only {ran} requests ran");
}

/// Guards against a request that is sent again after the upstream ran it and closed the connection.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_closes() {
    let pool = start().await;
    pool.control_upstreams(&UpstreamControl {
        close_every: Some(1),
        ..UpstreamControl::default()
    });
    // Few enough that the upstreams are not ejected for their failures.
    let keys = keys("slot", 4);
    let during = through_both(&pool, &keys, 20).await;
    let (http, body) = (pool.entries[0].http, work("plain", 20));
    let plain = pool.api.request(http, "parks", &body, &[]).await;
    pool.control_upstreams(&UpstreamControl {
        close_every: Some(0),
        ..UpstreamControl::default()
    });
    let after = through_both(&pool, &keys, 20).await;
    for (index, key) in keys.iter().enumerate() {
        let answers: Vec<&Answer> = during[index].iter().chain(&after[index]).collect();
        check_key(&pool, key, &answers);
        assert_eq!(pool.request_runs(key), 1, "{key}: {answers:?}");
        for answer in answers {
            assert_eq!(outcome(answer), "unknown", "{key}: {answer:?}");
        }
    }
    assert_eq!(outcome(&plain), "unknown", "{plain:?}");
    assert_eq!(pool.request_runs("plain"), 1);
}

/// Guards against a second run when the caller repeats its key elsewhere after its entry VM died.
#[tokio::test(flavor = "multi_thread")]
async fn vm_killed() {
    let mut pool = start().await;
    let keys = keys("slot", 12);
    let mut lost = 0;
    for round in 0..2 {
        let keys: Vec<String> = keys.iter().map(|key| format!("{key}-{round}")).collect();
        // The VMs take turns, so that a process that was replaced is used as well.
        let (victim, other) = (round, 1 - round);
        let http = pool.entries[victim].http;
        let calls: Vec<_> = keys
            .iter()
            .map(|key| {
                let (api, key) = (pool.api.clone(), key.clone());
                tokio::spawn(async move {
                    let headers = [("idempotency-key", key.as_str())];
                    api.request(http, "parks", &work(&key, 400), &headers).await
                })
            })
            .collect();
        harness::wait_until("some requests run", async || {
            let running = keys.iter().filter(|key| pool.request_runs(key) > 0).count();
            (running >= 4).then_some(())
        })
        .await;
        pool.entries[victim].kill();
        let first: Vec<Answer> = join_all(calls).await.into_iter().map(Result::unwrap).collect();
        let second = join_all(keys.iter().map(|key| keyed(&pool, other, key, 400, "3000"))).await;
        pool.entries[victim].start();
        pool.wait_ready().await;
        pool.wait_routing(victim, "parks").await;
        let third = join_all(keys.iter().map(|key| keyed(&pool, victim, key, 400, "3000"))).await;
        for (index, key) in keys.iter().enumerate() {
            check_key(&pool, key, &[&first[index], &second[index], &third[index]]);
            lost += usize::from(first[index].is_err());
        }
    }
    assert!(lost > 0, "no request was lost with its entry VM");
}

/// Guards against a key that is accepted for another body, at once or after its first request has ended.
#[tokio::test(flavor = "multi_thread")]
async fn other_body() {
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
        let answer = pool
            .api
            .request(entry.http, "parks", &work("other", 0), &headers)
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::CONFLICT, "{answer:?}");
        assert_eq!(
            answer.json().unwrap()["error"]["code"],
            "key_reused",
            "{answer:?}"
        );
    }
}
