use std::net::SocketAddr;

use arbutuspick_model::{CentreName, PlatformTime, RackName, ServiceName, WorkerCapacity};
use serde::{Deserialize, Serialize};

/// Role of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs an entry daemon; the address in the list is its peer address.
    Entry,
    /// Runs an upstream instance.
    Upstream,
    /// Runs a worker.
    Worker,
}

/// Entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name, unique within the role.
    pub name: String,
    /// Role.
    pub role: VmRole,
    /// Data centre.
    pub data_centre: CentreName,
    /// Address.
    pub address: SocketAddr,
    /// Whether the VM is being removed.
    pub leaving: bool,
    /// Service that the VM provides; only for upstreams.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Rack; only for workers.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// Capacity; only for workers.
    #[serde(default)]
    pub capacity: Option<WorkerCapacity>,
}

/// Response to `GET /v1/vms?role=&data_centre=`: live and leaving VMs. The list may lag behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Platform time at which the list was current.
    pub as_of: PlatformTime,
    /// VMs.
    pub vms: Vec<VmEntry>,
}
