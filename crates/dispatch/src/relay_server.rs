//! Server side of the relay: makes calls to the store for processes that cannot reach it.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
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
/// Maximum number of connections; a large deployment has some tens of entry VMs with a few connections each.
const MAX_CONNECTIONS: usize = 128;
/// Time without a call after which a connection is closed, in seconds.
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
pub(crate) async fn serve_relay<S>(listener: TcpListener, context: Arc<RelayContext<S>>)
where
    S: RowStore,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                // Above the limit the connection is closed, and the caller tries another peer.
                if let Ok(permit) = permits.clone().try_acquire_owned() {
                    let context = context.clone();
                    connections.spawn(async move {
                        serve_connection(stream, &context).await;
                        drop(permit);
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

async fn serve_connection<S>(stream: TcpStream, context: &RelayContext<S>)
where
    S: RowStore,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[relay] cannot set TCP_NODELAY: {error}");
    }
    let mut frames = relay_stream(stream);
    loop {
        let idle = Duration::from_secs(IDLE_TIMEOUT_S);
        let Ok(Some(Ok(frame))) = tokio::time::timeout(idle, frames.next()).await else {
            return;
        };
        let body = execute(frame, context).await;
        let reply = RelayReply { body: Some(body) };
        if let Err(error) = frames.send(Bytes::from(reply.encode_to_vec())).await {
            log::debug!("[relay] cannot send a reply: {error}");
            return;
        }
    }
}

async fn execute<S>(frame: BytesMut, context: &RelayContext<S>) -> ReplyBody
where
    S: RowStore,
{
    if context.health.is_unreachable() {
        return ReplyBody::NotExecuted("the relay cannot reach the store either".into());
    }
    let call = match RelayCall::decode(frame.freeze()) {
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
