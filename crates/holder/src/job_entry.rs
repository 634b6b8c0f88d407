use std::collections::VecDeque;
use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, ClockTime, JobSpec};
use arbutuspick_records::{JobRecord, PlacedMember, Versioned};
use arbutuspick_sched::{AttemptEnd, GangPlacement, MemberPlacement};

use crate::GangMachine;
use crate::job_write::JobWrite;

/// What follows when a write of a job has been decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteFollowUp {
    /// The start transaction: the attempt learns its result.
    Start,
    /// Nothing.
    Nothing,
    /// The placement core learns how the attempt ended.
    ReportEnd(AttemptEnd),
    /// The job left this data centre.
    RemoveJob,
    /// The placement core, which had given the job up, gets it back.
    Requeue,
}

/// An attempt that holds accelerators.
#[derive(Debug)]
pub(crate) struct LiveAttempt {
    pub(crate) placement: GangPlacement,
    pub(crate) machine: GangMachine,
    pub(crate) created_at: ClockTime,
    /// When time has to pass for the machine again.
    pub(crate) next_tick_at: ClockTime,
    /// When the row has to say that the attempt runs, once it does.
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

/// A job of this data centre.
#[derive(Debug)]
pub(crate) struct JobEntry {
    pub(crate) row: Versioned<JobRecord>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) queued_at: ClockTime,
    pub(crate) live: Option<LiveAttempt>,
    /// Writes that wait for the one in flight.
    pub(crate) writes: VecDeque<(JobWrite, WriteFollowUp)>,
    pub(crate) writing: bool,
    /// Highest attempt of which it is certain that no start was sent, although its transaction may be committed.
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

    /// Returns the placement that the row records.
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

/// Returns the members of a placement as the row of the job records them.
pub(crate) fn placed_members(placement: &GangPlacement) -> Vec<PlacedMember> {
    let members = placement.members.iter().map(|member| PlacedMember {
        worker: member.worker.clone(),
        accelerators: member.accelerators,
    });
    members.collect()
}
