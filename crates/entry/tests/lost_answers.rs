//! Guards against jobs that are forgotten when the platform takes a write but its answer is lost.

mod harness;

use std::time::Duration;

use arbutuspick_standins::PlatformControl;
use harness::{JobLoad, PoolOptions, TestPool, let_pass, wait_until};
use serde_json::json;
use tokio::time::timeout;

/// Time in which every job ends once the platform answers again; all of them need a few seconds.
const END_LIMIT: Duration = Duration::from_secs(25);

/// Guards against a job that stays queued for ever because its holder does not know that it took it up: the
/// platform takes every write and loses the answers for longer than the holder repeats one.
#[tokio::test(flavor = "multi_thread")]
async fn take_up_unresolved() {
    let pool = TestPool::start(PoolOptions {
        upstreams: 0,
        ..PoolOptions::default()
    })
    .await;
    let holder = pool.holder_of("trent").await;
    let http = pool.entries[1 - holder].http;
    let job = json!({"idempotent": true, "payload": "{\"run_ms\": 200, \"output\": \"done\"}"});
    // Nothing can start meanwhile, so that the holder writes little else than the jobs that it takes up.
    let mut jobs = Vec::new();
    for number in 0..4 {
        let filler = json!({
            "shape": {"tasks": 1, "accelerators": 8}, "idempotent": true, "payload": "{\"run_ms\": 6000}",
        });
        let filler = pool
            .api
            .submit(http, "parks", &filler, &format!("filler-{number}"))
            .await;
        pool.api.reach(http, "parks", &filler, "running").await;
        jobs.push(filler);
    }
    // Submitted in a row, so that some are recorded and not taken up yet when the answers begin to be lost.
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
    let_pass(Duration::from_millis(3_300)).await;
    pool.platform.control(&PlatformControl {
        lose_answers: Some(0),
        ..PlatformControl::default()
    });
    jobs.extend(load.finish().await);
    for job in jobs {
        let outcome = pool.api.outcome(http, "parks", &job);
        let status = timeout(END_LIMIT, outcome)
            .await
            .unwrap_or_else(|_| panic!("job {job} did not end"));
        assert_eq!(status["outcome"], "ran", "{status}");
        assert!(pool.finished_attempts(&job, 1) >= 1, "{status}");
    }
}
