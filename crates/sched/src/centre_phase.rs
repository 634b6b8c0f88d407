use arbutuspick_model::{CentreState, ClockTime};
use statig::prelude::*;

/// What happened to the data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PhaseEvent {
    Ordered {
        state: CentreState,
        drain_deadline: Option<ClockTime>,
        now: ClockTime,
    },
    Tick {
        now: ClockTime,
    },
}

/// State of the data centre as operators ordered it, with the paced steps of a return.
#[derive(Clone, Debug)]
pub(crate) struct CentrePhase {
    step_ms: u64,
}

/// State machine of the data centre.
pub(crate) type PhaseMachine = StateMachine<CentrePhase>;

/// Quarters of the workers that a full return releases.
pub(crate) const ALL_QUARTERS: u32 = 4;

impl CentrePhase {
    pub(crate) fn machine(step_ms: u64) -> PhaseMachine {
        Self { step_ms }.state_machine()
    }
}

#[state_machine(
    initial = "PhaseState::inside()",
    state(name = "PhaseState", derive(Clone, Debug, PartialEq)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl CentrePhase {
    #[state(superstate = "ordered")]
    fn inside() -> Outcome<PhaseState> {
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
    fn outside() -> Outcome<PhaseState> {
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
                CentreState::In => Transition(PhaseState::inside()),
                CentreState::Leaving => Transition(PhaseState::leaving(*drain_deadline)),
                CentreState::Out => Transition(PhaseState::outside()),
                CentreState::Returning => Transition(PhaseState::returning(1, *now + self.step_ms)),
            },
        }
    }
}
