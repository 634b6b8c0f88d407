use std::collections::HashMap;

use crate::ResourceAmount;
use crate::placement::worker_search::{TaskNeed, WorkerCandidate};
use crate::workers::label_index::RequiredLabel;

/// Number of free accelerators from which on workers are not told apart.
const MAX_ACCELERATORS: usize = 64;

/// Largest free amounts of any worker, by its free accelerators.
#[derive(Clone, Debug, Default)]
struct FreeBounds {
    /// Largest free millicores and memory among the workers with at least as many free accelerators as the index.
    by_accelerators: Vec<(i64, i64)>,
}

impl FreeBounds {
    fn new<I>(free: I) -> Self
    where
        I: Iterator<Item = ResourceAmount>,
    {
        let mut by_accelerators: Vec<(i64, i64)> = Vec::new();
        for amount in free {
            let Ok(accelerators) = usize::try_from(amount.accelerators) else {
                continue;
            };
            let accelerators = accelerators.min(MAX_ACCELERATORS);
            if by_accelerators.len() <= accelerators {
                by_accelerators.resize(accelerators + 1, (i64::MIN, i64::MIN));
            }
            let (millicores, memory_mb) = &mut by_accelerators[accelerators];
            *millicores = amount.millicores.max(*millicores);
            *memory_mb = amount.memory_mb.max(*memory_mb);
        }
        for index in (1..by_accelerators.len()).rev() {
            let (millicores, memory_mb) = by_accelerators[index];
            let below = &mut by_accelerators[index - 1];
            *below = (below.0.max(millicores), below.1.max(memory_mb));
        }
        Self { by_accelerators }
    }

    /// Returns whether `need` may fit on a worker; `false` if it certainly fits on none.
    fn may_cover(&self, need: &ResourceAmount) -> bool {
        let index = usize::try_from(need.accelerators.max(0)).unwrap_or(usize::MAX);
        let index = index.min(MAX_ACCELERATORS);
        self.by_accelerators
            .get(index)
            .is_some_and(|(millicores, memory_mb)| {
                *millicores >= need.millicores && *memory_mb >= need.memory_mb
            })
    }
}

/// Bounds of the free capacity by required label, to rule out units that fit nowhere without looking at each worker.
///
/// They stay correct while free capacity shrinks.
#[derive(Debug, Default)]
pub(crate) struct LabelBounds {
    by_label: HashMap<RequiredLabel, FreeBounds>,
}

impl LabelBounds {
    /// Returns whether a task may fit on a candidate; `free_of` returns the free capacity of one.
    pub(crate) fn may_cover<F>(&mut self, need: &TaskNeed, candidates: &[WorkerCandidate], free_of: F) -> bool
    where
        F: Fn(usize, &WorkerCandidate) -> ResourceAmount,
    {
        if need.required_label == RequiredLabel::Unknown {
            return false;
        }
        let bounds = self.by_label.entry(need.required_label).or_insert_with(|| {
            let labelled = candidates.iter().enumerate();
            let labelled = labelled.filter(|(_, candidate)| need.required_label.is_met_by(&candidate.labels));
            FreeBounds::new(labelled.map(|(index, candidate)| free_of(index, candidate)))
        });
        bounds.may_cover(&need.amount)
    }
}
