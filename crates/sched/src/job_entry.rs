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

/// Place in the order of arrival.
pub(crate) type ArrivalRank = (ClockTime, JobId);

/// Part of a guaranteed cell that a job uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BoundPart {
    pub(crate) binding: BindingKey,
    pub(crate) mask: u64,
}

/// What an attempt holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHold {
    pub(crate) loads: Vec<WorkerLoad>,
    pub(crate) members: Vec<MemberPlacement>,
    /// Parts of the account's guarantee; empty for borrowed work.
    pub(crate) parts: Vec<BoundPart>,
    /// Whether it started as backfill that yields to a reservation.
    pub(crate) yielding: bool,
    /// Why it was told to stop, and by when.
    pub(crate) ending: Option<(PreemptReason, ClockTime)>,
    /// Whether a new holder still has to find the guaranteed cells that the attempt used.
    pub(crate) unbound_guarantee: bool,
}

impl AttemptHold {
    /// Returns whether others may not preempt it.
    pub(crate) fn is_firm(&self) -> bool {
        !self.parts.is_empty()
    }
}

/// What a job waits for or holds.
#[derive(Clone, Debug)]
pub(crate) enum JobPhase {
    /// In the queue, possibly with a reservation.
    Queued { reservation: Option<Vec<WorkerLoad>> },
    /// Guaranteed cells are being given back for it.
    Claiming {
        loads: Vec<WorkerLoad>,
        parts: Vec<BoundPart>,
    },
    /// An attempt holds accelerators.
    Held(AttemptHold),
}

/// An unfinished job.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) queued_at: ClockTime,
    /// When it was queued, or queued again after an attempt.
    pub(crate) waiting_since: ClockTime,
    /// Last attempt.
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: JobPhase,
    /// Starts of later arrivals since it was queued.
    pub(crate) overtaken: u32,
    pub(crate) cancelled: bool,
    /// Failed starts without one that succeeded, and when to try again.
    pub(crate) failed_starts: u32,
    pub(crate) retry_at: ClockTime,
    /// Workers that failed these starts.
    pub(crate) avoided: BTreeSet<WorkerSlot>,
    /// Whether its shape was checked against the known workers.
    pub(crate) checked: bool,
}

impl JobEntry {
    pub(crate) fn rank(&self) -> ArrivalRank {
        (self.queued_at, self.id)
    }

    pub(crate) fn hold(&self) -> Option<&AttemptHold> {
        match &self.phase {
            JobPhase::Held(hold) => Some(hold),
            _ => None,
        }
    }

    pub(crate) fn hold_mut(&mut self) -> Option<&mut AttemptHold> {
        match &mut self.phase {
            JobPhase::Held(hold) => Some(hold),
            _ => None,
        }
    }
}
