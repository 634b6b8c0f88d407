use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{AccountName, AttemptNumber, CellLevel, GangAdjacency, JobClass, JobSpec};

use crate::job_entry::{ArrivalRank, JobEntry, JobKey};

/// The properties of a job that decide whether it can be placed, apart from its reservation.
///
/// Of the jobs with an equal key, all fit or none does, except that a job with a reservation does not start
/// as backfill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShapeKey {
    tasks: u32,
    accelerators: u32,
    cores: u32,
    memory_mib: u64,
    adjacency: GangAdjacency,
    pub(crate) checkpointable: bool,
}

impl ShapeKey {
    pub(crate) fn new(spec: &JobSpec) -> Self {
        let shape = spec.shape;
        Self {
            tasks: shape.tasks,
            accelerators: shape.accelerators,
            cores: shape.cores,
            memory_mib: shape.memory_mib,
            adjacency: shape.adjacency,
            checkpointable: spec.checkpointable,
        }
    }
}

impl ShapeKey {
    /// Returns the smallest cell that the gang needs, or `None` for CPU-only jobs.
    pub(crate) fn smallest_cell(&self) -> Option<CellLevel> {
        let task = CellLevel::covering(self.accelerators.next_power_of_two())?;
        match self.adjacency {
            _ if self.accelerators == 0 => None,
            GangAdjacency::Task => Some(task),
            GangAdjacency::Worker | GangAdjacency::Rack => {
                CellLevel::covering(task.accelerators() * self.tasks).or(Some(CellLevel::Rack))
            }
        }
    }
}

/// Key of the jobs of an account that have the same class and shape.
pub(crate) type GroupKey = (JobClass, ShapeKey);

/// Queued jobs of one account.
#[derive(Debug, Default)]
pub(crate) struct AccountQueue {
    groups: BTreeMap<GroupKey, BTreeMap<ArrivalRank, JobKey>>,
}

impl AccountQueue {
    /// Returns the first job of the group.
    pub(crate) fn head(&self, group: &GroupKey) -> Option<(ArrivalRank, JobKey)> {
        let (rank, job) = self.groups.get(group)?.first_key_value()?;
        Some((*rank, *job))
    }

    /// Returns the keys of all groups.
    pub(crate) fn groups(&self) -> impl Iterator<Item = &GroupKey> {
        self.groups.keys()
    }

    /// Returns the shapes of the queued jobs.
    pub(crate) fn shapes(&self) -> impl Iterator<Item = &ShapeKey> {
        self.groups.keys().map(|(_, shape)| shape)
    }
}

/// Queued jobs by account and by arrival.
#[derive(Debug, Default)]
pub(crate) struct GangQueue {
    pub(crate) accounts: BTreeMap<AccountName, AccountQueue>,
    /// Jobs that may be placed; claiming and delayed jobs are not among them.
    pub(crate) arrivals: BTreeMap<ArrivalRank, JobKey>,
    /// Jobs with a reservation; they are in `arrivals` too.
    pub(crate) reserved: BTreeMap<ArrivalRank, JobKey>,
    /// Guaranteed jobs that wait for borrowers to leave their cells.
    pub(crate) claiming: BTreeMap<ArrivalRank, JobKey>,
    /// Jobs whose shape is not yet known to fit on the known workers.
    pub(crate) unchecked: BTreeSet<JobKey>,
    /// Jobs whose last attempt failed, by retry time and identifier; they count as queued but cannot be
    /// placed.
    pub(crate) delayed: BTreeMap<ArrivalRank, JobKey>,
    /// Number of queued, claiming and delayed jobs by account.
    pub(crate) queued_counts: BTreeMap<AccountName, u32>,
    /// Number of those jobs that never had an attempt; the quota applies to these.
    pub(crate) quota_counts: BTreeMap<AccountName, u32>,
}

impl GangQueue {
    pub(crate) fn insert(&mut self, job: &JobEntry, key: JobKey) {
        let shape = ShapeKey::new(&job.spec);
        let account = self.accounts.entry(job.spec.account.clone()).or_default();
        let group = account.groups.entry((job.spec.class, shape)).or_default();
        group.insert(job.rank(), key);
        self.arrivals.insert(job.rank(), key);
        if !job.checked {
            self.unchecked.insert(key);
        }
    }

    pub(crate) fn remove(&mut self, job: &JobEntry, key: JobKey) {
        self.arrivals.remove(&job.rank());
        self.reserved.remove(&job.rank());
        self.delayed.remove(&(job.retry_at, job.id));
        self.unchecked.remove(&key);
        let Some(account) = self.accounts.get_mut(&job.spec.account) else {
            return;
        };
        let group_key = (job.spec.class, ShapeKey::new(&job.spec));
        if let Some(group) = account.groups.get_mut(&group_key) {
            group.remove(&job.rank());
            if group.is_empty() {
                account.groups.remove(&group_key);
            }
        }
        if account.groups.is_empty() {
            self.accounts.remove(&job.spec.account);
        }
    }

    /// Adds a job to the counts by account, or removes it.
    pub(crate) fn count(&mut self, job: &JobEntry, added: bool) {
        let account = &job.spec.account;
        change_count(&mut self.queued_counts, account, added);
        if job.attempt == AttemptNumber(0) {
            change_count(&mut self.quota_counts, account, added);
        }
    }
}

fn change_count(counts: &mut BTreeMap<AccountName, u32>, account: &AccountName, added: bool) {
    let count = counts.entry(account.clone()).or_default();
    *count = if added {
        *count + 1
    } else {
        count.saturating_sub(1)
    };
    if *count == 0 {
        counts.remove(account);
    }
}
