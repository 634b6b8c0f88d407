//! Synchronization of the configuration, and decisions on proposals.

mod support;

use axum::http::StatusCode;
use serde_json::json;
use support::{FakePlatform, TestEntry, settings_yaml, unused_address, wait_until, worker_vm};

async fn revision(entry: &TestEntry) -> u64 {
    let accounts = entry
        .client
        .get("/v1/operator/accounts", "operator:nia")
        .await
        .json();
    accounts["revision"].as_u64().unwrap()
}

/// Guards against an accepted revision that is in force only at the VM that recorded it.
#[tokio::test]
async fn revision_propagates() {
    let platform = FakePlatform::start().await;
    let first = TestEntry::start("trent-1", &platform, &[]).await;
    let second = TestEntry::start("trent-2", &platform, &[]).await;
    first.add_account("parks").await;
    assert_eq!(revision(&first).await, 1);
    wait_until("revision at the other VM", || async {
        revision(&second).await == 1
    })
    .await;
}

/// Guards against a configuration that reverts when the table returns old rows.
#[tokio::test]
async fn old_rows_ignored() {
    let platform = FakePlatform::start().await;
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    entry.add_account("parks").await;
    let old = platform.with(|state| state.table.clone());
    entry.add_account("halls").await;
    let before = platform.with(|state| {
        state.old_rows = Some(old);
        state.head_reads
    });
    // When a third read arrives, the responses to the first two have been processed.
    wait_until("three reads with old rows", || async {
        platform.with(|state| state.head_reads) >= before + 3
    })
    .await;
    let accounts = entry
        .client
        .get("/v1/operator/accounts", "operator:nia")
        .await
        .json();
    assert_eq!(accounts["revision"], 2);
    assert!(accounts["accounts"]["halls"].is_object(), "{accounts}");
}

/// Guards against a new VM that loads the first instead of the highest revision of its peers.
#[tokio::test]
async fn highest_peer_wins() {
    let (low_platform, high_platform) = (FakePlatform::start().await, FakePlatform::start().await);
    let low = TestEntry::start("trent-1", &low_platform, &[]).await;
    low.add_account("parks").await;
    let high = TestEntry::start("trent-2", &high_platform, &[]).await;
    high.add_account("parks").await;
    high.add_account("halls").await;
    let unready = TestEntry::start_unready(&settings_yaml("trent-4", unused_address().await, &[])).await;
    let lone = [("trent-4", unready.daemon.peer_address)];
    let lone = TestEntry::start_unready(&settings_yaml("trent-5", unused_address().await, &lone)).await;
    let peers = [
        ("trent-1", low.daemon.peer_address),
        ("trent-2", high.daemon.peer_address),
    ];
    let fresh = TestEntry::start_unready(&settings_yaml("trent-3", unused_address().await, &peers)).await;
    wait_until("ready from peers", || async { fresh.daemon.is_ready() }).await;
    assert_eq!(revision(&fresh).await, 2);
    assert!(!lone.daemon.is_ready(), "ready from a peer that is not ready");
}

/// Guards against a new VM that has to read every revision since the first one.
#[tokio::test]
async fn snapshot_read_first() {
    let platform = FakePlatform::start().await;
    let config = json!({"revision": 300, "accounts": {}});
    platform.with(|state| {
        let id = arbutuspick_model::WriteId::generate();
        let head = json!({"revision": 300, "write_id": id});
        let transaction = arbutuspick_records::TableTransaction::new(id).put("config/head", head.to_string());
        state.table.commit(&transaction);
        state
            .objects
            .insert("config/snapshot".into(), config.to_string().into());
    });
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    assert_eq!(revision(&entry).await, 300);
}

/// Guards against decisions by an owner whose month it is not, and against second decisions.
#[tokio::test]
async fn owner_decides() {
    let platform = FakePlatform::start().await;
    platform.with(|state| state.vms.extend((0..8).map(|number| worker_vm(number, "trent"))));
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    let client = &entry.client;
    let questionnaire = json!({
        "account": "parks", "owner": "bea", "home_data_centre": "trent", "peak_queue": 10,
        "largest_job_accelerators": 64, "adjacent": true, "large_jobs_at_once": 1,
    });
    let propose = || client.post("/v1/operator/questionnaires", "operator:nia", &[], "");
    assert_eq!(propose().await.status, StatusCode::BAD_REQUEST);
    let text = questionnaire.to_string();
    let proposed = client
        .post("/v1/operator/questionnaires", "operator:nia", &[], &text)
        .await;
    assert_eq!(proposed.status, StatusCode::CREATED, "{:?}", proposed.body);
    let path = format!(
        "/v1/operator/proposals/{}",
        proposed.json()["proposal"].as_str().unwrap()
    );
    let accept = format!("{path}/accept");
    assert_eq!(
        client.post(&accept, "operator:nia", &[], "").await.status,
        StatusCode::FORBIDDEN
    );
    assert_eq!(
        client.post(&accept, "owner:bea", &[], "").await.status,
        StatusCode::FORBIDDEN
    );
    assert_eq!(
        client.get("/v1/operator/turn", "owner:bea").await.json()["owner"],
        "ada"
    );
    let accepted = client.post(&accept, "owner:ada", &[], "").await;
    assert_eq!(
        (accepted.status, &accepted.json()["revision"]),
        (StatusCode::OK, &1.into())
    );
    let again = client.post(&format!("{path}/reject"), "owner:ada", &[], "").await;
    assert_eq!(again.json()["error"]["code"], "proposal_decided");
    let full = text.replace("parks", "halls");
    let refused = client
        .post("/v1/operator/questionnaires", "operator:nia", &[], &full)
        .await;
    assert_eq!(
        refused.status,
        StatusCode::BAD_REQUEST,
        "a second guarantee of the only rack"
    );
}
