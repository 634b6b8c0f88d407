//! Requests to services: outcomes, idempotency keys and claims between entry VMs.

mod support;

use axum::http::StatusCode;
use support::{FakePlatform, FakeUpstream, TestClient, TestEntry, TestResponse, UpstreamMode, wait_until};

const PATH: &str = "/v1/services/booking/requests";

struct TestSetup {
    platform: FakePlatform,
    upstream: FakeUpstream,
    entry: TestEntry,
}

async fn start() -> TestSetup {
    let platform = FakePlatform::start().await;
    let upstream = FakeUpstream::start().await;
    platform.with(|state| state.vms.push(upstream.vm("booking-1", "trent")));
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    entry.add_account("parks").await;
    entry.wait_for_upstream().await;
    TestSetup {
        platform,
        upstream,
        entry,
    }
}

async fn send_keyed(client: &TestClient, key: &str, body: &str) -> TestResponse {
    client
        .post(PATH, "account:parks", &[("idempotency-key", key)], body)
        .await
}

fn assert_outcome(response: &TestResponse, status: u16, outcome: &str, reason: &str) {
    assert_eq!(response.status.as_u16(), status, "{:?}", response.body);
    assert_eq!(response.header("x-outcome"), outcome);
    assert_eq!(
        (&response.json()["outcome"], &response.json()["reason"]),
        (&outcome.into(), &reason.into())
    );
}

/// Guards against a response with a changed status, type or body, and against a lost deadline.
#[tokio::test]
async fn response_forwarded() {
    let TestSetup { upstream, entry, .. } = start().await;
    let headers = [("content-type", "application/x-plan"), ("x-deadline-ms", "5000")];
    let response = entry
        .client
        .post(PATH, "account:parks", &headers, "{\"slot\": 7}")
        .await;
    assert_eq!(
        (response.status, &*response.body),
        (StatusCode::CREATED, &b"{\"slot\": 7}"[..])
    );
    assert_eq!(
        (response.header("x-outcome"), response.header("content-type")),
        ("ran", "application/x-echo")
    );
    let sent = upstream.state.lock().unwrap().last_headers.clone();
    assert_eq!(sent["content-type"], "application/x-plan");
    let remaining: u64 = sent["x-deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!((1..=5000).contains(&remaining), "{remaining}");
    assert!(!sent.contains_key("authorization"));
}

/// Guards against a response that is sent to the caller of another request.
#[tokio::test]
async fn responses_match() {
    let TestSetup { platform, entry, .. } = start().await;
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
            let response = client
                .post(PATH, "account:parks", &[("x-idempotent", "true")], &body)
                .await;
            assert_eq!(
                (response.status, &*response.body),
                (StatusCode::CREATED, body.as_bytes())
            );
        }
    });
    futures::future::join_all(requests).await;
}

/// Guards against a repeated key whose request runs again, at the same entry VM or another one.
#[tokio::test]
async fn key_runs_once() {
    let TestSetup {
        platform,
        upstream,
        entry,
    } = start().await;
    let first = send_keyed(&entry.client, "slot-7", "{}").await;
    assert_eq!(first.header("x-outcome"), "ran");
    let peers = [("trent-1", entry.daemon.peer_address)];
    let other = TestEntry::start("trent-2", &platform, &peers).await;
    for client in [&entry.client, &other.client] {
        let again = send_keyed(client, "slot-7", "{}").await;
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
        let reused = send_keyed(client, "slot-7", "{\"slot\": 8}").await;
        assert_eq!(
            (reused.status, &reused.json()["error"]["code"]),
            (StatusCode::CONFLICT, &"key_reused".into())
        );
    }
    assert_eq!(upstream.runs(), 1);
}

