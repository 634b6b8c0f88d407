use serde::{Deserialize, Serialize};
use statig::Outcome;
use statig::blocking::{IntoStateMachine, State};

use crate::lifecycle::{Lifecycle, TransitionError, next_state};

/// State of a proposal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalState {
    /// Awaits the decision of the owner of the month.
    #[default]
    Proposed,
    /// Accepted by the owner of the month, in a configuration revision.
    Accepted,
    /// Rejected by the owner of the month.
    Rejected,
    /// Replaced by a newer proposal for the same account.
    Superseded,
}

/// Event in the life cycle of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposalEvent {
    /// The owner of the month accepts it.
    Accept,
    /// The owner of the month rejects it.
    Reject,
    /// A newer proposal replaces it.
    Supersede,
}

/// State machine of a proposal.
///
/// ```
/// use arbutuspick_records::{ProposalEvent, ProposalLifecycle, ProposalState};
/// let lifecycle = ProposalLifecycle::default();
/// let accepted = lifecycle.next(ProposalState::Proposed, ProposalEvent::Accept)?;
/// assert!(lifecycle.next(accepted, ProposalEvent::Reject).is_err());
/// # Ok::<(), arbutuspick_records::TransitionError>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposalLifecycle {
    transitioned: bool,
}

impl ProposalLifecycle {
    /// Returns the state that follows `state` on `event`.
    pub fn next(self, state: ProposalState, event: ProposalEvent) -> Result<ProposalState, TransitionError> {
        next_state(self, state, event)
    }
}

impl IntoStateMachine for ProposalLifecycle {
    type Event<'evt> = ProposalEvent;
    type Context<'ctx> = ();
    type State = ProposalState;
    type Superstate<'sub> = ();

    fn initial() -> ProposalState {
        ProposalState::Proposed
    }

    fn after_transition(&mut self, _: &ProposalState, _: &ProposalState, (): &mut ()) {
        self.transitioned = true;
    }
}

impl State<ProposalLifecycle> for ProposalState {
    fn call_handler(
        &mut self,
        _: &mut ProposalLifecycle,
        event: &ProposalEvent,
        (): &mut (),
    ) -> Outcome<Self> {
        if *self != Self::Proposed {
            return Outcome::Super;
        }
        Outcome::Transition(match event {
            ProposalEvent::Accept => Self::Accepted,
            ProposalEvent::Reject => Self::Rejected,
            ProposalEvent::Supersede => Self::Superseded,
        })
    }
}

impl Lifecycle for ProposalLifecycle {
    const SUBJECT: &'static str = "proposal";

    fn transitioned(&self) -> bool {
        self.transitioned
    }
}
