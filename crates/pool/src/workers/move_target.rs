//! Finds how fast the workers are to which a run or a gang could be moved.
//!
//! Load pattern: most fast workers are taken, so a gang that leaves a slow worker may only find another one.

use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::StepEntry;
use crate::keys::RackId;
use crate::placement::worker_search::{StepCounts, TaskNeed};
use crate::pool_core::PoolCore;
use crate::workers::label_index::LabelId;
use crate::{ResourceAmount, StepBody, WorkerKey};

/// A worker with free capacity.
#[derive(Debug)]
struct FreeWorker {
    worker: WorkerKey,
    log_speed: f64,
    free: ResourceAmount,
    rack: Option<RackId>,
    service: Arc<str>,
    labels: Arc<[LabelId]>,
}

/// The workers that take work, the fastest first.
#[derive(Debug)]
pub(crate) struct FreeWorkers {
    workers: Vec<FreeWorker>,
}

/// What a unit needs elsewhere, and the places that it has now; a gang may take these again.
#[derive(Debug)]
pub(crate) struct TargetNeed {
    task: TaskNeed,
    /// Tasks of the step on each worker; empty for a gang, whose runs all end with the move.
    counts: StepCounts,
    /// Speeds and racks of the workers on which the members of the gang run; empty for a single task.
    own: Vec<(f64, Option<RackId>)>,
    count: usize,
}

impl TargetNeed {
    /// Returns what a single task, or the whole gang of a step, needs.
    pub(crate) fn of_step<F>(task: TaskNeed, step: &StepEntry, body: &StepBody, worker_of: F) -> Self
    where
        F: Fn(WorkerKey) -> Option<(f64, Option<RackId>)>,
    {
        let placements = step.tasks.iter().filter_map(|task| task.placement);
        let mut counts = StepCounts::new();
        if !body.gang {
            for placement in placements {
                *counts.entry(placement.worker).or_default() += 1;
            }
            return Self {
                task,
                counts,
                own: Vec::new(),
                count: 1,
            };
        }
        Self {
            task,
            counts,
            own: placements
                .filter_map(|placement| worker_of(placement.worker))
                .collect(),
            count: step.tasks.len(),
        }
    }

    /// Returns how many tasks of the unit the worker has room for.
    fn count_on(&self, worker: &FreeWorker) -> usize {
        let limit = self.task.spread_limit.unwrap_or(self.count);
        let present = self.counts.get(&worker.worker).copied().unwrap_or(0);
        if !self.task.is_served_by(&worker.service, &worker.labels) || present >= limit {
            return 0;
        }
        self.task.count_on(&worker.free, self.count)
    }
}

impl FreeWorkers {
    /// Returns the logarithm of the speed that all tasks of the unit can have elsewhere than on `left`; `None` if
    /// they don't all fit.
    pub(crate) fn log_speed_for(&self, need: &TargetNeed, body: &StepBody, left: WorkerKey) -> Option<f64> {
        if !(body.gang && body.same_rack) {
            return self.log_speed_where(need, left, |_| true);
        }
        let mut racks: Vec<Option<RackId>> = self.workers.iter().map(|worker| worker.rack).collect();
        racks.sort_unstable();
        racks.dedup();
        let speeds = racks
            .into_iter()
            .filter_map(|rack| self.log_speed_where(need, left, |other| other == rack));
        speeds.max_by(f64::total_cmp)
    }

    fn log_speed_where<F>(&self, need: &TargetNeed, left: WorkerKey, is_allowed: F) -> Option<f64>
    where
        F: Fn(Option<RackId>) -> bool,
    {
        let own = need.own.iter().filter(|(_, rack)| is_allowed(*rack));
        let mut speeds: Vec<f64> = own.map(|(log_speed, _)| *log_speed).collect();
        speeds.sort_unstable_by(|a, b| b.total_cmp(a));
        let mut found = 0;
        let others = self.workers.iter().filter(|worker| worker.worker != left);
        for worker in others.filter(|worker| is_allowed(worker.rack)) {
            found += need.count_on(worker);
            let kept = speeds
                .iter()
                .take_while(|speed| **speed >= worker.log_speed)
                .count();
            if found + kept >= need.count {
                return Some(worker.log_speed);
            }
        }
        None
    }
}

impl PoolCore {
    /// Returns the workers that take new work, with what is free on them.
    pub(crate) fn free_workers(&self, now: ClockTime) -> FreeWorkers {
        let usable = self.workers.iter().filter(|(_, view)| {
            let is_open = !self.closed_centres.contains(&view.report.centre);
            is_open && view.is_schedulable(now) && !view.health.is_slow(now)
        });
        let mut workers: Vec<FreeWorker> = usable
            .map(|(worker, view)| FreeWorker {
                worker,
                log_speed: view.speed.log_speed(),
                free: view.free(),
                rack: view.rack,
                service: view.report.service.clone(),
                labels: view.labels.clone(),
            })
            .collect();
        workers.retain(|worker| worker.free != ResourceAmount::default());
        workers.sort_unstable_by(|a, b| b.log_speed.total_cmp(&a.log_speed));
        FreeWorkers { workers }
    }
}
