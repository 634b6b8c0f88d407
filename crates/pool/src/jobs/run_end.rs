//! Stops runs, and makes tasks wait again whose runs have ended.

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{PlacementStage, TaskEntry};
use crate::jobs::loss_ledger::{LossCause, unsaved_core_ms};
use crate::jobs::run_release::RunRelease;
use crate::keys::JobKey;
use crate::pool_core::PoolCore;
use crate::workers::worker_view::OrderedStop;
use crate::{EndKind, PoolOrder, StopOrder, StopReason, TaskName, WorkerKey};

impl PoolCore {
    /// Orders a stop, unless the latest order may still take effect. A repeated order keeps the reason of the first.
    pub(crate) fn order_stop(
        &mut self,
        task: TaskName,
        run: u32,
        worker: WorkerKey,
        mut reason: StopReason,
        now: ClockTime,
    ) {
        /// Time beyond the longest stop after which an order is repeated while the run is still listed, in milliseconds.
        const REPEAT_MARGIN_MS: u64 = 500;
        let repeat_ms = self.options.stop_ms + REPEAT_MARGIN_MS;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(allocation) = view.allocations.get_mut(&(task.clone(), run)) {
            let ordered = allocation.ordered_stop;
            if ordered.is_some_and(|stop| now.millis_since(stop.ordered_at) < repeat_ms) {
                return;
            }
            reason = ordered.map_or(reason, |stop| stop.reason);
            allocation.ordered_stop = Some(OrderedStop {
                ordered_at: now,
                reason,
            });
        }
        self.orders.push(PoolOrder::Stop(StopOrder {
            task,
            run,
            worker,
            reason,
        }));
    }

    /// Stops the current run of a task; its capacity stays allocated until its end is known.
    pub(crate) fn stop_task(&mut self, key: JobKey, name: &TaskName, reason: StopReason, now: ClockTime) {
        self.stop_task_for(key, name, (reason, LossCause::of_stop(reason)), now);
    }

    /// Stops the current run of a task and charges what it loses to a cause.
    pub(crate) fn stop_task_for(
        &mut self,
        key: JobKey,
        name: &TaskName,
        (reason, cause): (StopReason, LossCause),
        now: ClockTime,
    ) {
        let Some(task) = self.jobs.get_mut(key).and_then(|job| job.task_mut(name)) else {
            return;
        };
        let run = task.run;
        let Some(placement) = &mut task.placement else {
            return;
        };
        if placement.stage != PlacementStage::Stopping {
            placement.stage = PlacementStage::Stopping;
            placement.since = now;
            task.stop_cause = Some(cause);
        }
        let worker = placement.worker;
        self.order_stop(name.clone(), run, worker, reason, now);
    }

    /// Returns the job and the task with this name, if `run` on `worker` is the current run of the task.
    pub(crate) fn current_task(
        &mut self,
        name: &TaskName,
        run: u32,
        worker: WorkerKey,
    ) -> Option<(JobKey, &mut TaskEntry)> {
        let key = self.job_index.get(&name.job).copied()?;
        let task = self.jobs.get_mut(key)?.task_mut(name)?;
        let current = task.run == run && task.placement.is_some_and(|placement| placement.worker == worker);
        current.then_some((key, task))
    }

    /// Makes a task wait again after a run that ended before the task was done; stops the rest of its gang.
    ///
    /// This is the only way in which a placed task waits again; `release` says why that is safe.
    pub(crate) fn requeue_task(
        &mut self,
        name: &TaskName,
        run: u32,
        worker: WorkerKey,
        release: RunRelease,
        now: ClockTime,
    ) {
        let allocation = self
            .workers
            .get_mut(worker)
            .and_then(|view| view.allocations.remove(&(name.clone(), run)));
        let restored = allocation.is_some_and(|allocation| allocation.is_restored());
        let Some((key, task)) = self.current_task(name, run, worker) else {
            return;
        };
        let cause = task
            .stop_cause
            .take()
            .unwrap_or_else(|| LossCause::of_release(release, restored));
        let lost_task = task.clone();
        task.placement = None;
        task.progress = Default::default();
        // What failed by itself was not thrown away.
        let has_run = !matches!(
            release,
            RunRelease::NotStarted | RunRelease::Ended(EndKind::Failed)
        );
        if let Some(body) = self.jobs[key]
            .body
            .steps
            .get(name.step as usize)
            .filter(|_| has_run)
        {
            self.losses.charge(cause, unsaved_core_ms(body, &lost_task, now));
        }
        log::debug!("[run] task={name} run={run} state=waiting cause={release}");
        self.mark_changed(key);
        let step = name.step as usize;
        if self.jobs[key].body.steps.get(step).is_some_and(|step| step.gang) {
            self.stop_gang(key, name, cause, now);
        }
    }

    /// Stops the members of the gang of `member` that are still placed; `cause` is why the gang ends.
    pub(crate) fn stop_gang(&mut self, key: JobKey, member: &TaskName, cause: LossCause, now: ClockTime) {
        let Some(occurrence) = self.jobs[key].occurrences.get(&member.occurrence) else {
            return;
        };
        let tasks = occurrence.steps[member.step as usize].tasks.iter().enumerate();
        let placed: Vec<usize> = tasks
            .filter(|(_, task)| {
                task.placement
                    .is_some_and(|placement| placement.stage != PlacementStage::Stopping)
            })
            .map(|(index, _)| index)
            .collect();
        for index in placed {
            let name = self.jobs[key].task_name(member.occurrence, member.step as usize, index);
            self.stop_task_for(key, &name, (StopReason::GangBroken, cause), now);
        }
    }
}
