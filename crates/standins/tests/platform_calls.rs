//! Checks that the platform stand-in behaves as the clients expect: conditional writes, lost answers, delayed
//! writes, outages and an outdated list of VMs.

mod support;

use std::time::Duration;

use arbutuspick_clients::{
    CallError, CallPriority, ClientOptions, ObjectClient, TableClient, VmClient, VmEntry, VmRole,
};
use arbutuspick_model::{CentreName, WriteId};
use arbutuspick_records::{CommitResult, RowVersion, ScanQuery, TableTransaction};
use arbutuspick_standins::{PlatformControl, PlatformOptions, PlatformStandin, VmKey, WriteDelay};
use support::{PausedClock, advance};

const PRIORITY: CallPriority = CallPriority::Essential;

async fn start() -> (PlatformStandin, TableClient) {
    let platform = PlatformStandin::start(PlatformOptions::default()).await.unwrap();
    let options = ClientOptions::new(platform.address()).with_call_timeout(Duration::from_secs(3600));
    let client = TableClient::new(options);
    (platform, client)
}

fn transaction() -> TableTransaction {
    TableTransaction::new(WriteId::generate())
}

#[tokio::test]
async fn conditional_write() {
    let (_platform, client) = start().await;
    let create = transaction()
        .check("a", RowVersion::ABSENT)
        .put("a", "1")
        .put("b", "1");
    let CommitResult::Committed { version } = client.transact(&create, PRIORITY).await.unwrap().body else {
        panic!("conflict on an empty table");
    };
    let conflict = CommitResult::Conflict { key: "a".into() };
    assert_eq!(client.transact(&create, PRIORITY).await.unwrap().body, conflict);
    let change = transaction()
        .check("b", version)
        .check("a", RowVersion::ABSENT)
        .put("b", "2");
    assert_eq!(client.transact(&change, PRIORITY).await.unwrap().body, conflict);
    let delete = transaction().check("a", version).delete("a");
    client.transact(&delete, PRIORITY).await.unwrap();
    let rows = client
        .read(&["a".into(), "b".into()], PRIORITY)
        .await
        .unwrap()
        .body
        .rows;
    assert_eq!(rows.len(), 1);
    assert_eq!(
        (&*rows[0].key, &*rows[0].value, rows[0].version),
        ("b", "1", version)
    );
}

#[tokio::test]
async fn paged_scan() {
    let (_platform, client) = start().await;
    let mut fill = transaction().put("inbox", "0").put("inbox0", "0");
    for index in 0..10 {
        fill = fill.put(format!("inbox/{index}"), "1");
    }
    client.transact(&fill, PRIORITY).await.unwrap();
    let mut query = ScanQuery {
        prefix: "inbox/".into(),
        after: None,
        limit: 4,
    };
    let mut keys = Vec::new();
    loop {
        let page = client.scan(&query, PRIORITY).await.unwrap().body;
        keys.extend(page.rows.iter().map(|row| row.key.clone()));
        query.after = keys.last().cloned();
        if !page.more {
            break;
        }
    }
    let expected: Vec<_> = (0..10).map(|index| format!("inbox/{index}").into()).collect();
    assert_eq!(keys, expected);
}

#[tokio::test]
async fn lost_answer() {
    let (platform, client) = start().await;
    platform.control(&PlatformControl {
        lose_answers: Some(2),
        ..PlatformControl::default()
    });
    client
        .transact(&transaction().put("a", "1"), PRIORITY)
        .await
        .unwrap();
    let error = client
        .transact(&transaction().put("a", "2"), PRIORITY)
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    assert_eq!(&*platform.row("a").unwrap().value, "2");
}

