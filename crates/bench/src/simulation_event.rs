use std::collections::BTreeMap;

use arbutuspick_model::{AttemptNumber, CentreState, ClockTime, WorkerName};

/// Event of a simulation; jobs and data centres are identified by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SimulationEvent {
    JobArrived {
        job: usize,
    },
    JobCancelled {
        job: usize,
    },
    AttemptStarted {
        job: usize,
        attempt: AttemptNumber,
    },
    AttemptFinished {
        job: usize,
        attempt: AttemptNumber,
    },
    AttemptStopped {
        job: usize,
        attempt: AttemptNumber,
    },
    WorkerProbed {
        centre: usize,
        worker: WorkerName,
    },
    Wakeup {
        centre: usize,
    },
    CentreChanged {
        state: CentreState,
    },
    /// Jobs without a data centre are assigned again.
    ReassignJobs,
    TakeSample,
}

/// Future events in order of time, then in the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<(ClockTime, u64), SimulationEvent>,
    next_sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: ClockTime, event: SimulationEvent) {
        self.events.insert((at, self.next_sequence), event);
        self.next_sequence += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(ClockTime, SimulationEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
