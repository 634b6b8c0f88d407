use std::sync::Arc;

use arbutuspick_clients::CallPriority;
use arbutuspick_model::{AccountName, JobId, WriteId};
use arbutuspick_records::{CommitResolution, JobError, JobRecord, RowKey, Versioned};

use super::JobView;
use super::job_submit::notify_holder;
use crate::api::ApiError;
use crate::daemon::EntryContext;
use crate::table::{commit, read_rows};

/// Time limit for committing a cancellation, including retries and read-backs after a lost response.
const COMMIT_TIMEOUT_MS: u64 = 3_000;
/// Commit attempts when the row changes concurrently.
const MAX_CONFLICTS: usize = 8;

/// Records a cancellation. A job that has started is left to its holder, which reports its end later.
pub(crate) async fn cancel_job(
    context: &Arc<EntryContext>,
    job: JobId,
    account: Option<&AccountName>,
) -> Result<JobView, ApiError> {
    for _ in 0..MAX_CONFLICTS {
        let row = read_job(context, job).await?;
        if account.is_some_and(|account| *account != row.record.account) {
            return Err(ApiError::not_found("job"));
        }
        let change = match row.cancel(WriteId::generate()) {
            Ok(change) => change,
            // The cancellation is already recorded.
            Err(JobError::Cancelled { .. }) => return Ok(JobView::from(&row.record)),
            Err(error) => {
                let view = JobView::from(&row.record);
                return Err(ApiError::conflict("job_ended", error.to_string()).with_detail("job", &view));
            }
        };
        let deadline = context.clock.now() + COMMIT_TIMEOUT_MS;
        match commit(
            &context.table,
            &change.transaction,
            CallPriority::Submission,
            deadline,
        )
        .await
        {
            CommitResolution::Committed { version } => {
                let row = change.committed(version);
                let view = JobView::from(&row.record);
                notify_holder(context, &row.record.data_centre, job);
                context.jobs.store(row).await;
                return Ok(view);
            }
            CommitResolution::Conflict { .. } | CommitResolution::Overwritten => {}
            CommitResolution::NotSent => return Err(ApiError::platform("the cancellation is not recorded")),
            CommitResolution::Unresolved => {
                return Err(ApiError::platform(
                    "it is not known whether the cancellation is recorded",
                ));
            }
        }
    }
    Err(ApiError::conflict(
        "job_busy",
        "the job changed during every attempt to cancel it",
    ))
}

async fn read_job(context: &EntryContext, job: JobId) -> Result<Versioned<JobRecord>, ApiError> {
    let key = RowKey::Job(job);
    let rows = read_rows(
        &context.table,
        std::slice::from_ref(&key),
        CallPriority::Submission,
    )
    .await;
    let rows = rows.map_err(|_| ApiError::platform("the cancellation is not recorded"))?;
    let row = rows.get(&key).map_err(ApiError::internal)?;
    row.ok_or_else(|| ApiError::not_found("job"))
}
