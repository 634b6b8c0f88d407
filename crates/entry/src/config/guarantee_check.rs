use std::collections::BTreeMap;

use arbutuspick_clients::VmEntry;
use arbutuspick_model::{
    AccountName, CellGuarantee, CentreName, FieldError, PoolConfig, RackName, WORKER_ACCELERATORS,
};
use arbutuspick_sched::check_guarantees;
use serde::Serialize;

/// Full workers of each rack.
pub(crate) type RackSizes = BTreeMap<RackName, u32>;

/// A guarantee that will fall short while a data centre is out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct GuaranteeShortfall {
    /// Client account.
    pub(crate) account: AccountName,
    /// Guarantee in the data centre that is to leave.
    pub(crate) guarantee: CellGuarantee,
    /// Cells that no other data centre can provide.
    pub(crate) missing: u32,
}

/// Counts the full workers of each rack that are not leaving.
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

/// Refuses a configuration whose guarantees no packing can honour.
pub(crate) fn check_config(
    config: &PoolConfig,
    centres: &BTreeMap<CentreName, RackSizes>,
) -> Result<(), FieldError> {
    let guarantees = guarantees_of(config);
    let none = RackSizes::new();
    let mut homes: Vec<&CentreName> = guarantees
        .values()
        .flatten()
        .map(|cell| &cell.data_centre)
        .collect();
    homes.sort_unstable();
    homes.dedup();
    for centre in homes {
        check_guarantees(centre, centres.get(centre).unwrap_or(&none), &guarantees)?;
    }
    Ok(())
}

/// Lists the guarantees that fall short, or fall further short, when a data centre leaves.
///
/// Data centres that are not open have left before; their guarantees need room in the others as well.
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
        let same = |known: &&GuaranteeShortfall| {
            known.account == shortfall.account && known.guarantee == shortfall.guarantee
        };
        before
            .iter()
            .find(same)
            .is_none_or(|known| known.missing < shortfall.missing)
    });
    after
}

/// Lists the guarantees of data centres that are not open which the open ones cannot honour besides their
/// own. Each cell is given to the first open data centre in which it still packs.
fn displaced_shortfalls(
    config: &PoolConfig,
    open: &BTreeMap<CentreName, RackSizes>,
) -> Vec<GuaranteeShortfall> {
    let mut taken = guarantees_of(config);
    let mut moved: Vec<(AccountName, CellGuarantee)> = Vec::new();
    for (account, guarantees) in &mut taken {
        let (stays, leaves) = std::mem::take(guarantees)
            .into_iter()
            .partition(|guarantee| open.contains_key(&guarantee.data_centre));
        *guarantees = stays;
        let leaves: Vec<CellGuarantee> = leaves;
        moved.extend(leaves.into_iter().map(|guarantee| (account.clone(), guarantee)));
    }
    // Larger cells are harder to place.
    moved.sort_by_key(|(_, guarantee)| std::cmp::Reverse(guarantee.cell));
    let mut shortfalls = Vec::new();
    for (account, guarantee) in moved {
        let missing = place_cells(&account, &guarantee, open, &mut taken);
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
    taken: &mut BTreeMap<AccountName, Vec<CellGuarantee>>,
) -> u32 {
    let mut missing = guarantee.count;
    for (centre, racks) in open {
        let place = |count: u32| CellGuarantee {
            data_centre: centre.clone(),
            count,
            ..guarantee.clone()
        };
        let mut fits = |count: u32| {
            let guarantees = taken.entry(account.clone()).or_default();
            guarantees.push(place(count));
            let fits = check_guarantees(centre, racks, taken).is_ok();
            taken.entry(account.clone()).or_default().pop();
            fits
        };
        // Cells only take room, so the counts that fit are those up to some number.
        let (mut low, mut high) = (0, missing);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if fits(middle) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        if low > 0 {
            taken.entry(account.clone()).or_default().push(place(low));
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
