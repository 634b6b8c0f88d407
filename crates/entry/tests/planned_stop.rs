//! Planned stop with work in flight.

mod support;

use std::fs;
use std::process::{Command, Stdio};
use std::time::Duration;

use axum::http::StatusCode;
use support::{FakePlatform, FakeUpstream, TestClient, TestEntry, settings_yaml, unused_address, wait_until};
use tokio::time::timeout;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a stop that interrupts a request, the recording of its outcome, or a waiting caller.
#[tokio::test]
async fn in_flight_finishes() {
    let platform = FakePlatform::start().await;
    let upstream = FakeUpstream::start().await;
    platform.with(|state| state.vms.push(upstream.vm("booking-1", "trent")));
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    entry.add_account("parks").await;
    entry.wait_for_upstream().await;
    let TestEntry { daemon, client } = entry;
    let job = client.post("/v1/jobs", "account:parks", &[], "{}").await.json();
    let job = job["job"].as_str().unwrap().to_owned();
    let held = upstream.gate.acquire_many(10_000).await.unwrap();
    let request = tokio::spawn({
        let client = client.clone();
        let key = [("idempotency-key", "slot-7")];
        async move {
            client
                .post("/v1/services/booking/requests", "account:parks", &key, "{}")
                .await
        }
    });
    wait_until("request runs", || async { upstream.runs() == 1 }).await;
    let waiter = tokio::spawn({
        let (client, path) = (client.clone(), format!("/v1/jobs/{job}/wait"));
        async move { client.get(&path, "account:parks").await }
    });
    wait_until("caller waits", || async {
        let state = client.get("/debug/state", "operator:nia").await.json();
        state["waiters_left"] == 4_095
    })
    .await;
    let stop = tokio::spawn(daemon.stop());
    let waited = timeout(WAIT_TIMEOUT, waiter).await.unwrap().unwrap();
    assert_eq!(
        (waited.status, waited.json()["continue"].as_str()),
        (StatusCode::OK, Some(&*job))
    );
    assert!(!stop.is_finished());
    drop(held);
    let response = timeout(WAIT_TIMEOUT, request).await.unwrap().unwrap();
    assert_eq!(
        (response.status, response.header("x-outcome")),
        (StatusCode::CREATED, "ran"),
        "{:?}",
        response.body
    );
    let in_time = timeout(WAIT_TIMEOUT, stop).await.unwrap().unwrap();
    assert!(in_time, "work in flight did not finish in time");
    let row = platform.with(|state| state.table.get("key/parks/slot-7").unwrap().value.clone());
    assert!(row.contains("finished"), "the outcome is not recorded: {row}");
}

/// Guards against an exit code other than 0 after SIGTERM, and a process that does not exit.
#[tokio::test]
async fn signal_exits_zero() {
    let http = unused_address().await;
    let yaml = settings_yaml("trent-1", unused_address().await, &[]);
    let yaml = yaml.replacen(
        "\"http_listen\":\"127.0.0.1:0\"",
        &format!("\"http_listen\":\"{http}\""),
        1,
    );
    let path = std::env::temp_dir().join(format!("arbutuspick-stop-{}.yaml", std::process::id()));
    fs::write(&path, yaml).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_arbutuspick"))
        .args(["entry", "--settings"])
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait_until("process listens", || async {
        tokio::net::TcpStream::connect(http).await.is_ok()
    })
    .await;
    assert_eq!(
        TestClient::new(http).get("/livez", "").await.status,
        StatusCode::OK
    );
    let kill = Command::new("kill")
        .arg(process.id().to_string())
        .status()
        .unwrap();
    assert!(kill.success());
    let status = tokio::task::spawn_blocking(move || process.wait());
    let status = timeout(WAIT_TIMEOUT, status).await.unwrap().unwrap().unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Guards against a daemon that continues although it cannot bind an address.
#[tokio::test]
async fn bind_failure_exits_one() {
    let taken = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = taken.local_addr().unwrap();
    let yaml = settings_yaml("trent-1", unused_address().await, &[]);
    let yaml = yaml.replacen(
        "\"http_listen\":\"127.0.0.1:0\"",
        &format!("\"http_listen\":\"{address}\""),
        1,
    );
    let path = std::env::temp_dir().join(format!("arbutuspick-bind-{}.yaml", std::process::id()));
    fs::write(&path, yaml).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_arbutuspick"))
        .args(["entry", "--settings"])
        .arg(&path)
        .output();
    fs::remove_file(&path).unwrap();
    let output = output.unwrap();
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(
        log.contains("http_listen") && log.contains(&address.to_string()),
        "{log}"
    );
}
