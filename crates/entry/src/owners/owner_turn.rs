use arbutuspick_clients::CallPriority;
use arbutuspick_model::WriteId;
use arbutuspick_records::{CommitResolution, PlannedChange, RowKey, TurnRecord, Versioned};

use crate::api::ApiError;
use crate::daemon::EntryContext;
use crate::table::{commit, read_rows};

/// Time limit of one commit, including retries and read-backs after a lost response.
pub(super) const COMMIT_TIMEOUT_MS: u64 = 3_000;
/// Attempts to advance the turn. Each advances it by one month, so this covers several idle years.
const MAX_ADVANCES: usize = 64;

/// Returns the turn of the current month; a turn whose month is over is advanced first.
pub(crate) async fn current_turn(context: &EntryContext) -> Result<Versioned<TurnRecord>, ApiError> {
    for _ in 0..MAX_ADVANCES {
        let rows = read_rows(&context.table, &[RowKey::Turn], CallPriority::Submission).await;
        let rows = rows.map_err(|_| ApiError::platform("the turn cannot be read"))?;
        let turn = rows
            .get::<TurnRecord>(&RowKey::Turn)
            .map_err(ApiError::internal)?;
        let change = match turn {
            Some(turn) if !turn.record.is_over(rows.time) => return Ok(turn),
            Some(turn) => turn.advance(rows.time, WriteId::generate()),
            None => TurnRecord::begin(context.settings.owners.clone(), rows.time, WriteId::generate()),
        };
        let change = change.map_err(|error| ApiError::conflict("no_turn", error.to_string()))?;
        commit_advance(context, change).await?;
    }
    Err(ApiError::conflict(
        "turn_busy",
        "the turn changed during every attempt to advance it",
    ))
}

/// Commits an advance by one month; after a conflict another VM has advanced the turn.
async fn commit_advance(context: &EntryContext, change: PlannedChange<TurnRecord>) -> Result<(), ApiError> {
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
            let TurnRecord { month, owner, .. } = &change.record;
            log::info!("[config] owner {owner} decides in {month}");
            Ok(())
        }
        CommitResolution::Conflict { .. } | CommitResolution::Overwritten => Ok(()),
        CommitResolution::NotSent | CommitResolution::Unresolved => {
            Err(ApiError::platform("the turn cannot be advanced"))
        }
    }
}
