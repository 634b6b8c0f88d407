use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use slotmap::SlotMap;

use crate::ClientLimits;
use crate::client_limits::MIN_HEAD_LIMIT_BYTES;
pub use crate::connection_entry::ClosureReason;
use crate::connection_entry::{
    CONNECTION_BYTES, ConnectionEntry, ConnectionKey, ConnectionPhase, FIRST_BUFFER_BYTES, STALL_MS,
};

/// Largest request that may use the part of the memory that is reserved for small requests, in bytes.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;
/// Number of headers that the memory of a connection covers.
const COMMON_HEADERS: usize = 90;
/// Memory of each further header of a request, in bytes: an entry of the table of headers and its name.
const HEADER_BYTES: usize = 160;
/// Part of the memory that is reserved for small requests and new connections, as a divisor.
const SMALL_REQUEST_DIVISOR: usize = 8;

/// Whether a connection is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is served.
    Admitted(ConnectionKey),
    /// There is no room, and no other connection may be closed.
    Refused,
}

/// A connection that has to be closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closure {
    /// The connection.
    pub key: ConnectionKey,
    /// Why this one was chosen.
    pub reason: ClosureReason,
    /// Memory that it holds, in bytes.
    pub held_bytes: usize,
}

/// Decides which connections of a listener are admitted, and which are closed to make room.
///
/// Load pattern: many clients at once that each send less than the limits allow, and most of which stop just short of
/// the end of a request and stay connected, while ordinary callers come and go. Without pressure nothing is closed.
///
/// If nobody has stalled, newcomers take the places of the client account that has the most connections.
///
/// A connection whose request is being processed is never closed. The memory of a connection that is being closed
/// counts as free at once, since its task is dropped before it can receive more.
#[derive(Debug)]
pub struct ClientLedger {
    limits: ClientLimits,
    /// Memory that the read buffer of a new connection takes once it has grown, in bytes.
    grown_buffer_bytes: usize,
    connections: SlotMap<ConnectionKey, ConnectionEntry>,
    /// Connections that are not being closed.
    open_connections: usize,
    /// Memory of these connections, in bytes.
    held_bytes: usize,
    /// Time until which requests have to have arrived; set when the listener stops.
    arrival_deadline: Option<ClockTime>,
    /// Connections that were chosen since [`Self::take_closures`] was last called.
    closures: Vec<Closure>,
}

