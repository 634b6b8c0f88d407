use std::net::SocketAddr;

use arbutuspick_model::{CentreName, VmName};

/// Name, data centre and peer address of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name.
    pub vm: VmName,
    /// Data centre.
    pub data_centre: CentreName,
    /// Address of its peer listener.
    pub address: SocketAddr,
}
