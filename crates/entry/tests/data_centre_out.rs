//! Guards against tasks that start in a data centre after operators took it out, whatever fails meanwhile.
//!
//! Every test keeps a backlog of jobs in both data centres, so that a missing check shows as a late start.

mod harness;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_standins::PlatformControl;
use harness::{ApiAnswer, JobLoad, PoolOptions, TestPool, let_pass, wait_until, wall_ms};
use hyper::StatusCode;
use serde_json::json;

/// Time from the commit of an order "out" to the last start that it does not prevent.
const PERMIT_MS: u64 = 2_000;
/// The clocks of the stand-ins and the test round down to milliseconds at different moments.
const CLOCK_ERROR_MS: u64 = 5;
/// Entry VM of the other data centre.
const SEVERN: usize = 2;

async fn start_pool() -> TestPool {
    TestPool::start(PoolOptions {
        centres: vec![("trent", 2), ("severn", 1)],
        upstreams: 0,
        ..PoolOptions::default()
    })
    .await
}

/// Submits jobs of a whole worker each, more than the workers take at once.
fn start_load(pool: &TestPool, entries: Vec<SocketAddr>) -> JobLoad {
    load_of(pool, entries, 8, 40)
}

fn load_of(pool: &TestPool, entries: Vec<SocketAddr>, accelerators: u32, burst: usize) -> JobLoad {
    let job = json!({
        "shape": {"tasks": 1, "accelerators": accelerators}, "idempotent": true,
        "payload": "{\"run_ms\": 250, \"output\": \"done\"}",
    });
    let every = Duration::from_millis(120);
    JobLoad::start(&pool.api, entries, job, burst, every, burst + 200)
}

fn slow_platform(pool: &TestPool, delay_ms: u64) {
    pool.platform.control(&PlatformControl {
        delay_ms: Some(delay_ms),
        ..PlatformControl::default()
    });
}

/// Waits until tasks start in the data centre after this time.
async fn wait_starts(pool: &TestPool, count: usize, after: u64) {
    wait_until("tasks start in trent", async || {
        let runs = pool.centre_runs("trent");
        (runs.iter().filter(|run| run.started_at > after).count() >= count).then_some(())
    })
    .await;
}

/// Checks a recorded order "out" and returns the time from which on it is in force.
fn recorded_out(answer: &ApiAnswer, answered_at: u64) -> u64 {
    let body = answer.json().unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{body}");
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

/// Brings the data centre back, waits for starts in it and checks that every accepted job ran whole.
async fn bring_back(pool: &TestPool, load: JobLoad, based_on: u64) {
    let ordered_at = wall_ms();
    let answer = pool.order(SEVERN, "nia", "trent", "in", based_on).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    wait_starts(pool, 2, ordered_at).await;
    let jobs = load.finish().await;
    assert!(jobs.len() > 40, "only {} jobs were accepted", jobs.len());
    for job in jobs {
        let http = pool.entries[SEVERN].http;
        let status = pool.api.outcome(http, "parks", &job).await;
        assert_eq!(status["outcome"], "ran", "{status}");
        assert!(pool.finished_attempts(&job, 1) >= 1, "{status}");
    }
}

fn all_entries(pool: &TestPool) -> Vec<SocketAddr> {
    pool.entries.iter().map(|entry| entry.http).collect()
}

/// Guards against a start after the order when nothing fails, and against work that stays away afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn no_late_start() {
    let pool = start_pool().await;
    let load = start_load(&pool, all_entries(&pool));
    wait_starts(&pool, 4, 0).await;
    let answer = pool.order(0, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&answer, wall_ms());
    let_pass(Duration::from_secs(6)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, 1).await;
}

