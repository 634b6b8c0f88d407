//! Counts the work that is thrown away, by the cause of the loss.
//!
//! Load pattern: runs are stopped, broken or lost at many places under overload and failures. Operators see which
//! decision or fault costs how much work.

use std::collections::BTreeMap;

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::TaskEntry;
use crate::jobs::run_release::RunRelease;
use crate::{EndKind, StepBody, StopReason};

/// Why work was thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// An account reclaimed its guarantee.
    Reclaim,
    /// Work of higher rank needed the capacity, outside a guarantee.
    Preemption,
    /// The run was moved since it gained too little or nothing.
    Move,
    /// Another member of the gang failed or did not start.
    MemberLost,
    /// The worker restarted, or was unreachable until its lease expired; also what ran again until an earlier run was
    /// known to have ended as done.
    WorkerLost,
    /// An earlier leader started the run, and it was gone before this leader listed it.
    LeaderChange,
    /// The caller cancelled the job.
    Cancel,
    /// The job failed with other runs still present.
    JobFailed,
    /// The worker announced that it leaves.
    Notice,
    /// The run belonged to no known task, or nothing known explains its end.
    Unexpected,
}

impl LossCause {
    /// All causes, in the order of their reports.
    pub const ALL: [Self; 10] = [
        Self::Reclaim,
        Self::Preemption,
        Self::Move,
        Self::MemberLost,
        Self::WorkerLost,
        Self::LeaderChange,
        Self::Cancel,
        Self::JobFailed,
        Self::Notice,
        Self::Unexpected,
    ];

    /// Returns the name of the cause in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reclaim => "reclaim",
            Self::Preemption => "preemption",
            Self::Move => "move",
            Self::MemberLost => "member_lost",
            Self::WorkerLost => "worker_lost",
            Self::LeaderChange => "leader_change",
            Self::Cancel => "cancel",
            Self::JobFailed => "job_failed",
            Self::Notice => "notice",
            Self::Unexpected => "unexpected",
        }
    }

    /// Returns the cause of what a stop throws away.
    pub(crate) fn of_stop(reason: StopReason) -> Self {
        match reason {
            StopReason::JobEnded => Self::Cancel,
            StopReason::Preempted => Self::Preemption,
            StopReason::NoProgress => Self::Move,
            StopReason::WorkerLeaving => Self::Notice,
            StopReason::GangBroken | StopReason::StartUnconfirmed => Self::MemberLost,
            // The worker of the earlier run had been cut off.
            StopReason::AlreadyDone => Self::WorkerLost,
            StopReason::Unexpected => Self::Unexpected,
        }
    }

    /// Returns the cause of what a run throws away that was not stopped.
    pub(crate) fn of_release(release: RunRelease, restored: bool) -> Self {
        match release {
            RunRelease::NotStarted
            | RunRelease::Ended(EndKind::Failed | EndKind::GangBroken | EndKind::GangIncomplete) => {
                Self::MemberLost
            }
            _ if restored => Self::LeaderChange,
            RunRelease::IncarnationEnded
            | RunRelease::LeaseExpired
            | RunRelease::Ended(EndKind::LeaseExpired) => Self::WorkerLost,
            RunRelease::Absent | RunRelease::Ended(EndKind::Done | EndKind::Stopped) => Self::Unexpected,
        }
    }
}

/// Work thrown away since it was last taken, in core milliseconds by cause; an accelerator counts as 8 cores.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossLedger {
    lost_core_ms: BTreeMap<LossCause, u64>,
}

impl LossLedger {
    pub(crate) fn charge(&mut self, cause: LossCause, core_ms: u64) {
        if core_ms > 0 {
            *self.lost_core_ms.entry(cause).or_default() += core_ms;
        }
    }

    pub(crate) fn take(&mut self) -> BTreeMap<LossCause, u64> {
        std::mem::take(&mut self.lost_core_ms)
    }
}

/// Returns the work of a run that is lost if it ends now and its task runs again, in core milliseconds: a step with
/// checkpoints loses what was done since the latest one.
pub(crate) fn unsaved_core_ms(body: &StepBody, task: &TaskEntry, now: ClockTime) -> u64 {
    let saved_at = task.progress.saved_at.filter(|_| body.checkpoints);
    lost_since(body, saved_at.or(task.progress.present_since), now)
}

/// Returns the work of a run that is lost if its job ends now, in core milliseconds: no checkpoint is used again.
pub(crate) fn run_core_ms(body: &StepBody, task: &TaskEntry, now: ClockTime) -> u64 {
    lost_since(body, task.progress.present_since, now)
}

fn lost_since(body: &StepBody, since: Option<ClockTime>, now: ClockTime) -> u64 {
    since.map_or(0, |since| {
        body.amount().core_equivalents() * now.millis_since(since)
    })
}
