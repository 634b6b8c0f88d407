use arbutuspick_clients::{MemberPart, MemberResult, PartState, PartStatus};
use arbutuspick_model::{ClockTime, WorkerName};

/// Time after which an unanswered call to a worker is repeated.
const CALL_RETRY_MS: u64 = 300;

/// What is known of the members of a gang on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartPhase {
    /// Nothing was confirmed yet.
    Unconfirmed,
    /// Reserved, not started.
    Prepared,
    /// Running.
    Running,
    /// Every member on the worker finished.
    Finished(Vec<MemberResult>),
    /// It ended without a result.
    Ended {
        /// Whether a member was ever started.
        ever_started: bool,
        /// Whether the worker reported a failure of the task itself.
        failed: bool,
    },
    /// The worker did not answer until the gang lease had ended.
    Lost,
}

/// The members of a gang on one worker.
#[derive(Clone, Debug)]
pub struct GangPart {
    /// Worker.
    pub worker: WorkerName,
    /// Members on it.
    pub members: Vec<MemberPart>,
    /// What is known of them.
    pub phase: PartPhase,
    /// Whether a checkpoint that was asked for is confirmed.
    pub checkpointed: bool,
    /// Last time that the worker reported this part.
    pub last_report_at: ClockTime,
    next_call_at: ClockTime,
}

impl GangPart {
    /// Creates a part of which nothing is confirmed.
    pub fn new(worker: WorkerName, members: Vec<MemberPart>, now: ClockTime) -> Self {
        Self {
            worker,
            members,
            phase: PartPhase::Unconfirmed,
            checkpointed: false,
            last_report_at: now,
            next_call_at: now,
        }
    }

    /// Returns whether a call is due, and sets the time of its repetition when it is.
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

    /// Takes over what the worker reported.
    pub fn apply_status(&mut self, status: &PartStatus, now: ClockTime) {
        self.last_report_at = now;
        if self.is_terminal() {
            return;
        }
        // A worker that lists no members forgot the attempt when it restarted, so it can't prove anything.
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

    /// Notes that a full report asked for at that time does not list the members.
    ///
    /// The worker restarted and forgot them, unless the report was asked for before they were confirmed.
    pub fn apply_missing(&mut self, requested_at: ClockTime, committed: bool) {
        let confirmed_before = self.last_report_at < requested_at && self.phase != PartPhase::Unconfirmed;
        let committed_earlier = committed && self.phase == PartPhase::Unconfirmed;
        if !self.is_terminal() && (confirmed_before || committed_earlier) {
            self.phase = PartPhase::Ended {
                ever_started: true,
                failed: true,
            };
        }
    }

    /// Returns whether the members hold nothing on the worker any more.
    pub fn is_terminal(&self) -> bool {
        matches!(
            self.phase,
            PartPhase::Finished(_) | PartPhase::Ended { .. } | PartPhase::Lost
        )
    }

    /// Returns whether the worker proved that no member was started.
    pub fn is_confirmed_unstarted(&self) -> bool {
        matches!(
            self.phase,
            PartPhase::Ended {
                ever_started: false,
                ..
            }
        )
    }

    /// Returns whether the members run or have finished.
    pub fn is_started(&self) -> bool {
        matches!(self.phase, PartPhase::Running | PartPhase::Finished(_))
    }
}
