use arbutuspick_clients::{MemberResult, PartStatus, WorkerRefusal};
use arbutuspick_model::{ClockTime, DoubtReason, RefusalReason, WorkerName};
use arbutuspick_sched::{AttemptEnd, PreemptReason};

/// What the holder has to do for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangCommand {
    /// Send prepare to the worker.
    Prepare(WorkerName),
    /// Commit the start transaction.
    CommitStart,
    /// Send start to the worker, unless the time has passed.
    Start {
        /// Worker.
        worker: WorkerName,
        /// Latest time to send.
        send_before: ClockTime,
        /// Latest time for the worker to accept.
        start_before: ClockTime,
    },
    /// Send void to the worker.
    Void(WorkerName),
    /// Send checkpoint to the worker.
    Checkpoint(WorkerName),
    /// Send stop to the worker.
    Stop(WorkerName),
    /// Tell the placement core that every member runs.
    ReportRunning,
    /// Record how the attempt ended, then report it to the placement core.
    Finish(AttemptOutcome),
}

/// How an attempt ended, as the job's row has to record it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Every member finished; results in order of the members.
    Ran(Vec<MemberResult>),
    /// The job goes back to the queue.
    Requeue {
        /// How the core counts it.
        end: AttemptEnd,
        /// Whether the row may have left the state `queued`.
        committed: bool,
        /// Whether every member confirmed a planned checkpoint.
        checkpointed: bool,
        /// Whether every worker proved that nothing was started.
        unstarted: bool,
    },
    /// Nothing was started and the job is not wanted any more.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown {
        /// Why it is not known.
        reason: DoubtReason,
        /// Workers that count a failure.
        failed_workers: Vec<WorkerName>,
    },
}

/// A fact that concerns one attempt.
#[derive(Clone, Debug)]
pub enum GangEvent {
    /// Time has passed.
    Tick,
    /// The start transaction was committed by an earlier holder.
    Adopted,
    /// The lease was extended in a call to a worker.
    LeaseExtended {
        /// New end, on the clock of this process.
        lease_until: ClockTime,
    },
    /// A worker reported the attempt's members on it.
    PartReported {
        /// Worker.
        worker: WorkerName,
        /// Report.
        status: PartStatus,
    },
    /// A worker's full report does not list the attempt.
    PartMissing {
        /// Worker.
        worker: WorkerName,
        /// When the report was asked for.
        requested_at: ClockTime,
    },
    /// A worker refused a call.
    PartRefused {
        /// Worker.
        worker: WorkerName,
        /// Why.
        refusal: WorkerRefusal,
    },
    /// A worker answered a checkpoint call.
    CheckpointConfirmed {
        /// Worker.
        worker: WorkerName,
    },
    /// The start transaction was committed.
    StartCommitted {
        /// When its first copy was sent.
        sent_at: ClockTime,
    },
    /// The start transaction had no effect.
    StartRefused,
    /// It is not known whether the start transaction had an effect.
    StartUnresolved,
    /// The attempt has to stop.
    StopRequested {
        /// Why.
        reason: PreemptReason,
        /// Latest time.
        stop_before: ClockTime,
    },
}
