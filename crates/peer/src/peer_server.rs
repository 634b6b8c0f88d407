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

/// Most connections at once; 18 data centres have about 126 entry VMs.
const MAX_CONNECTIONS: usize = 256;
/// Most requests of one connection that are answered at once.
const MAX_REQUESTS: usize = 64;
/// A connection without a frame for this long is closed; heartbeats come every second.
const SILENCE_LIMIT: Duration = Duration::from_secs(10);
/// Time limit to write one answer.
const WRITE_LIMIT: Duration = Duration::from_secs(2);

/// Handles a message of a peer; returns the answer to a request.
pub type PeerHandler =
    Arc<dyn Fn(VmName, PeerMessage) -> BoxFuture<'static, Option<PeerMessage>> + Send + Sync>;

/// Accepts connections of peers and answers their requests.
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

    /// Serves connections until the token is cancelled.
    pub async fn run(self, handler: PeerHandler, stop: CancellationToken) {
        let Self { listener, hello } = self;
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (stream, address) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("[peer] accepting a connection failed: {error}");
                    // Without a pause the loop would spin while no file descriptor is free.
                    sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                log::warn!("[peer] connection from {address} refused: {MAX_CONNECTIONS} are open");
                continue;
            };
            let connection = serve_connection(stream, hello.clone(), Arc::clone(&handler));
            let stop = stop.clone();
            tokio::spawn(async move {
                let _place = place;
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
    let (answers, mut outgoing) = mpsc::channel::<PeerEnvelope>(MAX_REQUESTS);
    let read = async {
        let mut sender: Option<VmName> = None;
        let places = Arc::new(Semaphore::new(MAX_REQUESTS));
        while let Some(frame) = timeout(SILENCE_LIMIT, reader.next()).await? {
            let PeerEnvelope { request, message } = PeerEnvelope::from_frame(&frame?).map_err(invalid)?;
            match (message, &sender) {
                (Some(PeerMessage::Hello(greeting)), _) => {
                    sender = Some(VmName::try_from(greeting.vm.as_str()).map_err(invalid)?);
                    let answer = PeerEnvelope::request(request, PeerMessage::Hello(hello.clone()));
                    answers.send(answer).await.map_err(invalid)?;
                }
                (_, None) => return Err(invalid("the first message is not Hello")),
                (None, _) => log::debug!("[peer] message of an unknown kind ignored"),
                (Some(message), Some(vm)) if request == 0 => {
                    handler(vm.clone(), message).await;
                }
                (Some(message), Some(vm)) => {
                    let place = Arc::clone(&places).acquire_owned().await.map_err(invalid)?;
                    let answer = handler(vm.clone(), message);
                    let answers = answers.clone();
                    tokio::spawn(async move {
                        let _place = place;
                        if let Some(message) = answer.await {
                            // The connection may be gone; the requester then sees that itself.
                            let _ = answers.send(PeerEnvelope::request(request, message)).await;
                        }
                    });
                }
            }
        }
        Ok(())
    };
    let write = async {
        while let Some(envelope) = outgoing.recv().await {
            timeout(WRITE_LIMIT, writer.send(envelope.to_frame())).await??;
        }
        Ok(())
    };
    tokio::select! { result = read => result, result = write => result }
}

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}
