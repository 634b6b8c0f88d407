use std::cmp::Reverse;
use std::collections::BTreeMap;

use arbutuspick_model::{
    CellGuarantee, CellLevel, CentreName, CentreState, GangShape, JobSpec, WorkerCapacity,
};

use crate::cell_demand::CellDemand;
use crate::{CellCounts, PlacementSummary, pack_guarantees};

/// Chooses the data centre that takes up a new job.
///
/// First comes the one where the account has unused guaranteed cells for the shape, then the one with
/// the most free cells of the needed level, then the one with the shortest queue. Data centres whose
/// live workers cannot hold the shape are chosen only when none can.
///
/// ```
/// use std::collections::BTreeMap;
/// use arbutuspick_model::{AccountName, CentreName, CentreState, JobSpec};
/// use arbutuspick_sched::{PlacementSummary, choose_centre};
/// let spec = JobSpec::new(AccountName::try_from("parks")?);
/// let trent = CentreName::try_from("trent")?;
/// let out = PlacementSummary { state: CentreState::Out, ..PlacementSummary::default() };
/// let mut summaries = BTreeMap::from([(trent.clone(), out)]);
/// assert_eq!(choose_centre(&spec, &summaries, &[]), None);
/// summaries.insert(trent.clone(), PlacementSummary::default());
/// assert_eq!(choose_centre(&spec, &summaries, &[]), Some(trent));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
pub fn choose_centre(
    spec: &JobSpec,
    summaries: &BTreeMap<CentreName, PlacementSummary>,
    home: &[CellGuarantee],
) -> Option<CentreName> {
    let demand = needed_cells(spec.shape);
    let takes_work =
        |summary: &PlacementSummary| matches!(summary.state, CentreState::In | CentreState::Returning);
    summaries
        .iter()
        .filter(|(_, summary)| takes_work(summary))
        .max_by_key(|(centre, summary)| {
            let fits = pack_guarantees(summary.usable, demand).is_empty();
            let promised = fits && has_unused_home(spec, centre, summary, home, demand);
            let free = free_cells(summary.free, demand);
            (
                fits,
                promised,
                free,
                Reverse(summary.queued_jobs),
                Reverse((*centre).clone()),
            )
        })
        .map(|(centre, _)| centre.clone())
}

fn needed_cells(shape: GangShape) -> CellCounts {
    // Cores and memory are left to the data centre, which knows its workers.
    let cells_only = GangShape {
        cores: 1,
        memory_mib: 1,
        ..shape
    };
    let demand = CellDemand::new(cells_only, WorkerCapacity::default(), false);
    demand.map_or(CellCounts::default(), |demand| demand.counts())
}

fn has_unused_home(
    spec: &JobSpec,
    centre: &CentreName,
    summary: &PlacementSummary,
    home: &[CellGuarantee],
    demand: CellCounts,
) -> bool {
    let is_home = home.iter().any(|guarantee| guarantee.data_centre == *centre);
    let unused = summary
        .accounts
        .get(&spec.account)
        .map(|account| account.unused_cells);
    let unused = unused.unwrap_or_default();
    is_home && !demand.is_empty() && pack_guarantees(unused, demand).is_empty()
}

/// Returns how many cells of the largest needed level are free; all accelerators for other work.
fn free_cells(free: CellCounts, demand: CellCounts) -> u32 {
    let largest = CellLevel::ALL.into_iter().rev().find(|level| demand[*level] > 0);
    let level = largest.unwrap_or(CellLevel::One);
    CellLevel::ALL
        .into_iter()
        .filter(|from| *from >= level)
        .map(|from| free[from] * (from.accelerators() / level.accelerators()))
        .sum()
}
