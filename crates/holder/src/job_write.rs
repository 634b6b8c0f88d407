use std::sync::Arc;

use arbutuspick_clients::{CallPriority, MemberResult, TransactionOutcome, commit_transaction};
use arbutuspick_model::{
    AttemptNumber, CentreName, ClockTime, RefusalReason, ResultRef, UnknownReason, WriteId,
};
use arbutuspick_records::{
    CentreRecord, HolderGuard, JobEnding, JobError, JobRecord, JobStart, JobState, ObjectKey, PlacedMember,
    PlannedChange, RequeueReason, RowKey, Versioned,
};
use sha2::{Digest, Sha256};

use crate::HolderContext;
use crate::gang_attempt::START_SEND_WINDOW_MS;
use crate::table_reader::read_jobs;

/// Timeout of the commit of a write, after which the write is planned again from the current row.
const WRITE_COMMIT_TIMEOUT_MS: u64 = 3_000;
/// Delay before a write to the table or to the object store is retried.
const RETRY_PAUSE_MS: u64 = 500;

/// Start of an attempt, with the data centre row under which it was decided.
#[derive(Clone, Debug)]
pub(crate) struct AttemptStart {
    pub(crate) attempt: AttemptNumber,
    pub(crate) placement: Vec<PlacedMember>,
    pub(crate) guaranteed: bool,
    pub(crate) centre: Option<Versioned<CentreRecord>>,
}

/// A change to a job's row.
#[derive(Clone, Debug)]
pub(crate) enum JobWrite {
    /// Record the start of an attempt. Tried only once, since the start permit is short.
    Start(AttemptStart),
    /// Record that every member is running.
    Confirm,
    /// Queue the job again.
    Requeue {
        reason: RequeueReason,
        checkpoint: Option<Arc<str>>,
    },
    /// Store the results of all members as one object, then record it.
    Ran(Vec<MemberResult>),
    /// Record that the job did not run.
    NotRun(RefusalReason),
    /// Record that it is unknown whether the job ran.
    Unknown(UnknownReason),
    /// Assign the queued job to another data centre.
    Transfer(CentreName),
}

/// Result of a write.
#[derive(Clone, Debug)]
pub(crate) enum WriteOutcome {
    /// It took effect.
    Committed {
        row: Versioned<JobRecord>,
        sent_at: ClockTime,
    },
    /// It had no effect. Holds the current row, if it could be read.
    Refused { row: Option<Versioned<JobRecord>> },
    /// It is unknown whether it took effect.
    Unresolved,
    /// Another process holds the placement lease.
    Superseded,
}

/// Writes a change to a job's row. Every kind except a start is retried until its result is known.
pub(crate) async fn write_job(
    context: &HolderContext,
    guard: &HolderGuard,
    row: Versioned<JobRecord>,
    write: JobWrite,
) -> WriteOutcome {
    match write {
        JobWrite::Start(start) => write_start(context, guard, row, start).await,
        JobWrite::Ran(results) => {
            let result = store_result(context, &row.record, &results).await;
            write_with_retry(context, guard, row, |row, write_id| {
                plan_end(row, JobEnding::Ran(result.clone()), guard, write_id)
            })
            .await
        }
        other => {
            write_with_retry(context, guard, row, |row, write_id| {
                plan(row, &other, guard, write_id)
            })
            .await
        }
    }
}

async fn write_start(
    context: &HolderContext,
    guard: &HolderGuard,
    row: Versioned<JobRecord>,
    start: AttemptStart,
) -> WriteOutcome {
    let start = JobStart {
        attempt: start.attempt,
        placement: start.placement,
        guaranteed: start.guaranteed,
        centre: start.centre.as_ref(),
    };
    let change = match row.start(start, guard, WriteId::generate()) {
        Ok(change) => change,
        Err(error) => {
            log::info!("[holder] attempt start refused: {error}");
            return WriteOutcome::Refused {
                row: read_current_row(context, &row).await,
            };
        }
    };
    let deadline = context.clock.now() + START_SEND_WINDOW_MS;
    match commit(context, &change, deadline).await {
        TransactionOutcome::Committed { version, sent_at, .. } => WriteOutcome::Committed {
            row: change.committed(version),
            sent_at,
        },
        TransactionOutcome::Conflict { key } if *key == *epoch_key(guard) => WriteOutcome::Superseded,
        TransactionOutcome::Conflict { .. } | TransactionOutcome::NotSent => WriteOutcome::Refused {
            row: read_current_row(context, &row).await,
        },
        TransactionOutcome::Unresolved | TransactionOutcome::Overwritten => WriteOutcome::Unresolved,
    }
}

