//! Tells operators why units wait.

use std::collections::BTreeMap;
use std::fmt;

use arbutuspick_model::ClockTime;

use crate::keys::JobKey;
use crate::placement::waiting_unit::WaitingUnit;
use crate::pool_core::PoolCore;

/// Maximum number of jobs named in a log line, and of units named in a decision.
const MAX_LOGGED_JOBS: usize = 8;
/// Wait from which on the reason is logged for each unit, in milliseconds; callers are promised a start within it if
/// there is capacity.
const LONG_WAIT_MS: u64 = 3_000;

/// Why tasks that are ready to start wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// No known worker of the service has the required label.
    NoWorker,
    /// Too large for every known worker with the label; a gang also for all of them together, with its spread limit.
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
    pub(crate) fn record_wait_reasons(
        &mut self,
        waiting: &[(&WaitingUnit, WaitReason)],
        first_gang: Option<JobKey>,
        now: ClockTime,
    ) {
        self.log_long_waits(waiting, first_gang, now);
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

    /// Logs once for each unit why it has waited for long, and the first gang to which capacity is left meanwhile.
    fn log_long_waits(
        &mut self,
        waiting: &[(&WaitingUnit, WaitReason)],
        first_gang: Option<JobKey>,
        now: ClockTime,
    ) {
        let mut logged = 0;
        for (unit, reason) in waiting.iter().filter(|(unit, _)| unit.waited_ms > LONG_WAIT_MS) {
            if logged == MAX_LOGGED_JOBS {
                return;
            }
            let Some(job) = self.jobs.get_mut(unit.key) else {
                continue;
            };
            let Some(occurrence) = job.occurrences.get_mut(&unit.occurrence) else {
                continue;
            };
            if std::mem::replace(&mut occurrence.steps[unit.step].long_wait_logged, true) {
                continue;
            }
            logged += 1;
            let gang = first_gang.filter(|_| *reason == WaitReason::BehindOthers);
            let gang = gang.and_then(|key| self.jobs.get(key));
            let steps = gang.iter().flat_map(|job| job.occurrences.values());
            let claims = steps.flat_map(|occurrence| &occurrence.steps);
            let left_ms = claims.filter_map(|step| step.claim).map(|claim| claim.expires_at);
            log::info!(
                "[wait] job={} step={} tasks={} waited_ms={} reason={reason} behind={} for_ms={}",
                self.jobs[unit.key].id,
                unit.step,
                unit.tasks.len(),
                unit.waited_ms,
                gang.map_or("-", |job| job.id.as_ref()),
                left_ms.max().map_or(0, |until| until.millis_since(now)),
            );
        }
    }
}
