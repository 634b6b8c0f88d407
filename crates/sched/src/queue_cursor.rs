use std::collections::BTreeSet;

use arbutuspick_model::JobClass;

use crate::gang_queue::{AccountQueue, GroupKey};
use crate::job_entry::{ArrivalRank, JobKey};

/// The jobs of one account in one pass, by class and arrival.
///
/// A group whose first job failed is left out, because its other jobs have the same shape.
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

    /// Returns the next job; its group continues only after `push`.
    pub(crate) fn pop(&mut self, queue: &AccountQueue) -> Option<(JobKey, GroupKey)> {
        loop {
            let (_, rank, group) = self.heads.pop_first()?;
            match queue.head(&group) {
                Some((first, job)) if first == rank => return Some((job, group)),
                _ => self.push(queue, group),
            }
        }
    }

    /// Continues a group with its first job, if there is one.
    pub(crate) fn push(&mut self, queue: &AccountQueue, group: GroupKey) {
        if let Some((rank, _)) = queue.head(&group) {
            self.heads.insert((group.0, rank, group));
        }
    }
}
