//! Frees capacity for units of higher rank.
//!
//! Load pattern: urgent work, or an account that reclaims its guarantee, finds the pool full. Runs that end
//! by themselves in time are waited for. Others are stopped only when callers gain more than they lose, or
//! when a guarantee requires it.

use arbutuspick_model::ClockTime;

use crate::accounts::account_share::ShareClass;
use crate::jobs::job_entry::PlacementStage;
use crate::jobs::loss_ledger::LossCause;
use crate::keys::JobKey;
use crate::placement::placement_need::PlacementNeed;
use crate::placement::unit_order::Lateness;
use crate::placement::waiting_unit::WaitingUnit;
use crate::placement::worker_choice::choose_preemption;
use crate::placement::worker_search::WorkerCandidate;
use crate::pool_core::PoolCore;
use crate::preemption::capacity_reservation::{AwaitedRun, CapacityReservation};
use crate::preemption::victim_list::{PlacedWork, PreemptionLimits, PreemptionRight, PreemptionSearch};
use crate::{StopReason, TaskName, WorkerKey};

/// Slack below which a unit may stop other runs, in milliseconds; a stop takes up to 900 ms.
const PREEMPTION_SLACK_MS: u64 = 1_600;
/// Longest wait for runs that end by themselves, in milliseconds.
const MAX_WAIT_MS: u64 = 600;
/// Steps in which the wait for runs that end by themselves varies, in milliseconds, so that units share the lists of
/// these runs.
const WAIT_STEP_MS: u64 = 100;
/// Time beyond its expected end for which an awaited run is still waited for, in milliseconds: progress is
/// reported in whole percents, and an end is listed a little later.
const AWAITED_GRACE_MS: u64 = 200;
/// Time beyond the stop bound of workers after which a stop counts as lost, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;

/// Result of the search for capacity that can be freed for a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PreemptionOutcome {
    /// The unit may free nothing, or nothing can be freed for it at its gain; found without a search.
    Excluded,
    /// A search found nothing.
    NotFound,
    /// Capacity is reserved, and all runs that occupy it end by themselves.
    Awaited,
    /// Capacity is reserved, and runs were stopped.
    Stopped,
}

impl WaitingUnit {
    /// Returns whether the unit may stop runs of lower rank: it is within a guarantee, or its start is urgent.
    pub(crate) fn may_stop_runs(&self, now: ClockTime) -> bool {
        self.rank.inside_guarantee()
            || self.rank.share != ShareClass::BeyondRate
                && self.rank.lateness != Lateness::Overdue
                && self.rank.slack_ms(now) < PREEMPTION_SLACK_MS
    }
}

