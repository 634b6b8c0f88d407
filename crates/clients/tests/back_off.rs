//! Calls during an outage must not add load to the platform, and must say that they were not sent.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arbutuspick_clients::{CallError, CallPriority, ClientOptions, TableClient};
use futures::future::join_all;
use support::{FakeServer, HeldTime, Script, empty_page};
use tokio::time::advance;

const LONGEST_DELAY: Duration = Duration::from_secs(5);

struct Outage {
    server: FakeServer,
    client: TableClient,
    down: Arc<AtomicBool>,
}

async fn start_outage() -> Outage {
    let down = Arc::new(AtomicBool::new(true));
    let switch = Arc::clone(&down);
    let server = FakeServer::start(move |_| match switch.load(Ordering::SeqCst) {
        true => Script::Drop,
        false => Script::Answer(empty_page(1)),
    })
    .await;
    let options = ClientOptions::new(server.address)
        .with_reads_per_s(100)
        .with_call_timeout(Duration::from_secs(30));
    Outage {
        client: TableClient::new(options),
        server,
        down,
    }
}

async fn read(client: &TableClient, priority: CallPriority) -> Result<(), CallError> {
    client.read(&["turn".into()], priority).await.map(drop)
}

#[tokio::test]
async fn refused_at_once() {
    let _held = HeldTime::pause();
    let Outage { server, client, .. } = start_outage().await;
    read(&client, CallPriority::Submission).await.unwrap_err();
    for _ in 0..100 {
        let error = read(&client, CallPriority::Submission).await.unwrap_err();
        assert!(
            matches!(error, CallError::NotSent { retry_ms: 1..=50, .. }),
            "{error}"
        );
    }
    assert_eq!(server.request_count(), 1);
}

#[tokio::test]
async fn one_probe() {
    let _held = HeldTime::pause();
    let Outage { server, client, .. } = start_outage().await;
    read(&client, CallPriority::Submission).await.unwrap_err();
    for round in 1..20 {
        advance(LONGEST_DELAY).await;
        let calls = (0..20).map(|_| read(&client, CallPriority::Submission));
        let results = join_all(calls).await;
        let sent = results
            .iter()
            .filter(|r| matches!(r, Err(CallError::Ambiguous { .. })))
            .count();
        assert_eq!(sent, 1);
        assert_eq!(server.request_count(), round + 1);
    }
}

#[tokio::test]
async fn essential_waits() {
    let _held = HeldTime::pause();
    let Outage { server, client, down } = start_outage().await;
    read(&client, CallPriority::Submission).await.unwrap_err();
    down.store(false, Ordering::SeqCst);
    let renewal = tokio::spawn({
        let client = client.clone();
        async move { read(&client, CallPriority::Essential).await }
    });
    tokio::task::yield_now().await;
    assert_eq!(
        server.request_count(),
        1,
        "the back-off paces essential calls, too"
    );
    advance(LONGEST_DELAY).await;
    renewal.await.unwrap().unwrap();
    assert_eq!(server.request_count(), 2);
}

#[tokio::test]
async fn slow_restart() {
    let _held = HeldTime::pause();
    let Outage { client, down, .. } = start_outage().await;
    for _ in 0..5 {
        read(&client, CallPriority::Submission).await.unwrap_err();
        advance(LONGEST_DELAY).await;
    }
    down.store(false, Ordering::SeqCst);
    read(&client, CallPriority::Submission).await.unwrap();
    let mut admitted = Vec::new();
    for _ in 0..12 {
        advance(Duration::from_secs(1)).await;
        let mut count = 0;
        while count < 200 && read(&client, CallPriority::Submission).await.is_ok() {
            count += 1;
        }
        admitted.push(count);
    }
    assert!(admitted[0] <= 20, "{admitted:?}");
    assert!(admitted.windows(2).all(|pair| pair[0] <= pair[1]), "{admitted:?}");
    assert!(admitted[11] >= 80, "{admitted:?}");
}

#[tokio::test]
async fn single_failure() {
    // One lost answer must not cost ten seconds of reduced rate.
    let _held = HeldTime::pause();
    let Outage { client, down, .. } = start_outage().await;
    read(&client, CallPriority::Submission).await.unwrap_err();
    down.store(false, Ordering::SeqCst);
    advance(LONGEST_DELAY).await;
    for _ in 0..50 {
        read(&client, CallPriority::Submission).await.unwrap();
    }
}
