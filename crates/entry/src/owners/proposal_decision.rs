use std::sync::Arc;

use arbutuspick_clients::CallPriority;
use arbutuspick_model::{OwnerName, WriteId};
use arbutuspick_records::{
    AcceptanceBase, CommitResolution, HeadRecord, OwnerDecision, PlannedChange, ProposalError, ProposalId,
    ProposalRecord, RowKey, TurnRecord, Versioned,
};

use super::owner_turn::{COMMIT_TIMEOUT_MS, current_turn};
use super::proposal_submission::{check_packing, read_proposal};
use crate::api::ApiError;
use crate::config::{store_snapshot, sync_now};
use crate::daemon::EntryContext;
use crate::table::{commit, read_rows};

/// Attempts when the turn, the head or the proposal changes concurrently.
const MAX_CONFLICTS: usize = 8;

/// Decision of the owner of the month.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerChoice {
    Accept,
    Reject,
}

/// Records the decision of the owner of the month and returns the decided proposal.
pub(crate) async fn decide(
    context: &Arc<EntryContext>,
    id: ProposalId,
    owner: OwnerName,
    choice: OwnerChoice,
) -> Result<ProposalRecord, ApiError> {
    let mut written_id = None;
    for _ in 0..MAX_CONFLICTS {
        let turn = current_turn(context).await?;
        let proposal = read_proposal(context, id).await?;
        if written_id == Some(proposal.record.write_id) {
            return Ok(proposal.record);
        }
        let planned = match choice {
            OwnerChoice::Accept => plan_acceptance(context, &proposal, &turn, &owner).await?,
            OwnerChoice::Reject => plan_rejection(context, &proposal, &turn, &owner)?,
        };
        let Some(change) = planned else {
            continue;
        };
        written_id = Some(change.record.write_id);
        let deadline = context.clock.now() + COMMIT_TIMEOUT_MS;
        match commit(
            &context.table,
            &change.transaction,
            CallPriority::Submission,
            deadline,
        )
        .await
        {
            CommitResolution::Committed { .. } => {
                apply_revision(context, &change.record).await;
                return Ok(change.record);
            }
            CommitResolution::Conflict { .. } | CommitResolution::Overwritten => {}
            CommitResolution::NotSent => return Err(ApiError::platform("the decision is not recorded")),
            CommitResolution::Unresolved => {
                return Err(ApiError::platform(
                    "it is not known whether the decision is recorded",
                ));
            }
        }
    }
    Err(ApiError::conflict(
        "proposal_busy",
        "the configuration changed during every attempt to decide",
    ))
}

fn owner_decision<'a>(
    context: &EntryContext,
    turn: &'a Versioned<TurnRecord>,
    owner: &OwnerName,
) -> Result<OwnerDecision<'a>, ApiError> {
    let now = context.table.platform_time();
    let now = now.ok_or_else(|| ApiError::platform("the time of the platform is not known"))?;
    Ok(OwnerDecision {
        owner: owner.clone(),
        turn,
        now,
    })
}

/// Plans an acceptance based on the newest configuration; `None` if the rows have to be read again.
async fn plan_acceptance(
    context: &EntryContext,
    proposal: &Versioned<ProposalRecord>,
    turn: &Versioned<TurnRecord>,
    owner: &OwnerName,
) -> Result<Option<PlannedChange<ProposalRecord>>, ApiError> {
    let rows = read_rows(&context.table, &[RowKey::Head], CallPriority::Submission).await;
    let rows = rows.map_err(|_| ApiError::platform("the configuration cannot be read"))?;
    let head = rows
        .get::<HeadRecord>(&RowKey::Head)
        .map_err(ApiError::internal)?;
    let revision = head.as_ref().map(|row| row.record.revision).unwrap_or_default();
    if context.config.revision() < revision {
        sync_now(context)
            .await
            .map_err(|_| ApiError::platform("the configuration cannot be read"))?;
    }
    let base = context.config.load();
    let decision = owner_decision(context, turn, owner)?;
    let acceptance = AcceptanceBase {
        head: head.as_ref(),
        checked_at: base.revision,
    };
    let planned = without_retryable(proposal.accept(&decision, acceptance, WriteId::generate()))?;
    if planned.is_some() {
        let ProposalRecord { request, config, .. } = &proposal.record;
        check_packing(context, &base, &request.account, config).await?;
    }
    Ok(planned)
}

fn plan_rejection(
    context: &EntryContext,
    proposal: &Versioned<ProposalRecord>,
    turn: &Versioned<TurnRecord>,
    owner: &OwnerName,
) -> Result<Option<PlannedChange<ProposalRecord>>, ApiError> {
    let decision = owner_decision(context, turn, owner)?;
    without_retryable(proposal.reject(&decision, WriteId::generate()))
}

/// Converts errors that another attempt can resolve to `None`, and the others to API errors.
fn without_retryable(
    planned: Result<PlannedChange<ProposalRecord>, ProposalError>,
) -> Result<Option<PlannedChange<ProposalRecord>>, ApiError> {
    match planned {
        Ok(change) => Ok(Some(change)),
        Err(ProposalError::MonthOver { .. } | ProposalError::HeadMoved { .. }) => Ok(None),
        Err(error @ ProposalError::WrongOwner { .. }) => Err(ApiError::forbidden(&error.to_string())),
        Err(error) => Err(ApiError::conflict("proposal_decided", error.to_string())),
    }
}

/// Loads the new revision, which also notifies the peers, and stores a snapshot if one is due.
async fn apply_revision(context: &Arc<EntryContext>, record: &ProposalRecord) {
    let Some(revision) = record.revision else {
        return;
    };
    if let Err(error) = sync_now(context).await {
        log::warn!("[config] loading revision {revision} after its commit failed: {error}");
    }
    context.stop.tracker.spawn({
        let context = Arc::clone(context);
        async move { store_snapshot(&context, revision).await }
    });
}
