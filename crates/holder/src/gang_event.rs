use arbutuspick_clients::{MemberResult, PartStatus, WorkerRefusal};
use arbutuspick_model::{ClockTime, RefusalReason, UnknownReason, WorkerName};
use arbutuspick_sched::{AttemptEnd, PreemptReason};

/// A command of the gang state machine to the placement holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangCommand {
    /// Send a prepare call to the worker.
    Prepare(WorkerName),
    /// Commit the start transaction.
    CommitStart,
    /// Send a start call to the worker, unless `send_before` has passed.
    Start {
        /// Worker.
        worker: WorkerName,
        /// Deadline for sending the call.
        send_before: ClockTime,
        /// Deadline for the worker to accept the call.
        start_before: ClockTime,
    },
    /// Send a void call to the worker, which cancels the reservation of an unstarted part.
    Void(WorkerName),
    /// Send a checkpoint call to the worker.
    Checkpoint(WorkerName),
    /// Send a stop call to the worker.
    Stop(WorkerName),
    /// Tell the placement core that every member is running.
    ReportRunning,
    /// Record how the attempt ended, then report it to the placement core.
    Finish(AttemptOutcome),
}

/// How an attempt ended, as recorded in the job's row; [`AttemptEnd`] is what the placement core is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Every member finished. Holds the results in member order.
    Ran(Vec<MemberResult>),
    /// The job is queued again.
    Requeue {
        /// End that is reported to the placement core.
        end: AttemptEnd,
        /// Whether the row may be in another state than `queued`, so that it has to be written.
        committed: bool,
        /// Whether every worker confirmed a checkpoint before the stop.
        checkpointed: bool,
        /// Whether it is certain that no member was started.
        unstarted: bool,
    },
    /// No member was started and the job is not to be run again.
    NotRun(RefusalReason),
    /// It is unknown whether the job ran.
    Unknown {
        /// Why it is unknown.
        reason: UnknownReason,
        /// Workers to which the failure is attributed.
        failed_workers: Vec<WorkerName>,
    },
}

/// An event of one attempt, handled by the gang state machine.
#[derive(Clone, Debug)]
pub enum GangEvent {
    /// Time has passed; deadlines and due calls are checked.
    Tick,
    /// The attempt was taken over from an earlier holder, which committed its start transaction.
    Adopted,
    /// The gang lease is being extended by a call to a worker.
    LeaseExtended {
        /// New end of the lease, on the clock of this process.
        lease_until: ClockTime,
    },
    /// A worker reported the state of its part of the attempt.
    PartReported {
        /// Worker.
        worker: WorkerName,
        /// Reported state.
        status: PartStatus,
    },
    /// A worker's full report does not list the attempt.
    PartMissing {
        /// Worker.
        worker: WorkerName,
        /// When the report was requested.
        requested_at: ClockTime,
    },
    /// A worker refused a call for the attempt.
    PartRefused {
        /// Worker.
        worker: WorkerName,
        /// Reason of the refusal.
        refusal: WorkerRefusal,
    },
    /// A worker confirmed a checkpoint call.
    CheckpointConfirmed {
        /// Worker.
        worker: WorkerName,
    },
    /// The start transaction was committed.
    StartCommitted {
        /// When the transaction was first sent.
        sent_at: ClockTime,
    },
    /// The start transaction had no effect.
    StartRefused,
    /// It is unknown whether the start transaction took effect.
    StartUnresolved,
    /// The attempt has to stop.
    StopRequested {
        /// Reason of the stop.
        reason: PreemptReason,
        /// Deadline by which its members have to be stopped.
        stop_before: ClockTime,
    },
}
