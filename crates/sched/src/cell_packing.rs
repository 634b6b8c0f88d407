use std::collections::BTreeMap;

use arbutuspick_model::{
    AccountName, CellGuarantee, CellLevel, CentreName, FieldError, RACK_WORKERS, RackName,
};

use crate::CellCounts;
use crate::cell_block::maximal_blocks;

/// Returns how many of the demanded cells cannot be split from the available cells, largest cells first.
///
/// ```
/// use arbutuspick_model::CellLevel;
/// use arbutuspick_sched::{CellCounts, packing_shortfall};
/// let mut available = CellCounts::default();
/// available[CellLevel::Worker] = 1;
/// let mut demand = CellCounts::default();
/// demand[CellLevel::Four] = 3;
/// assert_eq!(packing_shortfall(available, demand)[CellLevel::Four], 1);
/// ```
pub fn packing_shortfall(available: CellCounts, demand: CellCounts) -> CellCounts {
    let mut shortfall = CellCounts::default();
    let mut cells: u64 = 0;
    for level in CellLevel::ALL.into_iter().rev() {
        cells = 2 * cells + u64::from(available[level]);
        let need = u64::from(demand[level]);
        if need > cells {
            shortfall[level] = demand[level] - cells as u32;
        }
        cells = cells.saturating_sub(need);
    }
    shortfall
}

/// Returns the cells that remain after the demanded ones were split off by best fit, largest cells first.
pub(crate) fn leftover_cells(available: CellCounts, demand: CellCounts) -> CellCounts {
    let mut remaining = available.0;
    for i in (0..7).rev() {
        let mut need = demand.0[i];
        while need > 0 {
            let direct = need.min(remaining[i]);
            remaining[i] -= direct;
            need -= direct;
            if need == 0 {
                break;
            }
            let Some(larger) = (i + 1..7).find(|larger| remaining[*larger] > 0) else {
                break;
            };
            remaining[larger] -= 1;
            for half in &mut remaining[i..larger] {
                *half += 1;
            }
            remaining[i] += 1;
        }
    }
    CellCounts(remaining)
}

/// Sums the counts of the guarantees by level.
pub(crate) fn guarantee_counts(guarantees: &[CellGuarantee]) -> CellCounts {
    let mut counts = CellCounts::default();
    for guarantee in guarantees {
        let count = &mut counts[guarantee.cell];
        *count = count.saturating_add(guarantee.count);
    }
    counts
}

/// Returns an error if the racks of a data centre cannot provide all guaranteed cells at once.
///
/// `racks` counts the workers with eight accelerators in each rack; others are not counted on for guarantees.
///
/// ```
/// use std::collections::BTreeMap;
/// use arbutuspick_model::{AccountName, CellGuarantee, CellLevel, CentreName, RackName};
/// use arbutuspick_sched::check_guarantees;
/// let centre = CentreName::try_from("trent")?;
/// let racks = BTreeMap::from([(RackName::try_from("r1")?, 2)]);
/// let guarantee = CellGuarantee { data_centre: centre.clone(), cell: CellLevel::Rack, count: 1 };
/// let accounts = BTreeMap::from([(AccountName::try_from("parks")?, vec![guarantee])]);
/// assert!(check_guarantees(&centre, &racks, &accounts).is_err());
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
pub fn check_guarantees(
    centre: &CentreName,
    racks: &BTreeMap<RackName, u32>,
    accounts: &BTreeMap<AccountName, Vec<CellGuarantee>>,
) -> Result<(), FieldError> {
    let available = rack_counts(racks);
    let mut demand = CellCounts::default();
    // Accounts are added one by one so that the error names the first one that does not fit.
    for (account, guarantees) in accounts {
        for guarantee in guarantees.iter().filter(|g| g.data_centre == *centre) {
            demand[guarantee.cell] = demand[guarantee.cell].saturating_add(guarantee.count);
            if !packing_shortfall(available, demand).is_empty() {
                return Err(FieldError::new(
                    format!("accounts.{account}.guarantees"),
                    format!(
                        "{} cells of {} in {centre}",
                        guarantee.count,
                        guarantee.cell.accelerators()
                    ),
                    "must be packable with the guarantees of the accounts before it",
                ));
            }
        }
    }
    Ok(())
}

fn rack_counts(racks: &BTreeMap<RackName, u32>) -> CellCounts {
    let mut counts = CellCounts::default();
    for workers in racks.values() {
        counts[CellLevel::Rack] += workers / RACK_WORKERS;
        let rest = workers % RACK_WORKERS;
        let blocks = maximal_blocks((1u64 << (8 * rest)) - 1);
        for level in CellLevel::ALL {
            counts[level] += blocks[level as usize].count_ones();
        }
    }
    counts
}
