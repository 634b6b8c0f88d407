use std::collections::BTreeMap;

use arbutuspick_model::{
    AccountName, CellGuarantee, CellLevel, CentreName, RackName, WorkerCapacity, WorkerName,
};
use arbutuspick_sched::AccountPolicy;

/// Workers of a full rack.
const WORKERS_PER_RACK: usize = 8;

/// A client account of a simulated deployment.
#[derive(Clone, Debug)]
pub(crate) struct AccountPlan {
    pub(crate) name: AccountName,
    pub(crate) weight: u32,
    pub(crate) guarantees: Vec<CellGuarantee>,
}

/// Data centres, workers and client accounts of a simulated deployment.
///
/// ```
/// use arbutuspick_bench::DeploymentPlan;
/// assert_eq!(DeploymentPlan::midlands().accelerators(), 400);
/// assert!(DeploymentPlan::by_name("atlantis").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Name on the command line.
    pub name: &'static str,
    /// Capacity of each worker.
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

    /// Returns the deployment with the name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        [Self::midlands(), Self::nordeste()]
            .into_iter()
            .find(|plan| plan.name == name)
    }

    /// Returns the number of accelerators in all data centres.
    pub fn accelerators(&self) -> u32 {
        let workers: usize = self.centres.iter().map(|(_, workers)| workers).sum();
        workers as u32 * self.capacity.accelerators
    }

    fn new(name: &'static str, centres: [&str; 3], accounts: [&str; 4], cores: u32, memory_gib: u64) -> Self {
        let centres = centres.map(|centre| expect_valid(CentreName::try_from(centre)));
        let cell = |centre: usize, cell: u32, count: u32| CellGuarantee {
            data_centre: centres[centre].clone(),
            cell: expect_valid(CellLevel::try_from(cell)),
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
                    name: expect_valid(AccountName::try_from(name)),
                    weight,
                    guarantees,
                })
                .collect(),
            centres: centres.into_iter().zip([17, 17, 16]).collect(),
        }
    }

    /// Returns the workers of a data centre, each with its rack.
    pub(crate) fn workers(&self, centre: usize) -> Vec<(WorkerName, RackName)> {
        let (name, count) = &self.centres[centre];
        let worker = |index: usize| {
            let (rack, position) = (index / WORKERS_PER_RACK, index % WORKERS_PER_RACK);
            let rack_name = format!("{name}-r{rack}");
            let worker = WorkerName::try_from(format!("{rack_name}-w{position}"));
            (expect_valid(worker), expect_valid(RackName::try_from(rack_name)))
        };
        (0..*count).map(worker).collect()
    }

    /// Returns the guarantees of an account; those in `centre_out`, which is out of service, are moved to the
    /// other data centres.
    pub(crate) fn guarantees(&self, account: usize, centre_out: Option<usize>) -> Vec<CellGuarantee> {
        let mut guarantees = Vec::new();
        for guarantee in &self.accounts[account].guarantees {
            match centre_out {
                Some(centre_out) if self.centres[centre_out].0 == guarantee.data_centre => {
                    guarantees.extend(self.displaced_guarantees(guarantee, centre_out));
                }
                _ => guarantees.push(guarantee.clone()),
            }
        }
        guarantees
    }

    /// Splits a guarantee in the data centre that is out of service evenly over the other data centres.
    fn displaced_guarantees(&self, guarantee: &CellGuarantee, centre_out: usize) -> Vec<CellGuarantee> {
        let others: Vec<usize> = (0..self.centres.len())
            .filter(|centre| *centre != centre_out)
            .collect();
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        for (_, centre) in (0..guarantee.count).zip(others.iter().cycle()) {
            *counts.entry(*centre).or_default() += 1;
        }
        let displaced = counts.into_iter().map(|(centre, count)| CellGuarantee {
            data_centre: self.centres[centre].0.clone(),
            count,
            ..guarantee.clone()
        });
        displaced.collect()
    }

    /// Returns the account policies for a data centre while `centre_out` is out of service.
    pub(crate) fn account_policies(&self, centre: usize, centre_out: Option<usize>) -> Vec<AccountPolicy> {
        let name = &self.centres[centre].0;
        let policy = |(index, account): (usize, &AccountPlan)| {
            let is_local = |guarantee: &CellGuarantee| guarantee.data_centre == *name;
            let home: Vec<_> = account
                .guarantees
                .iter()
                .filter(|guarantee| is_local(guarantee))
                .cloned()
                .collect();
            let other_centre_out = centre_out.filter(|centre_out| *centre_out != centre).into_iter();
            let displaced = other_centre_out.flat_map(|centre_out| {
                let lost = account.guarantees.iter();
                let lost = lost.filter(move |guarantee| guarantee.data_centre == self.centres[centre_out].0);
                lost.flat_map(move |guarantee| self.displaced_guarantees(guarantee, centre_out))
            });
            AccountPolicy {
                account: self.accounts[index].name.clone(),
                weight: account.weight,
                max_queued_jobs: u32::MAX,
                home,
                displaced: displaced.filter(is_local).collect(),
            }
        };
        self.accounts.iter().enumerate().map(policy).collect()
    }
}

/// Unwraps a name or cell level that is hard-coded in this crate.
pub(crate) fn expect_valid<T, E>(checked: Result<T, E>) -> T
where
    E: std::fmt::Debug,
{
    checked.expect("hard-coded names and cell levels are valid")
}
