use std::collections::HashMap;
use std::sync::Arc;

use crate::keys::RackId;

/// Numbers the racks of the pool, so that decisions compare numbers instead of names.
#[derive(Debug, Default)]
pub(crate) struct RackIndex {
    ids: HashMap<Arc<str>, RackId>,
}

impl RackIndex {
    /// Returns the number of a rack; a new rack gets the next one.
    pub(crate) fn id(&mut self, name: Option<&Arc<str>>) -> Option<RackId> {
        let next = RackId(self.ids.len());
        Some(*self.ids.entry(name?.clone()).or_insert(next))
    }

    /// Looks up the rack where the data of a step is; empty for none. Racks that only jobs name are not added, so
    /// that the index grows with the workers only.
    pub(crate) fn data_rack(&self, name: &str) -> Option<RackId> {
        let known = || self.ids.get(name).copied().unwrap_or(RackId::UNKNOWN);
        (!name.is_empty()).then(known)
    }
}
