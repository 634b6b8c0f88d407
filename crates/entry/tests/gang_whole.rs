//! Guards against gangs that run in part or are reported wrongly, with daemons and their faults in
//! processes of their own.

mod harness;

use harness::{PoolOptions, TestPool};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut pool = TestPool::start(PoolOptions::default()).await;
    let http = pool.entries[1].http;
    let job = json!({
        "shape": {"tasks": 3, "accelerators": 8, "adjacency": "rack"}, "idempotent": true,
        "payload": "{\"run_ms\": 8000, \"output\": \"done\"}",
    });
    let job = pool.api.submit(http, "parks", &job, "key-1").await;
    pool.api.reach(http, "parks", &job, "running").await;
    let holder = pool.holder_of("trent").await;
    pool.entries[holder].kill();
    let http = pool.entries[1 - holder].http;
    let status = pool.api.outcome(http, "parks", &job).await;
    assert_eq!(status["outcome"], "ran", "{status}");
    assert_eq!(pool.finished_attempts(&job, 3), 1);
}
