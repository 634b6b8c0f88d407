//! Guards against calls during an outage that add load to the platform, or fail without saying that they were
//! not sent.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arbutuspick_clients::{CallError, CallPriority, ClientOptions, TableClient};
use futures::future::join_all;
use support::{FakeServer, PausedTime, ServerAction, empty_page};
use tokio::time::advance;

const MAX_DELAY: Duration = Duration::from_secs(5);

struct OutageSetup {
    server: FakeServer,
    client: TableClient,
    down: Arc<AtomicBool>,
}

async fn start_outage() -> OutageSetup {
    let down = Arc::new(AtomicBool::new(true));
    let switch = Arc::clone(&down);
    let server = FakeServer::start(move |_| match switch.load(Ordering::SeqCst) {
        true => ServerAction::Close,
        false => ServerAction::Respond(empty_page(1)),
    })
    .await;
    let options = ClientOptions::new(server.address)
        .with_reads_per_s(100)
        .with_call_timeout(Duration::from_secs(30));
    OutageSetup {
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
    let _time = PausedTime::pause();
    let OutageSetup { server, client, .. } = start_outage().await;
    read(&client, CallPriority::Submission).await.unwrap_err();
    for _ in 0..100 {
        let error = read(&client, CallPriority::Submission).await.unwrap_err();
        assert!(
            matches!(
                error,
                CallError::NotSent {
                    retry_after_ms: 1..=50,
                    ..
                }
            ),
            "{error}"
        );
    }
    assert_eq!(server.request_count(), 1);
}

#[tokio::test]
async fn single_probe() {
    let _time = PausedTime::pause();
    let OutageSetup { server, client, .. } = start_outage().await;
    read(&client, CallPriority::Submission).await.unwrap_err();
    for round in 1..20 {
        advance(MAX_DELAY).await;
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
    let _time = PausedTime::pause();
    let OutageSetup { server, client, down } = start_outage().await;
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
        "essential calls must wait for the back-off, too"
    );
    advance(MAX_DELAY).await;
    renewal.await.unwrap().unwrap();
    assert_eq!(server.request_count(), 2);
}

#[tokio::test]
async fn gradual_recovery() {
    let _time = PausedTime::pause();
    let OutageSetup { client, down, .. } = start_outage().await;
    for _ in 0..5 {
        read(&client, CallPriority::Submission).await.unwrap_err();
        advance(MAX_DELAY).await;
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
    // One lost response must not reduce the rate for ten seconds.
    let _time = PausedTime::pause();
    let OutageSetup { client, down, .. } = start_outage().await;
    read(&client, CallPriority::Submission).await.unwrap_err();
    down.store(false, Ordering::SeqCst);
    advance(MAX_DELAY).await;
    for _ in 0..50 {
        read(&client, CallPriority::Submission).await.unwrap();
    }
}
