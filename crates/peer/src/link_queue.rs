use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

use crate::{PeerEnvelope, PeerMessage};

#[derive(Default)]
struct QueueState {
    waiting: VecDeque<PeerEnvelope>,
    answers: HashMap<u64, oneshot::Sender<PeerMessage>>,
    last_number: u64,
    connected: bool,
}

/// Messages that wait for a connection, and the requests that wait for an answer.
pub(crate) struct LinkQueue {
    length: usize,
    state: Mutex<QueueState>,
    added: Notify,
}

impl LinkQueue {
    pub(crate) fn new(length: usize) -> Self {
        Self {
            length,
            state: Mutex::default(),
            added: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a hint; drops the oldest hint, or this one, when the queue is full.
    pub(crate) fn push_hint(&self, message: PeerMessage) {
        let mut state = self.lock();
        if make_room(&mut state.waiting, self.length) {
            state.waiting.push_back(PeerEnvelope::hint(message));
            self.added.notify_one();
        }
    }

    /// Adds a request and returns its number and the place of its answer, or nothing when the queue is full.
    pub(crate) fn push_request(&self, message: PeerMessage) -> Option<(u64, oneshot::Receiver<PeerMessage>)> {
        let mut state = self.lock();
        if !make_room(&mut state.waiting, self.length) {
            return None;
        }
        state.last_number += 1;
        let number = state.last_number;
        let (sender, receiver) = oneshot::channel();
        state.answers.insert(number, sender);
        state.waiting.push_back(PeerEnvelope::request(number, message));
        self.added.notify_one();
        Some((number, receiver))
    }

    /// Waits for the next message; skips requests that nobody waits for any more.
    pub(crate) async fn next(&self) -> PeerEnvelope {
        loop {
            if let Some(envelope) = self.pop() {
                return envelope;
            }
            self.added.notified().await;
        }
    }

    fn pop(&self) -> Option<PeerEnvelope> {
        let mut state = self.lock();
        while let Some(envelope) = state.waiting.pop_front() {
            if envelope.request == 0 || state.answers.contains_key(&envelope.request) {
                return Some(envelope);
            }
        }
        None
    }

    /// Hands an answer to its request, if that still waits.
    pub(crate) fn answer(&self, number: u64, message: PeerMessage) {
        if let Some(sender) = self.lock().answers.remove(&number) {
            // The request may have timed out in the meantime.
            let _ = sender.send(message);
        }
    }

    /// Forgets a request.
    pub(crate) fn forget(&self, number: u64) {
        self.lock().answers.remove(&number);
    }

    /// Records that the connection is up or down. Requests that were sent on a lost connection fail.
    pub(crate) fn set_connected(&self, connected: bool) {
        let mut state = self.lock();
        state.connected = connected;
        if !connected {
            let QueueState { waiting, answers, .. } = &mut *state;
            answers.retain(|number, _| waiting.iter().any(|envelope| envelope.request == *number));
        }
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.lock().connected
    }
}

/// Drops the oldest hint when the queue is full; returns whether there is room now.
fn make_room(waiting: &mut VecDeque<PeerEnvelope>, length: usize) -> bool {
    if waiting.len() < length {
        return true;
    }
    match waiting.iter().position(|envelope| envelope.request == 0) {
        Some(oldest) => waiting.remove(oldest).is_some(),
        None => false,
    }
}