/// Plans and commits a change, reading the row again after each failure, until the change has taken effect or
/// the row does not allow it.
async fn write_with_retry<F>(
    context: &HolderContext,
    guard: &HolderGuard,
    mut row: Versioned<JobRecord>,
    plan: F,
) -> WriteOutcome
where
    F: Fn(&Versioned<JobRecord>, WriteId) -> Result<PlannedChange<JobRecord>, JobError>,
{
    let mut own_write_ids = Vec::new();
    loop {
        // A final row allows no further change. A row with one of the own write ids shows that an earlier try
        // took effect although its answer was lost.
        if row.record.state.is_final() || own_write_ids.contains(&row.record.write_id) {
            return WriteOutcome::Committed {
                row,
                sent_at: context.clock.now(),
            };
        }
        let write_id = WriteId::generate();
        let change = match plan(&row, write_id) {
            Ok(change) => change,
            Err(error) => {
                log::info!("[holder] write to job row refused: {error}");
                return WriteOutcome::Refused { row: Some(row) };
            }
        };
        own_write_ids.push(write_id);
        match commit(context, &change, context.clock.now() + WRITE_COMMIT_TIMEOUT_MS).await {
            TransactionOutcome::Committed { version, sent_at, .. } => {
                return WriteOutcome::Committed {
                    row: change.committed(version),
                    sent_at,
                };
            }
            TransactionOutcome::Conflict { key } if *key == *epoch_key(guard) => {
                return WriteOutcome::Superseded;
            }
            TransactionOutcome::Conflict { .. } | TransactionOutcome::Overwritten => {}
            TransactionOutcome::NotSent | TransactionOutcome::Unresolved => wait_for_retry(context).await,
        }
        if let Some(current) = read_current_row(context, &row).await {
            row = current;
        }
    }
}

fn plan(
    row: &Versioned<JobRecord>,
    write: &JobWrite,
    guard: &HolderGuard,
    write_id: WriteId,
) -> Result<PlannedChange<JobRecord>, JobError> {
    match write {
        JobWrite::Confirm => row.confirm(guard, write_id),
        JobWrite::Requeue { reason, .. } if row.record.cancel_requested => {
            let unstarted = *reason == RequeueReason::Unstarted && !row.record.may_have_run;
            let ending = match unstarted {
                true => JobEnding::Voided(RefusalReason::Cancelled),
                false => JobEnding::Unknown(UnknownReason::CancelledRunning),
            };
            row.finish(ending, guard, write_id)
        }
        JobWrite::Requeue { reason, checkpoint } => row.requeue(*reason, checkpoint.clone(), guard, write_id),
        JobWrite::NotRun(reason) => plan_not_run(row, *reason, guard, write_id),
        JobWrite::Unknown(reason) => plan_end(row, JobEnding::Unknown(*reason), guard, write_id),
        JobWrite::Transfer(target) => row.move_to(target.clone(), Some(guard), write_id),
        JobWrite::Start(_) | JobWrite::Ran(_) => {
            unreachable!("start and result writes are planned by write_job")
        }
    }
}

fn plan_not_run(
    row: &Versioned<JobRecord>,
    reason: RefusalReason,
    guard: &HolderGuard,
    write_id: WriteId,
) -> Result<PlannedChange<JobRecord>, JobError> {
    let JobRecord {
        state, may_have_run, ..
    } = &row.record;
    let ending = match (state, may_have_run) {
        // An earlier attempt may have run, so it is unknown whether the job ran.
        (_, true) => JobEnding::Unknown(UnknownReason::CancelledRunning),
        (JobState::Queued, false) => JobEnding::Refused(reason),
        (_, false) => JobEnding::Voided(reason),
    };
    plan_end(row, ending, guard, write_id)
}

fn plan_end(
    row: &Versioned<JobRecord>,
    ending: JobEnding,
    guard: &HolderGuard,
    write_id: WriteId,
) -> Result<PlannedChange<JobRecord>, JobError> {
    row.finish(ending, guard, write_id)
}

async fn commit(
    context: &HolderContext,
    change: &PlannedChange<JobRecord>,
    deadline: ClockTime,
) -> TransactionOutcome {
    commit_transaction(
        &context.table,
        &change.transaction,
        deadline,
        CallPriority::Essential,
    )
    .await
}

async fn read_current_row(
    context: &HolderContext,
    row: &Versioned<JobRecord>,
) -> Option<Versioned<JobRecord>> {
    let rows = read_jobs(&context.table, &[row.record.job]).await;
    rows.ok()?.pop()
}

async fn wait_for_retry(context: &HolderContext) {
    tokio::time::sleep_until(context.clock.instant(context.clock.now() + RETRY_PAUSE_MS)).await;
}

fn epoch_key(guard: &HolderGuard) -> Arc<str> {
    RowKey::Epoch(guard.data_centre.clone()).into()
}

/// Stores the results of a gang as one object, retrying until the object store accepts it.
async fn store_result(context: &HolderContext, record: &JobRecord, results: &[MemberResult]) -> ResultRef {
    let bytes = serde_json::to_vec(results).expect("member results serialize to JSON");
    let object: Arc<str> = ObjectKey::Result(record.job, record.attempt).into();
    let result = ResultRef {
        object: object.clone(),
        bytes: bytes.len() as u64,
        sha256: hex::encode(Sha256::digest(&bytes)).into(),
    };
    let bytes = bytes::Bytes::from(bytes);
    while let Err(error) = context
        .objects
        .put(&object, bytes.clone(), CallPriority::Essential)
        .await
    {
        log::warn!("[holder] cannot store result object={object}: {error}");
        wait_for_retry(context).await;
    }
    result
}
