//! Clients that request large responses and do not read them.

use arbutuspick_server::{ClientBody, ClientGuard, ClientLimits, serve};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Size of a response that does not fit the buffers of a connection, in bytes.
const RESPONSE_BYTES: usize = 16 * 1024 * 1024;
const LIMITS: ClientLimits = ClientLimits {
    max_connections: 16,
    max_bytes: 2 * 1024 * 1024,
};
/// Number of attempts to make a request beside the others.
const MAX_ATTEMPTS: usize = 200;

async fn respond(request: Request<ClientBody>) -> Response<Full<Bytes>> {
    let size = if request.uri().path() == "/large" {
        RESPONSE_BYTES
    } else {
        2
    };
    Response::new(Full::new(Bytes::from(vec![b'x'; size])))
}

async fn request(stream: &mut TcpStream, path: &str) -> std::io::Result<()> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n");
    stream.write_all(request.as_bytes()).await
}

/// Makes a small request and reads the response.
async fn exchange(stream: &mut TcpStream) -> bool {
    let mut response = [0; 200];
    request(stream, "/small").await.is_ok()
        && matches!(stream.read(&mut response).await, Ok(length) if response[..length].ends_with(b"xx"))
}

/// Guards against responses that nobody reads, on connections that are open already, and that together take more memory
/// than the limit; and against a server that serves nobody else because of them.
#[tokio::test]
async fn open_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let guard = ClientGuard::new("test", LIMITS);
    tokio::spawn(serve(listener, guard.clone(), CancellationToken::new(), respond));
    let mut clients = Vec::new();
    for _ in 0..LIMITS.max_connections {
        let mut stream = TcpStream::connect(address).await.unwrap();
        assert!(exchange(&mut stream).await);
        clients.push(stream);
    }
    let mut most_held = 0;
    for client in &mut clients {
        // The server may have closed the connection to make room.
        let _ = request(client, "/large").await;
        let mut first = [0; 12];
        let _ = client.read(&mut first).await;
        most_held = most_held.max(guard.load().1);
    }
    assert!(
        most_held <= LIMITS.max_bytes + RESPONSE_BYTES,
        "{most_held} bytes are held"
    );
    let mut is_served = false;
    for _ in 0..MAX_ATTEMPTS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        is_served = exchange(&mut stream).await;
        if is_served {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(is_served, "an ordinary request was not served");
}