/// Guards against a second entry VM that sends a claimed request, or does not wait for the claimant.
#[tokio::test]
async fn claimant_queried() {
    let TestSetup {
        platform,
        upstream,
        entry,
    } = start().await;
    let peers = [("trent-1", entry.daemon.peer_address)];
    let other = TestEntry::start("trent-2", &platform, &peers).await;
    let held = upstream.gate.acquire_many(10_000).await.unwrap();
    let spawn = |client: &TestClient| {
        let client = client.clone();
        tokio::spawn(async move { send_keyed(&client, "slot-7", "{}").await })
    };
    let first = spawn(&entry.client);
    wait_until("first request runs", || async { upstream.runs() == 1 }).await;
    let second = spawn(&other.client);
    let third = spawn(&entry.client);
    let short = [("idempotency-key", "slot-7"), ("x-deadline-ms", "300")];
    let late = other.client.post(PATH, "account:parks", &short, "{}").await;
    assert_outcome(&late, 504, "unknown", "claimed_elsewhere");
    drop(held);
    for request in [first, second, third] {
        let response = request.await.unwrap();
        assert_eq!(
            (response.status, response.header("x-outcome")),
            (StatusCode::CREATED, "ran"),
            "{:?}",
            response.body
        );
    }
    assert_eq!(upstream.runs(), 1);
}

/// Guards against a non-idempotent request that is retried after its connection was lost.
#[tokio::test]
async fn lost_connection_unknown() {
    let TestSetup { upstream, entry, .. } = start().await;
    upstream.set_mode(UpstreamMode::Close);
    let plain = entry.client.post(PATH, "account:parks", &[], "{}").await;
    assert_outcome(&plain, 504, "unknown", "connection_lost");
    let first = send_keyed(&entry.client, "slot-7", "{}").await;
    assert_outcome(&first, 504, "unknown", "connection_lost");
    upstream.set_mode(UpstreamMode::Echo);
    let again = send_keyed(&entry.client, "slot-7", "{}").await;
    assert_outcome(&again, 504, "unknown", "connection_lost");
    assert_eq!(upstream.runs(), 2);
}

/// Guards against a refusal that leaves the key claimed, or is reported as unknown.
#[tokio::test]
async fn refusal_frees_key() {
    let TestSetup { upstream, entry, .. } = start().await;
    upstream.set_mode(UpstreamMode::Full);
    let refused = send_keyed(&entry.client, "slot-7", "{}").await;
    assert_outcome(&refused, 503, "not_run", "upstream_refused");
    upstream.set_mode(UpstreamMode::Echo);
    wait_until("key is free", || async {
        send_keyed(&entry.client, "slot-7", "{}")
            .await
            .header("x-outcome")
            == "ran"
    })
    .await;
    assert_eq!(upstream.runs(), 1);
}

/// Guards against a request that is sent twice or never because the response to its claim was lost.
#[tokio::test]
async fn lost_claim_resolved() {
    let TestSetup {
        platform,
        upstream,
        entry,
    } = start().await;
    platform.with(|state| state.lose_answers = 1);
    let response = send_keyed(&entry.client, "slot-7", "{}").await;
    assert_eq!(response.header("x-outcome"), "ran", "{:?}", response.body);
    assert_eq!(upstream.runs(), 1);
}

/// Guards against requests that stay queued after their deadline when no slot becomes free.
#[tokio::test]
async fn queued_deadline() {
    let TestSetup { upstream, entry, .. } = start().await;
    let _held = upstream.gate.acquire_many(10_000).await.unwrap();
    let headers = [("x-deadline-ms", "400"), ("x-idempotent", "true")];
    let requests = (0..12).map(|_| entry.client.post(PATH, "account:parks", &headers, "{}"));
    let responses = futures::future::join_all(requests).await;
    let outcomes: Vec<&str> = responses
        .iter()
        .map(|response| response.header("x-outcome"))
        .collect();
    let unknown = outcomes.iter().filter(|outcome| **outcome == "unknown").count();
    let not_run = outcomes.iter().filter(|outcome| **outcome == "not_run").count();
    assert_eq!(
        (unknown, unknown + not_run),
        (upstream.runs(), 12),
        "{outcomes:?}"
    );
    assert!(not_run > 0, "{outcomes:?}");
}
