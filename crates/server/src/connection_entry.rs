use std::sync::Arc;

use arbutuspick_model::ClockTime;

/// Memory of a connection with its task and its buffers, in bytes.
pub(crate) const CONNECTION_BYTES: usize = 16 * 1024;
/// Bytes of a request that the first read buffer takes.
pub(crate) const FIRST_BUFFER_BYTES: usize = 8 * 1024;
/// Time without progress after which a connection may be closed to make room, in milliseconds.
pub(crate) const STALL_MS: u64 = 1_000;
/// Time without a request after which the connection of a served client may be closed, in milliseconds.
const IDLE_MS: u64 = 5_000;
/// Time after which a request that still arrives may be closed, in milliseconds; callers wait for 3 s by default.
const SLOW_MS: u64 = 5_000;

slotmap::new_key_type! {
    /// Key of a connection in a ledger.
    pub struct ConnectionKey;
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// Between requests.
    Idle,
    /// Part of a request has arrived.
    Receiving,
    /// The request is being processed.
    Running,
    /// The response is being written.
    Responding,
}

/// Why a connection is closed; those that are listed first are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosureReason {
    /// The client has stopped sending a request or reading a response, or has not sent anything.
    Stalled,
    /// The client was served and has not sent a further request.
    Idle,
    /// The request arrives, but slowly.
    Slow,
    /// The client is waiting between requests, and its client account has the most connections.
    Share,
}

#[derive(Clone, Debug)]
pub(crate) struct ConnectionEntry {
    pub(crate) phase: ConnectionPhase,
    /// Memory of the request and the response, in bytes.
    pub(crate) request_bytes: usize,
    /// Bytes of the current request that were received.
    pub(crate) received_bytes: usize,
    /// Memory of the read buffer once it has grown, in bytes; it does not shrink.
    pub(crate) grown_buffer_bytes: usize,
    /// Whether the read buffer has grown.
    pub(crate) has_grown: bool,
    /// Time at which bytes were last received or sent.
    pub(crate) progressed_at: ClockTime,
    /// Time at which the current request began to arrive.
    pub(crate) started_at: ClockTime,
    /// Whether a request was served on this connection.
    pub(crate) is_served: bool,
    /// Whether a request was responded to on this connection, even if it was refused.
    pub(crate) has_responded: bool,
    /// Client account of the last request that was admitted; `None` if there was none, or it needs none.
    pub(crate) account: Option<Arc<str>>,
    /// Whether the connection was told to close.
    pub(crate) is_closing: bool,
}

impl ConnectionEntry {
    pub(crate) fn new(grown_buffer_bytes: usize, now: ClockTime) -> Self {
        Self {
            grown_buffer_bytes,
            phase: ConnectionPhase::Idle,
            request_bytes: 0,
            received_bytes: 0,
            has_grown: false,
            progressed_at: now,
            started_at: now,
            is_served: false,
            has_responded: false,
            account: None,
            is_closing: false,
        }
    }

    pub(crate) fn held_bytes(&self) -> usize {
        let grown_bytes = if self.has_grown {
            self.grown_buffer_bytes
        } else {
            0
        };
        CONNECTION_BYTES + grown_bytes + self.request_bytes
    }

    /// Returns why and since when the connection may be closed to make room, or `None` if it must not be.
    pub(crate) fn closable(&self, now: ClockTime) -> Option<(ClosureReason, ClockTime)> {
        let silent_ms = now.millis_since(self.progressed_at);
        match self.phase {
            _ if self.is_closing => None,
            ConnectionPhase::Running => None,
            ConnectionPhase::Idle if self.is_served => {
                (silent_ms >= IDLE_MS).then_some((ClosureReason::Idle, self.progressed_at))
            }
            _ if silent_ms >= STALL_MS => Some((ClosureReason::Stalled, self.progressed_at)),
            ConnectionPhase::Receiving if now.millis_since(self.started_at) >= SLOW_MS => {
                Some((ClosureReason::Slow, self.started_at))
            }
            _ => None,
        }
    }
}
