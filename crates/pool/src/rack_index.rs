use std::collections::HashMap;
use std::sync::Arc;

use crate::worker_search::RackId;

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
}
