//! Submission, status, result and cancellation of jobs, and access to them.

mod support;

use std::time::Duration;

use arbutuspick_model::{FinalOutcome, ResultRef};
use arbutuspick_model::{JobId, WriteId};
use arbutuspick_records::{JobRecord, JobState, RowKey, TableTransaction, Versioned};
use axum::http::StatusCode;
use serde_json::Value;
use sha2::Digest;
use support::{FakePlatform, TestEntry, settings_yaml, unused_address};

async fn start() -> (FakePlatform, TestEntry) {
    let platform = FakePlatform::start().await;
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    entry.add_account("parks").await;
    (platform, entry)
}

fn job_key(job: &Value) -> RowKey {
    RowKey::Job(JobId::try_from(job["job"].as_str().unwrap()).unwrap())
}

/// Records the end of a job, as its holder does.
fn finish(platform: &FakePlatform, job: &Value, bytes: &'static [u8]) {
    platform.with(|state| {
        let key = job_key(job);
        let Versioned { record, version } = state.table.load::<JobRecord>(&key).unwrap().unwrap();
        let result = ResultRef {
            object: format!("result/{}/1", record.job).into(),
            bytes: 4,
            sha256: hex::encode(sha2::Sha256::digest(b"done")).into(),
        };
        state.objects.insert(result.object.to_string(), bytes.into());
        let write_id = WriteId::generate();
        let outcome = Some(FinalOutcome::Ran { result });
        let record = JobRecord {
            state: JobState::Ran,
            outcome,
            write_id,
            ..record
        };
        let value = serde_json::to_string(&record).unwrap();
        let transaction = TableTransaction::new(write_id)
            .check(&key, version)
            .put(&key, value);
        state.table.commit(&transaction);
    });
}

/// Guards against a second job for the same key, and against a key that is accepted for another body.
#[tokio::test]
async fn key_returns_job() {
    let (_platform, entry) = start().await;
    let key = [("idempotency-key", "slot-7")];
    let first = entry.client.post("/v1/jobs", "account:parks", &key, "{}").await;
    assert_eq!(first.status, StatusCode::ACCEPTED, "{:?}", first.body);
    assert_eq!(first.json()["state"], "queued");
    assert_eq!(first.json()["data_centre"], "trent");
    let again = entry.client.post("/v1/jobs", "account:parks", &key, "{}").await;
    assert_eq!(again.json()["job"], first.json()["job"]);
    let other = entry
        .client
        .post("/v1/jobs", "account:parks", &key, "{\"class\": \"batch\"}")
        .await;
    assert_eq!(
        (other.status, &other.json()["error"]["code"]),
        (StatusCode::CONFLICT, &"key_reused".into())
    );
}

/// Guards against a committed submission that is reported as not run, or committed twice.
#[tokio::test]
async fn lost_response_resolved() {
    let (platform, entry) = start().await;
    platform.with(|state| state.lose_answers = 1);
    let response = entry
        .client
        .post("/v1/jobs", "account:parks", &[("idempotency-key", "a")], "{}")
        .await;
    assert_eq!(response.status, StatusCode::ACCEPTED, "{:?}", response.body);
    let key = job_key(&response.json());
    assert!(platform.with(|state| state.table.load::<JobRecord>(&key).unwrap().is_some()));
}

/// Guards against an account that can see or change the jobs of another one.
#[tokio::test]
async fn accounts_isolated() {
    let (_platform, entry) = start().await;
    let client = &entry.client;
    let job = client.post("/v1/jobs", "account:parks", &[], "{}").await.json();
    let path = format!("/v1/jobs/{}", job["job"].as_str().unwrap());
    for role in ["account:halls", "owner:ada"] {
        for path in [
            path.clone(),
            format!("{path}/wait?timeout_ms=0"),
            format!("{path}/result"),
        ] {
            let response = client.get(&path, role).await;
            assert_eq!(
                response.status,
                StatusCode::NOT_FOUND,
                "{role} {path}: {:?}",
                response.body
            );
        }
        assert_eq!(client.delete(&path, role).await.status, StatusCode::NOT_FOUND);
    }
    let foreign = client
        .post("/v1/jobs", "account:halls", &[], "{\"account\": \"parks\"}")
        .await;
    assert_eq!(foreign.status, StatusCode::FORBIDDEN);
    assert_eq!(client.get(&path, "account:parks").await.json()["state"], "queued");
    assert_eq!(client.get(&path, "operator:nia").await.status, StatusCode::OK);
    for path in [
        "/v1/operator/workers",
        "/v1/operator/accounts",
        "/v1/operator/turn",
        "/debug/state",
    ] {
        assert_eq!(
            client.get(path, "account:parks").await.status,
            StatusCode::FORBIDDEN,
            "{path}"
        );
    }
    let out = client
        .post("/v1/operator/data-centres/trent/out", "owner:ada", &[], "{}")
        .await;
    assert_eq!(out.status, StatusCode::FORBIDDEN);
}

