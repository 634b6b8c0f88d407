use arbutuspick_model::{
    AccountName, FieldError, FinalOutcome, GangShape, JobClass, JobId, JobSpec, RefusalReason,
};
use arbutuspick_records::{BodyDigest, JobRecord};
use axum::Json;
use axum::extract::{Path, RawQuery, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{ApiBody, ApiError, AuthenticatedCaller, SharedContext, idempotency_key, parse_query_millis};
use crate::CallerRole;
use crate::daemon::StopPhase;
use crate::jobs::{CachedJob, JobReadError, JobView, SubmitRequest, cancel_job, submit_job};
use crate::requests::{ObjectError, fetch_verified};

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSubmission {
    /// Client account; required with an operator's token, and otherwise the caller's own account if present.
    account: Option<AccountName>,
    #[serde(default)]
    shape: GangShape,
    #[serde(default)]
    class: JobClass,
    #[serde(default)]
    idempotent: bool,
    #[serde(default)]
    checkpointable: bool,
    #[serde(default)]
    declared_run_ms: u64,
    #[serde(default)]
    payload: String,
}

impl RawSubmission {
    fn into_spec(self, caller: &CallerRole) -> Result<JobSpec, ApiError> {
        let account = match (caller, self.account) {
            (CallerRole::Account(own), None) => own.clone(),
            (CallerRole::Account(own), Some(account)) if *own == account => account,
            (CallerRole::Account(_), Some(_)) => {
                return Err(ApiError::forbidden("an account submits only its own jobs"));
            }
            (CallerRole::Operator(_), Some(account)) => account,
            (CallerRole::Operator(_), None) => {
                return Err(
                    FieldError::new("account", "", "must be present with an operator's token").into(),
                );
            }
            (CallerRole::Owner(_), _) => {
                return Err(ApiError::forbidden("an account's or operator's token is needed"));
            }
        };
        let mut spec = JobSpec::new(account)
            .with_shape(self.shape)
            .with_class(self.class)
            .with_declared_run_ms(self.declared_run_ms)
            .with_payload(self.payload);
        spec.idempotent = self.idempotent;
        spec.checkpointable = self.checkpointable;
        Ok(spec.check()?)
    }
}

/// `POST /v1/jobs`
pub(super) async fn submit(
    State(context): State<SharedContext>,
    AuthenticatedCaller(caller): AuthenticatedCaller,
    headers: HeaderMap,
    body: ApiBody,
) -> Result<Response, ApiError> {
    let key = idempotency_key(&headers)?;
    let spec = body.json::<RawSubmission>()?.into_spec(&caller)?;
    if !context.config.load().accounts.contains_key(&spec.account) {
        return Err(ApiError::forbidden("the account is not in the configuration"));
    }
    if context.stop.phase() == StopPhase::Draining {
        let keyed = headers.contains_key("idempotency-key");
        return Err(ApiError::refused_call(RefusalReason::Stopping, keyed));
    }
    let digest = BodyDigest::of(&[b"job", &body.0]);
    // Spawned, so that a caller that disconnects interrupts neither the commit nor the notice to the holder.
    let work = super::in_current_request({
        let context = context.clone();
        async move { submit_job(&context, SubmitRequest { spec, key, digest }).await }
    });
    let view = context
        .stop
        .tracker
        .spawn(work)
        .await
        .map_err(ApiError::internal)??;
    metrics::counter!("arbutuspick_jobs_submitted_total").increment(1);
    Ok((StatusCode::ACCEPTED, Json(view)).into_response())
}

fn parse_job(id: &str) -> Result<JobId, ApiError> {
    Ok(JobId::try_from(id)?)
}

impl From<JobReadError> for ApiError {
    fn from(error: JobReadError) -> Self {
        match error {
            JobReadError::Call { .. } => Self::platform("the status of the job cannot be read"),
            JobReadError::Decode { source } => Self::internal(source),
        }
    }
}

/// Returns the job if this caller may see it.
fn visible_record<'a>(cached: &'a CachedJob, caller: &CallerRole) -> Result<&'a JobRecord, ApiError> {
    let record = cached.row.as_ref().map(|row| &row.record);
    let record = record.filter(|record| match caller {
        CallerRole::Account(account) => record.account == *account,
        CallerRole::Operator(_) => true,
        CallerRole::Owner(_) => false,
    });
    record.ok_or_else(|| ApiError::not_found("job"))
}

