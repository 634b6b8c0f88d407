//! How much work of clients other tasks of the process wait for.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arbutuspick_server::{ClientBody, ClientGuard, ClientLimits, serve};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yare::parameterized;

const LIMITS: ClientLimits = ClientLimits {
    max_connections: 200,
    max_bytes: 64 * 1024 * 1024,
};
/// Number of requests of each client, which are sent before the first response is read.
const REQUESTS: usize = 150;
/// Maximum number of requests that another task waits for. A leader is replaced when its row is older than 1 s, and awaits
/// about ten calls in that time; on 0.09 of a core, a request takes up to 0.3 ms.
const MAX_REQUESTS_AT_ONCE: usize = 250;
/// Time limit for all requests, so that a server that hangs fails the test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against other tasks of the process, such as those of the leader, that wait the longer the more clients send
/// requests without a pause.
#[parameterized(
    few_clients = { 4 },
    many_clients = { 100 },
)]
fn bounded_turns(client_count: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let requests = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n".repeat(REQUESTS);
    let clients: Vec<TcpStream> = (0..client_count)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(&requests).unwrap();
            stream
        })
        .collect();

    let handled = Arc::new(AtomicUsize::new(0));
    let counter = handled.clone();
    let handler = move |_: Request<ClientBody>| {
        counter.fetch_add(1, Ordering::Relaxed);
        async { Response::new(Full::new(Bytes::new())) }
    };
    let guard = ClientGuard::new("test", LIMITS);
    let most_at_once = runtime.block_on(async {
        tokio::spawn(serve(listener, guard, CancellationToken::new(), handler));
        let other_task = tokio::spawn(async move {
            let (mut most_at_once, mut before) = (0, 0);
            while before < client_count * REQUESTS {
                tokio::task::yield_now().await;
                let now = handled.load(Ordering::Relaxed);
                most_at_once = most_at_once.max(now - before);
                before = now;
            }
            most_at_once
        });
        tokio::time::timeout(TIMEOUT, other_task).await
    });
    let most_at_once = most_at_once.expect("not all requests were served").unwrap();
    println!("{most_at_once} requests at once");
    for mut client in clients {
        let mut first = [0; 12];
        client.read_exact(&mut first).unwrap();
        assert_eq!(&first, b"HTTP/1.1 200");
    }
    assert!(
        most_at_once <= MAX_REQUESTS_AT_ONCE,
        "another task waited for {most_at_once} requests"
    );
}
