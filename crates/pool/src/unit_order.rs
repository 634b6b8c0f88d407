//! The order in which waiting work is placed.
//!
//! Load pattern: more work than room. An account's work of priority 0 inside its guarantee precedes all. Other
//! work is ordered by what finishing it is worth for the room that it still takes, so that the pool serves as
//! many callers as possible; work that can no longer meet its objective is worth less, and work that is
//! overdue comes last, oldest first.

use std::cmp::Reverse;

use arbutuspick_model::ClockTime;

use crate::job_worth::JobWorth;

/// Up to this many times its objective, finished work is late rather than worthless.
const LATE_FACTOR: u64 = 3;

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
    overdue: bool,
    density: Reverse<u64>,
    start_by: ClockTime,
    pub(crate) lateness: Lateness,
    pub(crate) priority: u32,
}

/// When an occurrence is due and how long it should take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitTiming {
    pub(crate) due_at: ClockTime,
    pub(crate) objective_ms: u64,
    /// Estimated milliseconds of this step and all that follow it.
    pub(crate) remaining_ms: u64,
}

impl UnitTiming {
    /// Returns how work that starts at `start` stands, and the time by which it must end for that.
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

/// Returns the rank of a unit whose job still takes `remaining_room`, in worker milliseconds.
pub(crate) fn unit_rank(
    now: ClockTime,
    timing: &UnitTiming,
    worth: &JobWorth,
    remaining_room: u64,
    inside_guarantee: bool,
) -> UnitRank {
    /// Keeps the quotient of worth and room a whole number.
    const SCALE: u64 = 1_000;
    let (lateness, finish_by) = timing.lateness(now);
    UnitRank {
        outside_guarantee: !inside_guarantee,
        overdue: lateness == Lateness::Overdue,
        density: Reverse(worth.ending(lateness) * SCALE / remaining_room.max(1)),
        start_by: finish_by - timing.remaining_ms,
        lateness,
        priority: worth.priority,
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
