use std::net::SocketAddr;

use arbutuspick_model::{CentreName, VmName};

/// Name, data centre and peer address of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the entry VM.
    pub vm: VmName,
    /// Data centre of the entry VM.
    pub data_centre: CentreName,
    /// Address of the peer listener.
    pub address: SocketAddr,
}
