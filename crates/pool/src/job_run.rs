use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::{
    JobBody, JobRecord, JobStage, OccurrenceRecord, QueueRule, StepBody, TaskName, TaskRecord, WorkerKey,
};

/// How far the start or stop of a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceStage {
    /// Ordered; no answer yet, or recorded by an earlier placement holder.
    Starting,
    /// The answer to the start was lost.
    Unclear,
    /// Present on the worker.
    Running,
    /// Ordered to stop.
    Stopping,
}

/// Where the current run of a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskPlace {
    pub(crate) worker: WorkerKey,
    pub(crate) stage: PlaceStage,
    /// When the stage began.
    pub(crate) since: ClockTime,
    pub(crate) remote: bool,
}

/// How much work a run has shown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProgress {
    /// The work before this run's start is not known: it resumed, or an earlier placement holder started it.
    pub(crate) resumed: bool,
    /// When the run began to work, or was first seen if it resumed.
    pub(crate) began_at: Option<ClockTime>,
    /// Percent at that time.
    pub(crate) first_percent: u32,
    pub(crate) percent: u32,
    /// When the percent last rose.
    pub(crate) rose_at: ClockTime,
    /// When the percent was last reported.
    pub(crate) seen_at: ClockTime,
}

impl RunProgress {
    /// Notes a reported percent; `work_start` is when the run began to work, if it has.
    pub(crate) fn note(&mut self, percent: u32, work_start: Option<ClockTime>, now: ClockTime) {
        if self.began_at.is_none() {
            let (began_at, first_percent) = match work_start {
                _ if self.resumed => (now, percent),
                Some(start) => (start, 0),
                None => return,
            };
            self.began_at = Some(began_at);
            self.first_percent = first_percent;
            self.percent = first_percent;
            self.rose_at = began_at;
        }
        if percent > self.percent {
            self.percent = percent;
            self.rose_at = now;
        }
        self.seen_at = now;
    }
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskRun {
    pub(crate) place: Option<TaskPlace>,
    pub(crate) run: u32,
    pub(crate) failures: u32,
    /// Latest run that was counted as failed.
    pub(crate) failed_run: u32,
    pub(crate) done: bool,
    pub(crate) checkpoint: Arc<str>,
    pub(crate) progress: RunProgress,
    /// Worker where the latest run went wrong.
    pub(crate) avoid: Option<WorkerKey>,
    /// Runs that were stopped for lack of progress.
    pub(crate) slow_restarts: u32,
    /// Runs that were stopped for other work.
    pub(crate) preemptions: u32,
}

impl TaskRun {
    pub(crate) fn is_waiting(&self) -> bool {
        self.place.is_none() && !self.done
    }
}

/// The tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct StepRun {
    pub(crate) tasks: Vec<TaskRun>,
    /// Since when the step could run.
    pub(crate) ready_at: Option<ClockTime>,
    /// How long finished runs took from start to end, in milliseconds, and where; the first few.
    pub(crate) finished_ms: Vec<(WorkerKey, u64)>,
}

impl StepRun {
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct OccurrenceRun {
    pub(crate) due_at: ClockTime,
    pub(crate) steps: Vec<StepRun>,
}

impl OccurrenceRun {
    pub(crate) fn new(body: &JobBody, due_at: ClockTime) -> Self {
        let steps = body.steps.iter().map(|step| StepRun {
            tasks: vec![TaskRun::default(); step.count as usize],
            ready_at: None,
            finished_ms: Vec::new(),
        });
        Self {
            due_at,
            steps: steps.collect(),
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }

    /// Returns when the run of a task began to work: members of a gang begin when all of them are present.
    pub(crate) fn work_start(&self, step: usize, index: usize, gang: bool) -> Option<ClockTime> {
        let tasks = &self.steps.get(step)?.tasks;
        let running_since = |task: &TaskRun| {
            let place = task.place?;
            (place.stage == PlaceStage::Running).then_some(place.since)
        };
        if !gang {
            return running_since(tasks.get(index)?);
        }
        let mut latest = ClockTime::default();
        for task in tasks {
            latest = latest.max(running_since(task)?);
        }
        Some(latest)
    }

    /// Returns whether every step that must come first is done.
    pub(crate) fn may_run(&self, step: &StepBody) -> bool {
        let mut earlier = step.after.iter().map(|number| self.steps.get(*number as usize));
        earlier.all(|step| step.is_some_and(StepRun::is_done))
    }
}

/// A job and everything known of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    pub(crate) id: Arc<str>,
    pub(crate) body: JobBody,
    pub(crate) spec: Arc<str>,
    pub(crate) rule: Arc<QueueRule>,
    pub(crate) stage: JobStage,
    pub(crate) released: u32,
    pub(crate) occurrences: BTreeMap<u32, OccurrenceRun>,
    pub(crate) arrived_at: ClockTime,
    pub(crate) chain_ms: u64,
    /// Estimated work of one occurrence, in core milliseconds.
    pub(crate) work_core_ms: u64,
}

impl JobRun {
    pub(crate) fn task_name(&self, occurrence: u32, step: usize, index: usize) -> TaskName {
        TaskName {
            job: self.id.clone(),
            occurrence,
            step: u32::try_from(step).unwrap_or(u32::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }

    pub(crate) fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskRun> {
        let occurrence = self.occurrences.get_mut(&name.occurrence)?;
        let step = occurrence.steps.get_mut(name.step as usize)?;
        step.tasks.get_mut(name.index as usize)
    }

    /// Returns how many occurrences the job has in all.
    pub(crate) fn total_occurrences(&self) -> u32 {
        self.body.occurrences.max(1)
    }

    /// Returns whether a task has ever been started.
    pub(crate) fn has_begun(&self) -> bool {
        self.stage != JobStage::Queued
    }

    /// Returns the milliseconds of the objective.
    pub(crate) fn objective_ms(&self) -> u64 {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let stretched = (self.chain_ms as f64 * self.rule.stretch.max(0.0)) as u64;
        stretched + self.rule.allowance_ms
    }

    /// Returns the record of the present progress.
    pub(crate) fn to_record<F>(&self, worker_identity: F) -> JobRecord
    where
        F: Fn(WorkerKey) -> Option<(Arc<str>, u64)>,
    {
        let mut record = JobRecord {
            stage: self.stage.into(),
            account: self.body.account.clone(),
            queue: self.body.queue.clone(),
            body_hash: self.body.body_hash,
            released: self.released,
            occurrences: Vec::new(),
        };
        if self.stage.is_final() {
            return record;
        }
        for (number, occurrence) in &self.occurrences {
            let tasks = occurrence.steps.iter().flat_map(|step| &step.tasks);
            let tasks = tasks.map(|task| task_record(task, &worker_identity)).collect();
            record.occurrences.push(OccurrenceRecord {
                number: *number,
                tasks,
            });
        }
        record
    }
}

fn task_record<F>(task: &TaskRun, worker_identity: &F) -> TaskRecord
where
    F: Fn(WorkerKey) -> Option<(Arc<str>, u64)>,
{
    let identity = task.place.and_then(|place| worker_identity(place.worker));
    let (worker, worker_born_ms) = identity.map_or((String::new(), 0), |(id, born)| (id.to_string(), born));
    TaskRecord {
        run: task.run,
        failures: task.failures,
        done: task.done,
        worker,
        worker_born_ms,
        checkpoint: task.checkpoint.to_string(),
    }
}
