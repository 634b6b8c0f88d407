//! Guards against tasks that start in a data centre after an order took it out, under various faults.
//!
//! Every test keeps a backlog of jobs in both data centres, so that a missing check results in a late start.

mod harness;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_standins::PlatformControl;
use harness::{ApiResponse, JobLoad, PoolOptions, TestPool, unix_time_ms, wait_for, wait_until};
use hyper::StatusCode;
use serde_json::json;

/// Time after the commit of an order "out" in which starts are still permitted.
const PERMIT_MS: u64 = 2_000;
/// Tolerance: stand-ins and tests round their clocks down to milliseconds at different times.
const CLOCK_ERROR_MS: u64 = 5;
/// Index of the entry VM of the other data centre.
const SEVERN: usize = 2;

async fn start_pool() -> TestPool {
    TestPool::start(PoolOptions {
        centres: vec![("trent", 2), ("severn", 1)],
        upstreams: 0,
        ..PoolOptions::default()
    })
    .await
}

/// Submits jobs that use one worker each, more than there are workers.
fn start_load(pool: &TestPool, entries: Vec<SocketAddr>) -> JobLoad {
    load_of(pool, entries, 8, 40)
}

fn load_of(pool: &TestPool, entries: Vec<SocketAddr>, accelerators: u32, burst: usize) -> JobLoad {
    let job = json!({
        "shape": {"tasks": 1, "accelerators": accelerators}, "idempotent": true,
        "payload": "{\"run_ms\": 250, \"output\": \"done\"}",
    });
    let period = Duration::from_millis(120);
    JobLoad::start(&pool.api, entries, job, burst, period, burst + 200)
}

fn slow_platform(pool: &TestPool, delay_ms: u64) {
    pool.platform.control(&PlatformControl {
        delay_ms: Some(delay_ms),
        ..PlatformControl::default()
    });
}

/// Waits until `count` tasks have started in the data centre after this time.
async fn wait_starts(pool: &TestPool, count: usize, after: u64) {
    wait_until("tasks start in trent", async || {
        let runs = pool.centre_runs("trent");
        (runs.iter().filter(|run| run.started_at > after).count() >= count).then_some(())
    })
    .await;
}

/// Checks the response to a recorded order "out" and returns the time from which on it is in force.
fn recorded_out(response: &ApiResponse, answered_at: u64) -> u64 {
    let body = response.json().unwrap();
    assert_eq!(response.status, StatusCode::OK, "{body}");
    assert_eq!(
        (&body["recorded"], &body["state"]),
        (&true.into(), &"leaving".into())
    );
    let in_force_at = body["in_force_at"].as_u64().unwrap();
    assert!(
        in_force_at <= answered_at + PERMIT_MS + CLOCK_ERROR_MS,
        "{body} came at {answered_at}"
    );
    in_force_at
}

/// Asserts that no task started in the data centre from this time until now.
fn assert_no_start(pool: &TestPool, in_force_at: u64) {
    let mut late = pool.centre_runs("trent");
    late.retain(|run| run.started_at > in_force_at + CLOCK_ERROR_MS);
    assert!(late.is_empty(), "in force at {in_force_at}, started: {late:?}");
}

/// Brings the data centre back, waits for starts in it and checks that every accepted job ran completely.
async fn bring_back(pool: &TestPool, load: JobLoad, based_on: u64) {
    let ordered_at = unix_time_ms();
    let response = pool.order(SEVERN, "nia", "trent", "in", based_on).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    wait_starts(pool, 2, ordered_at).await;
    let jobs = load.finish().await;
    assert!(jobs.len() > 40, "only {} jobs were accepted", jobs.len());
    for job in jobs {
        let http = pool.entries[SEVERN].http;
        let status = pool.api.wait_outcome(http, "parks", &job).await;
        assert_eq!(status["outcome"], "ran", "{status}");
        assert!(pool.finished_attempts(&job, 1) >= 1, "{status}");
    }
}

fn all_entries(pool: &TestPool) -> Vec<SocketAddr> {
    pool.entries.iter().map(|entry| entry.http).collect()
}

/// Guards against a start after the order without any fault, and against no starts after the return.
#[tokio::test(flavor = "multi_thread")]
async fn no_late_start() {
    let pool = start_pool().await;
    let load = start_load(&pool, all_entries(&pool));
    wait_starts(&pool, 4, 0).await;
    let response = pool.order(0, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&response, unix_time_ms());
    wait_for(Duration::from_secs(6)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, 1).await;
}

