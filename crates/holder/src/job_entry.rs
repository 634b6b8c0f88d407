use std::collections::VecDeque;
use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, ClockTime, JobSpec};
use arbutuspick_records::{JobRecord, PlacedMember, Versioned};
use arbutuspick_sched::{AttemptEnd, GangPlacement, MemberPlacement};

use crate::GangMachine;
use crate::job_write::JobWrite;

/// What the holder does after a write to a job's row has finished.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteFollowUp {
    /// Notify the attempt of the result of its start transaction.
    Start,
    /// Do nothing, except to release the attempt of a job that has ended.
    Nothing,
    /// Report to the placement core how the attempt ended.
    ReportEnd(AttemptEnd),
    /// Remove the job, which was assigned to another data centre.
    RemoveJob,
    /// Queue the job again in the placement core, which had removed it for a transfer.
    Requeue,
}

/// The current attempt of a job, until its end is recorded and its workers are told to release it.
#[derive(Debug)]
pub(crate) struct LiveAttempt {
    pub(crate) placement: GangPlacement,
    pub(crate) machine: GangMachine,
    pub(crate) created_at: ClockTime,
    /// When the state machine is ticked next.
    pub(crate) next_tick_at: ClockTime,
    /// When a running attempt is recorded as running.
    pub(crate) confirm_at: Option<ClockTime>,
}

impl LiveAttempt {
    pub(crate) fn new(placement: GangPlacement, machine: GangMachine, now: ClockTime) -> Self {
        Self {
            placement,
            machine,
            created_at: now,
            next_tick_at: now,
            confirm_at: None,
        }
    }
}

/// A job of this data centre with its current attempt and pending writes.
#[derive(Debug)]
pub(crate) struct JobEntry {
    pub(crate) row: Versioned<JobRecord>,
    pub(crate) spec: Arc<JobSpec>,
    /// Submission time of the job, on the clock of this process.
    pub(crate) queued_at: ClockTime,
    pub(crate) live: Option<LiveAttempt>,
    /// Writes queued behind the one in flight.
    pub(crate) writes: VecDeque<(JobWrite, WriteFollowUp)>,
    /// Whether a write is in flight.
    pub(crate) writing: bool,
    /// Highest attempt for which no start call was sent, although its start transaction may be committed.
    pub(crate) last_unsent_attempt: AttemptNumber,
}

impl JobEntry {
    pub(crate) fn new(row: Versioned<JobRecord>, queued_at: ClockTime) -> Self {
        let spec = Arc::new(row.record.spec.clone());
        Self {
            row,
            spec,
            queued_at,
            live: None,
            writes: VecDeque::new(),
            writing: false,
            last_unsent_attempt: AttemptNumber::default(),
        }
    }

    /// Returns the placement recorded in the row.
    pub(crate) fn recorded_placement(&self) -> GangPlacement {
        let members = self.row.record.placement.iter().map(|member| MemberPlacement {
            worker: member.worker.clone(),
            accelerators: member.accelerators,
        });
        GangPlacement {
            job: self.row.record.job,
            attempt: self.row.record.attempt,
            members: members.collect(),
            guaranteed: self.row.record.guaranteed,
        }
    }
}

/// Converts the members of a placement to the form recorded in the row of the job.
pub(crate) fn placed_members(placement: &GangPlacement) -> Vec<PlacedMember> {
    let members = placement.members.iter().map(|member| PlacedMember {
        worker: member.worker.clone(),
        accelerators: member.accelerators,
    });
    members.collect()
}
