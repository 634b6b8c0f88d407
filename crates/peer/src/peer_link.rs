use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use rand::Rng;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::link_queue::LinkQueue;
use crate::{Hello, LinkOptions, PeerAddress, PeerEnvelope, PeerMessage, frame_codec};

type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Request id of heartbeats; request ids count up from 1 and never reach it.
const HEARTBEAT_ID: u64 = u64::MAX;

/// The outgoing connection to one peer; reconnects when it is lost.
pub(crate) struct PeerLink {
    pub(crate) peer: PeerAddress,
    pub(crate) hello: Hello,
    pub(crate) options: LinkOptions,
    pub(crate) queue: Arc<LinkQueue>,
}

impl PeerLink {
    /// Runs the connection until the token is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.keep_connected() => {}
        }
        self.queue.set_connected(false);
    }

    async fn keep_connected(&self) {
        let LinkOptions {
            initial_backoff,
            max_backoff,
            ..
        } = self.options;
        let mut backoff = initial_backoff;
        loop {
            match self.connect().await {
                Ok(stream) => {
                    backoff = initial_backoff;
                    let error = self.run_connection(stream).await;
                    log::info!("[peer] connection to {} lost: {error}", self.peer.vm);
                }
                Err(error) => log::debug!("[peer] connecting to {} failed: {error}", self.peer.vm),
            }
            self.queue.set_connected(false);
            sleep(with_jitter(backoff)).await;
            backoff = (backoff * 2).min(max_backoff);
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = timeout(self.options.io_timeout, TcpStream::connect(self.peer.address)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn run_connection(&self, stream: TcpStream) -> io::Error {
        let (read_half, write_half) = stream.into_split();
        let reader = FramedRead::new(read_half, frame_codec());
        let writer = FramedWrite::new(write_half, frame_codec());
        tokio::select! {
            error = self.read_responses(reader) => error,
            error = self.write_messages(writer) => error,
        }
    }

    async fn read_responses(&self, mut reader: FrameReader) -> io::Error {
        loop {
            let frame = match timeout(self.options.idle_timeout, reader.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return error,
                Ok(None) => return io::ErrorKind::ConnectionReset.into(),
                Err(_) => return io::ErrorKind::TimedOut.into(),
            };
            match PeerEnvelope::from_frame(&frame) {
                Ok(PeerEnvelope {
                    request_id: HEARTBEAT_ID,
                    ..
                }) => self.queue.set_connected(true),
                Ok(PeerEnvelope {
                    request_id,
                    message: Some(message),
                }) => self.queue.complete_request(request_id, message),
                Ok(_) => log::warn!("[peer] {} sent a response of unknown type", self.peer.vm),
                Err(error) => return io::Error::new(io::ErrorKind::InvalidData, error),
            }
        }
    }

    async fn write_messages(&self, mut writer: FrameWriter) -> io::Error {
        let mut heartbeat = interval(self.options.heartbeat_interval);
        // Consumes the first tick, which completes immediately: the Hello below is the first heartbeat.
        heartbeat.tick().await;
        let hello = PeerEnvelope::request(HEARTBEAT_ID, PeerMessage::Hello(self.hello.clone())).to_frame();
        if let Err(error) = self.write_frame(&mut writer, hello.clone()).await {
            return error;
        }
        loop {
            let frame = tokio::select! {
                _ = heartbeat.tick() => hello.clone(),
                envelope = self.queue.next_envelope() => envelope.to_frame(),
            };
            if let Err(error) = self.write_frame(&mut writer, frame).await {
                return error;
            }
        }
    }

    async fn write_frame(&self, writer: &mut FrameWriter, frame: Bytes) -> io::Result<()> {
        timeout(self.options.io_timeout, writer.send(frame)).await?
    }
}

/// Returns a random fraction of the back-off, so that peers do not all reconnect to a restarted VM at once.
fn with_jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.0..1.0))
}
