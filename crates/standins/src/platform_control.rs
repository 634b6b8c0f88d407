use std::collections::BTreeSet;

use arbutuspick_clients::{VmEntry, VmRole};
use serde::{Deserialize, Serialize};

/// Identifies a VM in a control call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmKey {
    /// Role of the VM.
    pub role: VmRole,
    /// Name of the VM.
    pub name: String,
}

/// Fault that closes the connection of a write without a response and performs the write later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
// The response to a value of another type names the expected type, and keeps the wire name of this one.
#[serde(deny_unknown_fields, expecting = "struct LateWrites")]
pub struct WriteDelay {
    /// Delays every n-th write; 0 disables the fault.
    pub every: u64,
    /// Milliseconds until a delayed write takes effect.
    pub after_ms: u64,
}

/// Body of `POST /control` of the platform; absent fields leave their setting unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformControl {
    /// Closes every connection without a response.
    pub outage: Option<bool>,
    /// Additional listeners that close every connection, as when a data centre is cut off from the platform.
    #[serde(rename = "closed_doors")]
    pub closed_listeners: Option<BTreeSet<String>>,
    /// Closes only the connections of calls to the object store.
    pub object_outage: Option<bool>,
    /// Closes only the connections of calls for the list of VMs.
    pub vm_outage: Option<bool>,
    /// Delay in milliseconds before a call is performed.
    pub delay_ms: Option<u64>,
    /// Performs every n-th write but closes its connection without a response; 0 disables the fault.
    pub lose_answers: Option<u64>,
    /// Writes that take effect only after their connection was closed.
    pub delay_writes: Option<WriteDelay>,
    /// Milliseconds by which the list of VMs is out of date.
    pub vm_lag_ms: Option<u64>,
    /// VMs to add or replace.
    pub add_vms: Vec<VmEntry>,
    /// VMs to mark as leaving.
    pub leaving_vms: Vec<VmKey>,
    /// VMs to remove.
    pub remove_vms: Vec<VmKey>,
}

/// Current fault settings of the platform; the response to `POST /control`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformSettings {
    /// Closes every connection without a response.
    pub outage: bool,
    /// Additional listeners that close every connection.
    #[serde(rename = "closed_doors")]
    pub closed_listeners: BTreeSet<String>,
    /// Closes only the connections of calls to the object store.
    pub object_outage: bool,
    /// Closes only the connections of calls for the list of VMs.
    pub vm_outage: bool,
    /// Delay in milliseconds before a call is performed.
    pub delay_ms: u64,
    /// Performs every n-th write but closes its connection without a response; 0 disables the fault.
    pub lose_answers: u64,
    /// Writes that take effect only after their connection was closed.
    pub delay_writes: WriteDelay,
    /// Milliseconds by which the list of VMs is out of date.
    pub vm_lag_ms: u64,
}

impl PlatformSettings {
    /// Applies the fields that are present.
    pub(crate) fn apply(&mut self, control: &PlatformControl) {
        fn set<T: Clone>(field: &mut T, value: Option<&T>) {
            if let Some(value) = value {
                *field = value.clone();
            }
        }
        set(&mut self.outage, control.outage.as_ref());
        set(&mut self.closed_listeners, control.closed_listeners.as_ref());
        set(&mut self.object_outage, control.object_outage.as_ref());
        set(&mut self.vm_outage, control.vm_outage.as_ref());
        set(&mut self.delay_ms, control.delay_ms.as_ref());
        set(&mut self.lose_answers, control.lose_answers.as_ref());
        set(&mut self.delay_writes, control.delay_writes.as_ref());
        set(&mut self.vm_lag_ms, control.vm_lag_ms.as_ref());
    }

    /// Returns whether an outage closes the connection of a call to `path` on `listener`.
    pub(crate) fn closes_connection(&self, listener: &str, path: &str) -> bool {
        self.outage
            || self.closed_listeners.contains(listener)
            || (self.object_outage && path.starts_with("/v1/objects/"))
            || (self.vm_outage && path == "/v1/vms")
    }
}
