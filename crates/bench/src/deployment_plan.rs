use std::collections::BTreeMap;

use arbutuspick_model::{
    AccountName, CellGuarantee, CellLevel, CentreName, RackName, WorkerCapacity, WorkerName,
};
use arbutuspick_sched::AccountPolicy;

/// Workers of a full rack.
const RACK_PLACES: usize = 8;

/// A client account of a measured deployment.
#[derive(Clone, Debug)]
pub(crate) struct AccountPlan {
    pub(crate) name: AccountName,
    pub(crate) weight: u32,
    pub(crate) guarantees: Vec<CellGuarantee>,
}

/// Data centres, workers and client accounts of a measured deployment.
///
/// ```
/// use arbutuspick_bench::DeploymentPlan;
/// assert_eq!(DeploymentPlan::midlands().accelerators(), 400);
/// assert!(DeploymentPlan::named("atlantis").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Name on the command line.
    pub name: &'static str,
    /// What every worker has.
    pub capacity: WorkerCapacity,
    pub(crate) centres: Vec<(CentreName, usize)>,
    pub(crate) accounts: Vec<AccountPlan>,
}

impl DeploymentPlan {
    /// Returns the deployment of the booking service.
    pub fn midlands() -> Self {
        let centres = ["trent", "severn", "peak-edge"];
        let accounts = ["bookings", "grounds", "reports", "guests"];
        Self::new("midlands", centres, accounts, 64, 256)
    }

    /// Returns the deployment of the canopy mapping service.
    pub fn nordeste() -> Self {
        let centres = ["recife-a", "fortaleza-b", "salvador-c"];
        let accounts = ["tiles", "outlines", "species", "guests"];
        Self::new("nordeste", centres, accounts, 128, 512)
    }

    /// Returns the deployment with this name.
    pub fn named(name: &str) -> Option<Self> {
        [Self::midlands(), Self::nordeste()]
            .into_iter()
            .find(|plan| plan.name == name)
    }

    /// Returns the accelerators of all data centres.
    pub fn accelerators(&self) -> u32 {
        let workers: usize = self.centres.iter().map(|(_, workers)| workers).sum();
        workers as u32 * self.capacity.accelerators
    }

    fn new(name: &'static str, centres: [&str; 3], accounts: [&str; 4], cores: u32, memory_gib: u64) -> Self {
        let centres = centres.map(|centre| known(CentreName::try_from(centre)));
        let cell = |centre: usize, cell: u32, count: u32| CellGuarantee {
            data_centre: centres[centre].clone(),
            cell: known(CellLevel::try_from(cell)),
            count,
        };
        // 144 of the 400 accelerators are guaranteed, most of them to the two large accounts.
        let guarantees = [
            vec![cell(0, 64, 1)],
            vec![cell(1, 32, 1), cell(2, 32, 1)],
            vec![cell(0, 8, 2)],
            vec![],
        ];
        let accounts = accounts.into_iter().zip([4, 3, 2, 1]).zip(guarantees);
        Self {
            name,
            capacity: WorkerCapacity {
                accelerators: 8,
                cores,
                memory_mib: memory_gib * 1024,
            },
            accounts: accounts
                .map(|((name, weight), guarantees)| AccountPlan {
                    name: known(AccountName::try_from(name)),
                    weight,
                    guarantees,
                })
                .collect(),
            centres: centres.into_iter().zip([17, 17, 16]).collect(),
        }
    }

    /// Returns the workers of a data centre with their racks.
    pub(crate) fn workers(&self, centre: usize) -> Vec<(WorkerName, RackName)> {
        let (name, count) = &self.centres[centre];
        let worker = |index: usize| {
            let (rack, place) = (index / RACK_PLACES, index % RACK_PLACES);
            let rack_name = format!("{name}-r{rack}");
            let worker = WorkerName::try_from(format!("{rack_name}-w{place}"));
            (known(worker), known(RackName::try_from(rack_name)))
        };
        (0..*count).map(worker).collect()
    }

    /// Returns the guarantees of an account, with those of `out` moved to the other data centres.
    pub(crate) fn guarantees(&self, account: usize, out: Option<usize>) -> Vec<CellGuarantee> {
        let mut guarantees = Vec::new();
        for guarantee in &self.accounts[account].guarantees {
            match out {
                Some(out) if self.centres[out].0 == guarantee.data_centre => {
                    guarantees.extend(self.displaced(guarantee, out));
                }
                _ => guarantees.push(guarantee.clone()),
            }
        }
        guarantees
    }

    /// Splits a guarantee of the data centre that is out evenly over the others.
    fn displaced(&self, guarantee: &CellGuarantee, out: usize) -> Vec<CellGuarantee> {
        let others: Vec<usize> = (0..self.centres.len()).filter(|centre| *centre != out).collect();
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        for (_, centre) in (0..guarantee.count).zip(others.iter().cycle()) {
            *counts.entry(*centre).or_default() += 1;
        }
        let moved = counts.into_iter().map(|(centre, count)| CellGuarantee {
            data_centre: self.centres[centre].0.clone(),
            count,
            ..guarantee.clone()
        });
        moved.collect()
    }

    /// Returns the account shares that the core of a data centre gets.
    pub(crate) fn shares(&self, centre: usize, out: Option<usize>) -> Vec<AccountPolicy> {
        let name = &self.centres[centre].0;
        let share = |(index, account): (usize, &AccountPlan)| {
            let here = |guarantee: &CellGuarantee| guarantee.data_centre == *name;
            let home: Vec<_> = account.guarantees.iter().filter(|g| here(g)).cloned().collect();
            let moved = out.filter(|out| *out != centre).into_iter();
            let displaced = moved.flat_map(|out| {
                let left = account.guarantees.iter();
                let left = left.filter(move |g| g.data_centre == self.centres[out].0);
                left.flat_map(move |g| self.displaced(g, out))
            });
            AccountPolicy {
                account: self.accounts[index].name.clone(),
                weight: account.weight,
                max_queued_jobs: u32::MAX,
                home,
                displaced: displaced.filter(here).collect(),
            }
        };
        self.accounts.iter().enumerate().map(share).collect()
    }
}

/// Unwraps a name or level that is fixed in this crate.
pub(crate) fn known<T, E>(checked: Result<T, E>) -> T
where
    E: std::fmt::Debug,
{
    checked.expect("fixed names and levels keep their rules")
}
