use std::sync::Arc;

use arbutuspick_clients::{MemberAllocation, MemberResult, PartState, PrepareRequest};
use arbutuspick_model::WorkerTime;
use serde::{Deserialize, Serialize};

use crate::task_log::TaskEnd;
use crate::task_payload::TaskPayload;

/// Run time of a task on a worker whose fault makes every task fail.
const EARLY_FAILURE_MS: u64 = 10;

/// Content of a checkpoint object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskProgress {
    /// Completed work, in milliseconds at full speed.
    pub(crate) done_ms: u64,
}

/// The part of an attempt that is on one worker: its members and their state.
#[derive(Clone, Debug)]
pub(crate) struct WorkerPart {
    pub(crate) members: Vec<MemberAllocation>,
    pub(crate) cores: u32,
    pub(crate) memory_mib: u64,
    pub(crate) payload: TaskPayload,
    pub(crate) checkpointable: bool,
    pub(crate) checkpoint: Option<Arc<str>>,
    pub(crate) state: PartState,
    pub(crate) ever_started: bool,
    pub(crate) hold_until: WorkerTime,
    pub(crate) lease_until: WorkerTime,
    /// Completed work at `progress_at`.
    progress: TaskProgress,
    progress_at: WorkerTime,
    pub(crate) resumed_ms: Option<u64>,
    speed_percent: u64,
    fails_early: bool,
}

impl WorkerPart {
    pub(crate) fn prepared(request: &PrepareRequest, progress: TaskProgress) -> Self {
        Self {
            members: request.members.clone(),
            cores: request.cores,
            memory_mib: request.memory_mib,
            payload: TaskPayload::parse(&request.payload),
            checkpointable: request.checkpointable,
            checkpoint: request.checkpoint.clone(),
            state: PartState::Prepared,
            ever_started: false,
            hold_until: request.hold_until,
            lease_until: WorkerTime(0),
            progress,
            progress_at: WorkerTime(0),
            resumed_ms: request.checkpoint.as_ref().map(|_| progress.done_ms),
            speed_percent: 100,
            fails_early: false,
        }
    }

    /// Creates the part of an attempt that was voided before it was prepared on the worker.
    pub(crate) fn voided() -> Self {
        Self {
            members: Vec::new(),
            cores: 0,
            memory_mib: 0,
            payload: TaskPayload::default(),
            checkpointable: false,
            checkpoint: None,
            state: PartState::Voided,
            ever_started: false,
            hold_until: WorkerTime(0),
            lease_until: WorkerTime(0),
            progress: TaskProgress::default(),
            progress_at: WorkerTime(0),
            resumed_ms: None,
            speed_percent: 100,
            fails_early: false,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.state == PartState::Running
    }

    /// Returns whether the part occupies accelerators, cores and memory.
    pub(crate) fn occupies_resources(&self) -> bool {
        matches!(self.state, PartState::Prepared | PartState::Running)
    }

    pub(crate) fn start(&mut self, now: WorkerTime, lease_until: WorkerTime, fails_early: bool) {
        self.state = PartState::Running;
        self.ever_started = true;
        self.lease_until = lease_until;
        self.progress_at = now;
        self.fails_early = fails_early;
    }

    /// Sets the speed of the remaining work.
    pub(crate) fn set_speed(&mut self, now: WorkerTime, percent: u64) {
        self.progress = self.current_progress(now);
        self.progress_at = now;
        self.speed_percent = percent.max(1);
    }

    pub(crate) fn current_progress(&self, now: WorkerTime) -> TaskProgress {
        let worked = now.millis_since(self.progress_at) * self.speed_percent / 100;
        TaskProgress {
            done_ms: (self.progress.done_ms + worked).min(self.payload.run_ms),
        }
    }

    fn finishes_at(&self) -> WorkerTime {
        if self.fails_early {
            return self.progress_at + EARLY_FAILURE_MS;
        }
        let remaining = self.payload.run_ms.saturating_sub(self.progress.done_ms);
        self.progress_at + remaining.saturating_mul(100) / self.speed_percent
    }

    /// Advances the state to `now`; returns when and how a running part ended.
    pub(crate) fn advance(&mut self, now: WorkerTime) -> Option<(WorkerTime, TaskEnd)> {
        match self.state {
            PartState::Prepared if now >= self.hold_until => self.state = PartState::Voided,
            PartState::Running => return self.advance_running(now),
            _ => {}
        }
        None
    }

    fn advance_running(&mut self, now: WorkerTime) -> Option<(WorkerTime, TaskEnd)> {
        let finishes_at = self.finishes_at();
        if self.lease_until <= now && self.lease_until < finishes_at {
            self.state = PartState::LeaseExpired;
            return Some((self.lease_until, TaskEnd::LeaseExpired));
        }
        if finishes_at > now {
            return None;
        }
        if self.fails_early || self.payload.fail {
            self.state = PartState::Failed {
                message: "task failed".into(),
            };
            return Some((finishes_at, TaskEnd::Failed));
        }
        let result = |member: &MemberAllocation| MemberResult {
            index: member.index,
            output: Arc::clone(&self.payload.output),
        };
        self.state = PartState::Finished {
            results: self.members.iter().map(result).collect(),
        };
        Some((finishes_at, TaskEnd::Finished))
    }
}
