use std::collections::BTreeMap;

use arbutuspick_model::{AccountName, CellLevel, CentreState, JobSpec};
use serde::{Deserialize, Serialize};

use crate::centre_phase::PhaseState;
use crate::gang_queue::{AccountQueue, ShapeKey};
use crate::{CellCounts, PlacementCore};

/// Summary figures of one data centre, for other data centres and for operators.
///
/// ```
/// use arbutuspick_sched::{PlacementCore, PlacementOptions};
/// let summary = PlacementCore::new(PlacementOptions::default()).summary();
/// assert_eq!(summary.free_accelerators, 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlacementSummary {
    /// State of the data centre.
    pub state: CentreState,
    /// Maximal free cells by level, including reserved cells but not those claimed by guaranteed jobs.
    pub free: CellCounts,
    /// Maximal cells of the workers that may take jobs, by level, whether free or not.
    pub usable: CellCounts,
    /// Free accelerators of workers that may take jobs.
    pub free_accelerators: u32,
    /// Accelerators allocated to borrowed jobs.
    pub borrowed_accelerators: u32,
    /// Accelerators allocated to guaranteed jobs.
    pub guaranteed_accelerators: u32,
    /// Free accelerators lost to fragmentation: in cells that are smaller than every queued shape and every
    /// unbound guarantee.
    pub unusable_accelerators: u32,
    /// Number of queued jobs.
    pub queued_jobs: u32,
    /// Summaries by account.
    pub accounts: BTreeMap<AccountName, AccountSummary>,
}

impl PlacementSummary {
    /// Adds a job that was assigned to the data centre after the summary was made to the queued jobs, and
    /// removes its cells from the free and the unused guaranteed cells.
    ///
    /// Without this, all jobs of a burst go to the data centre that ranked first before the burst.
    pub fn charge(&mut self, spec: &JobSpec) {
        self.queued_jobs += 1;
        let account = self.accounts.entry(spec.account.clone()).or_default();
        account.queued_jobs += 1;
        let Some(level) = CellLevel::covering(spec.shape.accelerators.max(1)) else {
            return;
        };
        for _ in 0..spec.shape.tasks {
            account.unused_cells.take(level);
            if !self.free.take(level) {
                return;
            }
        }
    }
}

/// Queue and guarantees of one account in a data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AccountSummary {
    /// Number of queued jobs.
    pub queued_jobs: u32,
    /// Unbound guaranteed cells by level.
    pub unused_cells: CellCounts,
}

/// Guaranteed cells of one level that the workers that are up cannot provide.
///
/// ```
/// use arbutuspick_sched::{PlacementCore, PlacementOptions};
/// assert!(PlacementCore::new(PlacementOptions::default()).shortfalls().is_empty());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuaranteeShortfall {
    /// Size of the cells.
    pub cell: CellLevel,
    /// Number of missing cells.
    pub cells: u32,
    /// Whether the guarantee is configured for this data centre; otherwise for one that is leaving or out of
    /// service.
    pub home: bool,
}

impl PlacementCore {
    /// Returns the summary figures.
    pub fn summary(&self) -> PlacementSummary {
        let free = self.pool.free_counts();
        let usages = self.usages.values();
        let (borrowed, guaranteed) = usages.fold((0, 0), |(borrowed, guaranteed), usage| {
            (borrowed + usage.borrowed, guaranteed + usage.guaranteed)
        });
        PlacementSummary {
            state: self.centre_state(),
            free,
            usable: self.pool.up.counts(),
            free_accelerators: free.accelerators(),
            borrowed_accelerators: borrowed,
            guaranteed_accelerators: guaranteed,
            unusable_accelerators: self.unusable_accelerators(free),
            queued_jobs: self.queue.queued_counts.values().sum(),
            accounts: self.account_summaries(),
        }
    }

    /// Returns the guaranteed cells that the workers that are up cannot provide.
    pub fn shortfalls(&self) -> Vec<GuaranteeShortfall> {
        let (home, displaced) = self.ledger.shortfalls(&self.pool);
        let mut shortfalls = Vec::new();
        for (counts, home) in [(home, true), (displaced, false)] {
            for cell in CellLevel::ALL.into_iter().filter(|cell| counts[*cell] > 0) {
                let cells = counts[cell];
                shortfalls.push(GuaranteeShortfall { cell, cells, home });
            }
        }
        shortfalls
    }

    pub(crate) fn centre_state(&self) -> CentreState {
        match self.phase.state() {
            PhaseState::InService { .. } => CentreState::In,
            PhaseState::Leaving { .. } => CentreState::Leaving,
            PhaseState::OutOfService { .. } => CentreState::Out,
            PhaseState::Returning { .. } => CentreState::Returning,
        }
    }

    fn account_summaries(&self) -> BTreeMap<AccountName, AccountSummary> {
        let mut summaries: BTreeMap<AccountName, AccountSummary> = BTreeMap::new();
        for (account, length) in &self.queue.queued_counts {
            summaries.entry(account.clone()).or_default().queued_jobs = *length;
        }
        for (account, guarantee) in &self.ledger.accounts {
            summaries.entry(account.clone()).or_default().unused_cells = guarantee.unbound_counts();
        }
        summaries
    }

    fn unusable_accelerators(&self, free: CellCounts) -> u32 {
        let queued = self.queue.accounts.values().flat_map(AccountQueue::shapes);
        let queued = queued.filter_map(ShapeKey::smallest_cell);
        let guaranteed = self.ledger.accounts.values().filter_map(|guarantee| {
            let counts = guarantee.unbound_counts();
            CellLevel::ALL.into_iter().find(|level| counts[*level] > 0)
        });
        let Some(smallest) = queued.chain(guaranteed).min() else {
            return 0;
        };
        CellLevel::ALL
            .into_iter()
            .filter(|level| *level < smallest)
            .map(|level| free[level] * level.accelerators())
            .sum()
    }
}