/// Guards against a holder that takes missing news for permission while its data centre is cut off from
/// the platform.
#[tokio::test(flavor = "multi_thread")]
async fn centre_cut_off() {
    let pool = start_pool().await;
    let load = start_load(&pool, all_entries(&pool));
    wait_starts(&pool, 4, 0).await;
    let listeners = BTreeSet::from(["trent".to_owned()]);
    pool.platform.control(&PlatformControl {
        closed_listeners: Some(listeners),
        ..PlatformControl::default()
    });
    let answer = pool.order(SEVERN, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&answer, wall_ms());
    let_pass(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    pool.platform.control(&PlatformControl {
        closed_listeners: Some(BTreeSet::new()),
        ..PlatformControl::default()
    });
    // The holder finds a queue and a platform again before it has read the order.
    let_pass(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, 1).await;
}

/// Freezes the placement holder, orders its data centre out, and thaws the holder after this time.
async fn thaw_after(frozen: Duration) {
    let pool = start_pool().await;
    let holder = pool.holder_of("trent").await;
    let entries = vec![pool.entries[1 - holder].http, pool.entries[SEVERN].http];
    let load = start_load(&pool, entries);
    wait_starts(&pool, 4, 0).await;
    // A slow platform, so that the holder is likely to be frozen while it commits a start.
    slow_platform(&pool, 200);
    wait_starts(&pool, 2, wall_ms()).await;
    pool.entries[holder].freeze();
    let answer = pool.order(SEVERN, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&answer, wall_ms());
    let_pass(frozen).await;
    assert_no_start(&pool, in_force_at);
    pool.entries[holder].thaw();
    let_pass(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    slow_platform(&pool, 0);
    bring_back(&pool, load, 1).await;
}

/// Guards against a frozen holder that goes on with its starts while its lease is still valid.
#[tokio::test(flavor = "multi_thread")]
async fn holder_frozen_briefly() {
    thaw_after(Duration::from_millis(2_500)).await;
}

/// Guards against starts by a frozen holder after another one took over, and by the one that took over.
#[tokio::test(flavor = "multi_thread")]
async fn holder_frozen_long() {
    thaw_after(Duration::from_millis(7_500)).await;
}

/// Guards against starts that a holder decides before it has read the order and commits after it.
#[tokio::test(flavor = "multi_thread")]
async fn platform_slow() {
    let pool = start_pool().await;
    let load = load_of(&pool, all_entries(&pool), 2, 120);
    wait_starts(&pool, 16, 0).await;
    slow_platform(&pool, 900);
    // These starts were decided and committed on the slow platform.
    wait_starts(&pool, 8, wall_ms() + 1_000).await;
    let answer = pool.order(SEVERN, "nia", "trent", "out", 0).await;
    let in_force_at = recorded_out(&answer, wall_ms());
    let_pass(Duration::from_secs(6)).await;
    assert_no_start(&pool, in_force_at);
    slow_platform(&pool, 0);
    bring_back(&pool, load, 1).await;
}

/// Guards against two operators who both believe that their order is in force.
#[tokio::test(flavor = "multi_thread")]
async fn orders_at_once() {
    let pool = start_pool().await;
    // A task that keeps running keeps the data centre in the state in which both orders are possible.
    let long = json!({
        "shape": {"tasks": 1, "accelerators": 1}, "payload": "{\"run_ms\": 120000}",
    });
    let trent = pool.entries[0].http;
    wait_until("a long task runs in trent", async || {
        let key = format!("long-{}", wall_ms());
        let job = pool.api.submit(trent, "parks", &long, &key).await;
        pool.api.reach(trent, "parks", &job, "running").await;
        (!pool.centre_runs("trent").is_empty()).then_some(())
    })
    .await;
    let load = start_load(&pool, all_entries(&pool));
    wait_starts(&pool, 4, 0).await;
    let answer = pool.order(0, "nia", "trent", "out", 0).await;
    let mut in_force_at = recorded_out(&answer, wall_ms());
    let mut order = 1;
    for round in 0..6 {
        let (first, second) = if round % 2 == 0 { (0, SEVERN) } else { (SEVERN, 0) };
        let (out, back) = tokio::join!(
            pool.order(first, "nia", "trent", "out", order),
            pool.order(second, "tom", "trent", "in", order),
        );
        let answered_at = wall_ms();
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
            let shown = pool.shown_order(entry, "trent").await.unwrap();
            assert_eq!(
                (&shown["operator"], &shown["order"]),
                (&winner.into(), &order.into())
            );
        }
        if winner == "tom" {
            let answer = pool.order(first, "nia", "trent", "out", order).await;
            in_force_at = recorded_out(&answer, wall_ms());
            order += 1;
        } else {
            recorded_out(&out, answered_at);
        }
    }
    let_pass(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, order).await;
}

/// Guards against an order that is called recorded although the platform did not take it.
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
        let answer = pool.order(entry, "nia", "trent", "out", 0).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        let body = answer.json().unwrap();
        assert_eq!(body["error"]["code"], "platform_unavailable", "{body}");
        assert_ne!(body["recorded"], true, "{body}");
    }
    pool.platform.control(&PlatformControl {
        outage: Some(false),
        ..PlatformControl::default()
    });
    let shown = wait_until("the order is shown", async || pool.shown_order(0, "trent").await).await;
    assert_eq!((&shown["order"], &shown["state"]), (&0.into(), &"in".into()));
    let answer = wait_until("the order is recorded", async || {
        let answer = pool.order(SEVERN, "nia", "trent", "out", 0).await;
        (answer.status != StatusCode::SERVICE_UNAVAILABLE).then_some(answer)
    })
    .await;
    let in_force_at = recorded_out(&answer, wall_ms());
    let_pass(Duration::from_secs(4)).await;
    assert_no_start(&pool, in_force_at);
    bring_back(&pool, load, 1).await;
}
