use arbutuspick_model::ClockTime;

use crate::placement::worker_search::{TaskNeed, WorkerCandidate};

/// All that decides on which workers the tasks of a unit may be placed, apart from where other tasks of its step run
/// and where its own tasks failed. Searches for workers take this instead of the unit, so units with equal needs have
/// the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PlacementNeed {
    pub(crate) task: TaskNeed,
    /// Number of members of a gang; `None` for single tasks.
    pub(crate) members: Option<usize>,
    /// Whether a gang is placed in one rack if possible.
    pub(crate) same_rack: bool,
    /// Whether the tasks may run remotely: away from their data, or as a gang that spans racks.
    pub(crate) allows_remote: bool,
    pub(crate) accepts_suspect: bool,
    pub(crate) accepts_slow: bool,
    /// Whether paused workers may be used, since no others could run the tasks.
    pub(crate) accepts_paused: bool,
    /// Whether the last empty workers are left to others.
    pub(crate) avoids_empty_workers: bool,
    /// Expected end of the tasks if they start now, if they leave free capacity to gangs that could start before.
    pub(crate) yields_until: Option<ClockTime>,
    /// Whether the workers that are kept for urgent work are left to it.
    pub(crate) leaves_urgent_room: bool,
}

impl PlacementNeed {
    /// Returns whether the workers could hold the task, or the whole gang, if they were empty.
    pub(crate) fn fits_on<'a, I>(&self, candidates: I) -> bool
    where
        I: Iterator<Item = &'a WorkerCandidate>,
    {
        let count = self.members.unwrap_or(1);
        let mut open = candidates.filter(|candidate| self.task.allows(candidate));
        let mut fitting = 0;
        open.any(|candidate| {
            fitting += self.task.count_on(&candidate.capacity, count);
            fitting >= count
        })
    }

    /// Returns whether the tasks may run in the rack of the worker at this moment.
    pub(crate) fn may_run_in_rack(&self, candidate: &WorkerCandidate) -> bool {
        self.allows_remote || self.task.is_local(candidate)
    }

    /// Returns whether the tasks may use the worker: not a slow one at first, nor one that they leave to others.
    pub(crate) fn accepts(&self, candidate: &WorkerCandidate) -> bool {
        let overlaps = |start: ClockTime| self.yields_until.is_some_and(|end| end > start);
        let is_left_to_gangs = candidate.contested_until.is_some_and(overlaps);
        let is_left_to_urgent = candidate.urgent_room && self.leaves_urgent_room;
        let is_sound = (!candidate.slow || self.accepts_slow) && (!candidate.paused || self.accepts_paused);
        !is_left_to_gangs && !is_left_to_urgent && is_sound
    }
}
