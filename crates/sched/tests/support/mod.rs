//! Driver that runs a placement core in virtual time.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub(crate) mod oracle;

use std::sync::Arc;

use arbutuspick_model::*;
use arbutuspick_sched::*;

pub(crate) fn account(name: &str) -> AccountName {
    AccountName::try_from(name).unwrap()
}

pub(crate) fn job_id(number: u128) -> JobId {
    JobId::try_from(format!("00000000-0000-0000-0000-{number:012x}").as_str()).unwrap()
}

pub(crate) fn guarantee(cell: u32, count: u32) -> CellGuarantee {
    CellGuarantee {
        data_centre: CentreName::try_from("trent").unwrap(),
        cell: CellLevel::try_from(cell).unwrap(),
        count,
    }
}

pub(crate) fn policy(name: &str, home: Vec<CellGuarantee>) -> AccountPolicy {
    AccountPolicy {
        account: account(name),
        weight: 1,
        max_queued_jobs: 1000,
        home,
        displaced: Vec::new(),
    }
}

pub(crate) fn gang(tasks: u32, accelerators: u32, adjacency: GangAdjacency) -> GangShape {
    GangShape {
        tasks,
        accelerators,
        adjacency,
        ..GangShape::default()
    }
}

/// A core with a virtual clock; its probes succeed immediately.
pub(crate) struct CoreDriver {
    pub(crate) core: PlacementCore,
    pub(crate) now: ClockTime,
    pub(crate) next_job: u128,
}

impl CoreDriver {
    pub(crate) fn new() -> Self {
        Self {
            core: PlacementCore::new(PlacementOptions::default()),
            now: ClockTime(1_000),
            next_job: 1,
        }
    }

    /// Adds healthy workers `r{rack}-w{place}`.
    pub(crate) fn with_racks(mut self, racks: usize, workers: usize) -> Self {
        for rack in 0..racks {
            for place in 0..workers {
                self.join(rack, place);
            }
        }
        self.decide();
        self.now = self.now + 5_000;
        self.decide();
        self
    }

    pub(crate) fn with_accounts(mut self, accounts: Vec<AccountPolicy>) -> Self {
        self.handle(PlacementEvent::AccountsChanged { accounts });
        self
    }

    pub(crate) fn join(&mut self, rack: usize, place: usize) {
        self.handle(PlacementEvent::WorkerJoined {
            worker: WorkerName::try_from(format!("r{rack}-w{place}")).unwrap(),
            rack: RackName::try_from(format!("r{rack}")).unwrap(),
            capacity: WorkerCapacity::default(),
        });
    }

    pub(crate) fn handle(&mut self, event: PlacementEvent) {
        self.core.handle(event, self.now);
    }

    /// Returns the actions other than probes, to which it reports success.
    pub(crate) fn decide(&mut self) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        loop {
            let mut probed = false;
            for action in self.core.decide(self.now) {
                if let PlacementAction::Probe { worker } = action {
                    self.handle(PlacementEvent::WorkerProbed {
                        worker,
                        healthy: true,
                    });
                    probed = true;
                } else {
                    actions.push(action);
                }
            }
            if !probed {
                return actions;
            }
        }
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) -> JobId {
        let job = job_id(self.next_job);
        self.next_job += 1;
        self.handle(PlacementEvent::JobQueued {
            job,
            spec: Arc::new(spec),
            attempt: AttemptNumber(0),
            queued_at: self.now,
        });
        job
    }

    pub(crate) fn spec(
        &self,
        name: &str,
        tasks: u32,
        accelerators: u32,
        adjacency: GangAdjacency,
    ) -> JobSpec {
        JobSpec::new(account(name)).with_shape(gang(tasks, accelerators, adjacency))
    }

    pub(crate) fn end(&mut self, job: JobId, attempt: u32, end: AttemptEnd) {
        let attempt = AttemptNumber(attempt);
        self.handle(PlacementEvent::AttemptEnded { job, attempt, end });
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + millis;
    }
}

pub(crate) fn placements(actions: &[PlacementAction]) -> Vec<GangPlacement> {
    let place = |action: &PlacementAction| match action {
        PlacementAction::Place(placement) => Some(placement.clone()),
        _ => None,
    };
    actions.iter().filter_map(place).collect()
}

pub(crate) fn preempted(actions: &[PlacementAction]) -> Vec<(JobId, ClockTime, PreemptReason)> {
    let preempt = |action: &PlacementAction| match action {
        PlacementAction::Preempt {
            job,
            stop_before,
            reason,
            ..
        } => Some((*job, *stop_before, *reason)),
        _ => None,
    };
    actions.iter().filter_map(preempt).collect()
}
