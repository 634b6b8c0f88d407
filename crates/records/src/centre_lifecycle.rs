use arbutuspick_model::CentreState;
use statig::Outcome;
use statig::blocking::{IntoStateMachine, State};

use crate::lifecycle::{Lifecycle, TransitionError, next_state};

/// Event in the life cycle of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CentreEvent {
    /// Operators order it out of service, or change the drain deadline while it is leaving.
    OrderOut,
    /// The placement holder observes that no work is running.
    Drained,
    /// Operators order it back into service.
    OrderIn,
    /// The placement holder places work on all workers again.
    RampedUp,
}

/// State machine of a data centre.
///
/// ```
/// use arbutuspick_model::CentreState;
/// use arbutuspick_records::{CentreEvent, CentreLifecycle};
/// let lifecycle = CentreLifecycle::default();
/// assert_eq!(lifecycle.next(CentreState::In, CentreEvent::OrderOut), Ok(CentreState::Leaving));
/// assert!(lifecycle.next(CentreState::In, CentreEvent::Drained).is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CentreLifecycle {
    transitioned: bool,
}

impl CentreLifecycle {
    /// Returns the state that follows `state` on `event`.
    pub fn next(self, state: CentreState, event: CentreEvent) -> Result<CentreState, TransitionError> {
        next_state(self, state, event)
    }
}

impl IntoStateMachine for CentreLifecycle {
    type Event<'evt> = CentreEvent;
    type Context<'ctx> = ();
    type State = CentreState;
    type Superstate<'sub> = ();

    fn initial() -> CentreState {
        CentreState::In
    }

    fn after_transition(&mut self, _: &CentreState, _: &CentreState, (): &mut ()) {
        self.transitioned = true;
    }
}

impl State<CentreLifecycle> for CentreState {
    fn call_handler(&mut self, _: &mut CentreLifecycle, event: &CentreEvent, (): &mut ()) -> Outcome<Self> {
        match (self, event) {
            (Self::In | Self::Leaving | Self::Returning, CentreEvent::OrderOut) => {
                Outcome::Transition(Self::Leaving)
            }
            (Self::Leaving, CentreEvent::Drained) => Outcome::Transition(Self::Out),
            (Self::Leaving | Self::Out, CentreEvent::OrderIn) => Outcome::Transition(Self::Returning),
            (Self::Returning, CentreEvent::RampedUp) => Outcome::Transition(Self::In),
            _ => Outcome::Super,
        }
    }
}

impl Lifecycle for CentreLifecycle {
    const SUBJECT: &'static str = "data centre";

    fn transitioned(&self) -> bool {
        self.transitioned
    }
}
