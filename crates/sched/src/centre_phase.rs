use arbutuspick_model::{CentreState, ClockTime};
use statig::prelude::*;

/// An event that affects the phase of the data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PhaseEvent {
    /// Operators ordered a state of the data centre.
    Ordered {
        state: CentreState,
        drain_deadline: Option<ClockTime>,
        now: ClockTime,
    },
    Tick {
        now: ClockTime,
    },
}

/// Phase of the data centre as ordered by operators, including the timed steps of a return to service.
#[derive(Clone, Debug)]
pub(crate) struct CentrePhase {
    step_ms: u64,
}

/// State machine of the phases of the data centre.
pub(crate) type PhaseMachine = StateMachine<CentrePhase>;

/// Number of quarters of the workers that are enabled at the end of a return.
pub(crate) const ALL_QUARTERS: u32 = 4;

impl CentrePhase {
    pub(crate) fn machine(step_ms: u64) -> PhaseMachine {
        Self { step_ms }.state_machine()
    }
}

#[state_machine(
    initial = "PhaseState::in_service()",
    state(name = "PhaseState", derive(Clone, Debug, PartialEq)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl CentrePhase {
    #[state(superstate = "ordered")]
    fn in_service() -> Outcome<PhaseState> {
        Super
    }

    #[state(superstate = "ordered")]
    fn leaving(drain_deadline: &mut Option<ClockTime>, event: &PhaseEvent) -> Outcome<PhaseState> {
        match event {
            PhaseEvent::Ordered {
                state: CentreState::Leaving,
                drain_deadline: changed,
                ..
            } => {
                *drain_deadline = *changed;
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "ordered")]
    fn out_of_service() -> Outcome<PhaseState> {
        Super
    }

    #[state(superstate = "ordered")]
    fn returning(
        &mut self,
        quarters: &mut u32,
        next_at: &mut ClockTime,
        event: &PhaseEvent,
    ) -> Outcome<PhaseState> {
        match event {
            PhaseEvent::Tick { now } if *now >= *next_at && *quarters < ALL_QUARTERS => {
                *quarters += 1;
                *next_at = *now + self.step_ms;
                Handled
            }
            PhaseEvent::Ordered {
                state: CentreState::Returning,
                ..
            } => Handled,
            _ => Super,
        }
    }

    #[superstate]
    fn ordered(&mut self, event: &PhaseEvent) -> Outcome<PhaseState> {
        match event {
            PhaseEvent::Tick { .. } => Handled,
            PhaseEvent::Ordered {
                state,
                drain_deadline,
                now,
            } => match state {
                CentreState::In => Transition(PhaseState::in_service()),
                CentreState::Leaving => Transition(PhaseState::leaving(*drain_deadline)),
                CentreState::Out => Transition(PhaseState::out_of_service()),
                CentreState::Returning => Transition(PhaseState::returning(1, *now + self.step_ms)),
            },
        }
    }
}
