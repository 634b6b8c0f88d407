use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

use crate::{PeerEnvelope, PeerMessage};

/// Queued messages, and requests without a response, of one link.
#[derive(Default)]
struct LinkState {
    outgoing: VecDeque<PeerEnvelope>,
    /// Requests that are queued or sent, by id.
    pending: HashMap<u64, oneshot::Sender<PeerMessage>>,
    last_request_id: u64,
    connected: bool,
}

/// Send queue of a connection, and the requests that are waiting for a response.
pub(crate) struct LinkQueue {
    capacity: usize,
    state: Mutex<LinkState>,
    message_added: Notify,
}

impl LinkQueue {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            state: Mutex::default(),
            message_added: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a notification. When the queue is full, the oldest notification is dropped, or this one if all
    /// queued messages are requests.
    pub(crate) fn push_notification(&self, message: PeerMessage) {
        let mut state = self.lock();
        if make_room(&mut state.outgoing, self.capacity) {
            state.outgoing.push_back(PeerEnvelope::notification(message));
            self.message_added.notify_one();
        }
    }

    /// Adds a request and returns its id and the receiver of its response, or `None` when the queue is full.
    pub(crate) fn push_request(&self, message: PeerMessage) -> Option<(u64, oneshot::Receiver<PeerMessage>)> {
        let mut state = self.lock();
        if !make_room(&mut state.outgoing, self.capacity) {
            return None;
        }
        state.last_request_id += 1;
        let request_id = state.last_request_id;
        let (sender, receiver) = oneshot::channel();
        state.pending.insert(request_id, sender);
        state
            .outgoing
            .push_back(PeerEnvelope::request(request_id, message));
        self.message_added.notify_one();
        Some((request_id, receiver))
    }

    /// Waits for the next message to send; skips cancelled requests.
    pub(crate) async fn next_envelope(&self) -> PeerEnvelope {
        loop {
            if let Some(envelope) = self.pop() {
                return envelope;
            }
            self.message_added.notified().await;
        }
    }

    fn pop(&self) -> Option<PeerEnvelope> {
        let mut state = self.lock();
        while let Some(envelope) = state.outgoing.pop_front() {
            if envelope.request_id == 0 || state.pending.contains_key(&envelope.request_id) {
                return Some(envelope);
            }
        }
        None
    }

    /// Delivers the response to a request if it is still pending.
    pub(crate) fn complete_request(&self, request_id: u64, message: PeerMessage) {
        if let Some(sender) = self.lock().pending.remove(&request_id) {
            // The requester may have timed out in the meantime.
            let _ = sender.send(message);
        }
    }

    /// Cancels a request; a later response is ignored.
    pub(crate) fn cancel_request(&self, request_id: u64) {
        self.lock().pending.remove(&request_id);
    }

    /// Sets whether the connection is up. When it is lost, the requests already sent on it fail;
    /// queued ones are sent on the next connection.
    pub(crate) fn set_connected(&self, connected: bool) {
        let mut state = self.lock();
        state.connected = connected;
        if !connected {
            let LinkState {
                outgoing, pending, ..
            } = &mut *state;
            pending
                .retain(|request_id, _| outgoing.iter().any(|envelope| envelope.request_id == *request_id));
        }
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.lock().connected
    }
}

/// Drops the oldest notification when the queue is full; returns whether there is room afterwards.
fn make_room(outgoing: &mut VecDeque<PeerEnvelope>, capacity: usize) -> bool {
    if outgoing.len() < capacity {
        return true;
    }
    match outgoing.iter().position(|envelope| envelope.request_id == 0) {
        Some(oldest) => outgoing.remove(oldest).is_some(),
        None => false,
    }
}