/// Returns the view of a job, with its age if it is stale.
fn job_view(context: &SharedContext, cached: &CachedJob, record: &JobRecord) -> JobView {
    let age_ms = cached
        .is_stale
        .then(|| context.clock.now().millis_since(cached.read_at));
    JobView {
        age_ms,
        ..JobView::from(record)
    }
}

/// `GET /v1/jobs/{id}`
pub(super) async fn status(
    State(context): State<SharedContext>,
    AuthenticatedCaller(caller): AuthenticatedCaller,
    Path(id): Path<String>,
) -> Result<Json<JobView>, ApiError> {
    let cached = context.jobs.read(parse_job(&id)?).await?;
    let record = visible_record(&cached, &caller)?;
    Ok(Json(job_view(&context, &cached, record)))
}

/// `GET /v1/jobs/{id}/wait?timeout_ms=`
pub(super) async fn wait(
    State(context): State<SharedContext>,
    AuthenticatedCaller(caller): AuthenticatedCaller,
    Path(id): Path<String>,
    RawQuery(query): RawQuery,
) -> Result<Json<Value>, ApiError> {
    let job = parse_job(&id)?;
    let limit = parse_query_millis(query.as_deref(), "timeout_ms", context.settings.limits.max_wait)?;
    let Ok(_permit) = context.waiters.try_acquire() else {
        return Err(
            ApiError::not_run(RefusalReason::Overloaded).with_detail("cause", &"too many callers wait")
        );
    };
    let cached = context.jobs.read(job).await?;
    visible_record(&cached, &caller)?;
    let deadline = context.clock.now() + limit.as_millis() as u64;
    let cached = tokio::select! {
        biased;
        cached = context.jobs.wait_final(job, deadline) => cached?,
        () = context.stop.wait_for_phase(StopPhase::Draining) => return Ok(Json(json!({"continue": job}))),
    };
    let record = visible_record(&cached, &caller)?;
    Ok(Json(json!(job_view(&context, &cached, record))))
}

/// `GET /v1/jobs/{id}/result`
pub(super) async fn result(
    State(context): State<SharedContext>,
    AuthenticatedCaller(caller): AuthenticatedCaller,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    let cached = context.jobs.read(parse_job(&id)?).await?;
    let record = visible_record(&cached, &caller)?;
    let Some(FinalOutcome::Ran { result }) = &record.outcome else {
        let view = job_view(&context, &cached, record);
        return Err(ApiError::conflict("no_result", "the job has no result").with_detail("job", &view));
    };
    let bytes = fetch_verified(&context.objects, result)
        .await
        .map_err(|error| match error {
            ObjectError::Call { .. } => ApiError::platform("the result cannot be read"),
            ObjectError::Damaged { .. } => {
                log::error!("[api] request {}: {error}", super::current_request_id());
                ApiError::new(StatusCode::BAD_GATEWAY, "result_damaged", error.to_string())
            }
        })?;
    let digest = HeaderValue::from_str(&result.sha256).map_err(ApiError::internal)?;
    let mut response = bytes.into_response();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/octet-stream"),
    );
    headers.insert("x-result-sha256", digest);
    Ok(response)
}

/// `DELETE /v1/jobs/{id}`
pub(super) async fn cancel(
    State(context): State<SharedContext>,
    AuthenticatedCaller(caller): AuthenticatedCaller,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    let job = parse_job(&id)?;
    let account = match caller {
        CallerRole::Account(account) => Some(account),
        CallerRole::Operator(_) => None,
        CallerRole::Owner(_) => return Err(ApiError::not_found("job")),
    };
    let work = super::in_current_request({
        let context = context.clone();
        async move { cancel_job(&context, job, account.as_ref()).await }
    });
    let view = context
        .stop
        .tracker
        .spawn(work)
        .await
        .map_err(ApiError::internal)??;
    Ok((StatusCode::ACCEPTED, Json(view)).into_response())
}
