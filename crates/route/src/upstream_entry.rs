use std::net::SocketAddr;

use arbutuspick_model::{CentreName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};

/// An upstream as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Name.
    pub name: UpstreamName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Data centre that it is in.
    pub data_centre: CentreName,
    /// Address; a new address under the same name is a new incarnation.
    pub address: SocketAddr,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

impl UpstreamEntry {
    /// Returns whether both entries describe the same incarnation in the same role.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.data_centre == other.data_centre
    }
}
