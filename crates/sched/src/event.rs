use std::sync::Arc;

use arbutuspick_model::{
    AccountName, AttemptNumber, CellGuarantee, CentreState, ClockTime, JobId, JobSpec, RackName,
    RefusalReason, WorkerCapacity, WorkerName,
};
use serde::Serialize;

/// An event that changes the state of a placement core.
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// A worker registered, or reported again after it was lost.
    WorkerJoined {
        /// Name of the worker.
        worker: WorkerName,
        /// Rack of the worker.
        rack: RackName,
        /// Accelerators, cores and memory of the worker.
        capacity: WorkerCapacity,
    },
    /// A worker left or stopped responding. Its attempts are reported separately with `AttemptEnded`.
    WorkerLost {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// The health check that a `Probe` action requested has completed.
    WorkerProbed {
        /// Name of the worker.
        worker: WorkerName,
        /// Whether the health check succeeded.
        healthy: bool,
    },
    /// A job was accepted, or was transferred from another data centre.
    JobQueued {
        /// Identifier of the job.
        job: JobId,
        /// Specification of the job.
        spec: Arc<JobSpec>,
        /// Number of the last attempt, 0 if there was none.
        attempt: AttemptNumber,
        /// When the job was first queued.
        queued_at: ClockTime,
    },
    /// This attempt was started by a previous placement holder and still runs.
    AttemptAdopted {
        /// Identifier of the job.
        job: JobId,
        /// Specification of the job.
        spec: Arc<JobSpec>,
        /// Workers and accelerators that the attempt uses.
        placement: GangPlacement,
        /// When the job was first queued.
        queued_at: ClockTime,
    },
    /// The client cancelled the job: a queued job is removed, a running one is stopped and not requeued.
    JobCancelled {
        /// Identifier of the job.
        job: JobId,
    },
    /// Every member of the attempt has started.
    AttemptRunning {
        /// Identifier of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The attempt no longer uses any accelerators.
    AttemptEnded {
        /// Identifier of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A new revision of the guarantees, weights and quotas that apply to this data centre.
    AccountsChanged {
        /// All accounts.
        accounts: Vec<AccountPolicy>,
    },
    /// Operators changed the state of the data centre.
    CentreChanged {
        /// New state.
        state: CentreState,
        /// When all remaining attempts are stopped, including those that cannot checkpoint; used only with
        /// `Leaving`. Without a deadline, attempts that cannot checkpoint run to their end.
        drain_deadline: Option<ClockTime>,
    },
}

/// How an attempt ended, as far as placement is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Every member finished, or the job ended for another reason; it is not queued again.
    Finished,
    /// The attempt was preempted or evacuated; the job is queued again with its original queueing time.
    Requeued,
    /// The attempt could not be prepared or started; the job is queued again, and the failure is recorded for
    /// the workers.
    StartFailed {
        /// Workers that failed.
        failed_workers: Vec<WorkerName>,
    },
    /// The attempt failed on these workers while it ran; the job is queued again if `requeue` is set.
    RunFailed {
        /// Workers that failed.
        failed_workers: Vec<WorkerName>,
        /// Whether the job is queued again.
        requeue: bool,
    },
}

/// Weight, quota and guarantees of one account in this data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountPolicy {
    /// Name of the account.
    pub account: AccountName,
    /// Weight in the fair-share order of borrowed jobs.
    pub weight: u32,
    /// Maximum number of queued jobs that never had an attempt.
    pub max_queued_jobs: u32,
    /// Guarantees configured for this data centre.
    pub home: Vec<CellGuarantee>,
    /// Guarantees of other data centres that are leaving or out of service, honoured after all `home`
    /// guarantees as far as capacity allows.
    pub displaced: Vec<CellGuarantee>,
}

/// Workers and accelerators assigned to one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GangPlacement {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// One entry per task, ordered by task index.
    pub members: Vec<MemberPlacement>,
    /// Whether the attempt uses its account's guarantee; otherwise its accelerators are borrowed and it may
    /// be preempted.
    pub guaranteed: bool,
}

/// Worker and accelerators assigned to one task of a gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberPlacement {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Bit mask of the accelerators on that worker.
    pub accelerators: u8,
}

/// Why an attempt is preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PreemptReason {
    /// A guaranteed job needs the accelerators.
    Reclaim,
    /// The attempt is backfill, and only backfill still blocks the start of a job with a reservation.
    Reservation,
    /// The data centre is being taken out of service.
    CentreLeaving,
    /// The client cancelled the job.
    Cancelled,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Prepare and start the gang. Its accelerators stay allocated until `AttemptEnded`.
    Place(GangPlacement),
    /// Checkpoint the attempt if supported, stop it before the deadline, and report `AttemptEnded`.
    Preempt {
        /// Identifier of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Deadline for the stop.
        stop_before: ClockTime,
        /// Reason for the preemption.
        reason: PreemptReason,
    },
    /// Report that the job was removed from the queue because it can never run here or exceeds a quota.
    Refuse {
        /// Identifier of the job.
        job: JobId,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// Transfer the job, which was removed from the queue here, to another data centre.
    Transfer {
        /// Identifier of the job.
        job: JobId,
    },
    /// Run a health check on the worker and report the result with `WorkerProbed`.
    Probe {
        /// Name of the worker.
        worker: WorkerName,
    },
}
