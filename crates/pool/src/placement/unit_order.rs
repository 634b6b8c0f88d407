//! The order in which waiting units are placed.
//!
//! Load pattern: more work than capacity. Work of priority 0 within the guarantee of its account ranks first.
//! Other work is ordered by the value of finishing it for each unit of capacity that it still takes, so that
//! the pool serves as many callers as possible. Work that can no longer meet its objective has a lower value,
//! and overdue work ranks last, oldest first. Where accounts have weights, work of accounts beyond their share ranks
//! behind other work that is not overdue.

use std::cmp::Reverse;

use arbutuspick_model::ClockTime;

use crate::accounts::account_share::ShareClass;
use crate::jobs::job_value::JobValue;

/// Multiple of the objective up to which finished work is late rather than worthless.
const LATE_FACTOR: u64 = 3;

/// Lateness of a unit against the objective of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    OnTime,
    Late,
    Overdue,
}

/// Sort key of units; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UnitRank {
    outside_guarantee: bool,
    overdue: bool,
    pub(crate) share: ShareClass,
    value_density: Reverse<u64>,
    /// Latest start with the same lateness; for overdue units the older ones are earlier.
    start_by: ClockTime,
    pub(crate) lateness: Lateness,
    pub(crate) priority: u32,
}

/// Due time, objective and remaining work of a unit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitTiming {
    pub(crate) due_at: ClockTime,
    pub(crate) objective_ms: u64,
    /// Estimated time of the step and the longest chain that depends on it, in milliseconds.
    pub(crate) remaining_ms: u64,
}

impl UnitTiming {
    /// Returns the lateness of work that starts at `start`, and the latest end with that lateness.
    ///
    /// For overdue work it returns the due time instead, which ranks the oldest work first.
    pub(crate) fn lateness(&self, start: ClockTime) -> (Lateness, ClockTime) {
        let end = start + self.remaining_ms;
        let on_time = self.due_at + self.objective_ms;
        let late = self.due_at + self.objective_ms * LATE_FACTOR;
        if end <= on_time {
            (Lateness::OnTime, on_time)
        } else if end <= late {
            (Lateness::Late, late)
        } else {
            (Lateness::Overdue, self.due_at)
        }
    }
}

/// Returns the rank of a unit whose occurrence still takes `remaining_worker_us` of a whole worker.
pub(crate) fn unit_rank(
    now: ClockTime,
    timing: &UnitTiming,
    value: &JobValue,
    remaining_worker_us: u64,
    inside_guarantee: bool,
) -> UnitRank {
    /// Scale of the value density in fixed-point arithmetic.
    const SCALE: u64 = 1_000;
    let (lateness, finish_by) = timing.lateness(now);
    UnitRank {
        outside_guarantee: !inside_guarantee,
        overdue: lateness == Lateness::Overdue,
        share: ShareClass::default(),
        value_density: Reverse(value.value_at(lateness) * SCALE / remaining_worker_us.max(1)),
        start_by: finish_by - timing.remaining_ms,
        lateness,
        priority: value.priority,
    }
}

impl UnitRank {
    /// Returns the time until the latest start with the same lateness, in milliseconds.
    pub(crate) fn slack_ms(&self, now: ClockTime) -> u64 {
        self.start_by.millis_since(now)
    }

    pub(crate) fn inside_guarantee(&self) -> bool {
        !self.outside_guarantee
    }
}
