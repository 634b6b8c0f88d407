//! Requests to services: outcomes, idempotency keys and claims between entry VMs.

mod support;

use axum::http::StatusCode;
use support::{FakePlatform, FakeUpstream, Reply, TestClient, TestEntry, UpstreamMode, until};

const PATH: &str = "/v1/services/booking/requests";

struct Setting {
    platform: FakePlatform,
    upstream: FakeUpstream,
    entry: TestEntry,
}

async fn start() -> Setting {
    let platform = FakePlatform::start().await;
    let upstream = FakeUpstream::start().await;
    platform.with(|state| state.vms.push(upstream.vm("booking-1", "trent")));
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    entry.add_account("parks").await;
    entry.wait_for_upstream().await;
    Setting {
        platform,
        upstream,
        entry,
    }
}

async fn keyed(client: &TestClient, key: &str, body: &str) -> Reply {
    client
        .post(PATH, "account:parks", &[("idempotency-key", key)], body)
        .await
}

fn assert_outcome(reply: &Reply, status: u16, outcome: &str, reason: &str) {
    assert_eq!(reply.status.as_u16(), status, "{:?}", reply.body);
    assert_eq!(reply.header("x-outcome"), outcome);
    assert_eq!(
        (&reply.json()["outcome"], &reply.json()["reason"]),
        (&outcome.into(), &reason.into())
    );
}

