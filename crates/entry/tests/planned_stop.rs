//! Planned stop with work in flight.

mod support;

use std::fs;
use std::process::{Command, Stdio};
use std::time::Duration;

use axum::http::StatusCode;
use support::{FakePlatform, FakeUpstream, TestClient, TestEntry, closed_address, settings_yaml, until};
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(20);

/// Guards against a stop that cuts off a request, a recorded outcome or a waiting caller.
#[tokio::test]
async fn flight_finishes() {
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
    until("request runs", || async { upstream.runs() == 1 }).await;
    let waiter = tokio::spawn({
        let (client, path) = (client.clone(), format!("/v1/jobs/{job}/wait"));
        async move { client.get(&path, "account:parks").await }
    });
    until("caller waits", || async {
        let state = client.get("/debug/state", "operator:nia").await.json();
        state["waiters_left"] == 4_095
    })
    .await;
    let stop = tokio::spawn(daemon.stop());
    let waited = timeout(LIMIT, waiter).await.unwrap().unwrap();
    assert_eq!(
        (waited.status, waited.json()["continue"].as_str()),
        (StatusCode::OK, Some(&*job))
    );
    assert!(!stop.is_finished());
    drop(held);
    let reply = timeout(LIMIT, request).await.unwrap().unwrap();
    assert_eq!(
        (reply.status, reply.header("x-outcome")),
        (StatusCode::CREATED, "ran"),
        "{:?}",
        reply.body
    );
    let in_time = timeout(LIMIT, stop).await.unwrap().unwrap();
    assert!(in_time, "something did not end by itself");
    let row = platform.with(|state| state.table.get("key/parks/slot-7").unwrap().value.clone());
    assert!(row.contains("finished"), "the outcome is not recorded: {row}");
}

/// Guards against another exit code than 0 after SIGTERM, and against a process that does not end.
#[tokio::test]
async fn signal_exits_zero() {
    let http = closed_address().await;
    let yaml = settings_yaml("trent-1", closed_address().await, &[]);
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
    until("process listens", || async {
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
    let status = timeout(LIMIT, status).await.unwrap().unwrap().unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Guards against a daemon that ignores an address it cannot bind.
#[tokio::test]
async fn bind_failure_exits_one() {
    let taken = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = taken.local_addr().unwrap();
    let yaml = settings_yaml("trent-1", closed_address().await, &[]);
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
