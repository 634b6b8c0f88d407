use std::collections::BTreeSet;

use arbutuspick_clients::{VmEntry, VmRole};
use serde::{Deserialize, Serialize};

/// Name of a VM in a control call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmKey {
    /// Role.
    pub role: VmRole,
    /// Name.
    pub name: String,
}

/// Writes that take effect after the connection was closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LateWrites {
    /// Every n-th write; 0 for none.
    pub every: u64,
    /// Milliseconds until it takes effect.
    pub after_ms: u64,
}

/// `POST /control` of the platform: fields that are present are changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformControl {
    /// Closes every connection without an answer.
    pub outage: Option<bool>,
    /// Doors with an outage of their own, as when a data centre is cut off.
    pub closed_doors: Option<BTreeSet<String>>,
    /// Closes connections of the object store only.
    pub object_outage: Option<bool>,
    /// Closes connections of the list of VMs only.
    pub vm_outage: Option<bool>,
    /// Milliseconds before every call is performed.
    pub delay_ms: Option<u64>,
    /// Every n-th write takes effect and its answer is lost; 0 for none.
    pub lose_answers: Option<u64>,
    /// Writes that take effect after the connection was closed.
    pub delay_writes: Option<LateWrites>,
    /// Milliseconds by which the list of VMs lags.
    pub vm_lag_ms: Option<u64>,
    /// VMs to add or replace.
    pub add_vms: Vec<VmEntry>,
    /// VMs that leave from now on.
    pub leaving_vms: Vec<VmKey>,
    /// VMs to remove.
    pub remove_vms: Vec<VmKey>,
}

/// Present settings of the platform's faults; the answer to `POST /control`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformSettings {
    /// Closes every connection without an answer.
    pub outage: bool,
    /// Doors with an outage of their own.
    pub closed_doors: BTreeSet<String>,
    /// Closes connections of the object store only.
    pub object_outage: bool,
    /// Closes connections of the list of VMs only.
    pub vm_outage: bool,
    /// Milliseconds before every call is performed.
    pub delay_ms: u64,
    /// Every n-th write takes effect and its answer is lost; 0 for none.
    pub lose_answers: u64,
    /// Writes that take effect after the connection was closed.
    pub delay_writes: LateWrites,
    /// Milliseconds by which the list of VMs lags.
    pub vm_lag_ms: u64,
}

impl PlatformSettings {
    /// Takes over the fields that are present.
    pub(crate) fn apply(&mut self, control: &PlatformControl) {
        fn set<T: Clone>(place: &mut T, value: Option<&T>) {
            if let Some(value) = value {
                *place = value.clone();
            }
        }
        set(&mut self.outage, control.outage.as_ref());
        set(&mut self.closed_doors, control.closed_doors.as_ref());
        set(&mut self.object_outage, control.object_outage.as_ref());
        set(&mut self.vm_outage, control.vm_outage.as_ref());
        set(&mut self.delay_ms, control.delay_ms.as_ref());
        set(&mut self.lose_answers, control.lose_answers.as_ref());
        set(&mut self.delay_writes, control.delay_writes.as_ref());
        set(&mut self.vm_lag_ms, control.vm_lag_ms.as_ref());
    }

    /// Returns whether a call to this path through this door is dropped.
    pub(crate) fn drops(&self, door: &str, path: &str) -> bool {
        self.outage
            || self.closed_doors.contains(door)
            || (self.object_outage && path.starts_with("/v1/objects/"))
            || (self.vm_outage && path == "/v1/vms")
    }
}
