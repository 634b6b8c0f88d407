use std::sync::Arc;

use arbutuspick_clients::CallPriority;
use arbutuspick_model::{
    AccountName, CallerKey, CentreName, JobId, JobSpec, RefusalReason, UnknownReason, WriteId,
};
use arbutuspick_peer::{InboxNotice, PeerMessage};
use arbutuspick_records::{
    BodyDigest, CommitResolution, JobRecord, JobSubmission, KeyRecord, PlannedChange, RowKey, Versioned,
    look_up_submission,
};

use super::{JobView, choose_data_centre};
use crate::api::ApiError;
use crate::daemon::EntryContext;
use crate::table::{KEY_RETENTION_MS, commit, read_rows};

/// Time limit for committing a submission, including retries and read-backs after a lost response.
const COMMIT_TIMEOUT_MS: u64 = 3_000;

/// A job submission of a caller.
pub(crate) struct SubmitRequest {
    pub(crate) spec: JobSpec,
    pub(crate) key: Option<CallerKey>,
    pub(crate) digest: BodyDigest,
}

/// Records a job and notifies the holder of its data centre.
///
/// A repeated key with the same body returns the job of the first submission.
pub(crate) async fn submit_job(
    context: &Arc<EntryContext>,
    request: SubmitRequest,
) -> Result<JobView, ApiError> {
    let SubmitRequest { spec, key, digest } = request;
    let Some(data_centre) = choose_data_centre(context, &spec) else {
        return refuse_without_centre(context, &spec, key.as_ref(), digest).await;
    };
    context.summaries.charge(&data_centre, &spec);
    let Some(now) = context.table.platform_time() else {
        return Err(ApiError::refused_call(
            RefusalReason::PlatformUnavailable,
            key.is_some(),
        ));
    };
    let job = JobId::generate();
    let submission = JobSubmission {
        job,
        spec,
        caller_key: key,
        body_digest: digest,
        data_centre,
        now,
        delete_key_after: now + KEY_RETENTION_MS,
    };
    let change = JobRecord::submit(submission, WriteId::generate());
    let deadline = context.clock.now() + COMMIT_TIMEOUT_MS;
    let resolution = commit(
        &context.table,
        &change.transaction,
        CallPriority::Submission,
        deadline,
    )
    .await;
    handle_resolution(context, change, resolution, digest).await
}

async fn handle_resolution(
    context: &Arc<EntryContext>,
    change: PlannedChange<JobRecord>,
    resolution: CommitResolution,
    digest: BodyDigest,
) -> Result<JobView, ApiError> {
    let job = change.record.job;
    match resolution {
        CommitResolution::Committed { version } => {
            let row = change.committed(version);
            let view = JobView::from(&row.record);
            notify_holder(context, &row.record.data_centre, job);
            context.jobs.store(row).await;
            Ok(view)
        }
        CommitResolution::Conflict { .. } => {
            let JobRecord {
                account, caller_key, ..
            } = &change.record;
            let earlier = match caller_key {
                Some(key) => earlier_job(context, account, key, digest).await?,
                None => None,
            };
            earlier.ok_or_else(|| submission_unresolved(job))
        }
        // The job id is newly generated, so a row with it was written by this submission.
        CommitResolution::Overwritten => {
            match context.jobs.read(job).await.ok().and_then(|cached| cached.row) {
                Some(row) => Ok(JobView::from(&row.record)),
                None => Err(submission_unresolved(job)),
            }
        }
        CommitResolution::NotSent => {
            let keyed = change.record.caller_key.is_some();
            Err(ApiError::refused_call(RefusalReason::PlatformUnavailable, keyed))
        }
        CommitResolution::Unresolved => Err(submission_unresolved(job)),
    }
}

/// The submission may be recorded; the error carries the job id, so that the caller can query it later.
fn submission_unresolved(job: JobId) -> ApiError {
    ApiError::unknown(UnknownReason::WriteUnresolved).with_detail("job", &job)
}

/// Refuses a job while no data centre accepts work, unless its key belongs to a recorded job.
async fn refuse_without_centre(
    context: &EntryContext,
    spec: &JobSpec,
    key: Option<&CallerKey>,
    digest: BodyDigest,
) -> Result<JobView, ApiError> {
    if let Some(key) = key
        && let Some(view) = earlier_job(context, &spec.account, key, digest).await?
    {
        return Ok(view);
    }
    let refusal = ApiError::not_run(RefusalReason::Overloaded);
    Err(refusal.with_detail("cause", &"every data centre is out or leaving"))
}

/// Returns the job for which the key was used first, if there is one.
async fn earlier_job(
    context: &EntryContext,
    account: &AccountName,
    key: &CallerKey,
    digest: BodyDigest,
) -> Result<Option<JobView>, ApiError> {
    let key = RowKey::Key(account.clone(), key.clone());
    let rows = read_rows(
        &context.table,
        std::slice::from_ref(&key),
        CallPriority::Submission,
    )
    .await;
    // "Not run" would be wrong, since the job of the key may be recorded.
    let rows = rows.map_err(|_| ApiError::unknown(UnknownReason::WriteUnresolved))?;
    let row: Option<Versioned<KeyRecord>> = rows.get(&key).map_err(ApiError::internal)?;
    let job = look_up_submission(row.as_ref().map(|row| &row.record), digest)
        .map_err(|error| ApiError::conflict("key_reused", error.to_string()))?;
    let Some(job) = job else {
        return Ok(None);
    };
    let cached = context.jobs.read(job).await;
    let row = cached.map_err(|_| submission_unresolved(job))?.row;
    Ok(row.map(|row| JobView::from(&row.record)))
}

/// Notifies the placement holder of a data centre that a job was assigned to it or cancelled in it.
///
/// If the message is lost, the holder finds the job at its next read of the inbox.
pub(crate) fn notify_holder(context: &EntryContext, data_centre: &CentreName, job: JobId) {
    let notice = PeerMessage::InboxNotice(InboxNotice {
        data_centre: data_centre.as_str().into(),
        job: job.to_string(),
    });
    let view = context.centres.view(data_centre).unwrap_or_default();
    match view.holder() {
        Some(vm) if *vm == context.identity.vm => context.holder.inbox_changed(),
        Some(vm) => context.peers.notify(vm, notice),
        None => context.peers.notify_centre(data_centre, notice),
    }
}
