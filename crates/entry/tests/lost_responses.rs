//! Guards against jobs that are lost when the platform commits a write but its response is lost.

mod harness;

use std::time::Duration;

use arbutuspick_standins::PlatformControl;
use harness::{JobLoad, PoolOptions, TestPool, wait_for, wait_until};
use serde_json::json;
use tokio::time::timeout;

/// Time limit for each job to end once the platform responds again; all jobs together need a few seconds.
const END_TIMEOUT: Duration = Duration::from_secs(25);

/// Guards against a job that stays queued for ever because its holder does not know that it has accepted the
/// notice: the platform commits every write but loses the responses for longer than the holder retries one.
#[tokio::test(flavor = "multi_thread")]
async fn acceptance_unresolved() {
    let pool = TestPool::start(PoolOptions {
        upstreams: 0,
        ..PoolOptions::default()
    })
    .await;
    let holder = pool.holder_of("trent").await;
    let http = pool.entries[1 - holder].http;
    let job = json!({"idempotent": true, "payload": "{\"run_ms\": 200, \"output\": \"done\"}"});
    // All workers are occupied, so that the holder writes little else than the notices that it accepts.
    let mut jobs = Vec::new();
    for number in 0..4 {
        let filler = json!({
            "shape": {"tasks": 1, "accelerators": 8}, "idempotent": true, "payload": "{\"run_ms\": 6000}",
        });
        let filler = pool
            .api
            .submit(http, "parks", &filler, &format!("filler-{number}"))
            .await;
        pool.api.wait_state(http, "parks", &filler, "running").await;
        jobs.push(filler);
    }
    // Submitted quickly, so that some are recorded but not accepted yet when responses start to be lost.
    let load = JobLoad::start(
        &pool.api,
        vec![http],
        job.clone(),
        0,
        Duration::from_millis(5),
        400,
    );
    wait_until("jobs are accepted", async || (load.accepted() > 20).then_some(())).await;
    pool.platform.control(&PlatformControl {
        lose_answers: Some(1),
        ..PlatformControl::default()
    });
    wait_for(Duration::from_millis(3_300)).await;
    pool.platform.control(&PlatformControl {
        lose_answers: Some(0),
        ..PlatformControl::default()
    });
    jobs.extend(load.finish().await);
    for job in jobs {
        let outcome = pool.api.wait_outcome(http, "parks", &job);
        let status = timeout(END_TIMEOUT, outcome)
            .await
            .unwrap_or_else(|_| panic!("job {job} did not end"));
        assert_eq!(status["outcome"], "ran", "{status}");
        assert!(pool.finished_attempts(&job, 1) >= 1, "{status}");
    }
}
