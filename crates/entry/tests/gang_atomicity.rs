//! Guards against gangs that run partially or are reported wrongly, with entry daemons in separate
//! processes.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbutuspick_standins::{PlatformControl, TaskEnd, TaskRun, WorkerControl, WorkerStandin};
use harness::{PoolOptions, TestPool, wait_for, wait_until};
use serde_json::{Value, json};

/// Longest time that a member may run after another member was lost: the gang lease.
const GANG_LEASE_MS: u64 = 15_000;
/// Tolerance for the workers' timers and logs.
const MARGIN_MS: u64 = 1_000;

fn gang(tasks: usize, run_ms: u64, idempotent: bool) -> Value {
    json!({
        "shape": {"tasks": tasks, "accelerators": 8, "adjacency": "rack"}, "idempotent": idempotent,
        "payload": json!({"run_ms": run_ms, "output": "done"}).to_string(),
    })
}

async fn start_pool(vms: usize, workers: usize) -> TestPool {
    TestPool::start(PoolOptions {
        centres: vec![("trent", vms)],
        workers,
        upstreams: 0,
        ..PoolOptions::default()
    })
    .await
}

/// Returns a worker on which a member of the job is running.
fn worker_of<'a>(pool: &'a TestPool, job: &str) -> &'a WorkerStandin {
    let runs = |worker: &&WorkerStandin| {
        let log = worker.log();
        let mut runs = log.runs.iter();
        runs.any(|run| run.job.to_string() == job && run.end.is_none())
    };
    pool.fleets[0].workers.iter().find(runs).expect("a member runs")
}

/// Checks a final status against the workers' logs, once every member has ended.
///
/// - If a job is reported as ran, every member of the reported attempt has finished.
/// - If a job is reported as not run, no member was ever started.
/// - After the first loss of a member, the others of its gang run at most for the time of the gang lease.
async fn check_report(pool: &TestPool, status: &Value, tasks: usize) {
    let job = status["job"].as_str().unwrap();
    let runs = wait_until("every member has ended", async || {
        let runs = pool.runs_of(job);
        runs.iter().all(|run| run.end.is_some()).then_some(runs)
    })
    .await;
    match status["outcome"].as_str() {
        Some("ran") => {
            let finished = runs
                .iter()
                .filter(|run| status["attempt"] == json!(run.attempt) && run.end == Some(TaskEnd::Finished));
            let members: BTreeSet<u32> = finished.map(|run| run.member).collect();
            assert_eq!(members.len(), tasks, "{status} {runs:?}");
        }
        Some("not_run") => assert!(runs.is_empty(), "{status} {runs:?}"),
        outcome => assert_eq!(outcome, Some("unknown"), "{status}"),
    }
    let mut attempts: BTreeMap<_, Vec<&TaskRun>> = BTreeMap::new();
    for run in &runs {
        attempts.entry(run.attempt).or_default().push(run);
    }
    for (attempt, runs) in attempts {
        let members: BTreeSet<u32> = runs.iter().map(|run| run.member).collect();
        assert_eq!(
            members.len(),
            runs.len(),
            "a member started twice in {attempt}: {runs:?}"
        );
        let lost = runs.iter().filter(|run| run.end != Some(TaskEnd::Finished));
        let Some(lost_at) = lost.filter_map(|run| run.ended_at).min() else {
            continue;
        };
        let last = runs.iter().filter_map(|run| run.ended_at).max().unwrap();
        assert!(
            last <= lost_at + GANG_LEASE_MS + MARGIN_MS,
            "attempt {attempt} of {job}: {runs:?}"
        );
    }
}

