use arbutuspick_model::VmName;
use snafu::Snafu;

/// Why a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// No peer of this name is known.
    #[snafu(display("peer {vm} is not known"))]
    UnknownPeer {
        /// Name.
        vm: VmName,
    },
    /// Every place of the queue is taken by requests.
    #[snafu(display("queue to peer {vm} is full of requests"))]
    QueueFull {
        /// Name.
        vm: VmName,
    },
    /// The connection was lost before the answer came.
    #[snafu(display("connection to peer {vm} was lost"))]
    ConnectionLost {
        /// Name.
        vm: VmName,
    },
    /// The answer did not come in time.
    #[snafu(display("peer {vm} did not answer in time"))]
    TimedOut {
        /// Name.
        vm: VmName,
    },
}
