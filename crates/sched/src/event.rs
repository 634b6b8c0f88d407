use std::sync::Arc;

use arbutuspick_model::{
    AccountName, AttemptNumber, CellGuarantee, CentreState, ClockTime, JobId, JobSpec, RackName,
    RefusalReason, WorkerCapacity, WorkerName,
};
use serde::Serialize;

/// A fact that changes the state of a placement core.
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// A worker may take work; also sent when it reports again after it was lost.
    WorkerJoined {
        /// Worker.
        worker: WorkerName,
        /// Its rack.
        rack: RackName,
        /// What it has.
        capacity: WorkerCapacity,
    },
    /// A worker is gone or does not answer. Attempts on it are reported with `AttemptEnded`.
    WorkerLost {
        /// Worker.
        worker: WorkerName,
    },
    /// A health check that a `Probe` asked for has ended.
    WorkerProbed {
        /// Worker.
        worker: WorkerName,
        /// Whether it succeeded.
        healthy: bool,
    },
    /// A job was taken up, or was moved here from another data centre.
    JobQueued {
        /// Job.
        job: JobId,
        /// Its specification.
        spec: Arc<JobSpec>,
        /// Number of the last attempt, 0 when there was none.
        attempt: AttemptNumber,
        /// When it was first queued.
        queued_at: ClockTime,
    },
    /// A new placement holder found this attempt already running.
    AttemptAdopted {
        /// Job.
        job: JobId,
        /// Its specification.
        spec: Arc<JobSpec>,
        /// Where it runs.
        placement: GangPlacement,
        /// When it was first queued.
        queued_at: ClockTime,
    },
    /// The caller cancelled the job; a queued job is dropped, a running one is preempted for good.
    JobCancelled {
        /// Job.
        job: JobId,
    },
    /// Every member of the attempt runs.
    AttemptRunning {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: AttemptNumber,
    },
    /// The attempt holds no accelerators any more.
    AttemptEnded {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: AttemptNumber,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A new revision of the guarantees and weights that concern this data centre.
    AccountsChanged {
        /// All accounts.
        accounts: Vec<AccountShare>,
    },
    /// Operators changed the state of the data centre.
    CentreChanged {
        /// New state.
        state: CentreState,
        /// When jobs that cannot checkpoint have to be stopped; only for `Leaving`.
        drain_deadline: Option<ClockTime>,
    },
}

/// How an attempt ended, as far as placement is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Every member finished, or the job's outcome is final for another reason.
    Finished,
    /// It was preempted or moved; the job is queued again, with its first queueing time.
    Requeued,
    /// It could not be prepared or started; the job is queued again and the named workers count a failure.
    StartFailed {
        /// Workers that failed.
        failed_workers: Vec<WorkerName>,
    },
    /// Workers failed it while it ran; the job is queued again when `requeue` is set.
    RunFailed {
        /// Workers that failed.
        failed_workers: Vec<WorkerName>,
        /// Whether the job may run again.
        requeue: bool,
    },
}

/// What one account has in this data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountShare {
    /// Account.
    pub account: AccountName,
    /// Weight in the fair division.
    pub weight: u32,
    /// Most jobs that may be queued.
    pub max_queued_jobs: u32,
    /// Guarantees at home in this data centre.
    pub home: Vec<CellGuarantee>,
    /// Guarantees of data centres that are out, honoured after all `home` ones as far as capacity allows.
    pub displaced: Vec<CellGuarantee>,
}

/// Where the members of one attempt run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GangPlacement {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Members in order of their index.
    pub members: Vec<MemberPlacement>,
    /// Whether the attempt uses its account's guarantee; otherwise it is borrowed and may be preempted.
    pub guaranteed: bool,
}

/// Where one member runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberPlacement {
    /// Worker.
    pub worker: WorkerName,
    /// Accelerators of the worker, one bit each.
    pub accelerators: u8,
}

/// Why running work is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PreemptReason {
    /// A guaranteed job needs the cells.
    Reclaim,
    /// The reservation of a large job is complete but for these cells.
    Reservation,
    /// The data centre is taken out.
    CentreLeaving,
    /// The caller cancelled the job.
    Cancelled,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Prepare and start the gang. Its accelerators are held until `AttemptEnded`.
    Place(GangPlacement),
    /// Checkpoint the attempt if it can, stop it before the deadline, and report `AttemptEnded`.
    Preempt {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: AttemptNumber,
        /// Latest time to stop.
        stop_before: ClockTime,
        /// Why.
        reason: PreemptReason,
    },
    /// The job can never run here or exceeds a quota; it is no longer queued.
    Refuse {
        /// Job.
        job: JobId,
        /// Why.
        reason: RefusalReason,
    },
    /// The data centre gives the queued job to another one; it is no longer queued.
    Release {
        /// Job.
        job: JobId,
    },
    /// Run a health check on the worker and report `WorkerProbed`.
    Probe {
        /// Worker.
        worker: WorkerName,
    },
}
