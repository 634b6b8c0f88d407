//! Restores the progress and the placements that an earlier scheduler recorded.

use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{OccurrenceEntry, PlacementStage, TaskEntry, TaskPlacement};
use crate::keys::JobKey;
use crate::pool_core::PoolCore;
use crate::workers::worker_view::{RunAllocation, WorkerView};
use crate::{JobBody, TaskRecord, WorkerKey, WorkerReport};

/// Returns the entry of an occurrence with the recorded progress of its tasks.
pub(crate) fn restored_occurrence(
    body: &JobBody,
    records: &[TaskRecord],
    due_at: ClockTime,
) -> OccurrenceEntry {
    let mut occurrence = OccurrenceEntry::new(body, due_at);
    let mut records = records.iter();
    for (step, body) in occurrence.steps.iter_mut().zip(&body.steps) {
        let records: Vec<&TaskRecord> = records.by_ref().take(step.tasks.len()).collect();
        for (task, record) in step.tasks.iter_mut().zip(&records) {
            task.run = record.run;
            task.failures = record.failures;
            task.last_failed_run = record.last_failed_run;
            task.done = record.done;
            task.checkpoint = record.checkpoint.as_str().into();
        }
        if body.gang {
            restore_gang_failures(&mut step.tasks, &records);
            restore_gang_checkpoint(&mut step.tasks);
            // The members of a gang end as done together, so one of them stands for all.
            let is_done = !body.endless && step.tasks.iter().any(|task| task.done);
            step.tasks.iter_mut().for_each(|task| task.done |= is_done);
        }
    }
    occurrence
}

/// Makes the members of a gang agree on its failed runs; a record in several rows may be stored in part.
///
/// Records of earlier versions don't name the run that was counted last. There, a failure counts as one of the latest
/// run if a member of that run has ended: too few attempts would be final for the caller, one more is not.
fn restore_gang_failures(members: &mut [TaskEntry], records: &[&TaskRecord]) {
    let failures = members.iter().map(|member| member.failures).max().unwrap_or(0);
    let mut counted_run = members
        .iter()
        .map(|member| member.last_failed_run)
        .max()
        .unwrap_or(0);
    if failures > 0 && counted_run == 0 {
        let run = members.iter().map(|member| member.run).max().unwrap_or(0);
        let has_ended = |record: &&TaskRecord| record.run == run && record.worker.is_empty();
        counted_run = if records.iter().any(has_ended) { run } else { 0 };
    }
    for member in members {
        member.failures = failures;
        member.last_failed_run = counted_run;
    }
}

/// Makes the members of a gang resume from one checkpoint; that of any member is valid for all.
fn restore_gang_checkpoint(members: &mut [TaskEntry]) {
    let saved = members.iter().find(|member| !member.checkpoint.is_empty());
    let Some(checkpoint) = saved.map(|member| member.checkpoint.clone()) else {
        return;
    };
    for member in members {
        member.checkpoint = checkpoint.clone();
    }
}

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
                let name = self.jobs[key].task_name(number, step, index);
                let is_done = self.jobs[key].task_mut(&name).is_none_or(|task| task.done);
                if record.worker.is_empty() || is_done {
                    continue;
                }
                let worker = self.restored_worker(&record.worker, record.worker_started_at_ms, now);
                let amount = self.jobs[key].body.steps[step].amount();
                let account = Some(self.jobs[key].account.clone());
                let view = &mut self.workers[worker];
                view.lease_expiry = view.lease_expiry.max(lease_expiry);
                view.allocations.insert(
                    (name.clone(), record.run),
                    RunAllocation {
                        amount,
                        account,
                        // Any listing without the run shows that the run has ended.
                        expected_since: Some(ClockTime(0)),
                        ordered_stop: None,
                        listed: false,
                        unexpected_since: None,
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

    /// Returns the worker of a recorded run.
    ///
    /// It may have restarted before the recorded start reached it, so a listing decides in any case whether the run is
    /// present.
    pub(crate) fn restored_worker(&mut self, id: &str, started_at_ms: u64, now: ClockTime) -> WorkerKey {
        let known = self.worker_index.get(id).copied();
        known.unwrap_or_else(|| self.add_unknown_worker(&id.into(), started_at_ms, now))
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