/// Guards against a holder that continues to start tasks without new information while its data centre is
/// disconnected from the platform.
#[tokio::test(flavor = "multi_thread")]
async fn centre_isolated() {
    let pool = start_pool().await;
    let load = start_load(&pool, all_entries(&pool));
    wait_starts(&pool, 4, 0).await;
    let listeners = BTreeSet::from(["trent".to_owned()]);
    pool.platform.control(&PlatformControl {
        closed_listeners: Some(listeners),
        ..PlatformControl::default()
    });
    let response = pool.order(SEVERN, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&response, unix_time_ms());
    wait_for(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    pool.platform.control(&PlatformControl {
        closed_listeners: Some(BTreeSet::new()),
        ..PlatformControl::default()
    });
    // The holder reaches the platform again and has queued jobs before it has read the order.
    wait_for(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, 1).await;
}

/// Suspends the placement holder, orders its data centre out, and resumes the holder after this time.
async fn resume_after(paused: Duration) {
    let pool = start_pool().await;
    let holder = pool.holder_of("trent").await;
    let entries = vec![pool.entries[1 - holder].http, pool.entries[SEVERN].http];
    let load = start_load(&pool, entries);
    wait_starts(&pool, 4, 0).await;
    // With a slow platform the holder is likely to be suspended while it commits a start.
    slow_platform(&pool, 200);
    wait_starts(&pool, 2, unix_time_ms()).await;
    pool.entries[holder].pause();
    let response = pool.order(SEVERN, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&response, unix_time_ms());
    wait_for(paused).await;
    assert_no_start(&pool, in_force_at);
    pool.entries[holder].resume();
    wait_for(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    slow_platform(&pool, 0);
    bring_back(&pool, load, 1).await;
}

/// Guards against a suspended holder that continues its starts while its lease is still valid.
#[tokio::test(flavor = "multi_thread")]
async fn holder_paused_short() {
    resume_after(Duration::from_millis(2_500)).await;
}

/// Guards against starts by a suspended holder after a takeover, and by the holder that took over.
#[tokio::test(flavor = "multi_thread")]
async fn holder_paused_long() {
    resume_after(Duration::from_millis(7_500)).await;
}

/// Guards against starts that a holder decides before it has read the order and commits afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn platform_slow() {
    let pool = start_pool().await;
    let load = load_of(&pool, all_entries(&pool), 2, 120);
    wait_starts(&pool, 16, 0).await;
    slow_platform(&pool, 900);
    // These starts were decided and committed on the slow platform.
    wait_starts(&pool, 8, unix_time_ms() + 1_000).await;
    let response = pool.order(SEVERN, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&response, unix_time_ms());
    wait_for(Duration::from_secs(6)).await;
    assert_no_start(&pool, in_force_at);
    slow_platform(&pool, 0);
    bring_back(&pool, load, 1).await;
}

/// Guards against two concurrent orders that are both reported as recorded.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_orders() {
    let pool = start_pool().await;
    // A long-running task keeps the data centre in a state in which both orders are permitted.
    let long = json!({
        "shape": {"tasks": 1, "accelerators": 1}, "payload": "{\"run_ms\": 120000}",
    });
    let trent = pool.entries[0].http;
    wait_until("a long task runs in trent", async || {
        let key = format!("long-{}", unix_time_ms());
        let job = pool.api.submit(trent, "parks", &long, &key).await;
        pool.api.wait_state(trent, "parks", &job, "running").await;
        (!pool.centre_runs("trent").is_empty()).then_some(())
    })
    .await;
    let load = start_load(&pool, all_entries(&pool));
    wait_starts(&pool, 4, 0).await;
    let response = pool.order(0, "nia", "trent", "out", 0).await;
    let mut in_force_at = recorded_out(&response, unix_time_ms());
    let mut order = 1;
    for round in 0..6 {
        let (first, second) = if round % 2 == 0 { (0, SEVERN) } else { (SEVERN, 0) };
        let (out, back) = tokio::join!(
            pool.order(first, "nia", "trent", "out", order),
            pool.order(second, "tom", "trent", "in", order),
        );
        let answered_at = unix_time_ms();
        order += 1;
        let (won, lost, winner) = if out.status == StatusCode::OK {
            (&out, &back, "nia")
        } else {
            (&back, &out, "tom")
        };
        assert_eq!(won.status, StatusCode::OK, "{out:?} {back:?}");
        assert_eq!(lost.status, StatusCode::CONFLICT, "{lost:?}");
        let conflict = lost.json().unwrap();
        assert_eq!(conflict["error"]["code"], "order_superseded", "{conflict}");
        let current = &conflict["current"];
        assert_eq!(
            (&current["operator"], &current["order"]),
            (&winner.into(), &order.into())
        );
        for entry in [0, SEVERN] {
            let shown = pool.order_status(entry, "trent").await.unwrap();
            assert_eq!(
                (&shown["operator"], &shown["order"]),
                (&winner.into(), &order.into())
            );
        }
        if winner == "tom" {
            let response = pool.order(first, "nia", "trent", "out", order).await;
            in_force_at = recorded_out(&response, unix_time_ms());
            order += 1;
        } else {
            recorded_out(&out, answered_at);
        }
    }
    wait_for(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, order).await;
}

/// Guards against an order that is reported as recorded although the platform did not commit it.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let pool = start_pool().await;
    let load = start_load(&pool, all_entries(&pool));
    wait_starts(&pool, 4, 0).await;
    pool.platform.control(&PlatformControl {
        outage: Some(true),
        ..PlatformControl::default()
    });
    for entry in [0, SEVERN] {
        let response = pool.order(entry, "nia", "trent", "out", 0).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}");
        let body = response.json().unwrap();
        assert_eq!(body["error"]["code"], "platform_unavailable", "{body}");
        assert_ne!(body["recorded"], true, "{body}");
    }
    pool.platform.control(&PlatformControl {
        outage: Some(false),
        ..PlatformControl::default()
    });
    let shown = wait_until("the order is shown", async || pool.order_status(0, "trent").await).await;
    assert_eq!((&shown["order"], &shown["state"]), (&0.into(), &"in".into()));
    let response = wait_until("the order is recorded", async || {
        let response = pool.order(SEVERN, "nia", "trent", "out", 0).await;
        (response.status != StatusCode::SERVICE_UNAVAILABLE).then_some(response)
    })
    .await;
    let in_force_at = recorded_out(&response, unix_time_ms());
    wait_for(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, 1).await;
}
