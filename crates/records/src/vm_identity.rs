use std::fmt;

use arbutuspick_model::VmName;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// One process of an entry VM; a restarted process has the same name and another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Random number that the process chose when it started.
    pub incarnation: Uuid,
}

impl VmIdentity {
    /// Creates the identity of a process that starts now.
    pub fn generate(vm: VmName) -> Self {
        Self {
            vm,
            incarnation: Uuid::new_v4(),
        }
    }
}

impl fmt::Display for VmIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}
