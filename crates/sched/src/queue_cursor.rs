use std::collections::BTreeSet;

use arbutuspick_model::JobClass;

use crate::gang_queue::{AccountQueue, GroupKey};
use crate::job_entry::{ArrivalRank, JobKey};

/// Iterates over the queued jobs of one account in one pass, by class and arrival.
///
/// A group whose first job could not be placed is skipped, because its other jobs have the same shape.
#[derive(Debug, Default)]
pub(crate) struct QueueCursor {
    heads: BTreeSet<(JobClass, ArrivalRank, GroupKey)>,
}

impl QueueCursor {
    pub(crate) fn new(queue: &AccountQueue) -> Self {
        let mut cursor = Self::default();
        for group in queue.groups() {
            cursor.push(queue, *group);
        }
        cursor
    }

    /// Returns the next job and removes its group, which `push` adds again.
    pub(crate) fn pop(&mut self, queue: &AccountQueue) -> Option<(JobKey, GroupKey)> {
        loop {
            let (_, rank, group) = self.heads.pop_first()?;
            match queue.head(&group) {
                Some((first, job)) if first == rank => return Some((job, group)),
                _ => self.push(queue, group),
            }
        }
    }

    /// Adds a group at its first job, if it has one.
    pub(crate) fn push(&mut self, queue: &AccountQueue, group: GroupKey) {
        if let Some((rank, _)) = queue.head(&group) {
            self.heads.insert((group.0, rank, group));
        }
    }
}
