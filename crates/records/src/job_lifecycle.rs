use arbutuspick_model::UnknownReason;
use serde::{Deserialize, Serialize};
use statig::Outcome;
use statig::blocking::{IntoStateMachine, State};

use crate::lifecycle::{Lifecycle, TransitionError, next_state};

/// State of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Waits for an attempt to start.
    #[default]
    Queued,
    /// The start of an attempt was committed; its members may run.
    Starting,
    /// Every member was confirmed to run.
    Running,
    /// Ended with a complete result.
    Ran,
    /// Ended, provably without having run.
    NotRun,
    /// Ended, and may have run.
    Unknown,
}

impl JobState {
    /// Returns whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Ran | Self::NotRun | Self::Unknown)
    }
}

/// Reason for which an attempt is abandoned and its job requeued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequeueReason {
    /// Every member proved by the worker call `void`, which forbids a later start, that it had not started.
    Unstarted,
    /// Every member stopped after a planned checkpoint that it confirmed.
    Checkpointed,
    /// A member was lost or stopped and may have run.
    Lost,
}

/// Event in the life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobEvent {
    /// The holder starts an attempt.
    Start,
    /// Every member confirmed that it runs.
    Confirm,
    /// The holder abandons the attempt and requeues the job.
    Requeue(RequeueReason),
    /// The queued job is refused or cancelled.
    Refuse,
    /// Every member proved that it had not started, and the job ends.
    Void,
    /// Every member finished in the same attempt.
    Finish,
    /// The job ends, and it is unknown whether it ran.
    Doubt(UnknownReason),
    /// The queued job is assigned to another data centre.
    Move,
    /// The caller cancels the started job.
    RequestCancel,
}

/// State machine of a job.
///
/// ```
/// use arbutuspick_records::{JobEvent, JobLifecycle, JobState};
/// let lifecycle = JobLifecycle::default();
/// assert_eq!(lifecycle.next(JobState::Queued, JobEvent::Start), Ok(JobState::Starting));
/// assert!(lifecycle.next(JobState::Ran, JobEvent::Start).is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobLifecycle {
    /// Whether the job may run again after an attempt is lost.
    pub idempotent: bool,
    /// Whether an earlier attempt may have run; if so, the job never ends as [`JobState::NotRun`].
    pub may_have_run: bool,
    transitioned: bool,
}

impl JobLifecycle {
    /// Creates the state machine of a job.
    pub fn new(idempotent: bool, may_have_run: bool) -> Self {
        Self {
            idempotent,
            may_have_run,
            transitioned: false,
        }
    }

    /// Returns the state that follows `state` on `event`.
    pub fn next(self, state: JobState, event: JobEvent) -> Result<JobState, TransitionError> {
        next_state(self, state, event)
    }

    fn queued(&self, event: JobEvent) -> Outcome<JobState> {
        match event {
            JobEvent::Start => Outcome::Transition(JobState::Starting),
            JobEvent::Move => Outcome::Transition(JobState::Queued),
            JobEvent::Refuse if !self.may_have_run => Outcome::Transition(JobState::NotRun),
            // A job that may have run before it was requeued cannot be reported as not run.
            JobEvent::Doubt(_) if self.may_have_run => Outcome::Transition(JobState::Unknown),
            _ => Outcome::Super,
        }
    }

    fn starting(&self, event: JobEvent) -> Outcome<JobState> {
        match event {
            JobEvent::Confirm => Outcome::Transition(JobState::Running),
            JobEvent::RequestCancel => Outcome::Transition(JobState::Starting),
            JobEvent::Requeue(RequeueReason::Unstarted) => Outcome::Transition(JobState::Queued),
            JobEvent::Requeue(RequeueReason::Lost) if self.idempotent => {
                Outcome::Transition(JobState::Queued)
            }
            JobEvent::Void if !self.may_have_run => Outcome::Transition(JobState::NotRun),
            JobEvent::Doubt(_) => Outcome::Transition(JobState::Unknown),
            _ => Outcome::Super,
        }
    }

    fn running(&self, event: JobEvent) -> Outcome<JobState> {
        match event {
            JobEvent::Finish => Outcome::Transition(JobState::Ran),
            JobEvent::RequestCancel => Outcome::Transition(JobState::Running),
            // A planned checkpoint continues the same run, so the job need not be idempotent.
            JobEvent::Requeue(RequeueReason::Checkpointed) => Outcome::Transition(JobState::Queued),
            JobEvent::Requeue(RequeueReason::Lost) if self.idempotent => {
                Outcome::Transition(JobState::Queued)
            }
            JobEvent::Doubt(UnknownReason::CancelledRunning) => Outcome::Transition(JobState::Unknown),
            JobEvent::Doubt(_) if !self.idempotent => Outcome::Transition(JobState::Unknown),
            _ => Outcome::Super,
        }
    }
}

impl IntoStateMachine for JobLifecycle {
    type Event<'evt> = JobEvent;
    type Context<'ctx> = ();
    type State = JobState;
    type Superstate<'sub> = ();

    fn initial() -> JobState {
        JobState::Queued
    }

    fn after_transition(&mut self, _: &JobState, _: &JobState, (): &mut ()) {
        self.transitioned = true;
    }
}

impl State<JobLifecycle> for JobState {
    fn call_handler(&mut self, lifecycle: &mut JobLifecycle, event: &JobEvent, (): &mut ()) -> Outcome<Self> {
        match self {
            Self::Queued => lifecycle.queued(*event),
            Self::Starting => lifecycle.starting(*event),
            Self::Running => lifecycle.running(*event),
            Self::Ran | Self::NotRun | Self::Unknown => Outcome::Super,
        }
    }
}

impl Lifecycle for JobLifecycle {
    const SUBJECT: &'static str = "job";

    fn transitioned(&self) -> bool {
        self.transitioned
    }
}
