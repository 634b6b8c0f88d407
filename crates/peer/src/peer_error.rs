use arbutuspick_model::VmName;
use snafu::Snafu;

/// Why a request to a peer has no response.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// There is no peer with this name.
    #[snafu(display("unknown peer {vm}"))]
    UnknownPeer {
        /// Name of the peer.
        vm: VmName,
    },
    /// The send queue is full of requests.
    #[snafu(display("send queue of peer {vm} is full"))]
    QueueFull {
        /// Name of the peer.
        vm: VmName,
    },
    /// The connection was lost before the response was received.
    #[snafu(display("connection to peer {vm} lost"))]
    ConnectionLost {
        /// Name of the peer.
        vm: VmName,
    },
    /// No response was received within the timeout.
    #[snafu(display("request to peer {vm} timed out"))]
    TimedOut {
        /// Name of the peer.
        vm: VmName,
    },
}