/// Guards against an answer whose status, type or body is changed, and against a lost deadline.
#[tokio::test]
async fn answer_passes() {
    let Setting { upstream, entry, .. } = start().await;
    let headers = [("content-type", "application/x-plan"), ("x-deadline-ms", "5000")];
    let reply = entry
        .client
        .post(PATH, "account:parks", &headers, "{\"slot\": 7}")
        .await;
    assert_eq!(
        (reply.status, &*reply.body),
        (StatusCode::CREATED, &b"{\"slot\": 7}"[..])
    );
    assert_eq!(
        (reply.header("x-outcome"), reply.header("content-type")),
        ("ran", "application/x-echo")
    );
    let sent = upstream.state.lock().unwrap().last_headers.clone();
    assert_eq!(sent["content-type"], "application/x-plan");
    let remaining: u64 = sent["x-deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!((1..=5000).contains(&remaining), "{remaining}");
    assert!(!sent.contains_key("authorization"));
}

/// Guards against an answer that is given to the caller of another request.
#[tokio::test]
async fn answers_match() {
    let Setting { platform, entry, .. } = start().await;
    let (second, third) = (FakeUpstream::start().await, FakeUpstream::start().await);
    platform.with(|state| {
        state
            .vms
            .extend([second.vm("booking-2", "trent"), third.vm("booking-3", "severn")]);
    });
    let requests = (0..200).map(|number| {
        let client = entry.client.clone();
        async move {
            let body = format!("{{\"slot\": {number}}}");
            let reply = client
                .post(PATH, "account:parks", &[("x-idempotent", "true")], &body)
                .await;
            assert_eq!(
                (reply.status, &*reply.body),
                (StatusCode::CREATED, body.as_bytes())
            );
        }
    });
    futures::future::join_all(requests).await;
}

/// Guards against a repeated key that runs again, at the same entry VM or another one.
#[tokio::test]
async fn key_runs_once() {
    let Setting {
        platform,
        upstream,
        entry,
    } = start().await;
    let first = keyed(&entry.client, "slot-7", "{}").await;
    assert_eq!(first.header("x-outcome"), "ran");
    let peers = [("trent-1", entry.daemon.peer_address)];
    let other = TestEntry::start("trent-2", &platform, &peers).await;
    for client in [&entry.client, &other.client] {
        let again = keyed(client, "slot-7", "{}").await;
        assert_eq!(
            (again.status, again.header("x-outcome")),
            (StatusCode::CREATED, "ran"),
            "{:?}",
            again.body
        );
        assert_eq!(
            (&again.body, again.header("content-type")),
            (&first.body, "application/x-echo")
        );
        let reused = keyed(client, "slot-7", "{\"slot\": 8}").await;
        assert_eq!(
            (reused.status, &reused.json()["error"]["code"]),
            (StatusCode::CONFLICT, &"key_reused".into())
        );
    }
    assert_eq!(upstream.runs(), 1);
}

/// Guards against a second entry VM that sends a claimed request, or gives up before the claimant has ended.
#[tokio::test]
async fn claimant_is_asked() {
    let Setting {
        platform,
        upstream,
        entry,
    } = start().await;
    let peers = [("trent-1", entry.daemon.peer_address)];
    let other = TestEntry::start("trent-2", &platform, &peers).await;
    let held = upstream.gate.acquire_many(10_000).await.unwrap();
    let spawn = |client: &TestClient| {
        let client = client.clone();
        tokio::spawn(async move { keyed(&client, "slot-7", "{}").await })
    };
    let first = spawn(&entry.client);
    until("first request runs", || async { upstream.runs() == 1 }).await;
    let second = spawn(&other.client);
    let third = spawn(&entry.client);
    let short = [("idempotency-key", "slot-7"), ("x-deadline-ms", "300")];
    let late = other.client.post(PATH, "account:parks", &short, "{}").await;
    assert_outcome(&late, 504, "unknown", "claimed_elsewhere");
    drop(held);
    for request in [first, second, third] {
        let reply = request.await.unwrap();
        assert_eq!(
            (reply.status, reply.header("x-outcome")),
            (StatusCode::CREATED, "ran"),
            "{:?}",
            reply.body
        );
    }
    assert_eq!(upstream.runs(), 1);
}

/// Guards against a non-idempotent request that is sent again after its connection was lost.
#[tokio::test]
async fn lost_connection_unknown() {
    let Setting { upstream, entry, .. } = start().await;
    upstream.set_mode(UpstreamMode::Close);
    let plain = entry.client.post(PATH, "account:parks", &[], "{}").await;
    assert_outcome(&plain, 504, "unknown", "connection_lost");
    let first = keyed(&entry.client, "slot-7", "{}").await;
    assert_outcome(&first, 504, "unknown", "connection_lost");
    upstream.set_mode(UpstreamMode::Echo);
    let again = keyed(&entry.client, "slot-7", "{}").await;
    assert_outcome(&again, 504, "unknown", "connection_lost");
    assert_eq!(upstream.runs(), 2);
}

/// Guards against "not run" that blocks the key, and against a refusal that is reported as unknown.
#[tokio::test]
async fn refusal_frees_key() {
    let Setting { upstream, entry, .. } = start().await;
    upstream.set_mode(UpstreamMode::Full);
    let refused = keyed(&entry.client, "slot-7", "{}").await;
    assert_outcome(&refused, 503, "not_run", "upstream_refused");
    upstream.set_mode(UpstreamMode::Echo);
    until("key is free", || async {
        keyed(&entry.client, "slot-7", "{}").await.header("x-outcome") == "ran"
    })
    .await;
    assert_eq!(upstream.runs(), 1);
}

/// Guards against a claim with a lost answer whose request is sent twice or never.
#[tokio::test]
async fn lost_claim_resolves() {
    let Setting {
        platform,
        upstream,
        entry,
    } = start().await;
    platform.with(|state| state.lose_answers = 1);
    let reply = keyed(&entry.client, "slot-7", "{}").await;
    assert_eq!(reply.header("x-outcome"), "ran", "{:?}", reply.body);
    assert_eq!(upstream.runs(), 1);
}

/// Guards against requests that wait for ever when no slot becomes free.
#[tokio::test]
async fn queue_has_deadline() {
    let Setting { upstream, entry, .. } = start().await;
    let _held = upstream.gate.acquire_many(10_000).await.unwrap();
    let headers = [("x-deadline-ms", "400"), ("x-idempotent", "true")];
    let requests = (0..12).map(|_| entry.client.post(PATH, "account:parks", &headers, "{}"));
    let replies = futures::future::join_all(requests).await;
    let outcomes: Vec<&str> = replies.iter().map(|reply| reply.header("x-outcome")).collect();
    let unknown = outcomes.iter().filter(|outcome| **outcome == "unknown").count();
    let not_run = outcomes.iter().filter(|outcome| **outcome == "not_run").count();
    assert_eq!(
        (unknown, unknown + not_run),
        (upstream.runs(), 12),
        "{outcomes:?}"
    );
    assert!(not_run > 0, "{outcomes:?}");
}
