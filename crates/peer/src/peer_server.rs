use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::VmName;
use futures::future::BoxFuture;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::{Hello, PeerEnvelope, PeerMessage, frame_codec};

/// Maximum number of open connections; 18 data centres have about 126 entry VMs.
const MAX_CONNECTIONS: usize = 256;
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
}

impl PeerServer {
    /// Binds the listener.
    pub async fn bind(address: SocketAddr, hello: Hello) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, hello })
    }

    /// Returns the address of the listener.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until the token is cancelled.
    pub async fn run(self, handler: PeerHandler, stop: CancellationToken) {
        let Self { listener, hello } = self;
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
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
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                log::warn!("[peer] connection from {address} refused: limit is {MAX_CONNECTIONS}");
                continue;
            };
            let connection = serve_connection(stream, hello.clone(), Arc::clone(&handler));
            let stop = stop.clone();
            tokio::spawn(async move {
                let _permit = permit;
                tokio::select! {
                    () = stop.cancelled() => {}
                    Err(error) = connection => log::debug!("[peer] connection from {address} ended: {error}"),
                    else => {}
                }
            });
        }
    }
}

async fn serve_connection(stream: TcpStream, hello: Hello, handler: PeerHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut writer, mut reader) = Framed::new(stream, frame_codec()).split();
    let (responses, mut outgoing) = mpsc::channel::<PeerEnvelope>(MAX_CONCURRENT_REQUESTS);
    let read = async {
        let mut sender: Option<VmName> = None;
        // Notifications are handled one after the other, in order; requests are handled concurrently.
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
        while let Some(frame) = timeout(IDLE_TIMEOUT, reader.next()).await? {
            let PeerEnvelope { request_id, message } =
                PeerEnvelope::from_frame(&frame?).map_err(invalid_data)?;
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
        }
        Ok(())
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
