//! Finds workers for a task or a whole gang.
//!
//! Load pattern: large tasks and gangs arrive while small tasks are spread over the pool. Small tasks are put
//! where the least room is left over, so that whole workers and racks stay free for large ones.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{ResourceAmount, WorkerKey};

/// A worker during one decision.
#[derive(Clone, Debug)]
pub(crate) struct RoomRow {
    pub(crate) worker: WorkerKey,
    pub(crate) free: ResourceAmount,
    pub(crate) capacity: ResourceAmount,
    pub(crate) rack: Option<Arc<str>>,
    pub(crate) service: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    /// Others are to be preferred.
    pub(crate) doubtful: bool,
    /// It is used only by work that has waited in vain for others.
    pub(crate) slow: bool,
}

impl RoomRow {
    /// Returns whether nothing runs on the worker.
    pub(crate) fn is_empty(&self) -> bool {
        self.free == self.capacity
    }
}

/// What a task asks of a worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskNeed {
    pub(crate) amount: ResourceAmount,
    pub(crate) service: Arc<str>,
    pub(crate) required_label: Option<Arc<str>>,
    pub(crate) data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker.
    pub(crate) spread_limit: Option<usize>,
}

impl TaskNeed {
    /// Returns whether the worker may run the task, were it empty.
    pub(crate) fn allows(&self, row: &RoomRow) -> bool {
        row.service == self.service
            && self
                .required_label
                .as_ref()
                .is_none_or(|label| row.labels.contains(label))
            && row.capacity.covers(&self.amount)
    }

    pub(crate) fn is_near(&self, row: &RoomRow) -> bool {
        self.data_rack.is_none() || self.data_rack == row.rack
    }

    pub(crate) fn is_near_rack(&self, rack: &Arc<str>) -> bool {
        self.data_rack.as_ref().is_none_or(|data| data == rack)
    }
}

/// Tasks of the step that a worker has already.
pub(crate) type StepCounts = HashMap<WorkerKey, usize>;

/// Returns how many tasks the row takes beside those of the step that it has.
pub(crate) fn row_fits(row: &RoomRow, need: &TaskNeed, counts: &StepCounts, limit: usize) -> usize {
    if !need.allows(row) {
        return 0;
    }
    let fits = row.free.times(&need.amount, limit);
    match need.spread_limit {
        Some(most) => fits.min(most.saturating_sub(counts.get(&row.worker).copied().unwrap_or(0))),
        None => fits,
    }
}

/// Returns the row for one task: not doubtful if possible, then the one with the least room left over.
pub(crate) fn best_row<F>(rows: &[RoomRow], need: &TaskNeed, counts: &StepCounts, allowed: F) -> Option<usize>
where
    F: Fn(&RoomRow) -> bool,
{
    let candidates = rows.iter().enumerate();
    let fitting = candidates.filter(|(_, row)| allowed(row) && row_fits(row, need, counts, 1) > 0);
    let scored = fitting.map(|(number, row)| {
        let left = row.free - need.amount;
        (row.doubtful, left.largest_share(&row.capacity), number)
    });
    scored.min().map(|(_, _, number)| number)
}

/// Returns rows for `count` tasks among those allowed, fullest workers first, or `None` if they do not all fit.
pub(crate) fn gang_rows<F>(rows: &[RoomRow], need: &TaskNeed, count: usize, allowed: F) -> Option<Vec<usize>>
where
    F: Fn(&RoomRow) -> bool,
{
    let counts = StepCounts::new();
    let mut candidates: Vec<(bool, i64, usize, usize)> = Vec::new();
    for (number, row) in rows.iter().enumerate() {
        let fits = if allowed(row) {
            row_fits(row, need, &counts, count)
        } else {
            0
        };
        if fits > 0 {
            candidates.push((row.doubtful, row.free.largest_share(&row.capacity), number, fits));
        }
    }
    candidates.sort_unstable();
    let mut chosen = Vec::with_capacity(count);
    for (_, _, number, fits) in candidates {
        let take = fits.min(count - chosen.len());
        chosen.extend(std::iter::repeat_n(number, take));
        if chosen.len() == count {
            return Some(chosen);
        }
    }
    None
}

/// Returns the racks that hold workers for the need, each with the number of tasks that fit now and when empty.
pub(crate) fn rack_fits<F>(
    rows: &[RoomRow],
    need: &TaskNeed,
    count: usize,
    allowed: F,
) -> Vec<(Arc<str>, usize, usize)>
where
    F: Fn(&RoomRow) -> bool,
{
    let counts = StepCounts::new();
    let mut racks: HashMap<Arc<str>, (usize, usize)> = HashMap::new();
    for row in rows {
        let Some(rack) = &row.rack else { continue };
        if !need.allows(row) || !allowed(row) {
            continue;
        }
        let entry = racks.entry(rack.clone()).or_default();
        entry.0 += row_fits(row, need, &counts, count);
        entry.1 += row
            .capacity
            .times(&need.amount, need.spread_limit.unwrap_or(count).min(count));
    }
    let mut racks: Vec<_> = racks
        .into_iter()
        .map(|(rack, (now, empty))| (rack, now, empty))
        .collect();
    racks.sort();
    racks
}
