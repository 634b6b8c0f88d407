use std::net::SocketAddr;

use arbutuspick_model::{CentreName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};

/// Entry of an upstream in the platform's list.
///
/// Under the same name, an entry with another address, service or data centre is a new incarnation, whose
/// state starts anew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Data centre that it is in.
    pub data_centre: CentreName,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is listed as leaving.
    pub leaving: bool,
}

impl UpstreamEntry {
    /// Returns whether both entries have the same address, service and data centre.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.data_centre == other.data_centre
    }
}
