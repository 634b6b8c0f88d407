//! Restores the placements that an earlier scheduler recorded.

use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::job_entry::{PlacementStage, TaskPlacement};
use crate::pool_core::{JobKey, PoolCore};
use crate::worker_view::{RunAllocation, WorkerView};
use crate::{TaskRecord, WorkerKey, WorkerReport};

impl PoolCore {
    /// Restores the recorded runs of an occurrence, which may still be present on their workers.
    pub(crate) fn restore_placements(
        &mut self,
        key: JobKey,
        number: u32,
        tasks: &[TaskRecord],
        now: ClockTime,
        lease_expiry: ClockTime,
    ) {
        let mut records = tasks.iter();
        let steps: Vec<usize> = self.jobs[key]
            .body
            .steps
            .iter()
            .map(|step| step.count as usize)
            .collect();
        for (step, count) in steps.into_iter().enumerate() {
            for index in 0..count {
                let Some(record) = records.next() else { return };
                if record.worker.is_empty() || record.done {
                    continue;
                }
                let id: Arc<str> = record.worker.as_str().into();
                let known = self.worker_index.get(&id).copied();
                // A worker may have restarted before the recorded start reached it, so a listing decides in any
                // case whether the run is present.
                let worker =
                    known.unwrap_or_else(|| self.add_unknown_worker(&id, record.worker_started_at_ms, now));
                let amount = self.jobs[key].body.steps[step].amount();
                let name = self.jobs[key].task_name(number, step, index);
                let view = &mut self.workers[worker];
                view.lease_expiry = view.lease_expiry.max(lease_expiry);
                view.allocations.insert(
                    (name.clone(), record.run),
                    RunAllocation {
                        amount,
                        // Any listing without the run shows that the run has ended.
                        expected_since: Some(ClockTime(0)),
                        stop_ordered_at: None,
                        listed: false,
                    },
                );
                if let Some(task) = self.jobs[key].task_mut(&name) {
                    task.placement = Some(TaskPlacement {
                        worker,
                        stage: PlacementStage::Starting,
                        since: now,
                        remote: false,
                    });
                    task.progress.is_start_unknown = true;
                }
            }
        }
    }

    /// Adds the incarnation of a recorded run that the worker registry does not contain; it is kept until its
    /// lease has expired.
    fn add_unknown_worker(&mut self, id: &Arc<str>, started_at_ms: u64, now: ClockTime) -> WorkerKey {
        let report = WorkerReport {
            id: id.clone(),
            started_at_ms,
            heartbeat: 0,
            address: "".into(),
            service: "".into(),
            centre: "".into(),
            labels: Vec::new(),
            capacity: Default::default(),
            leaves_at: None,
        };
        let mut view = WorkerView::new(report, Arc::default(), None, now);
        view.removed = true;
        let key = self.workers.insert(view);
        self.worker_index.insert(id.clone(), key);
        key
    }
}
