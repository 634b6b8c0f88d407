use std::cmp::Reverse;
use std::collections::BTreeMap;

use arbutuspick_model::{
    CellGuarantee, CellLevel, CentreName, CentreState, GangShape, JobSpec, WorkerCapacity,
};

use crate::cell_demand::CellDemand;
use crate::{CellCounts, PlacementSummary, packing_shortfall};

/// Chooses the data centre that accepts a new job.
///
/// `guarantees` are those of the account in all data centres. Prefers a data centre in which the account has
/// unused guaranteed cells for the shape, then the most free cells of the required level, then the shortest
/// queue. A data centre whose usable workers cannot fit the shape is chosen only if no data centre can fit
/// it.
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
    guarantees: &[CellGuarantee],
) -> Option<CentreName> {
    let demand = needed_cells(spec.shape);
    let accepts_jobs =
        |summary: &PlacementSummary| matches!(summary.state, CentreState::In | CentreState::Returning);
    summaries
        .iter()
        .filter(|(_, summary)| accepts_jobs(summary))
        .max_by_key(|(centre, summary)| {
            let fits = packing_shortfall(summary.usable, demand).is_empty();
            let has_guarantee = fits && has_unused_guarantee(spec, centre, summary, guarantees, demand);
            let free = free_cells(summary.free, demand);
            (
                fits,
                has_guarantee,
                free,
                Reverse(summary.queued_jobs),
                Reverse((*centre).clone()),
            )
        })
        .map(|(centre, _)| centre.clone())
}

fn needed_cells(shape: GangShape) -> CellCounts {
    // Cores and memory are not compared, because summaries do not contain the capacities of workers.
    let cells_only = GangShape {
        cores: 1,
        memory_mib: 1,
        ..shape
    };
    let demand = CellDemand::new(cells_only, WorkerCapacity::default(), false);
    demand.map_or(CellCounts::default(), |demand| demand.counts())
}

fn has_unused_guarantee(
    spec: &JobSpec,
    centre: &CentreName,
    summary: &PlacementSummary,
    guarantees: &[CellGuarantee],
    demand: CellCounts,
) -> bool {
    let is_home = guarantees
        .iter()
        .any(|guarantee| guarantee.data_centre == *centre);
    let unused = summary
        .accounts
        .get(&spec.account)
        .map(|account| account.unused_cells);
    let unused = unused.unwrap_or_default();
    is_home && !demand.is_empty() && packing_shortfall(unused, demand).is_empty()
}

/// Returns how many cells of the largest required level are free; for CPU-only jobs, all free accelerators.
fn free_cells(free: CellCounts, demand: CellCounts) -> u32 {
    let largest = CellLevel::ALL.into_iter().rev().find(|level| demand[*level] > 0);
    let level = largest.unwrap_or(CellLevel::One);
    CellLevel::ALL
        .into_iter()
        .filter(|from| *from >= level)
        .map(|from| free[from] * (from.accelerators() / level.accelerators()))
        .sum()
}
