use std::sync::Arc;

use arbutuspick_model::{
    AccountName, AttemptNumber, ClockTime, GangShape, JobId, JobSpec, RackName, WorkerCapacity, WorkerName,
};
use arbutuspick_sched::{
    AttemptEnd, GangPlacement, PlacementAction, PlacementCore, PlacementEvent, PlacementOptions,
};
use uuid::Uuid;

use crate::deployment_plan::expect_valid;

/// Workers of a full rack.
const WORKERS_PER_RACK: usize = 8;
/// Number of accounts that submit the jobs.
const ACCOUNT_COUNT: u128 = 4;

/// A placement core with healthy workers of 8 accelerators each.
#[derive(Debug)]
pub(crate) struct CoreFixture {
    pub(crate) core: PlacementCore,
    pub(crate) now: ClockTime,
    next_job: u128,
}

impl CoreFixture {
    pub(crate) fn new(workers: usize) -> Self {
        // A high limit lets the setup place all jobs in few calls; the default limit would only slow it down.
        let options = PlacementOptions::default().with_max_actions(1 << 20);
        let mut fixture = Self {
            core: PlacementCore::new(options),
            now: ClockTime(1_000),
            next_job: 1,
        };
        for index in 0..workers {
            let event = PlacementEvent::WorkerJoined {
                worker: expect_valid(WorkerName::try_from(format!("w{index}"))),
                rack: expect_valid(RackName::try_from(format!("r{}", index / WORKERS_PER_RACK))),
                capacity: WorkerCapacity::default(),
            };
            fixture.core.handle(event, fixture.now);
        }
        fixture.run_until_idle();
        fixture
    }

    /// Calls `decide` until it returns no actions, answers all probes as healthy, and returns the placements.
    pub(crate) fn run_until_idle(&mut self) -> Vec<GangPlacement> {
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

    /// Returns an event that queues a new job of the shape.
    pub(crate) fn queued_event(&mut self, shape: GangShape) -> PlacementEvent {
        let number = self.next_job;
        self.next_job += 1;
        let account = expect_valid(AccountName::try_from(format!(
            "account-{}",
            number % ACCOUNT_COUNT
        )));
        PlacementEvent::JobQueued {
            job: JobId(Uuid::from_u128(number)),
            spec: Arc::new(JobSpec::new(account).with_shape(shape).idempotent()),
            attempt: AttemptNumber(0),
            queued_at: self.now,
        }
    }

    pub(crate) fn submit(&mut self, shape: GangShape, count: usize) {
        for _ in 0..count {
            let event = self.queued_event(shape);
            self.core.handle(event, self.now);
        }
    }

    /// Returns the event that reports the attempt of a placement as finished.
    pub(crate) fn finished_event(placement: &GangPlacement) -> PlacementEvent {
        PlacementEvent::AttemptEnded {
            job: placement.job,
            attempt: placement.attempt,
            end: AttemptEnd::Finished,
        }
    }
}

/// Returns the shape of a gang of `tasks` tasks with `accelerators` accelerators each.
pub(crate) fn gang_shape(tasks: u32, accelerators: u32) -> GangShape {
    GangShape {
        tasks,
        accelerators,
        ..GangShape::default()
    }
}
