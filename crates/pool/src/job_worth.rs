//! What finishing a job is worth to its caller, and what is lost by delaying it.
//!
//! The figures come from the users' tables of requests: a worth on time and a worth late by priority, of which
//! three tenths are fixed and the rest grows with the work of the job.

use crate::unit_order::Lateness;

/// One unit of worth in the whole numbers used here.
pub(crate) const WORTH: u64 = 1_000_000;
/// Worth of a mean job that meets its objective, by priority.
const ON_TIME: [u64; 3] = [4 * WORTH, 3 * WORTH, WORTH];
/// Worth of a mean job that is late, by priority.
const LATE: [u64; 3] = [WORTH * 8 / 10, WORTH * 9 / 10, WORTH * 3 / 10];
/// Part of the worth that does not depend on the size of the job, in percent.
const FIXED_PERCENT: u64 = 30;
/// Largest worth of a job, in percent of that of a mean job.
const LARGEST_PERCENT: u64 = 400;
/// The users' price of work that is thrown away, in worth for each core millisecond: 0.0021 a core second.
const WASTE_PER_CORE_MS_TENTHS: u64 = 21;

/// Size and priority of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobWorth {
    pub(crate) priority: u32,
    /// Work of the job, in core milliseconds.
    pub(crate) work: u64,
    /// Mean work of the jobs of its queue, in core milliseconds.
    pub(crate) mean_work: u64,
}

impl JobWorth {
    /// Returns what the job is worth if it ends like this.
    pub(crate) fn ending(&self, lateness: Lateness) -> u64 {
        let priority = (self.priority as usize).min(ON_TIME.len() - 1);
        let base = match lateness {
            Lateness::OnTime => ON_TIME[priority],
            Lateness::Late => LATE[priority],
            Lateness::Overdue => return 0,
        };
        let size = FIXED_PERCENT + (100 - FIXED_PERCENT) * self.work / self.mean_work.max(1);
        base * size.min(LARGEST_PERCENT) / 100
    }

    /// Returns what is lost when the job ends one way instead of another.
    pub(crate) fn delay_loss(&self, before: Lateness, after: Lateness) -> u64 {
        self.ending(before).saturating_sub(self.ending(after))
    }
}

/// Returns the worth of work that is thrown away.
pub(crate) fn waste(core_ms: u64) -> u64 {
    core_ms * WASTE_PER_CORE_MS_TENTHS / 10
}
