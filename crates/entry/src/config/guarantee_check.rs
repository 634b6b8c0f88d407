use std::collections::BTreeMap;

use arbutuspick_clients::VmEntry;
use arbutuspick_model::{
    AccountName, CellGuarantee, CentreName, FieldError, PoolConfig, RackName, WORKER_ACCELERATORS,
};
use arbutuspick_sched::check_guarantees;
use serde::Serialize;

/// Number of full-size workers of each rack.
pub(crate) type RackSizes = BTreeMap<RackName, u32>;

/// A guarantee that will fall short while a data centre is out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct GuaranteeShortfall {
    /// Client account that has the guarantee.
    pub(crate) account: AccountName,
    /// Guarantee in the data centre that is to leave.
    pub(crate) guarantee: CellGuarantee,
    /// Number of cells that no other data centre can provide.
    pub(crate) missing: u32,
}

/// Counts the full-size workers of each rack that are not leaving.
pub(crate) fn racks_by_centre(workers: &[VmEntry]) -> BTreeMap<CentreName, RackSizes> {
    let mut centres: BTreeMap<CentreName, RackSizes> = BTreeMap::new();
    for worker in workers.iter().filter(|worker| !worker.leaving) {
        let full = worker
            .capacity
            .is_none_or(|capacity| capacity.accelerators >= WORKER_ACCELERATORS);
        if let (Some(rack), true) = (&worker.rack, full) {
            let racks = centres.entry(worker.data_centre.clone()).or_default();
            *racks.entry(rack.clone()).or_default() += 1;
        }
    }
    centres
}

/// Refuses a configuration whose guarantees cannot be packed into the racks.
pub(crate) fn check_config(
    config: &PoolConfig,
    centres: &BTreeMap<CentreName, RackSizes>,
) -> Result<(), FieldError> {
    let guarantees = guarantees_of(config);
    let no_racks = RackSizes::new();
    let mut centre_names: Vec<&CentreName> = guarantees
        .values()
        .flatten()
        .map(|cell| &cell.data_centre)
        .collect();
    centre_names.sort_unstable();
    centre_names.dedup();
    for centre in centre_names {
        check_guarantees(centre, centres.get(centre).unwrap_or(&no_racks), &guarantees)?;
    }
    Ok(())
}

/// Lists the guarantees that fall short, or further short than before, when a data centre leaves.
///
/// Guarantees of data centres that are not open any more need capacity in the open ones as well.
pub(crate) fn shortfalls_without(
    leaving: &CentreName,
    config: &PoolConfig,
    open: &BTreeMap<CentreName, RackSizes>,
) -> Vec<GuaranteeShortfall> {
    let before = displaced_shortfalls(config, open);
    let mut rest = open.clone();
    rest.remove(leaving);
    let mut after = displaced_shortfalls(config, &rest);
    after.retain(|shortfall| {
        let is_same = |known: &&GuaranteeShortfall| {
            known.account == shortfall.account && known.guarantee == shortfall.guarantee
        };
        before
            .iter()
            .find(is_same)
            .is_none_or(|known| known.missing < shortfall.missing)
    });
    after
}

/// Lists the guarantees of data centres that are not open and for which the open ones have no capacity
/// beyond their own guarantees. Each cell is placed in the first open data centre in which it fits.
fn displaced_shortfalls(
    config: &PoolConfig,
    open: &BTreeMap<CentreName, RackSizes>,
) -> Vec<GuaranteeShortfall> {
    let mut placed = guarantees_of(config);
    let mut displaced: Vec<(AccountName, CellGuarantee)> = Vec::new();
    for (account, guarantees) in &mut placed {
        let (staying, displaced_cells) = std::mem::take(guarantees)
            .into_iter()
            .partition(|guarantee| open.contains_key(&guarantee.data_centre));
        *guarantees = staying;
        let displaced_cells: Vec<CellGuarantee> = displaced_cells;
        displaced.extend(
            displaced_cells
                .into_iter()
                .map(|guarantee| (account.clone(), guarantee)),
        );
    }
    // Larger cells first, since they are harder to place.
    displaced.sort_by_key(|(_, guarantee)| std::cmp::Reverse(guarantee.cell));
    let mut shortfalls = Vec::new();
    for (account, guarantee) in displaced {
        let missing = place_cells(&account, &guarantee, open, &mut placed);
        if missing > 0 {
            shortfalls.push(GuaranteeShortfall {
                account,
                guarantee,
                missing,
            });
        }
    }
    shortfalls
}

/// Places as many cells as fit and returns the number of those that do not.
fn place_cells(
    account: &AccountName,
    guarantee: &CellGuarantee,
    open: &BTreeMap<CentreName, RackSizes>,
    placed: &mut BTreeMap<AccountName, Vec<CellGuarantee>>,
) -> u32 {
    let mut missing = guarantee.count;
    for (centre, racks) in open {
        let guarantee_in = |count: u32| CellGuarantee {
            data_centre: centre.clone(),
            count,
            ..guarantee.clone()
        };
        let mut fits = |count: u32| {
            let guarantees = placed.entry(account.clone()).or_default();
            guarantees.push(guarantee_in(count));
            let fits = check_guarantees(centre, racks, placed).is_ok();
            placed.entry(account.clone()).or_default().pop();
            fits
        };
        // If a count fits, every smaller one does, so the largest is found by binary search.
        let (mut low, mut high) = (0, missing);
        while low < high {
            let mid = low + (high - low).div_ceil(2);
            if fits(mid) {
                low = mid;
            } else {
                high = mid - 1;
            }
        }
        if low > 0 {
            placed.entry(account.clone()).or_default().push(guarantee_in(low));
        }
        missing -= low;
        if missing == 0 {
            break;
        }
    }
    missing
}

fn guarantees_of(config: &PoolConfig) -> BTreeMap<AccountName, Vec<CellGuarantee>> {
    let accounts = config.accounts.iter();
    accounts
        .map(|(account, config)| (account.clone(), config.guarantees.clone()))
        .collect()
}
