//! Connections between two entry VMs on loopback.

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

const LIMIT: Duration = Duration::from_secs(10);

fn hello(vm: &str) -> Hello {
    Hello {
        vm: vm.into(),
        data_centre: "trent".into(),
    }
}

fn vm(name: &str) -> VmName {
    VmName::try_from(name).unwrap()
}

fn address_of(address: SocketAddr) -> PeerAddress {
    let data_centre = CentreName::try_from("trent").unwrap();
    PeerAddress {
        vm: vm("server"),
        data_centre,
        address,
    }
}

/// Answers pulls with the revision asked for, and passes hints on.
fn echo_handler(hints: mpsc::UnboundedSender<PeerMessage>) -> PeerHandler {
    Arc::new(move |_, message| {
        let hints = hints.clone();
        async move {
            match message {
                PeerMessage::ConfigPull(ConfigPull { above: u64::MAX }) => futures::future::pending().await,
                PeerMessage::ConfigPull(ConfigPull { above }) => Some(PeerMessage::ConfigPage(ConfigPage {
                    revision: above,
                    ..ConfigPage::default()
                })),
                hint => {
                    let _ = hints.send(hint);
                    None
                }
            }
        }
        .boxed()
    })
}

struct Pair {
    links: Arc<PeerLinks>,
    hints: mpsc::UnboundedReceiver<PeerMessage>,
    address: SocketAddr,
    server_stop: CancellationToken,
}

fn links_to(address: SocketAddr, options: LinkOptions) -> Arc<PeerLinks> {
    let links = PeerLinks::new(hello("client"), options, CancellationToken::new());
    links.set_peers(vec![address_of(address)]);
    Arc::new(links)
}

async fn start_pair() -> Pair {
    let server = PeerServer::bind("127.0.0.1:0".parse().unwrap(), hello("server"))
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    let (sender, hints) = mpsc::unbounded_channel();
    let server_stop = CancellationToken::new();
    tokio::spawn(server.run(echo_handler(sender), server_stop.clone()));
    let links = links_to(address, LinkOptions::default());
    Pair {
        links,
        hints,
        address,
        server_stop,
    }
}

fn pull(above: u64) -> PeerMessage {
    PeerMessage::ConfigPull(ConfigPull { above })
}

/// Guards against an answer that is handed to another request of the same connection.
#[tokio::test]
async fn answers_match() {
    let Pair { links, .. } = start_pair().await;
    let requests = (0..200).map(|above| {
        let links = Arc::clone(&links);
        async move { (above, links.request(&vm("server"), pull(above), LIMIT).await) }
    });
    for (above, answer) in futures::future::join_all(requests).await {
        match answer {
            Ok(PeerMessage::ConfigPage(page)) => assert_eq!(page.revision, above),
            other => panic!("request {above}: {other:?}"),
        }
    }
}

/// Guards against a link that stays down after its peer was restarted.
#[tokio::test]
async fn link_reconnects() {
    let Pair {
        links,
        address,
        server_stop,
        ..
    } = start_pair().await;
    assert!(links.request(&vm("server"), pull(1), LIMIT).await.is_ok());
    server_stop.cancel();
    let server = loop {
        // The old listener is closed when its task has seen the token.
        match PeerServer::bind(address, hello("server")).await {
            Ok(server) => break server,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let (sender, _hints) = mpsc::unbounded_channel();
    tokio::spawn(server.run(echo_handler(sender), CancellationToken::new()));
    let answered = async { while links.request(&vm("server"), pull(2), LIMIT).await.is_err() {} };
    timeout(LIMIT, answered)
        .await
        .expect("no answer after the restart");
}

/// Guards against a request that waits for ever for a peer that does not answer.
#[tokio::test]
async fn request_times_out() {
    let Pair { links, .. } = start_pair().await;
    let answer = links
        .request(&vm("server"), pull(u64::MAX), Duration::from_millis(20))
        .await;
    assert_eq!(answer, Err(PeerError::TimedOut { vm: vm("server") }));
    let unknown = links.request(&vm("nobody"), pull(1), LIMIT).await;
    assert_eq!(unknown, Err(PeerError::UnknownPeer { vm: vm("nobody") }));
}

/// Guards against an unbounded queue to a peer that is down, and against dropping the newest hint.
#[tokio::test]
async fn oldest_hint_drops() {
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = free.local_addr().unwrap();
    let options = LinkOptions::default()
        .with_queue_length(3)
        .with_last_backoff(Duration::from_millis(50));
    drop(free);
    let links = links_to(address, options);
    for revision in 1..=10 {
        links.hint_all(PeerMessage::ConfigHead(ConfigHead { revision }));
    }
    let server = PeerServer::bind(address, hello("server")).await.unwrap();
    let (sender, mut hints) = mpsc::unbounded_channel();
    tokio::spawn(server.run(echo_handler(sender), CancellationToken::new()));
    for revision in 8..=10 {
        let hint = timeout(LIMIT, hints.recv()).await.unwrap();
        assert_eq!(hint, Some(PeerMessage::ConfigHead(ConfigHead { revision })));
    }
}

/// Guards against a server that accepts messages of a sender that did not say who it is, or huge frames.
#[yare::parameterized(
    no_hello = { &[0, 0, 0, 2, 0x08, 0x01] },
    huge_frame = { &[0x7f, 0xff, 0xff, 0xff, 0] },
    no_protobuf = { &[0, 0, 0, 1, 0xff] },
)]
#[test_macro(tokio::test)]
async fn bad_frame_closes(bytes: &[u8]) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Pair {
        address, mut hints, ..
    } = start_pair().await;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut rest = Vec::new();
    // A reset is as good as an end of the stream.
    let _ = timeout(LIMIT, stream.read_to_end(&mut rest))
        .await
        .expect("connection stays open");
    assert!(rest.is_empty());
    assert!(hints.try_recv().is_err());
}
