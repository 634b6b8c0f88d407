//! Guards against guarantees that cannot be reclaimed from borrowers in the promised time.
//!
//! In every test an account without a guarantee fills all workers with work that ends long after the test.

mod harness;

use std::time::Duration;

use arbutuspick_standins::{PlatformControl, TaskEnd, TaskRun, WorkerControl};
use harness::{PoolOptions, TestPool, let_pass, wait_until, wall_ms};
use serde_json::{Value, json};

/// Grace of 10 s and gang lease of 15 s.
const RECLAIM_MS: u64 = 25_000;
/// Bound of urgent guaranteed jobs on answering workers.
const URGENT_MS: u64 = 2_300;
/// Longest time without a placement holder after one died.
const TAKEOVER_MS: u64 = 6_000;

/// Starts 4 workers, of which `canopy` has `cells` cells of `accelerators` guaranteed and `parks` none.
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

/// Fills every accelerator with borrowers of different sizes and returns those that can checkpoint.
async fn fill(pool: &TestPool, entry: usize) -> Vec<String> {
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
            pool.api.reach(http, "parks", &id, "running").await;
            if job["checkpointable"] == true {
                checkpointable.push(id);
            }
        }
    }
    assert_eq!(pool.task_runs().len(), 12);
    checkpointable
}

/// Lets every checkpoint fail, so that borrowers take the whole grace.
fn fail_checkpoints(pool: &TestPool) {
    pool.platform.control(&PlatformControl {
        object_outage: Some(true),
        ..PlatformControl::default()
    });
}

/// Waits until every member of a guaranteed job started, and asserts that it did so within the bound.
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

/// Guards against a guaranteed job that waits longer than the grace for its borrowers, and against
/// borrowers whose work is lost although they can checkpoint.
#[tokio::test(flavor = "multi_thread")]
async fn standard_starts() {
    let pool = start_pool(16, 1).await;
    let http = pool.entries[0].http;
    let borrowers = fill(&pool, 0).await;
    let job = guaranteed_job(2, "standard");
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    assert_starts(&pool, &job, 2, wall_ms(), RECLAIM_MS).await;
    let status = pool.api.outcome(http, "canopy", &job).await;
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

/// Guards against borrowers that keep their cells beyond the grace because their checkpoints fail.
#[tokio::test(flavor = "multi_thread")]
async fn checkpoints_fail() {
    let pool = start_pool(16, 1).await;
    fill(&pool, 0).await;
    fail_checkpoints(&pool);
    let job = guaranteed_job(2, "standard");
    let http = pool.entries[0].http;
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    assert_starts(&pool, &job, 2, wall_ms(), RECLAIM_MS).await;
}

/// Guards against an urgent guaranteed job that waits for the grace of standard jobs.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_starts() {
    let pool = start_pool(16, 1).await;
    fill(&pool, 0).await;
    fail_checkpoints(&pool);
    let job = guaranteed_job(2, "urgent");
    let http = pool.entries[0].http;
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    assert_starts(&pool, &job, 2, wall_ms(), URGENT_MS).await;
}

/// Guards against an urgent guaranteed job that waits for cells which borrowers leave for a standard one.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_second() {
    let pool = start_pool(16, 2).await;
    fill(&pool, 0).await;
    fail_checkpoints(&pool);
    let http = pool.entries[0].http;
    let standard = guaranteed_job(2, "standard");
    let standard = pool.api.submit(http, "canopy", &standard, "standard").await;
    let standard_at = wall_ms();
    let_pass(Duration::from_millis(500)).await;
    let urgent = guaranteed_job(2, "urgent");
    let urgent = pool.api.submit(http, "canopy", &urgent, "urgent").await;
    assert_starts(&pool, &urgent, 2, wall_ms(), URGENT_MS).await;
    assert_starts(&pool, &standard, 2, standard_at, RECLAIM_MS).await;
}

/// Guards against guaranteed jobs that wait for a borrower whose worker gives no answer.
#[tokio::test(flavor = "multi_thread")]
async fn worker_hangs() {
    let pool = start_pool(8, 3).await;
    let http = pool.entries[0].http;
    for number in 0..4 {
        let job = long_job(8, number % 2 == 0, true);
        let key = format!("borrower-{number}");
        let id = pool.api.submit(http, "parks", &job, &key).await;
        pool.api.reach(http, "parks", &id, "running").await;
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
        jobs.push((id, wall_ms()));
    }
    for (job, accepted_at) in jobs {
        assert_starts(&pool, &job, 1, accepted_at, RECLAIM_MS).await;
    }
}

/// Guards against a reclaim that is forgotten or begun anew when its holder dies.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut pool = start_pool(16, 1).await;
    let holder = pool.holder_of("trent").await;
    let other = 1 - holder;
    fill(&pool, other).await;
    fail_checkpoints(&pool);
    let http = pool.entries[other].http;
    let job = guaranteed_job(2, "standard");
    let job = pool.api.submit(http, "canopy", &job, "guaranteed").await;
    let accepted_at = wall_ms();
    let_pass(Duration::from_secs(3)).await;
    assert!(pool.runs_of(&job).is_empty(), "the grace has not ended yet");
    pool.entries[holder].kill();
    assert_starts(&pool, &job, 2, accepted_at, RECLAIM_MS + TAKEOVER_MS).await;
}
