//! Guards against an estimate ahead of the platform time: a lease could be taken over before it expires.

mod support;

use std::time::Duration;

use arbutuspick_clients::{CallPriority, ClientOptions, TableClient};
use arbutuspick_model::PlatformTime;
use support::{FakeServer, PausedTime, ServerAction, empty_page};
use tokio::time::advance;

#[tokio::test]
async fn never_ahead() {
    let _time = PausedTime::pause();
    let server = FakeServer::start(|_| ServerAction::Respond(empty_page(5_000))).await;
    let client = TableClient::new(ClientOptions::new(server.address));
    assert_eq!(client.platform_time(), None);
    client
        .read(&["turn".into()], CallPriority::StatusRead)
        .await
        .unwrap();
    assert_eq!(client.platform_time(), Some(PlatformTime(5_000)));
    advance(Duration::from_millis(700)).await;
    let estimate = client.platform_time().unwrap();
    assert!((5_690..=5_700).contains(&estimate.0), "{estimate}");
}
