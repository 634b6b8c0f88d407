//! Guards against guarantees that are not reclaimed from borrowers within the guaranteed time.
//!
//! In every test an account without a guarantee occupies all workers with jobs that outlast the test.

mod harness;

use std::time::Duration;

use arbutuspick_standins::{PlatformControl, TaskEnd, TaskRun, WorkerControl};
use harness::{PoolOptions, TestPool, unix_time_ms, wait_for, wait_until};
use serde_json::{Value, json};

/// Longest time until a guaranteed job starts: a grace period of 10 s and the gang lease of 15 s.
const MAX_RECLAIM_MS: u64 = 25_000;
/// Longest time until an urgent guaranteed job starts if all workers respond.
const MAX_URGENT_START_MS: u64 = 2_300;
/// Longest time without a placement holder after one has crashed.
const MAX_TAKEOVER_MS: u64 = 6_000;

/// Starts a pool of 4 workers in which `canopy` has `cells` guaranteed cells and `parks` has none.
async fn start_pool(accelerators: u32, cells: u32) -> TestPool {
    TestPool::start(PoolOptions {
        upstreams: 0,
        accounts: vec![("parks", "trent", 0, 0), ("canopy", "trent", accelerators, cells)],
        ..PoolOptions::default()
    })
    .await
}

fn long_job(accelerators: u32, checkpointable: bool, idempotent: bool) -> Value {
    json!({
        "shape": {"tasks": 1, "accelerators": accelerators},
        "checkpointable": checkpointable, "idempotent": idempotent, "payload": "{\"run_ms\": 90000}",
    })
}

fn guaranteed_job(tasks: u32, class: &str) -> Value {
    json!({
        "shape": {"tasks": tasks, "accelerators": 8, "adjacency": "rack"}, "class": class,
        "payload": "{\"run_ms\": 1000, \"output\": \"done\"}",
    })
}

/// Occupies every accelerator with borrowers of different sizes and returns those that can checkpoint.
async fn fill_workers(pool: &TestPool, entry: usize) -> Vec<String> {
    let http = pool.entries[entry].http;
    let kinds = [
        (long_job(8, true, false), 1),
        (long_job(8, false, true), 1),
        (long_job(4, true, false), 2),
        (long_job(1, false, true), 4),
        (long_job(1, true, true), 4),
    ];
    let mut checkpointable = Vec::new();
    for (kind, (job, count)) in kinds.iter().enumerate() {
        for number in 0..*count {
            let key = format!("borrower-{kind}-{number}");
            let id = pool.api.submit(http, "parks", job, &key).await;
            pool.api.wait_state(http, "parks", &id, "running").await;
            if job["checkpointable"] == true {
                checkpointable.push(id);
            }
        }
    }
    assert_eq!(pool.task_runs().len(), 12);
    checkpointable
}

/// Makes every checkpoint fail, so that borrowers use the whole grace period.
fn fail_checkpoints(pool: &TestPool) {
    pool.platform.control(&PlatformControl {
        object_outage: Some(true),
        ..PlatformControl::default()
    });
}

/// Waits until every task of a guaranteed job has started, and asserts that this took at most `bound_ms`.
async fn assert_starts(pool: &TestPool, job: &str, tasks: usize, accepted_at: u64, bound_ms: u64) {
    let started = wait_until("the guaranteed job starts", async || {
        let runs = pool.runs_of(job);
        let attempt = runs.iter().map(|run| run.attempt).max()?;
        let runs: Vec<TaskRun> = runs.into_iter().filter(|run| run.attempt == attempt).collect();
        let first = runs.iter().map(|run| run.started_at).max();
        first.filter(|_| runs.len() == tasks)
    })
    .await;
    let taken = started.saturating_sub(accepted_at);
    println!("started after {taken} ms");
    assert!(taken <= bound_ms, "started after {taken} ms");
}

