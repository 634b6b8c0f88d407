//! Tells operators why units wait.

use std::collections::BTreeMap;
use std::fmt;

use crate::placement::waiting_unit::WaitingUnit;
use crate::pool_core::PoolCore;

/// Maximum number of jobs named in a log line.
const MAX_LOGGED_JOBS: usize = 8;

/// Why tasks that are ready to start wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// No known worker of the service has the required label.
    NoWorker,
    /// Too large for every known worker with the label; a gang also for all of them together.
    TooLarge,
    /// The workers that could run the tasks are in use, or take no new work.
    NoCapacity,
    /// Free capacity is left to gangs of higher rank.
    BehindOthers,
    /// Its client account runs as much as its cap allows.
    AccountCap,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::NoWorker,
        Self::TooLarge,
        Self::NoCapacity,
        Self::BehindOthers,
        Self::AccountCap,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::TooLarge => "too_large",
            Self::NoCapacity => "no_capacity",
            Self::BehindOthers => "behind_others",
            Self::AccountCap => "account_cap",
        }
    }

    /// Returns whether free workers do not help: the tasks wait until others join the pool, or for their account.
    fn is_logged(self) -> bool {
        matches!(self, Self::NoWorker | Self::TooLarge | Self::AccountCap)
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Jobs whose reason changed in one decision.
#[derive(Debug, Default)]
struct ReasonChange {
    units: usize,
    jobs: Vec<String>,
}

impl PoolCore {
    /// Returns the number of waiting units for each reason, as of the latest decision.
    pub fn wait_counts(&self) -> &BTreeMap<WaitReason, usize> {
        &self.wait_counts
    }

    /// Stores why units wait; logs units that begin or cease to wait for other workers or for the cap
    /// of their account, in one line for each reason.
    pub(crate) fn record_wait_reasons(&mut self, waiting: &[(&WaitingUnit, WaitReason)]) {
        self.wait_counts.clear();
        let mut changes: BTreeMap<WaitReason, ReasonChange> = BTreeMap::new();
        for (unit, reason) in waiting {
            *self.wait_counts.entry(*reason).or_default() += 1;
            let Some(job) = self.jobs.get_mut(unit.key) else {
                continue;
            };
            let Some(occurrence) = job.occurrences.get_mut(&unit.occurrence) else {
                continue;
            };
            let previous = occurrence.steps[unit.step].wait_reason.replace(*reason);
            let was_logged = previous.is_some_and(WaitReason::is_logged);
            if previous == Some(*reason) || !(reason.is_logged() || was_logged) {
                continue;
            }
            let change = changes.entry(*reason).or_default();
            change.units += 1;
            if change.jobs.len() < MAX_LOGGED_JOBS {
                change.jobs.push(job.id.to_string());
            }
        }
        for (reason, change) in changes {
            log::info!(
                "[wait] reason={reason} units={} jobs={}",
                change.units,
                change.jobs.join(",")
            );
        }
    }
}
