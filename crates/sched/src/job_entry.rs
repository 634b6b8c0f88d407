use std::collections::BTreeSet;
use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, ClockTime, JobId, JobSpec};

use crate::guarantee_ledger::BindingKey;
use crate::worker_load::{WorkerLoad, WorkerSlot};
use crate::{MemberPlacement, PreemptReason};

slotmap::new_key_type! {
    /// Key of an unfinished job.
    pub(crate) struct JobKey;
}

/// Sort key of the arrival order: first queueing time, then job identifier.
pub(crate) type ArrivalRank = (ClockTime, JobId);

/// Accelerators of a bound guaranteed cell that one job uses or claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BindingPart {
    pub(crate) binding: BindingKey,
    pub(crate) mask: u64,
}

/// Resources allocated to an attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptAllocation {
    pub(crate) loads: Vec<WorkerLoad>,
    pub(crate) members: Vec<MemberPlacement>,
    /// Parts of the account's guaranteed cells; empty for borrowed jobs.
    pub(crate) parts: Vec<BindingPart>,
    /// Whether it is backfill: it started on reserved cells, or after the barrier, and may be preempted for a
    /// reservation.
    pub(crate) backfill: bool,
    /// Reason and deadline of a requested preemption.
    pub(crate) preemption: Option<(PreemptReason, ClockTime)>,
    /// Whether the guaranteed cells of an adopted attempt are not identified yet.
    pub(crate) awaits_rebinding: bool,
}

impl AttemptAllocation {
    /// Returns whether it uses guaranteed cells, so that no other job may preempt it.
    pub(crate) fn is_guaranteed(&self) -> bool {
        !self.parts.is_empty()
    }
}

/// Scheduling phase of an unfinished job.
#[derive(Clone, Debug)]
pub(crate) enum JobPhase {
    /// The job is queued, possibly with a reservation.
    Queued { reservation: Option<Vec<WorkerLoad>> },
    /// The job has claimed guaranteed cells and waits until borrowers have left them.
    Claiming {
        loads: Vec<WorkerLoad>,
        parts: Vec<BindingPart>,
    },
    /// An attempt of the job has resources.
    Allocated(AttemptAllocation),
}

/// Scheduling state of an unfinished job.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) queued_at: ClockTime,
    /// When the job was queued, or queued again after an attempt.
    pub(crate) waiting_since: ClockTime,
    /// Number of the last attempt.
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: JobPhase,
    /// Number of later arrivals that started, other than as guaranteed jobs or backfill, while this one
    /// waited.
    pub(crate) overtaken: u32,
    pub(crate) cancelled: bool,
    /// Failed attempts since the last successful start.
    pub(crate) failed_attempts: u32,
    /// When the job may be tried again after a failure.
    pub(crate) retry_at: ClockTime,
    /// Workers on which these attempts failed.
    pub(crate) avoided_workers: BTreeSet<WorkerSlot>,
    /// Whether the shape is known to fit on the known workers.
    pub(crate) checked: bool,
}

impl JobEntry {
    pub(crate) fn rank(&self) -> ArrivalRank {
        (self.queued_at, self.id)
    }

    pub(crate) fn allocation(&self) -> Option<&AttemptAllocation> {
        match &self.phase {
            JobPhase::Allocated(allocation) => Some(allocation),
            _ => None,
        }
    }

    pub(crate) fn allocation_mut(&mut self) -> Option<&mut AttemptAllocation> {
        match &mut self.phase {
            JobPhase::Allocated(allocation) => Some(allocation),
            _ => None,
        }
    }
}
