//! Keys of jobs, workers and racks in this process.

use slotmap::new_key_type;

new_key_type! {
    /// Key of one incarnation of a worker; a restart under the same id gets another key.
    pub struct WorkerKey;

    pub(crate) struct JobKey;
}

/// Number of a rack in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RackId(pub(crate) usize);

impl RackId {
    /// A rack without workers.
    pub(crate) const UNKNOWN: Self = Self(usize::MAX);
}
