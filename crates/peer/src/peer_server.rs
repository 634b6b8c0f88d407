use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::VmName;
use arbutuspick_server::{ClientGuard, ClientLimits, ConnectionLease, read_frame};
use futures::SinkExt;
use futures::future::BoxFuture;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedWrite;
use tokio_util::sync::CancellationToken;

use crate::{Hello, MAX_FRAME_BYTES, PeerEnvelope, PeerMessage, frame_codec};

/// Default limits; 18 data centres have about 126 entry VMs.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    max_connections: 256,
    max_bytes: 64 * 1024 * 1024,
};
/// Maximum number of requests that are processed concurrently per connection.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// A connection that receives no frame for this long is closed; peers send a heartbeat every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for writing one response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles a message of a peer; returns the response if the message is a request.
pub type PeerHandler =
    Arc<dyn Fn(VmName, PeerMessage) -> BoxFuture<'static, Option<PeerMessage>> + Send + Sync>;

/// Accepts connections from peers and handles their messages.
pub struct PeerServer {
    listener: TcpListener,
    hello: Hello,
    limits: ClientLimits,
}

impl PeerServer {
    /// Binds the listener.
    pub async fn bind(address: SocketAddr, hello: Hello) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            hello,
            limits: DEFAULT_LIMITS,
        })
    }

    /// Sets what all peers may hold together.
    #[must_use]
    pub fn with_limits(mut self, limits: ClientLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the address of the listener.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until the token is cancelled.
    pub async fn run(self, handler: PeerHandler, stop: CancellationToken) {
        let Self {
            listener,
            hello,
            limits,
        } = self;
        let guard = ClientGuard::new("peers", limits);
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (stream, address) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("[peer] cannot accept connection: {error}");
                    // Avoids a busy loop while no file descriptor is free.
                    sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            let Some(lease) = guard.connect() else {
                log::warn!("[peer] connection from {address} refused: there is no room");
                continue;
            };
            let connection =
                serve_connection(stream, Arc::clone(&lease), hello.clone(), Arc::clone(&handler));
            let stop = stop.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = lease.closed() => {}
                    Err(error) = connection => log::debug!("[peer] connection from {address} ended: {error}"),
                    else => {}
                }
            });
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    lease: Arc<ConnectionLease>,
    hello: Hello,
    handler: PeerHandler,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (BufReader::new(reader), FramedWrite::new(writer, frame_codec()));
    let (responses, mut outgoing) = mpsc::channel::<PeerEnvelope>(MAX_CONCURRENT_REQUESTS);
    let read = async {
        let mut sender: Option<VmName> = None;
        // Notifications are handled one after the other, in order; requests are handled concurrently.
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
        loop {
            let frame = timeout(IDLE_TIMEOUT, read_frame(&mut reader, &lease, MAX_FRAME_BYTES)).await??;
            let Some(frame) = frame else {
                return Err(io::Error::other("there is no room for the frame"));
            };
            let PeerEnvelope { request_id, message } =
                PeerEnvelope::from_frame(&frame).map_err(invalid_data)?;
            drop(frame);
            match (message, &sender) {
                (Some(PeerMessage::Hello(peer_hello)), _) => {
                    sender = Some(VmName::try_from(peer_hello.vm.as_str()).map_err(invalid_data)?);
                    let response = PeerEnvelope::request(request_id, PeerMessage::Hello(hello.clone()));
                    responses.send(response).await.map_err(invalid_data)?;
                }
                (_, None) => return Err(invalid_data("first message is not Hello")),
                (None, _) => log::debug!("[peer] ignored message of unknown type"),
                (Some(message), Some(vm)) if request_id == 0 => {
                    handler(vm.clone(), message).await;
                }
                (Some(message), Some(vm)) => {
                    let permit = Arc::clone(&permits).acquire_owned().await.map_err(invalid_data)?;
                    let response = handler(vm.clone(), message);
                    let responses = responses.clone();
                    tokio::spawn(async move {
                        let _permit = permit;
                        if let Some(message) = response.await {
                            // Fails only if the connection is closed, which the requester notices itself.
                            let _ = responses.send(PeerEnvelope::request(request_id, message)).await;
                        }
                    });
                }
            }
            // Responses are written by another task, within their own timeout.
            lease.respond(0, true);
            lease.finish();
        }
    };
    let write = async {
        while let Some(envelope) = outgoing.recv().await {
            timeout(WRITE_TIMEOUT, writer.send(envelope.to_frame())).await??;
        }
        Ok(())
    };
    tokio::select! { result = read => result, result = write => result }
}

fn invalid_data<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}
