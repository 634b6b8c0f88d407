use std::fmt::Debug;

use snafu::Snafu;
use statig::blocking::{IntoStateMachine, IntoStateMachineExt, State, Superstate};

/// An event that is not allowed in the state of a record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{subject} in state {state} does not allow {event}"))]
pub struct TransitionError {
    /// Kind of record.
    pub subject: &'static str,
    /// State of the record.
    pub state: String,
    /// Rejected event.
    pub event: String,
}

/// A state machine that reports whether its last event caused a transition.
pub(crate) trait Lifecycle: IntoStateMachine {
    /// Kind of record, for error messages.
    const SUBJECT: &'static str;

    /// Returns whether the last event caused a transition.
    fn transitioned(&self) -> bool;
}

/// Returns the state that follows `state` on `event`; fails if the event causes no transition.
///
/// A handler rejects an event by returning `Outcome::Super`.
pub(crate) fn next_state<M, E>(lifecycle: M, state: M::State, event: E) -> Result<M::State, TransitionError>
where
    M: Lifecycle + for<'a> IntoStateMachine<Event<'a> = E, Context<'a> = ()>,
    M::State: State<M> + Copy + Debug,
    for<'sub> M::Superstate<'sub>: Superstate<M>,
    E: Debug,
{
    let mut machine = lifecycle.uninitialized_state_machine();
    *machine.state_mut() = state;
    let mut machine = machine.init();
    machine.handle(&event);
    if machine.inner().transitioned() {
        return Ok(*machine.state());
    }
    Err(TransitionError {
        subject: M::SUBJECT,
        state: format!("{state:?}"),
        event: format!("{event:?}"),
    })
}
