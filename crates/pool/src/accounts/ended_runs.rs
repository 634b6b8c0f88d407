//! Runs that outlive their jobs, across a change of the leader.
//!
//! A job that ends leaves the scheduler at once, but its runs occupy their workers until they have stopped, and on a
//! worker that cannot be reached until its lease expires. The final record of a job names them where accounts have
//! caps, so that the next leader counts them before it has listed their workers.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use prost::Message;

use crate::jobs::job_entry::JobEntry;
use crate::pool_core::PoolCore;
use crate::workers::worker_view::RunAllocation;
use crate::{AccountRule, JobRecord, RemainingRun, ResourceAmount, TaskName, WorkerKey, WorkerRuns};

/// Time beyond the length of a lease after which a run of an ended job has ended or is listed, in milliseconds.
const ENDED_MARGIN_MS: u64 = 4_000;
/// Maximum size of the runs in a final record, in bytes; the record has to fit a row of the store.
const MAX_REMAINING_BYTES: usize = 32_000;

impl PoolCore {
    /// Returns the runs of a job that are on workers, by worker, if any account is capped.
    pub(crate) fn remaining_runs(&self, job: &JobEntry) -> Vec<WorkerRuns> {
        // An account without a cap may get one before the runs have ended.
        if !self.policy.accounts.values().any(AccountRule::is_capped) {
            return Vec::new();
        }
        let mut by_worker: BTreeMap<WorkerKey, Vec<RemainingRun>> = BTreeMap::new();
        for (number, occurrence) in &job.occurrences {
            for (step, entry) in occurrence.steps.iter().enumerate() {
                let amount = job.body.steps[step].amount();
                for (index, task) in entry.tasks.iter().enumerate() {
                    let Some(placement) = task.placement else { continue };
                    let name = job.task_name(*number, step, index);
                    let run = RemainingRun::new(&name, task.run, &amount);
                    by_worker.entry(placement.worker).or_default().push(run);
                }
            }
        }
        let mut bytes = 0;
        let mut remaining = Vec::with_capacity(by_worker.len());
        for (worker, runs) in by_worker {
            let Some(view) = self.workers.get(worker) else {
                continue;
            };
            let runs = WorkerRuns {
                worker: view.report.id.to_string(),
                worker_started_at_ms: view.report.started_at_ms,
                runs,
            };
            bytes += runs.encoded_len();
            if bytes > MAX_REMAINING_BYTES {
                log::warn!(
                    "[account] job={} account={} cause=too many runs for the final record, the next leader counts only {} workers of them",
                    job.id,
                    job.account,
                    remaining.len()
                );
                break;
            }
            remaining.push(runs);
        }
        remaining
    }

    /// Adds a job that an earlier leader ended. Its runs may go on until their workers are listed or `lease_expiry`, unless it
    /// ended so long ago that no lease which it left behind is still valid.
    ///
    /// Workers must be added first.
    pub fn restore_ended_job(
        &mut self,
        id: &Arc<str>,
        record: &JobRecord,
        now: ClockTime,
        wall: PlatformTime,
        lease_expiry: ClockTime,
    ) {
        let account: Arc<str> = record.account.as_str().into();
        self.track_final_record(id, &account, now);
        let ended_ms = wall.millis_since(PlatformTime(record.ended_at_ms));
        if ended_ms > self.options.lease_ms + ENDED_MARGIN_MS {
            return;
        }
        for runs in &record.remaining {
            let worker = self.restored_worker(&runs.worker, runs.worker_started_at_ms, now);
            let view = &mut self.workers[worker];
            view.lease_expiry = view.lease_expiry.max(lease_expiry);
            for run in &runs.runs {
                let allocation = RunAllocation {
                    amount: run.amount(),
                    account: Some(account.clone()),
                    // Any listing without the run shows that the run has ended.
                    expected_since: Some(ClockTime(0)),
                    ordered_stop: None,
                    listed: false,
                    unexpected_since: None,
                };
                view.allocations.insert((run.task_name(id), run.run), allocation);
            }
        }
    }
}

impl RemainingRun {
    fn new(name: &TaskName, run: u32, amount: &ResourceAmount) -> Self {
        let part = |value: i64| u64::try_from(value).unwrap_or(0);
        Self {
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
            run,
            millicores: part(amount.millicores),
            memory_mb: part(amount.memory_mb),
            accelerators: part(amount.accelerators),
        }
    }

    fn task_name(&self, job: &Arc<str>) -> TaskName {
        TaskName {
            job: job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        }
    }

    fn amount(&self) -> ResourceAmount {
        let part = |value: u64| i64::try_from(value).unwrap_or(i64::MAX / 4);
        ResourceAmount {
            millicores: part(self.millicores),
            memory_mb: part(self.memory_mb),
            accelerators: part(self.accelerators),
        }
    }
}
