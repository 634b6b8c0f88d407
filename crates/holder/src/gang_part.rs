use arbutuspick_clients::{MemberAllocation, MemberResult, PartState, PartStatus};
use arbutuspick_model::{ClockTime, WorkerName};

/// Time after which a call to a worker is repeated if its effect is not confirmed.
const CALL_RETRY_MS: u64 = 300;

/// State of the members of a gang on one worker, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartPhase {
    /// The worker has not confirmed anything yet.
    Unconfirmed,
    /// Resources are reserved, no member was started.
    Prepared,
    /// The worker reported that the members are running.
    Running,
    /// Every member on the worker finished.
    Finished(Vec<MemberResult>),
    /// The members ended without a result.
    Ended {
        /// Whether a member was or may have been started.
        ever_started: bool,
        /// Whether the end counts as a failure of the worker.
        failed: bool,
    },
    /// The worker did not report an end before the gang lease expired.
    Lost,
}

/// The members of a gang on one worker.
#[derive(Clone, Debug)]
pub struct GangPart {
    /// Worker that runs the members.
    pub worker: WorkerName,
    /// Members on the worker.
    pub members: Vec<MemberAllocation>,
    /// Phase of the members.
    pub phase: PartPhase,
    /// Whether the worker confirmed a requested checkpoint.
    pub checkpointed: bool,
    /// When the worker last reported this part.
    pub last_report_at: ClockTime,
    next_call_at: ClockTime,
}

impl GangPart {
    /// Creates an unconfirmed part.
    pub fn new(worker: WorkerName, members: Vec<MemberAllocation>, now: ClockTime) -> Self {
        Self {
            worker,
            members,
            phase: PartPhase::Unconfirmed,
            checkpointed: false,
            last_report_at: now,
            next_call_at: now,
        }
    }

    /// Returns whether a call is due, and if so schedules its repetition.
    pub fn take_due_call(&mut self, now: ClockTime) -> bool {
        let due = now >= self.next_call_at;
        if due {
            self.next_call_at = now + CALL_RETRY_MS;
        }
        due
    }

    /// Makes the next call due at once.
    pub fn make_call_due(&mut self) {
        self.next_call_at = ClockTime(0);
    }

    /// Applies a report of the worker.
    pub fn apply_status(&mut self, status: &PartStatus, now: ClockTime) {
        self.last_report_at = now;
        if self.is_terminal() {
            return;
        }
        // A report without members comes from a worker that lost the attempt in a restart, so it is no proof
        // that no member was started.
        let ever_started = status.ever_started || status.members.is_empty();
        self.phase = match &status.state {
            PartState::Prepared => PartPhase::Prepared,
            PartState::Running => PartPhase::Running,
            PartState::Finished { results } => PartPhase::Finished(results.clone()),
            PartState::Failed { .. } => PartPhase::Ended {
                ever_started,
                failed: true,
            },
            PartState::Stopped | PartState::LeaseExpired | PartState::Voided => PartPhase::Ended {
                ever_started,
                failed: false,
            },
        };
    }

    /// Applies a full report that was requested at the given time and does not list the members.
    ///
    /// The worker lost them in a restart, unless the report was requested before they were confirmed. If the
    /// start was committed by an earlier holder, the worker had prepared them even though this holder has no
    /// confirmation.
    pub fn apply_missing(&mut self, requested_at: ClockTime, committed: bool) {
        let confirmed_before = self.last_report_at < requested_at && self.phase != PartPhase::Unconfirmed;
        let prepared_earlier = committed && self.phase == PartPhase::Unconfirmed;
        if !self.is_terminal() && (confirmed_before || prepared_earlier) {
            self.phase = PartPhase::Ended {
                ever_started: true,
                failed: true,
            };
        }
    }

    /// Returns whether the members have ended and no longer hold resources on the worker.
    pub fn is_terminal(&self) -> bool {
        matches!(
            self.phase,
            PartPhase::Finished(_) | PartPhase::Ended { .. } | PartPhase::Lost
        )
    }

    /// Returns whether the worker confirmed that no member was ever started.
    pub fn is_confirmed_unstarted(&self) -> bool {
        matches!(
            self.phase,
            PartPhase::Ended {
                ever_started: false,
                ..
            }
        )
    }

    /// Returns whether the members are running or have finished.
    pub fn is_started(&self) -> bool {
        matches!(self.phase, PartPhase::Running | PartPhase::Finished(_))
    }
}
