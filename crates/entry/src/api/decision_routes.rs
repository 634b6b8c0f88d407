use arbutuspick_records::{ProposalId, ProposalRecord, TurnRecord};
use axum::Json;
use axum::extract::{Path, State};

use super::{ApiError, OwnerCaller, SharedContext, StaffCaller};
use crate::owners::{OwnerChoice, current_turn, decide};

/// `GET /v1/operator/turn`
pub(super) async fn turn(
    State(context): State<SharedContext>,
    _: StaffCaller,
) -> Result<Json<TurnRecord>, ApiError> {
    Ok(Json(current_turn(&context).await?.record))
}

/// `POST /v1/operator/proposals/{id}/accept`
pub(super) async fn accept(
    context: State<SharedContext>,
    owner: OwnerCaller,
    id: Path<String>,
) -> Result<Json<ProposalRecord>, ApiError> {
    handle_decision(context, owner, id, OwnerChoice::Accept).await
}

/// `POST /v1/operator/proposals/{id}/reject`
pub(super) async fn reject(
    context: State<SharedContext>,
    owner: OwnerCaller,
    id: Path<String>,
) -> Result<Json<ProposalRecord>, ApiError> {
    handle_decision(context, owner, id, OwnerChoice::Reject).await
}

async fn handle_decision(
    State(context): State<SharedContext>,
    OwnerCaller(owner): OwnerCaller,
    Path(id): Path<String>,
    choice: OwnerChoice,
) -> Result<Json<ProposalRecord>, ApiError> {
    let id = ProposalId::try_from(id.as_str())?;
    let record = decide(&context, id, owner, choice).await?;
    log::info!(
        "[config] request {}: proposal {id} is {:?}",
        super::current_request_id(),
        record.state
    );
    Ok(Json(record))
}