impl ClientLedger {
    /// Creates an empty ledger.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            grown_buffer_bytes: grown_buffer_bytes(MIN_HEAD_LIMIT_BYTES),
            connections: SlotMap::with_key(),
            open_connections: 0,
            held_bytes: 0,
            arrival_deadline: None,
            closures: Vec::new(),
        }
    }

    /// Returns the number of connections that are not being closed.
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// Returns the memory of these connections, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the connections that have to be closed; each is returned once.
    pub fn take_closures(&mut self) -> Vec<Closure> {
        std::mem::take(&mut self.closures)
    }

    /// Sets the maximum size of a head on connections that are admitted from now on, in bytes.
    pub fn set_head_limit(&mut self, bytes: usize) {
        self.grown_buffer_bytes = grown_buffer_bytes(bytes);
    }

    /// Decides on a new connection.
    pub fn connect(&mut self, now: ClockTime) -> Admission {
        while self.open_connections >= self.limits.max_connections {
            if !self.close_one(None, now) && !self.close_of_largest_group() {
                return Admission::Refused;
            }
        }
        if !self.make_room(None, CONNECTION_BYTES, now) {
            return Admission::Refused;
        }
        self.open_connections += 1;
        self.held_bytes += CONNECTION_BYTES;
        let entry = ConnectionEntry::new(self.grown_buffer_bytes, now);
        Admission::Admitted(self.connections.insert(entry))
    }

    /// Records bytes that were received; returns whether the connection may receive more.
    pub fn receive(&mut self, key: ConnectionKey, bytes: usize, now: ClockTime) -> bool {
        let Some(entry) = self.open_entry(key) else {
            return false;
        };
        if entry.phase == ConnectionPhase::Idle {
            entry.phase = ConnectionPhase::Receiving;
            entry.started_at = now;
            entry.received_bytes = 0;
        }
        entry.progressed_at = now;
        entry.received_bytes = entry.received_bytes.saturating_add(bytes);
        if entry.has_grown || entry.received_bytes < FIRST_BUFFER_BYTES {
            return true;
        }
        let grown_bytes = entry.grown_buffer_bytes;
        if !self.make_room(Some(key), grown_bytes, now) {
            return false;
        }
        if let Some(entry) = self.connections.get_mut(key) {
            entry.has_grown = true;
            self.held_bytes += grown_bytes;
        }
        true
    }

    /// Reserves memory for the body of a request that is still arriving; returns whether there is room.
    pub fn reserve(&mut self, key: ConnectionKey, bytes: usize, now: ClockTime) -> bool {
        let Some(entry) = self.open_entry(key) else {
            return false;
        };
        if entry.phase != ConnectionPhase::Receiving {
            entry.phase = ConnectionPhase::Receiving;
            entry.progressed_at = now;
        }
        if !self.make_room(Some(key), bytes, now) {
            return false;
        }
        if let Some(entry) = self.connections.get_mut(key) {
            entry.request_bytes += bytes;
            self.held_bytes += bytes;
        }
        true
    }

    /// Records that a head with this many headers was read; returns whether there is room for its request.
    pub fn begin(&mut self, key: ConnectionKey, header_count: usize, now: ClockTime) -> bool {
        let bytes = header_count.saturating_sub(COMMON_HEADERS) * HEADER_BYTES;
        self.reserve(key, bytes, now) && self.run(key)
    }

    /// Returns whether responses that are not read leave room for another one; closes connections that have stalled.
    pub fn has_room(&mut self, key: ConnectionKey, now: ClockTime) -> bool {
        self.make_room(Some(key), 0, now)
    }

    /// Records the client account of the current request; `None` if it needs none.
    pub fn identify(&mut self, key: ConnectionKey, account: Option<Arc<str>>) {
        if let Some(entry) = self.open_entry(key) {
            entry.account = account;
        }
    }

    /// Records that a request is being processed; returns false if the connection is being closed.
    pub fn run(&mut self, key: ConnectionKey) -> bool {
        let Some(entry) = self.open_entry(key) else {
            return false;
        };
        entry.phase = ConnectionPhase::Running;
        true
    }

    /// Records that a request has a response of this size, which takes the place of the request.
    pub fn respond(&mut self, key: ConnectionKey, bytes: usize, is_served: bool, now: ClockTime) {
        if let Some(entry) = self.open_entry(key) {
            let request_bytes = std::mem::replace(&mut entry.request_bytes, bytes);
            entry.phase = ConnectionPhase::Responding;
            entry.progressed_at = now;
            entry.is_served |= is_served;
            entry.has_responded = true;
            self.held_bytes = self.held_bytes - request_bytes + bytes;
        }
    }

    /// Records that part of a response was sent.
    pub fn send(&mut self, key: ConnectionKey, now: ClockTime) {
        if let Some(entry) = self.open_entry(key) {
            entry.progressed_at = now;
        }
    }

    /// Records that everything was sent.
    pub fn finish(&mut self, key: ConnectionKey, now: ClockTime) {
        let Some(entry) = self.open_entry(key) else {
            return;
        };
        if entry.phase == ConnectionPhase::Responding {
            let request_bytes = std::mem::take(&mut entry.request_bytes);
            entry.phase = ConnectionPhase::Idle;
            entry.progressed_at = now;
            self.held_bytes -= request_bytes;
        }
    }

    /// Removes a connection that has ended.
    pub fn disconnect(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.connections.remove(key)
            && !entry.is_closing
        {
            self.open_connections -= 1;
            self.held_bytes -= entry.held_bytes();
        }
    }

    /// Closes the connections that a stop does not wait for.
    ///
    /// These are the ones that have stalled and, some time after the first call, all without a request in process. Their
    /// clients can repeat their requests elsewhere, since nothing of them was processed.
    pub fn stop(&mut self, now: ClockTime) {
        let arrival_deadline = *self.arrival_deadline.get_or_insert(now + STALL_MS);
        let unfinished = |entry: &ConnectionEntry| match (entry.closable(now), entry.phase) {
            (Some((ClosureReason::Stalled, _)), _) => Some(ClosureReason::Stalled),
            _ if now < arrival_deadline || entry.is_closing => None,
            (_, ConnectionPhase::Receiving) => Some(ClosureReason::Slow),
            (_, ConnectionPhase::Idle) => Some(ClosureReason::Idle),
            (_, ConnectionPhase::Running | ConnectionPhase::Responding) => None,
        };
        let chosen: Vec<_> = self
            .connections
            .iter()
            .filter_map(|(key, entry)| Some((key, unfinished(entry)?)))
            .collect();
        for (key, reason) in chosen {
            self.close(key, reason);
        }
    }

    fn open_entry(&mut self, key: ConnectionKey) -> Option<&mut ConnectionEntry> {
        self.connections.get_mut(key).filter(|entry| !entry.is_closing)
    }

    /// Closes other connections until `bytes` are free; returns false if that is not possible, and closes none if it
    /// is certain not to be.
    fn make_room(&mut self, requester: Option<ConnectionKey>, bytes: usize, now: ClockTime) -> bool {
        let limit = if bytes <= SMALL_REQUEST_BYTES {
            self.limits.max_bytes
        } else {
            self.limits.max_bytes - self.limits.max_bytes / SMALL_REQUEST_DIVISOR
        };
        while self.held_bytes + bytes > limit {
            if bytes > limit || !self.close_one(requester, now) {
                return false;
            }
        }
        true
    }

    /// Closes the connection with the strongest reason and, among these, the longest time.
    fn close_one(&mut self, requester: Option<ConnectionKey>, now: ClockTime) -> bool {
        let candidates = self
            .connections
            .iter()
            .filter(|(key, _)| Some(*key) != requester)
            .filter_map(|(key, entry)| entry.closable(now).map(|order| (order, key)));
        let Some(((reason, _), key)) = candidates.min() else {
            return false;
        };
        self.close(key, reason);
        true
    }

    /// Closes a connection of the largest group: the one that has waited longest for its next request.
    ///
    /// A group is a client account; its clients that were served, those that were only refused, and those that have not made
    /// a request yet are groups of their own. None of the last kind is closed.
    fn close_of_largest_group(&mut self) -> bool {
        let open = || self.connections.iter().filter(|(_, entry)| !entry.is_closing);
        let mut counts: HashMap<_, usize> = HashMap::new();
        for (_, entry) in open() {
            *counts.entry(group(entry)).or_default() += 1;
        }
        let largest = counts.into_iter().max_by_key(|(group, count)| (*count, *group));
        let Some((largest, _)) = largest else {
            return false;
        };
        let waiting = open().filter(|(_, entry)| {
            entry.has_responded && entry.phase == ConnectionPhase::Idle && group(entry) == largest
        });
        let Some((key, _)) = waiting.min_by_key(|(_, entry)| entry.progressed_at) else {
            return false;
        };
        self.close(key, ClosureReason::Share);
        true
    }

    fn close(&mut self, key: ConnectionKey, reason: ClosureReason) {
        let entry = &mut self.connections[key];
        entry.is_closing = true;
        let held_bytes = entry.held_bytes();
        self.open_connections -= 1;
        self.held_bytes -= held_bytes;
        self.closures.push(Closure {
            key,
            reason,
            held_bytes,
        });
    }
}

/// Returns what a connection is counted with: whether it has responded, whether it was served, and its client account.
fn group(entry: &ConnectionEntry) -> (bool, bool, Option<&Arc<str>>) {
    (entry.has_responded, entry.is_served, entry.account.as_ref())
}

/// Returns the memory of a read buffer that has grown: a head, and room for the next read.
fn grown_buffer_bytes(head_limit: usize) -> usize {
    head_limit + head_limit / 3
}
