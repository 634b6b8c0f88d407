//! Tells which steps the known workers could run if they were empty.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ResourceAmount;
use crate::jobs::job_entry::JobEntry;
use crate::placement::waiting_unit::{PlaceNeed, task_need};
use crate::placement::worker_search::TaskNeed;
use crate::pool_core::PoolCore;
use crate::workers::label_index::LabelId;

/// Whether the known workers could run a step if they were empty.
///
/// It may change with every worker that comes or goes, so it is no reason to reject a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepFit {
    Fits,
    /// No worker of the service has the required label.
    NoWorker,
    /// No worker that has the label is large enough, or a gang is wider than all of them together, with its spread limit.
    TooLarge,
}

/// Workers that differ in nothing that decides whether a task may run on them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WorkerKind {
    service: Arc<str>,
    labels: Arc<[LabelId]>,
    capacity: ResourceAmount,
}

/// The known workers by kind.
#[derive(Debug, Default)]
pub(crate) struct WorkerKinds {
    /// Number of the latest change of the workers.
    version: u64,
    /// Whether `counts` is out of date.
    changed: bool,
    counts: HashMap<WorkerKind, usize>,
}

impl WorkerKinds {
    /// Records that a worker was added, removed or changed, or that a queue uses another service.
    pub(crate) fn invalidate(&mut self) {
        self.version += 1;
        self.changed = true;
    }

    /// Returns whether the workers could hold `count` tasks together.
    fn fit(&self, need: &TaskNeed, count: usize) -> StepFit {
        let mut fit = StepFit::NoWorker;
        let mut fitting = 0;
        for (kind, workers) in &self.counts {
            if !need.is_served_by(&kind.service, &kind.labels) {
                continue;
            }
            fit = StepFit::TooLarge;
            fitting += need.count_on(&kind.capacity, count) * workers;
            if fitting >= count {
                return StepFit::Fits;
            }
        }
        fit
    }
}

impl JobEntry {
    /// Returns whether the known workers could run any step of the job.
    pub(crate) fn fits_anywhere(&self) -> bool {
        self.step_fits.contains(&StepFit::Fits)
    }

    /// Returns whether a step takes part of a guarantee: a known worker could run it, or it has runs already.
    pub(crate) fn uses_guarantee(&self, step: usize) -> bool {
        let fits = self.step_fits.get(step) == Some(&StepFit::Fits);
        let has_runs = || {
            let steps = self
                .occurrences
                .values()
                .map(|occurrence| &occurrence.steps[step]);
            steps
                .flat_map(|step| &step.tasks)
                .any(|task| task.placement.is_some())
        };
        fits || has_runs()
    }
}

impl PoolCore {
    /// Brings the fits of all steps up to date with the known workers.
    pub(crate) fn update_step_fits(&mut self) {
        if std::mem::take(&mut self.worker_kinds.changed) {
            let mut counts: HashMap<WorkerKind, usize> = HashMap::new();
            for view in self.workers.values().filter(|view| !view.removed) {
                let kind = WorkerKind {
                    service: view.report.service.clone(),
                    labels: view.labels.clone(),
                    capacity: view.report.capacity,
                };
                *counts.entry(kind).or_default() += 1;
            }
            self.worker_kinds.counts = counts;
        }
        let kinds = &self.worker_kinds;
        for job in self.jobs.values_mut() {
            if job.fits_version == Some(kinds.version) {
                continue;
            }
            let fits = job.body.steps.iter().map(|step| {
                let place = PlaceNeed::of_step(step, &self.racks, &self.labels);
                let together = if step.gang { step.count as usize } else { 1 };
                kinds.fit(&task_need(&job.rule, step, place), together)
            });
            job.step_fits = fits.collect();
            job.fits_version = Some(kinds.version);
        }
    }
}