#[tokio::test]
async fn delayed_write() {
    let _paused_clock = PausedClock::pause();
    let (platform, client) = start().await;
    let delay = WriteDelay {
        every: 1,
        after_ms: 500,
    };
    platform.control(&PlatformControl {
        delay_writes: Some(delay),
        ..PlatformControl::default()
    });
    client
        .transact(&transaction().put("a", "1"), PRIORITY)
        .await
        .unwrap_err();
    assert_eq!(platform.row("a"), None);
    advance(501).await;
    while platform.row("a").is_none() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn slow_write() {
    // A write takes effect even if its caller has timed out.
    let _paused_clock = PausedClock::pause();
    let platform = PlatformStandin::start(PlatformOptions::default()).await.unwrap();
    platform.control(&PlatformControl {
        delay_ms: Some(2000),
        ..PlatformControl::default()
    });
    let client = TableClient::new(ClientOptions::new(platform.address()));
    let call = tokio::spawn(async move { client.transact(&transaction().put("a", "1"), PRIORITY).await });
    while platform.stats().writes == 0 {
        tokio::task::yield_now().await;
    }
    advance(1500).await;
    call.await.unwrap().unwrap_err();
    assert_eq!(platform.row("a"), None);
    advance(1500).await;
    while platform.row("a").is_none() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn listener_outage() {
    let options = PlatformOptions {
        listeners: vec!["trent".into(), "severn".into()],
        ..PlatformOptions::default()
    };
    let platform = PlatformStandin::start(options).await.unwrap();
    let closed = ["trent".to_owned()].into();
    platform.control(&PlatformControl {
        closed_listeners: Some(closed),
        ..PlatformControl::default()
    });
    for (name, address) in platform.listeners() {
        let client = TableClient::new(ClientOptions::new(address));
        let result = client.read(&["a".into()], CallPriority::Submission).await;
        assert_eq!(result.is_ok(), name == "severn", "{name}");
    }
}

#[tokio::test]
async fn counted_calls() {
    let (platform, client) = start().await;
    for _ in 0..5 {
        client.read(&["a".into()], PRIORITY).await.unwrap();
    }
    client
        .transact(&transaction().put("a", "1"), PRIORITY)
        .await
        .unwrap();
    let stats = platform.stats();
    assert_eq!((stats.reads, stats.writes, stats.peak_writes_per_s), (5, 1, 1));
}

#[tokio::test]
async fn object_round_trip() {
    let platform = PlatformStandin::start(PlatformOptions::default()).await.unwrap();
    let client = ObjectClient::new(ClientOptions::new(platform.address()));
    let bytes = bytes::Bytes::from(vec![7; 3 * 1024 * 1024]);
    client.put("result/a/1", bytes.clone(), PRIORITY).await.unwrap();
    assert_eq!(client.get("result/a/1", PRIORITY).await.unwrap(), Some(bytes));
    client.delete("result/a/1", PRIORITY).await.unwrap();
    client.delete("result/a/1", PRIORITY).await.unwrap();
    assert_eq!(client.get("result/a/1", PRIORITY).await.unwrap(), None);
}

#[tokio::test]
async fn outdated_list() {
    let _paused_clock = PausedClock::pause();
    let platform = PlatformStandin::start(PlatformOptions::default()).await.unwrap();
    let client = VmClient::new(ClientOptions::new(platform.address()));
    let trent = CentreName::try_from("trent").unwrap();
    let entry = VmEntry {
        name: "e1".into(),
        role: VmRole::Entry,
        data_centre: trent.clone(),
        address: platform.address(),
        leaving: false,
        service: None,
        rack: None,
        capacity: None,
    };
    let control = PlatformControl {
        vm_lag_ms: Some(3000),
        add_vms: vec![entry],
        ..PlatformControl::default()
    };
    platform.control(&control);
    assert!(
        client
            .list(VmRole::Entry, Some(&trent))
            .await
            .unwrap()
            .vms
            .is_empty()
    );
    advance(3000).await;
    assert_eq!(
        client.list(VmRole::Entry, Some(&trent)).await.unwrap().vms.len(),
        1
    );
    assert!(
        client
            .list(VmRole::Worker, Some(&trent))
            .await
            .unwrap()
            .vms
            .is_empty()
    );
    let key = VmKey {
        role: VmRole::Entry,
        name: "e1".into(),
    };
    platform.control(&PlatformControl {
        leaving_vms: vec![key],
        ..PlatformControl::default()
    });
    assert!(!client.list(VmRole::Entry, None).await.unwrap().vms[0].leaving);
    advance(3000).await;
    assert!(client.list(VmRole::Entry, None).await.unwrap().vms[0].leaving);
}
