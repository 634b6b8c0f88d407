//! HTTP/1.1 server for clients outside the control of the operators, and the limits on what they can hold.
//!
//! Each listener has a [`ClientGuard`] with its part of the memory and descriptors of the VM. A connection holds a
//! [`ConnectionLease`]; bytes are reserved before they are read and returned when the response is written or the
//! connection ends. [`ClientLedger`] decides which connections are admitted and which are closed to make room.

mod client_body;
mod client_guard;
mod client_ledger;
mod client_limits;
mod client_stream;
mod client_turns;
mod connection_entry;
mod frame_reader;
mod head_watch;
mod http_server;

pub use client_body::{BodyError, ClientBody};
pub use client_guard::{ClientGuard, ConnectionLease};
pub use client_ledger::{Admission, ClientLedger, Closure, ClosureReason};
pub use client_limits::{CLIENT_MEMORY_PERCENT, ClientLimits, ListenerLimits, descriptor_limit};
pub use connection_entry::ConnectionKey;
pub use frame_reader::read_frame;
pub use http_server::serve;
