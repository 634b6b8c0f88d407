use arbutuspick_records::{AccountRequest, ProposalId, ProposalRecord, Questionnaire};
use axum::Json;
use axum::extract::{Path, State};
use axum::http::StatusCode;

use super::{ApiBody, ApiError, OperatorCaller, SharedContext, StaffCaller};
use crate::owners::{propose as record_proposal, read_proposal};

/// `POST /v1/operator/questionnaires`
pub(super) async fn propose(
    State(context): State<SharedContext>,
    _: OperatorCaller,
    body: ApiBody,
) -> Result<(StatusCode, Json<ProposalRecord>), ApiError> {
    let request = AccountRequest::try_from(body.json::<Questionnaire>()?)?;
    let proposal = record_proposal(&context, request).await?;
    Ok((StatusCode::CREATED, Json(proposal)))
}

/// `GET /v1/operator/proposals/{id}`
pub(super) async fn show(
    State(context): State<SharedContext>,
    _: StaffCaller,
    Path(id): Path<String>,
) -> Result<Json<ProposalRecord>, ApiError> {
    let id = ProposalId::try_from(id.as_str())?;
    Ok(Json(read_proposal(&context, id).await?.record))
}
