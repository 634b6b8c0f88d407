//! Connections between two entry VMs on the loopback interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::{CentreName, VmName};
use arbutuspick_peer::{
    ConfigHead, ConfigPage, ConfigPull, Hello, LinkOptions, PeerAddress, PeerError, PeerHandler, PeerLinks,
    PeerMessage, PeerServer,
};
use futures::FutureExt;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(10);

fn hello(vm: &str) -> Hello {
    Hello {
        vm: vm.into(),
        data_centre: "trent".into(),
    }
}

fn vm(name: &str) -> VmName {
    VmName::try_from(name).unwrap()
}

fn peer_address(address: SocketAddr) -> PeerAddress {
    let data_centre = CentreName::try_from("trent").unwrap();
    PeerAddress {
        vm: vm("server"),
        data_centre,
        address,
    }
}

/// Responds to config pulls with the requested revision, except for `u64::MAX`, and forwards notifications.
fn echo_handler(notifications: mpsc::UnboundedSender<PeerMessage>) -> PeerHandler {
    Arc::new(move |_, message| {
        let notifications = notifications.clone();
        async move {
            match message {
                PeerMessage::ConfigPull(ConfigPull { above: u64::MAX }) => futures::future::pending().await,
                PeerMessage::ConfigPull(ConfigPull { above }) => Some(PeerMessage::ConfigPage(ConfigPage {
                    revision: above,
                    ..ConfigPage::default()
                })),
                notification => {
                    let _ = notifications.send(notification);
                    None
                }
            }
        }
        .boxed()
    })
}

struct LinkPair {
    links: Arc<PeerLinks>,
    notifications: mpsc::UnboundedReceiver<PeerMessage>,
    address: SocketAddr,
    server_stop: CancellationToken,
}

fn links_to(address: SocketAddr, options: LinkOptions) -> Arc<PeerLinks> {
    let links = PeerLinks::new(hello("client"), options, CancellationToken::new());
    links.set_peers(vec![peer_address(address)]);
    Arc::new(links)
}

async fn start_pair() -> LinkPair {
    let server = PeerServer::bind("127.0.0.1:0".parse().unwrap(), hello("server"))
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    let (sender, notifications) = mpsc::unbounded_channel();
    let server_stop = CancellationToken::new();
    tokio::spawn(server.run(echo_handler(sender), server_stop.clone()));
    let links = links_to(address, LinkOptions::default());
    LinkPair {
        links,
        notifications,
        address,
        server_stop,
    }
}

fn config_pull(above: u64) -> PeerMessage {
    PeerMessage::ConfigPull(ConfigPull { above })
}

/// Guards against a response that is delivered to another request on the same connection.
#[tokio::test]
async fn responses_match() {
    let LinkPair { links, .. } = start_pair().await;
    let requests = (0..200).map(|above| {
        let links = Arc::clone(&links);
        async move {
            (
                above,
                links.request(&vm("server"), config_pull(above), TIMEOUT).await,
            )
        }
    });
    for (above, response) in futures::future::join_all(requests).await {
        match response {
            Ok(PeerMessage::ConfigPage(page)) => assert_eq!(page.revision, above),
            other => panic!("request {above}: {other:?}"),
        }
    }
}

/// Guards against a link that does not reconnect after a restart of its peer.
#[tokio::test]
async fn link_reconnects() {
    let LinkPair {
        links,
        address,
        server_stop,
        ..
    } = start_pair().await;
    assert!(
        links
            .request(&vm("server"), config_pull(1), TIMEOUT)
            .await
            .is_ok()
    );
    server_stop.cancel();
    let server = loop {
        // The old listener is closed once its task has observed the cancellation.
        match PeerServer::bind(address, hello("server")).await {
            Ok(server) => break server,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let (sender, _notifications) = mpsc::unbounded_channel();
    tokio::spawn(server.run(echo_handler(sender), CancellationToken::new()));
    let reconnected = async {
        while links
            .request(&vm("server"), config_pull(2), TIMEOUT)
            .await
            .is_err()
        {}
    };
    timeout(TIMEOUT, reconnected)
        .await
        .expect("no response after the restart");
}

/// Guards against a request that waits forever for a peer that does not respond.
#[tokio::test]
async fn request_times_out() {
    let LinkPair { links, .. } = start_pair().await;
    let response = links
        .request(&vm("server"), config_pull(u64::MAX), Duration::from_millis(20))
        .await;
    assert_eq!(response, Err(PeerError::TimedOut { vm: vm("server") }));
    let unknown = links.request(&vm("nobody"), config_pull(1), TIMEOUT).await;
    assert_eq!(unknown, Err(PeerError::UnknownPeer { vm: vm("nobody") }));
}

/// Guards against an unbounded queue to a peer that is down, and against dropping the newest notification.
#[tokio::test]
async fn oldest_dropped() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let options = LinkOptions::default()
        .with_queue_capacity(3)
        .with_max_backoff(Duration::from_millis(50));
    drop(listener);
    let links = links_to(address, options);
    for revision in 1..=10 {
        links.notify_all(PeerMessage::ConfigHead(ConfigHead { revision }));
    }
    let server = PeerServer::bind(address, hello("server")).await.unwrap();
    let (sender, mut notifications) = mpsc::unbounded_channel();
    tokio::spawn(server.run(echo_handler(sender), CancellationToken::new()));
    for revision in 8..=10 {
        let notification = timeout(TIMEOUT, notifications.recv()).await.unwrap();
        assert_eq!(
            notification,
            Some(PeerMessage::ConfigHead(ConfigHead { revision }))
        );
    }
}

/// Guards against a server that accepts messages before the handshake, oversized frames or invalid protobuf.
#[yare::parameterized(
    no_hello = { &[0, 0, 0, 2, 0x08, 0x01] },
    huge_frame = { &[0x7f, 0xff, 0xff, 0xff, 0] },
    no_protobuf = { &[0, 0, 0, 1, 0xff] },
)]
#[test_macro(tokio::test)]
async fn bad_frame_closes(bytes: &[u8]) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let LinkPair {
        address,
        mut notifications,
        ..
    } = start_pair().await;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut rest = Vec::new();
    // Both a reset and an end of the stream are valid.
    let _ = timeout(TIMEOUT, stream.read_to_end(&mut rest))
        .await
        .expect("connection stays open");
    assert!(rest.is_empty());
    assert!(notifications.try_recv().is_err());
}