/// Guards against a cancelled job that stays queued, and against a second outcome.
#[tokio::test]
async fn cancel_ends_job() {
    let (_platform, entry) = start().await;
    let job = entry
        .client
        .post("/v1/jobs", "account:parks", &[], "{}")
        .await
        .json();
    let path = format!("/v1/jobs/{}", job["job"].as_str().unwrap());
    let cancelled = entry.client.delete(&path, "account:parks").await;
    assert_eq!(cancelled.status, StatusCode::ACCEPTED, "{:?}", cancelled.body);
    let status = entry.client.get(&path, "account:parks").await.json();
    assert_eq!(
        (&status["state"], &status["outcome"], &status["reason"]),
        (&"not_run".into(), &"not_run".into(), &"cancelled".into())
    );
    let again = entry.client.delete(&path, "account:parks").await;
    assert_eq!(again.json()["error"]["code"], "job_ended");
}

/// Guards against a wait that returns before the end, and a result that is truncated or damaged.
#[yare::parameterized(
    complete = { b"done", 200 },
    truncated = { b"don", 502 },
    damaged = { b"dune", 502 },
)]
#[test_macro(tokio::test)]
async fn result_verified(bytes: &'static [u8], status: u16) {
    let (platform, entry) = start().await;
    let job = entry
        .client
        .post("/v1/jobs", "account:parks", &[], "{}")
        .await
        .json();
    let path = format!("/v1/jobs/{}", job["job"].as_str().unwrap());
    let early = entry.client.get(&format!("{path}/result"), "account:parks").await;
    assert_eq!(early.json()["error"]["code"], "no_result");
    let waiting = tokio::spawn({
        let (client, path) = (entry.client.clone(), path.clone());
        async move { client.get(&format!("{path}/wait"), "account:parks").await }
    });
    finish(&platform, &job, bytes);
    let ended = tokio::time::timeout(Duration::from_secs(10), waiting)
        .await
        .unwrap()
        .unwrap()
        .json();
    assert_eq!(
        (&ended["state"], &ended["outcome"]),
        (&"ran".into(), &"ran".into())
    );
    let result = entry.client.get(&format!("{path}/result"), "account:parks").await;
    assert_eq!(result.status.as_u16(), status, "{:?}", result.body);
    if status == 200 {
        assert_eq!(&*result.body, b"done");
    } else {
        assert_eq!(result.json()["error"]["code"], "result_damaged");
    }
}

/// Guards against wrong outcomes while the platform is unavailable and nothing can be recorded.
#[tokio::test]
async fn platform_down() {
    let (_platform, first) = start().await;
    let peers = [("trent-1", first.daemon.peer_address)];
    let yaml = settings_yaml("trent-2", unused_address().await, &peers);
    let entry = TestEntry::start_unready(&yaml).await;
    support::wait_until("ready from a peer", || async { entry.daemon.is_ready() }).await;
    let job = entry
        .client
        .post("/v1/jobs", "account:parks", &[("idempotency-key", "a")], "{}")
        .await;
    let keyed = [("idempotency-key", "b")];
    let request = entry
        .client
        .post("/v1/services/booking/requests", "account:parks", &keyed, "{}")
        .await;
    let unkeyed = entry.client.post("/v1/jobs", "account:parks", &[], "{}").await;
    // With a key this call runs nothing either, but an earlier call with the key may have run.
    let unresolved = ("unknown", "key_unresolved");
    let refused = ("not_run", "platform_unavailable");
    for (response, (outcome, reason)) in [(job, unresolved), (request, unresolved), (unkeyed, refused)] {
        assert_eq!(
            response.status,
            StatusCode::SERVICE_UNAVAILABLE,
            "{:?}",
            response.body
        );
        let body = response.json();
        assert_eq!(
            (&body["outcome"], &body["reason"]),
            (&outcome.into(), &reason.into())
        );
        assert_eq!(
            (response.header("x-outcome"), response.header("retry-after")),
            (outcome, "5")
        );
    }
}
