use std::sync::Arc;

use arbutuspick_model::{
    AccountName, AttemptNumber, ClockTime, GangShape, JobId, JobSpec, RackName, WorkerCapacity, WorkerName,
};
use arbutuspick_sched::{
    AttemptEnd, GangPlacement, PlacementAction, PlacementCore, PlacementEvent, PlacementOptions,
};
use uuid::Uuid;

use crate::deployment_plan::known;

/// Workers of a full rack.
const RACK_PLACES: usize = 8;
/// Accounts among which the jobs are divided.
const ACCOUNTS: u128 = 4;

/// A placement core of a chosen size; its workers are healthy and have 8 accelerators each.
#[derive(Debug)]
pub(crate) struct CoreFixture {
    pub(crate) core: PlacementCore,
    pub(crate) now: ClockTime,
    next_job: u128,
}

impl CoreFixture {
    pub(crate) fn new(workers: usize) -> Self {
        // The set-up places everything in few calls; the limits of a daemon would only slow it down.
        let options = PlacementOptions::default().with_max_actions(1 << 20);
        let mut fixture = Self {
            core: PlacementCore::new(options),
            now: ClockTime(1_000),
            next_job: 1,
        };
        for index in 0..workers {
            let event = PlacementEvent::WorkerJoined {
                worker: known(WorkerName::try_from(format!("w{index}"))),
                rack: known(RackName::try_from(format!("r{}", index / RACK_PLACES))),
                capacity: WorkerCapacity::default(),
            };
            fixture.core.handle(event, fixture.now);
        }
        fixture.settle();
        fixture
    }

    /// Decides until nothing is left to do, with healthy probes, and returns the placements.
    pub(crate) fn settle(&mut self) -> Vec<GangPlacement> {
        let mut placements = Vec::new();
        loop {
            let actions = self.core.decide(self.now);
            if actions.is_empty() {
                return placements;
            }
            for action in actions {
                match action {
                    PlacementAction::Probe { worker } => {
                        let healthy = true;
                        let event = PlacementEvent::WorkerProbed { worker, healthy };
                        self.core.handle(event, self.now);
                    }
                    PlacementAction::Place(placement) => placements.push(placement),
                    _ => {}
                }
            }
        }
    }

    /// Returns the event that queues a new job of this shape.
    pub(crate) fn submission(&mut self, shape: GangShape) -> PlacementEvent {
        let number = self.next_job;
        self.next_job += 1;
        let account = known(AccountName::try_from(format!("account-{}", number % ACCOUNTS)));
        PlacementEvent::JobQueued {
            job: JobId(Uuid::from_u128(number)),
            spec: Arc::new(JobSpec::new(account).with_shape(shape).idempotent()),
            attempt: AttemptNumber(0),
            queued_at: self.now,
        }
    }

    pub(crate) fn submit(&mut self, shape: GangShape, count: usize) {
        for _ in 0..count {
            let event = self.submission(shape);
            self.core.handle(event, self.now);
        }
    }

    /// Returns the event that ends the attempt of a placement.
    pub(crate) fn end_of(placement: &GangPlacement) -> PlacementEvent {
        PlacementEvent::AttemptEnded {
            job: placement.job,
            attempt: placement.attempt,
            end: AttemptEnd::Finished,
        }
    }
}

/// Returns a gang of tasks with so many accelerators each.
pub(crate) fn gang(tasks: u32, accelerators: u32) -> GangShape {
    GangShape {
        tasks,
        accelerators,
        ..GangShape::default()
    }
}
