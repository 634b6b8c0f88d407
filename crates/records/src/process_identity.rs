use std::fmt;

use arbutuspick_model::VmName;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Identity of a process on an entry VM; a restarted process has the same name and a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Random UUID generated when the process starts.
    pub incarnation: Uuid,
}

impl ProcessIdentity {
    /// Creates an identity with a new incarnation.
    pub fn generate(vm: VmName) -> Self {
        Self {
            vm,
            incarnation: Uuid::new_v4(),
        }
    }
}

impl fmt::Display for ProcessIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}
