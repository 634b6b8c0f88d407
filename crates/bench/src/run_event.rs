use std::collections::BTreeMap;

use arbutuspick_model::{AttemptNumber, CentreState, ClockTime, WorkerName};

/// Something that happens at a given time of a run; jobs and data centres are given by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunEvent {
    Arrive {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    Started {
        job: usize,
        attempt: AttemptNumber,
    },
    Finish {
        job: usize,
        attempt: AttemptNumber,
    },
    Stopped {
        job: usize,
        attempt: AttemptNumber,
    },
    Probed {
        centre: usize,
        worker: WorkerName,
    },
    Wake {
        centre: usize,
    },
    Order {
        state: CentreState,
    },
    /// Jobs for which there was no data centre are assigned again.
    Reassign,
    Sample,
}

/// Coming events in order of time, then of their scheduling.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<(ClockTime, u64), RunEvent>,
    scheduled: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: ClockTime, event: RunEvent) {
        self.events.insert((at, self.scheduled), event);
        self.scheduled += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(ClockTime, RunEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
