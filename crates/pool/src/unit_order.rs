//! The order in which waiting work is placed.
//!
//! Load pattern: more work than room. An account's work of priority 0 inside its guarantee precedes all. Other
//! work is ordered by what finishing it is worth for the work that it still needs, so that the room serves as
//! many callers as possible; work that can no longer meet its objective is worth less, and work that is
//! overdue comes last, oldest first.

use std::cmp::Reverse;

use arbutuspick_model::ClockTime;

/// Up to this many times its objective, finished work is late rather than worthless.
const LATE_FACTOR: u64 = 3;
/// Priorities from here on are treated alike.
const LOWEST_PRIORITY: u32 = 2;
/// Worth of work that meets its objective, by priority, from the users' tables of requests.
const ON_TIME_WORTH: [u64; 3] = [400, 300, 100];
/// Worth of work that is late, by priority, from the same tables.
const LATE_WORTH: [u64; 3] = [80, 90, 30];
/// Part of the worth that does not depend on the size of the work, in percent; the rest grows with it.
const FIXED_WORTH_PERCENT: u64 = 30;

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

/// What the rank of a unit depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitTiming {
    pub(crate) due_at: ClockTime,
    pub(crate) objective_ms: u64,
    /// Estimated milliseconds of this step and all that follow it.
    pub(crate) remaining_ms: u64,
    /// Work that the job still needs, in core milliseconds.
    pub(crate) remaining_work: u64,
    /// Work of the whole job, in core milliseconds.
    pub(crate) job_work: u64,
    /// Mean work of the jobs of its queue, in core milliseconds.
    pub(crate) mean_work: u64,
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
    let priority = timing.priority.min(LOWEST_PRIORITY);
    UnitRank {
        outside_guarantee: !timing.inside_guarantee,
        overdue: lateness == Lateness::Overdue,
        density: Reverse(if lateness == Lateness::Overdue { 0 } else { density(timing, lateness, priority) }),
        start_by: finish_by - timing.remaining_ms,
        lateness,
        priority,
    }
}

/// Returns the worth of finishing the job for each unit of work that is left.
fn density(timing: &UnitTiming, lateness: Lateness, priority: u32) -> u64 {
    /// Keeps the quotient of worth and work a whole number.
    const SCALE: u128 = 1_000_000_000;
    let worth = match lateness {
        Lateness::OnTime => ON_TIME_WORTH,
        Lateness::Late | Lateness::Overdue => LATE_WORTH,
    }[priority as usize];
    let mean = timing.mean_work.max(1);
    let size_percent = FIXED_WORTH_PERCENT + (100 - FIXED_WORTH_PERCENT) * timing.job_work / mean;
    let scaled = u128::from(worth * size_percent) * SCALE / u128::from(timing.remaining_work.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
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