/// Asserts that at most one attempt of the job ran at any time.
fn assert_no_overlap(pool: &TestPool, job: &str) {
    let runs = pool.runs_of(job);
    for run in &runs {
        let overlap = runs.iter().find(|other| {
            other.attempt > run.attempt && run.ended_at.is_none_or(|end| other.started_at < end)
        });
        assert!(overlap.is_none(), "{run:?} and {overlap:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut pool = TestPool::start(PoolOptions::default()).await;
    let http = pool.entries[1].http;
    let job = json!({
        "shape": {"tasks": 3, "accelerators": 8, "adjacency": "rack"}, "idempotent": true,
        "payload": "{\"run_ms\": 8000, \"output\": \"done\"}",
    });
    let job = pool.api.submit(http, "parks", &job, "key-1").await;
    pool.api.wait_state(http, "parks", &job, "running").await;
    let holder = pool.holder_of("trent").await;
    pool.entries[holder].kill();
    let http = pool.entries[1 - holder].http;
    let status = pool.api.wait_outcome(http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    assert_eq!(pool.finished_attempts(&job, 3), 1);
}

/// Guards against members that start although the worker of another member refused to prepare.
#[tokio::test(flavor = "multi_thread")]
async fn prepare_refused() {
    let pool = start_pool(1, 4).await;
    let http = pool.entries[0].http;
    let refusing = &pool.fleets[0].workers[1];
    refusing.control(&WorkerControl {
        fail_prepare: Some(true),
        ..WorkerControl::default()
    });
    // As many members as workers, so that every attempt includes the refusing worker.
    let mut jobs = Vec::new();
    for (number, idempotent) in [true, false].into_iter().enumerate() {
        let key = format!("key-{number}");
        jobs.push(
            pool.api
                .submit(http, "parks", &gang(4, 500, idempotent), &key)
                .await,
        );
    }
    wait_for(Duration::from_secs(4)).await;
    for job in &jobs {
        assert!(pool.runs_of(job).is_empty(), "{:?}", pool.runs_of(job));
        let status = pool.api.status(http, "parks", job).await.unwrap();
        assert_eq!(status["outcome"], Value::Null, "{status}");
    }
    refusing.control(&WorkerControl {
        fail_prepare: Some(false),
        ..WorkerControl::default()
    });
    for job in &jobs {
        let status = pool.api.wait_outcome(http, "parks", job).await;
        assert_eq!(status["outcome"], "ran", "{status}");
        check_report(&pool, &status, 4).await;
    }
}

/// Guards against members that start twice and gangs that are aborted because responses of workers are lost.
#[tokio::test(flavor = "multi_thread")]
async fn responses_lost() {
    let pool = start_pool(1, 4).await;
    let http = pool.entries[0].http;
    for (index, worker) in pool.fleets[0].workers.iter().enumerate() {
        worker.control(&WorkerControl {
            lose_answers: Some(2 + index as u64),
            ..WorkerControl::default()
        });
    }
    let mut jobs = Vec::new();
    for number in 0..6 {
        let key = format!("key-{number}");
        let job = gang(4, 300, number % 2 == 0);
        jobs.push(pool.api.submit(http, "parks", &job, &key).await);
    }
    for job in &jobs {
        let status = pool.api.wait_outcome(http, "parks", job).await;
        assert_eq!(status["outcome"], "ran", "{status}");
        check_report(&pool, &status, 4).await;
        assert_no_overlap(&pool, job);
    }
}

/// Guards against gangs that a new holder starts again, aborts or reports wrongly, when the holder is killed
/// twice in a row at different times between the submission and the running of several jobs.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed_twice() {
    let mut pool = start_pool(3, 6).await;
    // With slow calls a holder is likely to be killed between two steps of an attempt.
    pool.platform.control(&PlatformControl {
        delay_ms: Some(25),
        ..PlatformControl::default()
    });
    for worker in &pool.fleets[0].workers {
        worker.control(&WorkerControl {
            slow_ms: Some(40),
            ..WorkerControl::default()
        });
    }
    let mut jobs = Vec::new();
    for round in 0..2_u64 {
        let holder = pool.holder_of("trent").await;
        let other = (holder + 1) % 3;
        for number in 0..8_u64 {
            let key = format!("key-{round}-{number}");
            let job = gang(2, 1_500, number % 2 == 0);
            let http = pool.entries[other].http;
            jobs.push(pool.api.submit(http, "parks", &job, &key).await);
            // The first gangs are at different steps when the holder is killed.
            if number == 3 {
                wait_for(Duration::from_millis(40 + 120 * round)).await;
            }
        }
        pool.entries[holder].kill();
        let next = wait_holder(&pool, holder).await;
        wait_for(Duration::from_millis(40 + 110 * round)).await;
        pool.entries[next].kill();
        pool.entries[holder].start();
        pool.entries[next].start();
        pool.wait_ready().await;
    }
    let http = pool.entries[0].http;
    for (index, job) in jobs.iter().enumerate() {
        let status = pool.api.wait_outcome(http, "parks", job).await;
        if index % 2 == 0 {
            assert_eq!(status["outcome"], "ran", "{status}");
        }
        check_report(&pool, &status, 2).await;
        assert_no_overlap(&pool, job);
        if index % 2 == 1 {
            assert_started_once(&pool, job);
        }
    }
}

/// Waits until an entry VM other than the killed one holds the placement lease, and returns its index.
async fn wait_holder(pool: &TestPool, killed: usize) -> usize {
    wait_until("another entry VM takes over", async || {
        let holder = pool.holder_of("trent").await;
        (holder != killed).then_some(holder)
    })
    .await
}

/// Asserts that at most one attempt of a non-idempotent job started members.
fn assert_started_once(pool: &TestPool, job: &str) {
    let runs = pool.runs_of(job);
    let attempts: BTreeSet<_> = runs.iter().map(|run| run.attempt).collect();
    assert!(attempts.len() <= 1, "{runs:?}");
}

/// Guards against a gang that continues without a member or is reported wrongly after a worker crashed: an
/// idempotent job must run again completely, a non-idempotent one has an unknown outcome.
#[tokio::test(flavor = "multi_thread")]
async fn worker_crashed() {
    let pool = start_pool(1, 4).await;
    let http = pool.entries[0].http;
    for idempotent in [true, false] {
        let key = format!("key-{idempotent}");
        let job = gang(3, 3_000, idempotent);
        let job = pool.api.submit(http, "parks", &job, &key).await;
        pool.api.wait_state(http, "parks", &job, "running").await;
        worker_of(&pool, &job).control(&WorkerControl {
            crash: true,
            ..WorkerControl::default()
        });
        let status = pool.api.wait_outcome(http, "parks", &job).await;
        let outcome = if idempotent { "ran" } else { "unknown" };
        assert_eq!(status["outcome"], outcome, "{status}");
        check_report(&pool, &status, 3).await;
        assert_no_overlap(&pool, &job);
        if !idempotent {
            assert_started_once(&pool, &job);
        }
    }
}

/// Guards against members that keep running after another member was lost with a worker that is switched off.
#[tokio::test(flavor = "multi_thread")]
async fn worker_off() {
    let pool = start_pool(1, 4).await;
    let http = pool.entries[0].http;
    let job = pool
        .api
        .submit(http, "parks", &gang(3, 40_000, false), "key-1")
        .await;
    pool.api.wait_state(http, "parks", &job, "running").await;
    worker_of(&pool, &job).control(&WorkerControl {
        crash: true,
        down: Some(true),
        ..WorkerControl::default()
    });
    let status = pool.api.wait_outcome(http, "parks", &job).await;
    assert_eq!(status["outcome"], "unknown", "{status}");
    check_report(&pool, &status, 3).await;
    assert_started_once(&pool, &job);
}

/// Guards against a second attempt that overlaps the first one: a worker hangs after its gang has run for
/// longer than a lease, and its member runs until the last renewed lease expires.
#[tokio::test(flavor = "multi_thread")]
async fn silent_member_expires() {
    let pool = start_pool(1, 4).await;
    let http = pool.entries[0].http;
    let job = gang(2, 60_000, true);
    let job = pool.api.submit(http, "parks", &job, "key-1").await;
    pool.api.wait_state(http, "parks", &job, "running").await;
    wait_for(Duration::from_millis(GANG_LEASE_MS + 500)).await;
    worker_of(&pool, &job).control(&WorkerControl {
        hang: Some(true),
        ..WorkerControl::default()
    });
    wait_until("the gang runs again completely", async || {
        let runs = pool.runs_of(&job);
        let first = runs.iter().map(|run| run.attempt).min()?;
        (runs.iter().filter(|run| run.attempt > first).count() == 2).then_some(())
    })
    .await;
    assert_no_overlap(&pool, &job);
}
