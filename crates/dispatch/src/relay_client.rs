//! Client side of the relay: sends calls to the store through other processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arc_swap::ArcSwap;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;

use crate::BootClock;
use crate::member_list::PeerProcess;
use crate::relay_message::{CallBody, RelayCall, RelayReply, ReplyBody};
use crate::relay_server::{RelayStream, relay_stream};
use crate::row_store::StoreError;

/// Maximum number of peers tried for one call.
const MAX_PEERS_PER_CALL: usize = 3;
/// Timeout of opening a connection, in milliseconds; the latency between VMs is about one millisecond.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// Time for which a peer is skipped after a failed call, in milliseconds.
const PEER_BACKOFF_MS: u64 = 2_000;
/// Maximum number of idle connections pooled per peer.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Sends calls to peers. A connection carries one call at a time, so a reply always belongs to the call.
#[derive(Debug)]
pub(crate) struct RelayClient {
    clock: BootClock,
    /// Other processes, nearest first.
    peers: ArcSwap<Vec<PeerProcess>>,
    idle: Mutex<HashMap<SocketAddr, Vec<RelayStream>>>,
    unavailable_until: Mutex<HashMap<SocketAddr, ClockTime>>,
}

impl RelayClient {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            peers: ArcSwap::default(),
            idle: Mutex::default(),
            unavailable_until: Mutex::default(),
        }
    }

    pub(crate) fn set_peers(&self, peers: Vec<PeerProcess>) {
        self.peers.store(Arc::new(peers));
    }

    /// Makes a call through the first peer that can execute it; `None` if no peer could be reached.
    ///
    /// A call whose reply is lost is not retried through another peer.
    pub(crate) async fn call(&self, body: CallBody, deadline: ClockTime) -> Option<ReplyBody> {
        let peers = self.peers.load_full();
        let usable = peers.iter().filter(|peer| self.is_usable(peer.address));
        let mut refusal = None;
        for peer in usable.take(MAX_PEERS_PER_CALL) {
            match self.call_peer(peer, body.clone(), deadline).await {
                None => {}
                Some(ReplyBody::NotExecuted(message)) => refusal = Some(ReplyBody::NotExecuted(message)),
                Some(reply) => {
                    metrics::counter!("arbutuspick_relayed_calls_total", "side" => "client").increment(1);
                    return Some(reply);
                }
            }
        }
        refusal
    }

    /// Makes a call through one peer; `None` if it could not be reached.
    pub(crate) async fn call_peer(
        &self,
        peer: &PeerProcess,
        body: CallBody,
        deadline: ClockTime,
    ) -> Option<ReplyBody> {
        let remaining_ms = deadline.millis_since(self.clock.now());
        if remaining_ms == 0 {
            return None;
        }
        let Some(stream) = self.connect(peer.address).await else {
            self.mark_unavailable(peer.address);
            return None;
        };
        let reply = self.send_call(peer.address, stream, body, remaining_ms).await;
        let reply = reply.unwrap_or_else(|| {
            ReplyBody::Indeterminate(format!("no answer from the process of {}", peer.vm))
        });
        if matches!(reply, ReplyBody::NotExecuted(_) | ReplyBody::Indeterminate(_)) {
            self.mark_unavailable(peer.address);
        }
        Some(reply)
    }

    /// Returns all known peers.
    pub(crate) fn peers(&self) -> Arc<Vec<PeerProcess>> {
        self.peers.load_full()
    }

    /// Returns the peers without a recent failure.
    pub(crate) fn usable_peers(&self) -> Vec<PeerProcess> {
        let peers = self.peers.load_full();
        let usable = peers.iter().filter(|peer| self.is_usable(peer.address));
        usable.cloned().collect()
    }

    fn is_usable(&self, address: SocketAddr) -> bool {
        let unavailable_until = self
            .unavailable_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        unavailable_until.get(&address).is_none_or(|until| *until <= now)
    }

    fn mark_unavailable(&self, peer: SocketAddr) {
        let until = self.clock.now() + PEER_BACKOFF_MS;
        let mut unavailable_until = self
            .unavailable_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unavailable_until.insert(peer, until);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&peer);
    }

    async fn connect(&self, peer: SocketAddr) -> Option<RelayStream> {
        let pooled = {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.get_mut(&peer).and_then(Vec::pop)
        };
        if pooled.is_some() {
            return pooled;
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        match tokio::time::timeout(limit, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("[relay] cannot set TCP_NODELAY: {error}");
                }
                Some(relay_stream(stream))
            }
            Ok(Err(error)) => {
                log::debug!("[relay] peer={peer} connection failed: {error}");
                None
            }
            Err(_) => {
                log::debug!("[relay] peer={peer} connection timed out after {CONNECT_TIMEOUT_MS} ms");
                None
            }
        }
    }

    /// Sends a call and waits for its reply; `None` if there is no valid one.
    async fn send_call(
        &self,
        peer: SocketAddr,
        mut stream: RelayStream,
        body: CallBody,
        remaining_ms: u64,
    ) -> Option<ReplyBody> {
        let call = RelayCall {
            remaining_ms,
            body: Some(body),
        };
        let exchange = async {
            stream.send(Bytes::from(call.encode_to_vec())).await.ok()?;
            stream.next().await?.ok()
        };
        let limit = Duration::from_millis(remaining_ms);
        let frame = tokio::time::timeout(limit, exchange).await.ok()??;
        let reply = match RelayReply::decode(frame.freeze()) {
            Ok(reply) => reply.body?,
            Err(error) => {
                log::warn!("[relay] peer={peer} cannot decode its reply: {error}");
                return None;
            }
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pooled = idle.entry(peer).or_default();
        if pooled.len() < MAX_IDLE_CONNECTIONS {
            pooled.push(stream);
        }
        Some(reply)
    }
}

/// Combines the error of the direct call, if one was made, with the result of the relayed call.
///
/// If the direct call may have been executed, a failed relayed call leaves the outcome indeterminate.
pub(crate) fn merge_results<T>(
    direct: Option<StoreError>,
    relayed: Option<Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match (direct, relayed) {
        (_, Some(Ok(value))) => Ok(value),
        (Some(direct @ StoreError::Indeterminate { .. }), _) => Err(direct),
        (_, Some(Err(error))) => Err(error),
        (Some(direct), None) => Err(direct),
        (None, None) => Err(StoreError::NotExecuted {
            message: "neither the store nor a peer that can relay the call is reachable".into(),
        }),
    }
}