impl PoolCore {
    /// Stops runs of lower rank, or waits for runs that end soon; outside a guarantee only if the unit gains
    /// at least what they lose.
    pub(crate) fn preempt_for(
        &mut self,
        unit: &WaitingUnit,
        need: &PlacementNeed,
        unplaced: usize,
        candidates: &mut [WorkerCandidate],
        placed_work: &mut PlacedWork,
        now: ClockTime,
    ) -> PreemptionOutcome {
        let urgent = unit.rank.priority == 0;
        let on_time = unit.rank.lateness == Lateness::OnTime;
        let may_stop = unit.may_stop_runs(now);
        let may_wait = urgent && on_time;
        if !may_stop && !may_wait {
            return PreemptionOutcome::Excluded;
        }
        let wait_ms = if on_time {
            unit.rank.slack_ms(now).min(MAX_WAIT_MS) / WAIT_STEP_MS * WAIT_STEP_MS
        } else {
            0
        };
        let count = if unit.gang { unit.tasks.len() } else { unplaced };
        let search = PreemptionSearch {
            need: need.clone(),
            count,
            right: PreemptionRight {
                priority: unit.rank.priority,
                inside_guarantee: unit.rank.inside_guarantee(),
                limits: PreemptionLimits { may_stop, wait_ms },
            },
            gain: unit.gain(),
        };
        if placed_work.has_failed(&search) {
            return PreemptionOutcome::Excluded;
        }
        let counts = self.step_counts(unit);
        let shunned = self.shunned_workers(unit, need, candidates, now);
        let list = placed_work.victims(search.right);
        if !list
            .index
            .may_free(candidates, &need.task, count, |candidate| need.accepts(candidate))
        {
            placed_work.record_failed(search);
            return PreemptionOutcome::Excluded;
        }
        let plan = choose_preemption(
            need,
            search.right,
            count,
            candidates,
            &list.index,
            &counts,
            &shunned,
        );
        let worthwhile = plan.filter(|(plan, _)| unit.rank.inside_guarantee() || plan.cost <= unit.gain());
        let Some((plan, remote)) = worthwhile else {
            // Where the step runs already and where it failed decides only for this unit.
            if counts.is_empty() && shunned.is_empty() {
                placed_work.record_failed(search);
            }
            return PreemptionOutcome::NotFound;
        };
        let victims = &list.index.victims;
        let (awaited, stopped): (Vec<usize>, Vec<usize>) =
            plan.victims.iter().partition(|group| victims[**group].ends_soon);
        log::info!(
            "[preempt] job={} step={} tasks={unplaced} stopped={} awaited={} wait_ms={wait_ms} loss={} gain={} inside_guarantee={} workers={}",
            self.jobs[unit.key].id,
            unit.step,
            stopped.len(),
            awaited.len(),
            plan.cost,
            unit.gain(),
            unit.rank.inside_guarantee(),
            self.worker_ids(plan.candidates.iter().map(|index| candidates[*index].worker)),
        );
        let cause = if unit.rank.inside_guarantee() {
            LossCause::Reclaim
        } else {
            LossCause::Preemption
        };
        for group in &stopped {
            for (key, name) in list.task_names(self, *group) {
                if let Some(task) = self.jobs.get_mut(key).and_then(|job| job.task_mut(&name)) {
                    task.preemptions += 1;
                }
                self.stop_task_for(key, &name, (StopReason::Preempted, cause), now);
            }
        }
        for index in &plan.candidates {
            candidates[*index].free -= unit.need.amount;
        }
        let awaited = awaited.iter().flat_map(|group| list.task_names(self, *group));
        let awaited = awaited
            .filter_map(|(job, task)| self.awaited_run(job, &task))
            .collect();
        self.reservations.push(CapacityReservation {
            awaited,
            awaited_until: now + wait_ms + AWAITED_GRACE_MS,
            job: unit.key,
            occurrence: unit.occurrence,
            step: unit.step,
            workers: plan
                .candidates
                .iter()
                .map(|index| candidates[*index].worker)
                .collect(),
            remote,
            expires_at: now + self.stop_bound_ms().max(wait_ms + AWAITED_GRACE_MS),
        });
        if stopped.is_empty() {
            PreemptionOutcome::Awaited
        } else {
            PreemptionOutcome::Stopped
        }
    }

    pub(crate) fn worker_ids<I>(&self, workers: I) -> String
    where
        I: Iterator<Item = WorkerKey>,
    {
        let views = workers.filter_map(|key| self.workers.get(key));
        let ids: Vec<&str> = views.map(|view| view.report.id.as_ref()).collect();
        ids.join(",")
    }

    /// Returns the current run of a task, unless it is being stopped.
    fn awaited_run(&self, job: JobKey, task: &TaskName) -> Option<AwaitedRun> {
        let occurrence = self.jobs.get(job)?.occurrences.get(&task.occurrence)?;
        let state = &occurrence.steps[task.step as usize].tasks[task.index as usize];
        let running = state.placement?.stage != PlacementStage::Stopping;
        running.then(|| AwaitedRun {
            job,
            task: task.clone(),
            run: state.run,
        })
    }

    /// Returns the time within which a stop takes effect unless it was lost, in milliseconds.
    pub(crate) fn stop_bound_ms(&self) -> u64 {
        self.options.stop_ms + STOP_MARGIN_MS
    }
}
