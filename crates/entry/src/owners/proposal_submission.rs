use std::collections::BTreeMap;

use arbutuspick_clients::{CallPriority, VmRole};
use arbutuspick_model::{AccountConfig, AccountName, CentreName, PoolConfig, WriteId};
use arbutuspick_records::{AccountRequest, CommitResolution, ProposalId, ProposalRecord, RowKey, Versioned};

use super::owner_turn::COMMIT_TIMEOUT_MS;
use crate::api::ApiError;
use crate::config::{RackSizes, check_config, racks_by_centre};
use crate::daemon::EntryContext;
use crate::table::{commit, read_rows};

/// Counts the full-size workers of every rack in the platform's list.
pub(crate) async fn pool_racks(context: &EntryContext) -> Result<BTreeMap<CentreName, RackSizes>, ApiError> {
    let list = context.vms.list(VmRole::Worker, None).await;
    let list = list.map_err(|_| ApiError::platform("the list of workers cannot be read"))?;
    Ok(racks_by_centre(&list.vms))
}

/// Refuses an account configuration whose guarantees cannot be packed together with all others.
pub(super) async fn check_packing(
    context: &EntryContext,
    base: &PoolConfig,
    account: &AccountName,
    config: &AccountConfig,
) -> Result<(), ApiError> {
    let racks = pool_racks(context).await?;
    let mut next = base.clone();
    next.accounts.insert(account.clone(), config.clone().check()?);
    Ok(check_config(&next, &racks)?)
}

/// Records a proposal whose guarantees can be packed; the owner of the month decides on it.
pub(crate) async fn propose(
    context: &EntryContext,
    request: AccountRequest,
) -> Result<ProposalRecord, ApiError> {
    let base = context.config.load();
    check_packing(context, &base, &request.account, &request.generate_config()).await?;
    let Some(now) = context.table.platform_time() else {
        return Err(ApiError::platform("the proposal is not recorded"));
    };
    let id = ProposalId::generate();
    let change = ProposalRecord::propose(id, request, base.revision, now, WriteId::generate());
    let deadline = context.clock.now() + COMMIT_TIMEOUT_MS;
    match commit(
        &context.table,
        &change.transaction,
        CallPriority::Submission,
        deadline,
    )
    .await
    {
        CommitResolution::Committed { .. } => Ok(change.record),
        // The proposal id is newly generated, so a row with it was written by this call.
        CommitResolution::Overwritten => Ok(read_proposal(context, id).await?.record),
        CommitResolution::Conflict { key } => Err(ApiError::internal(format!("row {key} exists already"))),
        CommitResolution::NotSent => Err(ApiError::platform("the proposal is not recorded")),
        CommitResolution::Unresolved => {
            let message = "it is not known whether the proposal is recorded";
            Err(ApiError::platform(message).with_detail("proposal", &id))
        }
    }
}

pub(crate) async fn read_proposal(
    context: &EntryContext,
    id: ProposalId,
) -> Result<Versioned<ProposalRecord>, ApiError> {
    let key = RowKey::Proposal(id);
    let rows = read_rows(
        &context.table,
        std::slice::from_ref(&key),
        CallPriority::Submission,
    )
    .await;
    let rows = rows.map_err(|_| ApiError::platform("the proposal cannot be read"))?;
    let row = rows.get(&key).map_err(ApiError::internal)?;
    row.ok_or_else(|| ApiError::not_found("proposal"))
}