/// Guards against a guaranteed job that waits for borrowers longer than the grace period, and against
/// borrowers that lose their progress although they can checkpoint.
#[tokio::test(flavor = "multi_thread")]
async fn standard_starts() {
    let pool = start_pool(16, 1).await;
    let http = pool.entries[0].http;
    let borrowers = fill_workers(&pool, 0).await;
    let job = guaranteed_job(2, "standard");
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    assert_starts(&pool, &job, 2, unix_time_ms(), MAX_RECLAIM_MS).await;
    let status = pool.api.wait_outcome(http, "canopy", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    for job in borrowers {
        let stopped = pool
            .runs_of(&job)
            .iter()
            .any(|run| run.end == Some(TaskEnd::Stopped));
        if stopped {
            let resumed = async || {
                let runs = pool.runs_of(&job);
                runs.iter().find(|run| run.resumed_ms > Some(0)).map(|_| ())
            };
            wait_until("a borrower resumes from its checkpoint", resumed).await;
        }
        let status = pool.api.status(http, "parks", &job).await.unwrap();
        assert_eq!(status["outcome"], Value::Null, "{status}");
    }
}

/// Guards against borrowers that keep their cells after the grace period because their checkpoints fail.
#[tokio::test(flavor = "multi_thread")]
async fn checkpoints_fail() {
    let pool = start_pool(16, 1).await;
    fill_workers(&pool, 0).await;
    fail_checkpoints(&pool);
    let job = guaranteed_job(2, "standard");
    let http = pool.entries[0].http;
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    assert_starts(&pool, &job, 2, unix_time_ms(), MAX_RECLAIM_MS).await;
}

/// Guards against an urgent guaranteed job that waits for the grace period of standard jobs.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_starts() {
    let pool = start_pool(16, 1).await;
    fill_workers(&pool, 0).await;
    fail_checkpoints(&pool);
    let job = guaranteed_job(2, "urgent");
    let http = pool.entries[0].http;
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    assert_starts(&pool, &job, 2, unix_time_ms(), MAX_URGENT_START_MS).await;
}

/// Guards against an urgent guaranteed job that waits for cells that are being reclaimed for a standard one.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_after_standard() {
    let pool = start_pool(16, 2).await;
    fill_workers(&pool, 0).await;
    fail_checkpoints(&pool);
    let http = pool.entries[0].http;
    let standard = guaranteed_job(2, "standard");
    let standard = pool.api.submit(http, "canopy", &standard, "standard").await;
    let standard_at = unix_time_ms();
    wait_for(Duration::from_millis(500)).await;
    let urgent = guaranteed_job(2, "urgent");
    let urgent = pool.api.submit(http, "canopy", &urgent, "urgent").await;
    assert_starts(&pool, &urgent, 2, unix_time_ms(), MAX_URGENT_START_MS).await;
    assert_starts(&pool, &standard, 2, standard_at, MAX_RECLAIM_MS).await;
}

/// Guards against guaranteed jobs that wait for a borrower whose worker does not respond.
#[tokio::test(flavor = "multi_thread")]
async fn worker_hangs() {
    let pool = start_pool(8, 3).await;
    let http = pool.entries[0].http;
    for number in 0..4 {
        let job = long_job(8, number % 2 == 0, true);
        let key = format!("borrower-{number}");
        let id = pool.api.submit(http, "parks", &job, &key).await;
        pool.api.wait_state(http, "parks", &id, "running").await;
    }
    for worker in &pool.fleets[0].workers[..1] {
        worker.control(&WorkerControl {
            hang: Some(true),
            ..WorkerControl::default()
        });
    }
    let mut jobs = Vec::new();
    for number in 0..3 {
        let job = guaranteed_job(1, "standard");
        let key = format!("guaranteed-{number}");
        let id = pool.api.submit(http, "canopy", &job, &key).await;
        jobs.push((id, unix_time_ms()));
    }
    for (job, accepted_at) in jobs {
        assert_starts(&pool, &job, 1, accepted_at, MAX_RECLAIM_MS).await;
    }
}

/// Guards against a reclaim that is lost or restarted when its holder crashes.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut pool = start_pool(16, 1).await;
    let holder = pool.holder_of("trent").await;
    let other = 1 - holder;
    fill_workers(&pool, other).await;
    fail_checkpoints(&pool);
    let http = pool.entries[other].http;
    let job = guaranteed_job(2, "standard");
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    let accepted_at = unix_time_ms();
    wait_for(Duration::from_secs(3)).await;
    assert!(
        pool.runs_of(&job).is_empty(),
        "the grace period has not ended yet"
    );
    pool.entries[holder].kill();
    assert_starts(&pool, &job, 2, accepted_at, MAX_RECLAIM_MS + MAX_TAKEOVER_MS).await;
}
