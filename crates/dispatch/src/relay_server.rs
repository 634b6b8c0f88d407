//! Server side of the relay: makes calls to the store for processes that cannot reach it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_server::{ClientGuard, ConnectionLease, read_frame};
use bytes::{Buf, Bytes};
use prost::Message;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::BootClock;
use crate::leading_cost::ProcessLimits;
use crate::relay_message::{CallBody, KnownTables, RelayCall, RelayReply, ReplyBody, known_table};
use crate::row_store::{RowStore, StoreError};
use crate::store_health::StoreHealth;
use crate::succession::{SuccessionCall, UseProbe};

/// Maximum size of a frame in bytes: a commit or a page of rows, which the store limits to 1 MB of text.
pub(crate) const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
/// Upper bound for the deadline of a relayed call, in milliseconds.
const MAX_CALL_MS: u64 = 5_000;
/// Time without a whole call, or for a reply, after which a connection is closed, in seconds.
const IDLE_TIMEOUT_S: u64 = 30;
/// Delay after a failure to accept a connection, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

pub(crate) type RelayStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Returns a length-delimited framing of a relay connection.
pub(crate) fn relay_stream(stream: TcpStream) -> RelayStream {
    let codec = LengthDelimitedCodec::builder()
        .length_field_length(4)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Dependencies of the relay server.
#[derive(Debug)]
pub(crate) struct RelayContext<S> {
    pub(crate) store: S,
    pub(crate) health: Arc<StoreHealth>,
    pub(crate) clock: BootClock,
    pub(crate) tables: KnownTables,
    pub(crate) limits: ProcessLimits,
    pub(crate) use_probe: UseProbe,
    pub(crate) succession: Arc<SuccessionCall>,
}

/// Serves relayed calls for as long as the process runs.
pub(crate) async fn serve_relay<S>(listener: TcpListener, guard: ClientGuard, context: Arc<RelayContext<S>>)
where
    S: RowStore,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                // Above the limit the connection is closed, and the caller tries another peer.
                if let Some(lease) = guard.connect() {
                    let context = context.clone();
                    connections.spawn(async move {
                        tokio::select! {
                            () = lease.closed() => {}
                            result = serve_connection(stream, &lease, &context) => {
                                if let Err(error) = result {
                                    log::debug!("[relay] connection failed: {error}");
                                }
                            }
                        }
                    });
                }
            }
            Err(error) => {
                log::warn!("[relay] cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn serve_connection<S>(
    stream: TcpStream,
    lease: &ConnectionLease,
    context: &RelayContext<S>,
) -> io::Result<()>
where
    S: RowStore,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[relay] cannot set TCP_NODELAY: {error}");
    }
    let mut stream = BufReader::new(stream);
    let timeout = Duration::from_secs(IDLE_TIMEOUT_S);
    loop {
        let frame = tokio::time::timeout(timeout, read_frame(&mut stream, lease, MAX_FRAME_BYTES)).await??;
        let (body, is_executed) = match frame {
            Some(frame) => (execute(frame, context).await, true),
            None => (
                ReplyBody::NotExecuted("the relay has no room for the call".into()),
                false,
            ),
        };
        let reply = RelayReply { body: Some(body) }.encode_to_vec();
        lease.respond(reply.len(), is_executed);
        let length = u32::try_from(reply.len()).map_err(io::Error::other)?;
        let mut head = Bytes::copy_from_slice(&length.to_be_bytes()).chain(reply.as_slice());
        tokio::time::timeout(timeout, stream.write_all_buf(&mut head)).await??;
        lease.finish();
        if !is_executed {
            // The rest of the frame is not read.
            return Ok(());
        }
    }
}

async fn execute<S>(frame: Bytes, context: &RelayContext<S>) -> ReplyBody
where
    S: RowStore,
{
    if context.health.is_unreachable() {
        return ReplyBody::NotExecuted("the relay cannot reach the store either".into());
    }
    let call = match RelayCall::decode(frame) {
        Ok(call) => call,
        Err(error) => return ReplyBody::NotExecuted(format!("cannot decode the call: {error}")),
    };
    let deadline = context.clock.now() + call.remaining_ms.min(MAX_CALL_MS);
    let store = &context.store;
    let unknown = || StoreError::NotExecuted {
        message: "the call names an unknown table".into(),
    };
    let table = |name: &str| known_table(context.tables, name).ok_or_else(unknown);
    if let Some(CallBody::Succeed(_)) = call.body {
        let usage = context.use_probe.measure();
        return ReplyBody::Accepted(
            context
                .succession
                .accept(context.limits, usage, context.clock.now()),
        );
    }
    metrics::counter!("arbutuspick_relayed_calls_total", "side" => "server").increment(1);
    let reply = match call.body {
        None | Some(CallBody::Succeed(_)) => return ReplyBody::NotExecuted("the call has no body".into()),
        Some(CallBody::Transact(transaction)) => match transaction.into_transaction(context.tables) {
            Some(transaction) => context
                .health
                .record(store.transact(&transaction, deadline).await)
                .map(ReplyBody::from),
            None => Err(unknown()),
        },
        Some(CallBody::Read(read)) => match table(&read.table) {
            Ok(table) => {
                let limit = usize::try_from(read.limit).unwrap_or(usize::MAX);
                let page = store.read(table, &read.from, limit, deadline).await;
                context.health.record(page).map(ReplyBody::from)
            }
            Err(error) => Err(error),
        },
        Some(CallBody::Follow(follow)) => match table(&follow.table) {
            Ok(table) => {
                let changes = store.follow(table, follow.after, follow.wait_ms, deadline).await;
                context.health.record(changes).map(ReplyBody::from)
            }
            Err(error) => Err(error),
        },
    };
    reply.unwrap_or_else(ReplyBody::from)
}
