use std::collections::BTreeMap;

use arbutuspick_model::{AccountName, AttemptNumber, CentreState, ClockTime, JobId, RackName, WorkerName};
use serde::Serialize;

use crate::job_entry::{JobEntry, JobPhase};
use crate::worker_health::HealthState;
use crate::{
    CellBlock, GuaranteeShortfall, MemberPlacement, PlacementCore, PlacementSummary, PreemptReason,
    WorkerLoad,
};

/// The whole state of a placement core, for operators and tests.
///
/// ```
/// use arbutuspick_sched::{PlacementCore, PlacementOptions};
/// assert!(PlacementCore::new(PlacementOptions::default()).state().workers.is_empty());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlacementDump {
    /// State of the data centre.
    pub state: CentreState,
    /// The state in a few numbers.
    pub summary: PlacementSummary,
    /// Guaranteed cells that the live workers cannot honour.
    pub shortfalls: Vec<GuaranteeShortfall>,
    /// Workers.
    pub workers: BTreeMap<WorkerName, WorkerDump>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, JobDump>,
    /// Guaranteed cells in use.
    pub bindings: Vec<BindingDump>,
    /// The first blocked job that is due for a reservation and has none.
    pub barrier: Option<JobId>,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerDump {
    /// Rack.
    pub rack: RackName,
    /// Index of the rack.
    pub rack_index: u32,
    /// Place in the rack.
    pub place: u8,
    /// State of its health.
    pub health: &'static str,
    /// Next probe, in quarantine.
    pub probe_at: Option<ClockTime>,
    /// Whether it may take work.
    pub up: bool,
    /// Accelerators that are held.
    pub held: u8,
}

/// An unfinished job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobDump {
    /// Account.
    pub account: AccountName,
    /// Last attempt.
    pub attempt: AttemptNumber,
    /// First queueing time.
    pub queued_at: ClockTime,
    /// What it waits for or holds: queued, delayed after a failed start, reserved, claiming or held.
    pub phase: &'static str,
    /// Starts of later arrivals while it waited.
    pub overtaken: u32,
    /// What is reserved, claimed or held.
    pub loads: Vec<WorkerLoad>,
    /// Members of a live attempt.
    pub members: Vec<MemberPlacement>,
    /// Whether a live attempt uses guaranteed cells.
    pub guaranteed: bool,
    /// Whether the guaranteed cells of an adopted attempt are not found yet.
    pub rebinding: bool,
    /// Whether a live attempt is backfill that yields.
    pub yielding: bool,
    /// Why a live attempt was told to stop, and by when.
    pub ending: Option<(PreemptReason, ClockTime)>,
}

/// A guaranteed cell in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BindingDump {
    /// Account.
    pub account: AccountName,
    /// Place.
    pub block: CellBlock,
    /// Accelerators that its jobs use or claim.
    pub used: u64,
    /// Whether the guarantee is at home here.
    pub home: bool,
}

impl PlacementCore {
    /// Returns the whole state.
    pub fn state(&self) -> PlacementDump {
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
                held: (rack.held >> (8 * slot.place)) as u8,
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
            JobPhase::Held(hold) => ("held", hold.loads.clone()),
        };
        let hold = job.hold();
        JobDump {
            account: job.spec.account.clone(),
            attempt: job.attempt,
            queued_at: job.queued_at,
            phase,
            overtaken: job.overtaken,
            loads,
            members: hold.map_or(Vec::new(), |hold| hold.members.clone()),
            guaranteed: hold.is_some_and(|hold| hold.is_firm() || hold.unbound_guarantee),
            rebinding: hold.is_some_and(|hold| hold.unbound_guarantee),
            yielding: hold.is_some_and(|hold| hold.yielding),
            ending: hold.and_then(|hold| hold.ending),
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
