//! Over the limits, low-priority calls must be shed first, and lease renewals must never be shed.

mod support;

use std::time::Duration;

use arbutuspick_clients::{CallError, CallPriority, ClientOptions, TableClient};
use support::{FakeServer, PausedTime, ServerAction, empty_page};
use tokio::time::advance;

async fn count_admitted(client: &TableClient, priority: CallPriority) -> usize {
    let mut count = 0;
    while count < 100 {
        match client.read(&["turn".into()], priority).await {
            Ok(_) => count += 1,
            Err(CallError::NotSent { .. }) => break,
            Err(e) => panic!("{e}"),
        }
    }
    count
}

async fn start(reads_per_s: u32) -> (FakeServer, TableClient) {
    let server = FakeServer::start(|_| ServerAction::Respond(empty_page(1))).await;
    let options = ClientOptions::new(server.address).with_reads_per_s(reads_per_s);
    let client = TableClient::new(options);
    (server, client)
}

#[tokio::test]
async fn low_priority_first() {
    let _time = PausedTime::pause();
    let (server, client) = start(80).await;
    assert_eq!(count_admitted(&client, CallPriority::StatusRead).await, 50);
    assert_eq!(count_admitted(&client, CallPriority::KeyedRequest).await, 10);
    assert_eq!(count_admitted(&client, CallPriority::Submission).await, 10);
    assert_eq!(count_admitted(&client, CallPriority::Submission).await, 0);
    assert_eq!(count_admitted(&client, CallPriority::Essential).await, 100);
    assert_eq!(server.request_count(), 170);
}

#[tokio::test]
async fn bucket_refills() {
    let _time = PausedTime::pause();
    let (_server, client) = start(80).await;
    assert_eq!(count_admitted(&client, CallPriority::Submission).await, 70);
    advance(Duration::from_millis(500)).await;
    assert_eq!(count_admitted(&client, CallPriority::Submission).await, 40);
    advance(Duration::from_secs(60)).await;
    assert_eq!(count_admitted(&client, CallPriority::Submission).await, 70);
}

#[tokio::test]
async fn in_flight_limit() {
    let _time = PausedTime::pause();
    let server = FakeServer::start(|_| ServerAction::Hang).await;
    let client = TableClient::new(ClientOptions::new(server.address));
    let hanging: Vec<_> = (0..32)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { client.read(&["turn".into()], CallPriority::Essential).await })
        })
        .collect();
    tokio::task::yield_now().await;
    let error = client
        .read(&["turn".into()], CallPriority::Submission)
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
    for call in hanging {
        call.abort();
        // An aborted call releases its permit.
        let _ = call.await;
    }
    let status_read =
        tokio::spawn(async move { client.read(&["turn".into()], CallPriority::StatusRead).await });
    tokio::task::yield_now().await;
    assert!(!status_read.is_finished(), "the call must have been sent");
}
