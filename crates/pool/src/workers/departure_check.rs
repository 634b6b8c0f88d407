//! Decides which runs are stopped at once when their worker announces that it leaves.
//!
//! Load pattern: workers are replaced one after the other, or taken away at short notice, under runs that last longer
//! than the notice. A run that cannot end before its worker leaves loses more work with each second that it goes on,
//! and keeps the other members of its gang on capacity that other work needs.

use arbutuspick_model::ClockTime;

use crate::StepBody;
use crate::jobs::job_entry::TaskEntry;
use crate::workers::run_pace::min_total_ms;

/// Time by which a worker may leave earlier than expected, in milliseconds: its registry entry is read late.
const REGISTRY_LAG_MS: u64 = 500;

/// Returns whether a run is stopped before its worker leaves at `leaves_at`; `factor` is its slowdown if it is remote.
///
/// A saved run resumes elsewhere, so its estimate decides. Of any other member of a gang the work is lost, so only its
/// progress decides: it goes on unless it would be late even if it has gained almost one percent more than it reported.
pub(crate) fn must_leave(
    body: &StepBody,
    task: &TaskEntry,
    factor: u64,
    leaves_at: ClockTime,
    now: ClockTime,
) -> bool {
    let percent = u64::from(task.progress.percent.min(100));
    let is_saved = body.checkpoints && !task.checkpoint.is_empty();
    if is_saved && now + body.estimate_ms * factor * (100 - percent) / 100 > leaves_at {
        return true;
    }
    // The end of a single task costs little more work later, and the worker may leave later than announced.
    if body.endless || !body.gang {
        return false;
    }
    let Some(total_ms) = min_total_ms(&task.progress) else {
        return false;
    };
    let left_ms = total_ms * 99_u64.saturating_sub(percent) / 100;
    task.progress.reported_at + left_ms + REGISTRY_LAG_MS > leaves_at
}
