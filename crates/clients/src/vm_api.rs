use std::net::SocketAddr;

use arbutuspick_model::{CentreName, PlatformTime, RackName, ServiceName, WorkerCapacity};
use serde::{Deserialize, Serialize};

/// Role of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs an entry daemon; its address is the peer address.
    Entry,
    /// Runs an upstream instance.
    Upstream,
    /// A worker.
    Worker,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name, unique among the VMs of a role.
    pub name: String,
    /// Role.
    pub role: VmRole,
    /// Data centre.
    pub data_centre: CentreName,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Service, for upstreams.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Rack, for workers.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// Capacity, for workers.
    #[serde(default)]
    pub capacity: Option<WorkerCapacity>,
}

/// `GET /v1/vms?role=&data_centre=`: live and leaving VMs, as they were some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Platform time that the list describes.
    pub as_of: PlatformTime,
    /// VMs.
    pub vms: Vec<VmEntry>,
}
