//! The value of finishing a job to its caller, and the loss from delaying it.
//!
//! The values follow the users' requirements: by priority, one value on time and one when late. Three tenths
//! of it are fixed and the rest grows with the work of the job.

use crate::placement::unit_order::Lateness;

/// One unit of value in fixed-point arithmetic.
pub(crate) const VALUE_UNIT: u64 = 1_000_000;
/// Value of a job of mean size that meets its objective, by priority.
const ON_TIME_VALUE: [u64; 3] = [4 * VALUE_UNIT, 3 * VALUE_UNIT, VALUE_UNIT];
/// Value of a job of mean size that is late, by priority.
const LATE_VALUE: [u64; 3] = [VALUE_UNIT * 8 / 10, VALUE_UNIT * 9 / 10, VALUE_UNIT * 3 / 10];
/// Part of the value that does not depend on the size of the job, in percent.
const FIXED_VALUE_PERCENT: u64 = 30;
/// Largest value of a job, in percent of the value of a job of mean size.
const MAX_VALUE_PERCENT: u64 = 400;
/// Cost of lost work as given by the users: 0.0021 for each core second, here in tenths of a millionth for
/// each core millisecond.
const LOST_WORK_TENTHS_PER_CORE_MS: u64 = 21;

/// Size and priority of a job, which determine its value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobValue {
    pub(crate) priority: u32,
    /// Work of the job, in core milliseconds.
    pub(crate) work: u64,
    /// Mean work of the jobs of its queue, in core milliseconds.
    pub(crate) mean_work: u64,
}

impl JobValue {
    /// Returns the value of the job if it ends with this lateness.
    pub(crate) fn value_at(&self, lateness: Lateness) -> u64 {
        let priority = (self.priority as usize).min(ON_TIME_VALUE.len() - 1);
        let base = match lateness {
            Lateness::OnTime => ON_TIME_VALUE[priority],
            Lateness::Late => LATE_VALUE[priority],
            Lateness::Overdue => return 0,
        };
        let size = FIXED_VALUE_PERCENT + (100 - FIXED_VALUE_PERCENT) * self.work / self.mean_work.max(1);
        base * size.min(MAX_VALUE_PERCENT) / 100
    }

    /// Returns the loss of value when the lateness changes from `before` to `after`.
    pub(crate) fn delay_loss(&self, before: Lateness, after: Lateness) -> u64 {
        self.value_at(before).saturating_sub(self.value_at(after))
    }
}

/// Returns the cost of losing this much work.
pub(crate) fn lost_work_cost(core_ms: u64) -> u64 {
    core_ms * LOST_WORK_TENTHS_PER_CORE_MS / 10
}
