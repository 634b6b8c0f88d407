use std::collections::BTreeMap;

use arbutuspick_model::{AccountName, AttemptNumber, CentreState, ClockTime, JobId, RackName, WorkerName};
use serde::Serialize;

use crate::job_entry::{JobEntry, JobPhase};
use crate::worker_health::HealthState;
use crate::{
    CellBlock, GuaranteeShortfall, MemberPlacement, PlacementCore, PlacementSummary, PreemptReason,
    WorkerLoad,
};

/// Dump of the complete state of a placement core, for operators and tests.
///
/// ```
/// use arbutuspick_sched::{PlacementCore, PlacementOptions};
/// assert!(PlacementCore::new(PlacementOptions::default()).dump().workers.is_empty());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlacementDump {
    /// State of the data centre.
    pub state: CentreState,
    /// Summary figures.
    pub summary: PlacementSummary,
    /// Guaranteed cells that the workers that are up cannot provide.
    pub shortfalls: Vec<GuaranteeShortfall>,
    /// Workers by name.
    pub workers: BTreeMap<WorkerName, WorkerDump>,
    /// Unfinished jobs by identifier.
    pub jobs: BTreeMap<JobId, JobDump>,
    /// Bound guaranteed cells.
    pub bindings: Vec<BindingDump>,
    /// The first blocked job that is due for a reservation but has none.
    pub barrier: Option<JobId>,
}

/// State of a worker in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerDump {
    /// Name of the rack.
    pub rack: RackName,
    /// Index of the rack.
    pub rack_index: u32,
    /// Position within the rack, 0 to 7.
    pub place: u8,
    /// Health state: lost, due, probing, healthy or quarantined.
    pub health: &'static str,
    /// When a quarantined worker is probed next.
    pub probe_at: Option<ClockTime>,
    /// Whether the worker may take new jobs.
    pub up: bool,
    /// Bit mask of the allocated accelerators.
    pub held: u8,
}

/// State of an unfinished job in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobDump {
    /// Name of the account.
    pub account: AccountName,
    /// Number of the last attempt.
    pub attempt: AttemptNumber,
    /// When the job was first queued.
    pub queued_at: ClockTime,
    /// Scheduling phase: queued, delayed after a failed attempt, reserved, claiming, or held while resources
    /// are allocated to an attempt.
    pub phase: &'static str,
    /// Number of later arrivals that started, other than as guaranteed jobs or backfill, while this one
    /// waited.
    pub overtaken: u32,
    /// Reserved, claimed or allocated resources by worker.
    pub loads: Vec<WorkerLoad>,
    /// Placement of the members of a live attempt.
    pub members: Vec<MemberPlacement>,
    /// Whether a live attempt uses guaranteed cells.
    pub guaranteed: bool,
    /// Whether the guaranteed cells of an adopted attempt are not identified yet.
    pub rebinding: bool,
    /// Whether a live attempt is preemptible backfill.
    pub yielding: bool,
    /// Reason and deadline of a requested preemption.
    pub ending: Option<(PreemptReason, ClockTime)>,
}

/// A bound guaranteed cell in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BindingDump {
    /// Name of the account.
    pub account: AccountName,
    /// Block to which the cell is bound.
    pub block: CellBlock,
    /// Accelerators that jobs of the account use or claim.
    pub used: u64,
    /// Whether the guarantee is configured for this data centre; otherwise for one that is leaving or out of
    /// service.
    pub home: bool,
}

impl PlacementCore {
    /// Returns a dump of the complete state.
    pub fn dump(&self) -> PlacementDump {
        let barrier = self.barrier.map(|(_, job)| job);
        PlacementDump {
            state: self.centre_state(),
            summary: self.summary(),
            shortfalls: self.shortfalls(),
            workers: self.dump_workers(),
            jobs: self
                .jobs
                .values()
                .map(|job| (job.id, self.dump_job(job)))
                .collect(),
            bindings: self.dump_bindings(),
            barrier,
        }
    }

    fn dump_workers(&self) -> BTreeMap<WorkerName, WorkerDump> {
        let mut workers = BTreeMap::new();
        for slot in self.pool.slots() {
            let rack = self.pool.rack(slot.rack);
            let Some(worker) = self.pool.worker(slot) else {
                continue;
            };
            let (health, probe_at) = match worker.health.state() {
                HealthState::Lost { .. } => ("lost", None),
                HealthState::Due { .. } => ("due", None),
                HealthState::Probing { .. } => ("probing", None),
                HealthState::Healthy { .. } => ("healthy", None),
                HealthState::Quarantined { probe_at } => ("quarantined", Some(*probe_at)),
            };
            let dump = WorkerDump {
                rack: rack.name.clone(),
                rack_index: slot.rack,
                place: slot.place,
                health,
                probe_at,
                up: worker.up,
                held: (rack.allocated >> (8 * slot.place)) as u8,
            };
            workers.insert(worker.name.clone(), dump);
        }
        workers
    }

    fn dump_job(&self, job: &JobEntry) -> JobDump {
        let (phase, loads) = match &job.phase {
            JobPhase::Queued { reservation: None } => {
                let delayed = self.queue.delayed.contains_key(&(job.retry_at, job.id));
                (if delayed { "delayed" } else { "queued" }, Vec::new())
            }
            JobPhase::Queued {
                reservation: Some(loads),
            } => ("reserved", loads.clone()),
            JobPhase::Claiming { loads, .. } => ("claiming", loads.clone()),
            JobPhase::Allocated(allocation) => ("held", allocation.loads.clone()),
        };
        let allocation = job.allocation();
        JobDump {
            account: job.spec.account.clone(),
            attempt: job.attempt,
            queued_at: job.queued_at,
            phase,
            overtaken: job.overtaken,
            loads,
            members: allocation.map_or(Vec::new(), |allocation| allocation.members.clone()),
            guaranteed: allocation
                .is_some_and(|allocation| allocation.is_guaranteed() || allocation.awaits_rebinding),
            rebinding: allocation.is_some_and(|allocation| allocation.awaits_rebinding),
            yielding: allocation.is_some_and(|allocation| allocation.backfill),
            ending: allocation.and_then(|allocation| allocation.preemption),
        }
    }

    fn dump_bindings(&self) -> Vec<BindingDump> {
        let dump = |binding: &crate::guarantee_ledger::CellBinding| BindingDump {
            account: binding.account.clone(),
            block: binding.block,
            used: binding.used,
            home: binding.home,
        };
        self.ledger.bindings.values().map(dump).collect()
    }
}
