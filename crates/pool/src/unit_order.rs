//! The order in which waiting work is placed.
//!
//! Load pattern: more work than room. Work that can still meet its objective goes before work that is late,
//! and late work before work that can no longer earn anything; in each of these by priority and then by the
//! latest time at which it must start. An account's work of priority 0 inside its guarantee precedes all.

use arbutuspick_model::ClockTime;

/// Up to this many times its objective, finished work is late rather than worthless.
const LATE_FACTOR: u64 = 3;
/// Priorities from here on are treated alike.
const LOWEST_PRIORITY: u32 = 2;

/// How a unit of work stands against its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    OnTime,
    Late,
    Overdue,
}

/// Sorts units of work; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UnitRank {
    outside_guarantee: bool,
    pub(crate) lateness: Lateness,
    pub(crate) priority: u32,
    start_by: ClockTime,
}

/// What the rank of a unit depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitTiming {
    pub(crate) due_at: ClockTime,
    pub(crate) objective_ms: u64,
    /// Estimated milliseconds of this step and all that follow it.
    pub(crate) remaining_ms: u64,
    pub(crate) priority: u32,
    pub(crate) inside_guarantee: bool,
}

pub(crate) fn unit_rank(now: ClockTime, timing: &UnitTiming) -> UnitRank {
    let end = now + timing.remaining_ms;
    let on_time = timing.due_at + timing.objective_ms;
    let late = timing.due_at + timing.objective_ms * LATE_FACTOR;
    let (lateness, finish_by) = if end <= on_time {
        (Lateness::OnTime, on_time)
    } else if end <= late {
        (Lateness::Late, late)
    } else {
        (Lateness::Overdue, timing.due_at)
    };
    UnitRank {
        outside_guarantee: !timing.inside_guarantee,
        lateness,
        priority: timing.priority.min(LOWEST_PRIORITY),
        start_by: finish_by - timing.remaining_ms,
    }
}

impl UnitRank {
    /// Returns the milliseconds until the unit must start to stay in its class.
    pub(crate) fn slack_ms(&self, now: ClockTime) -> u64 {
        self.start_by.millis_since(now)
    }

    pub(crate) fn inside_guarantee(&self) -> bool {
        !self.outside_guarantee
    }
}
