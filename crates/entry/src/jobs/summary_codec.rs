use arbutuspick_model::{AccountName, CentreName, CentreState, ClockTime, FieldError, LeaseEpoch};
use arbutuspick_peer::{PoolSummary, SummaryState, UnusedCells};
use arbutuspick_sched::{AccountSummary, CellCounts, PlacementSummary};

use super::CentreSummary;

/// Encodes the summary of this VM's holder. Accounts without unused guarantees are left out to keep the
/// message small.
pub(crate) fn encode_summary(
    centre: &CentreName,
    epoch: LeaseEpoch,
    summary: &PlacementSummary,
) -> PoolSummary {
    let unused = summary
        .accounts
        .iter()
        .filter(|(_, account)| !account.unused_cells.is_empty());
    PoolSummary {
        data_centre: centre.as_str().into(),
        epoch: epoch.0,
        state: encode_state(summary.state).into(),
        free_cells: summary.free.0.to_vec(),
        usable_cells: summary.usable.0.to_vec(),
        queued_jobs: summary.queued_jobs,
        free_accelerators: summary.free_accelerators,
        borrowed_accelerators: summary.borrowed_accelerators,
        guaranteed_accelerators: summary.guaranteed_accelerators,
        unusable_accelerators: summary.unusable_accelerators,
        unused_cells: unused
            .map(|(account, summary)| UnusedCells {
                account: account.as_str().into(),
                cells: summary.unused_cells.0.to_vec(),
            })
            .collect(),
    }
}

/// Decodes and checks the summary of a peer.
pub(crate) fn decode_summary(
    message: &PoolSummary,
    now: ClockTime,
) -> Result<(CentreName, CentreSummary), FieldError> {
    let mut summary = PlacementSummary {
        state: decode_state(message.state()),
        free: cell_counts("free_cells", &message.free_cells)?,
        usable: cell_counts("usable_cells", &message.usable_cells)?,
        free_accelerators: message.free_accelerators,
        borrowed_accelerators: message.borrowed_accelerators,
        guaranteed_accelerators: message.guaranteed_accelerators,
        unusable_accelerators: message.unusable_accelerators,
        queued_jobs: message.queued_jobs,
        ..PlacementSummary::default()
    };
    for UnusedCells { account, cells } in &message.unused_cells {
        let account = AccountName::try_from(account.as_str())?;
        let unused_cells = cell_counts("cells", cells)?;
        summary.accounts.insert(
            account,
            AccountSummary {
                queued_jobs: 0,
                unused_cells,
            },
        );
    }
    let centre = CentreName::try_from(message.data_centre.as_str())?;
    Ok((
        centre,
        CentreSummary {
            epoch: LeaseEpoch(message.epoch),
            summary,
            received_at: now,
        },
    ))
}

fn cell_counts(field: &str, cells: &[u32]) -> Result<CellCounts, FieldError> {
    let counts = cells.try_into().map(CellCounts);
    counts.map_err(|_| FieldError::new(field, cells.len(), "must have 7 entries"))
}

fn encode_state(state: CentreState) -> SummaryState {
    match state {
        CentreState::In => SummaryState::In,
        CentreState::Leaving => SummaryState::Leaving,
        CentreState::Out => SummaryState::Out,
        CentreState::Returning => SummaryState::Returning,
    }
}

fn decode_state(state: SummaryState) -> CentreState {
    match state {
        SummaryState::In => CentreState::In,
        SummaryState::Leaving => CentreState::Leaving,
        SummaryState::Out => CentreState::Out,
        SummaryState::Returning => CentreState::Returning,
    }
}
