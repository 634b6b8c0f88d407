//! Messages between entry VMs, their framing and their connections.
//!
//! A frame is a 4-byte length followed by a [`PeerEnvelope`] in protobuf encoding, at most 4 MiB. Every entry
//! VM connects to every other one: it sends notifications and requests on outgoing connections, and responses
//! on incoming ones. An outgoing connection with its send queue is a link. Delivery is best effort;
//! correctness does not depend on it.

mod frame_codec;
mod link_options;
mod link_queue;
mod peer_address;
mod peer_envelope;
mod peer_error;
mod peer_link;
mod peer_links;
#[allow(
    clippy::impl_trait_in_params,
    reason = "the Oneof derive of prost generates such functions"
)]
mod peer_message;
mod peer_server;

pub use frame_codec::{MAX_FRAME_BYTES, frame_codec};
pub use link_options::LinkOptions;
pub use peer_address::PeerAddress;
pub use peer_envelope::PeerEnvelope;
pub use peer_error::PeerError;
pub use peer_links::PeerLinks;
pub use peer_message::{
    ClaimAnswer, ClaimQuery, ClaimState, ConfigHead, ConfigPage, ConfigPull, Hello, InboxNotice, JobEnded,
    PeerMessage, PoolSummary, SummaryState, UnusedCells,
};
pub use peer_server::{PeerHandler, PeerServer};
