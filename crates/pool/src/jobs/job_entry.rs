use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::jobs::loss_ledger::LossCause;
use crate::placement::contested_workers::GangClaim;
use crate::placement::wait_reason::WaitReason;
use crate::workers::worker_kind::StepFit;
use crate::{
    JobBody, JobRecord, JobStage, OccurrenceRecord, QueueRule, StepBody, TaskName, TaskRecord, WorkerKey,
};

/// Stage of the start or stop of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementStage {
    /// The start was ordered and not answered yet, or an earlier scheduler recorded it.
    Starting,
    /// The answer to the start was lost.
    Unconfirmed,
    /// The run is present on the worker.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// Placement of the current run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskPlacement {
    pub(crate) worker: WorkerKey,
    pub(crate) stage: PlacementStage,
    /// Time at which the stage began.
    pub(crate) since: ClockTime,
    /// Whether the run is away from its data, or a member of a gang that spans racks.
    pub(crate) remote: bool,
}

/// Progress that a run has reported. Not stored: it only improves the choice of runs to move or to stop.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProgress {
    /// Whether the percent at the start is unknown: the run resumed, or an earlier scheduler started it.
    pub(crate) is_start_unknown: bool,
    /// Time at which the run began to work, or of its first report if its start is unknown.
    pub(crate) work_started_at: Option<ClockTime>,
    /// Percent at `work_started_at`.
    pub(crate) first_percent: u32,
    pub(crate) percent: u32,
    /// Time at which the percent last rose.
    pub(crate) last_gain_at: ClockTime,
    /// Time of the latest report.
    pub(crate) reported_at: ClockTime,
    /// Whether the run has been counted in the speed of its worker.
    pub(crate) has_shown_speed: bool,
    /// Time from which the run is known to be present on its worker.
    pub(crate) present_since: Option<ClockTime>,
    /// Time at which the latest checkpoint of the run was reported.
    pub(crate) saved_at: Option<ClockTime>,
}

impl RunProgress {
    /// Applies a reported percent; `work_start` is when the run began to work, if it has.
    pub(crate) fn update(&mut self, percent: u32, work_start: Option<ClockTime>, now: ClockTime) {
        if self.work_started_at.is_none() {
            let (work_started_at, first_percent) = match work_start {
                _ if self.is_start_unknown => (now, percent),
                Some(start) => (start, 0),
                None => return,
            };
            self.work_started_at = Some(work_started_at);
            self.first_percent = first_percent;
            self.percent = first_percent;
            self.last_gain_at = work_started_at;
        }
        if percent > self.percent {
            self.percent = percent;
            self.last_gain_at = now;
        }
        self.reported_at = now;
    }
}

/// Worker on which the latest run of a task failed, was too slow or did not start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AvoidedWorker {
    pub(crate) worker: WorkerKey,
    /// Time from which the task may return there while the worker is suspect, if no other could run it.
    pub(crate) retry_at: ClockTime,
}

/// Entry of one task, which has one run after another until it is done.
///
/// What decides which stage callers are shown, or whether a run may start, is stored in a
/// [`TaskRecord`] before any order depends on it. What only improves a choice is lost with the leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskEntry {
    // Stored; of the placement, the worker.
    pub(crate) placement: Option<TaskPlacement>,
    /// Number of the latest run; 0 before the first.
    pub(crate) run: u32,
    pub(crate) failures: u32,
    /// Number of the latest run that was counted in `failures`; a gang counts each run once.
    pub(crate) last_failed_run: u32,
    pub(crate) done: bool,
    pub(crate) checkpoint: Arc<str>,

    // Not stored.
    pub(crate) progress: RunProgress,
    /// Why the current run was first ordered to stop.
    pub(crate) stop_cause: Option<LossCause>,
    pub(crate) avoided_worker: Option<AvoidedWorker>,
    /// Number of runs that were stopped for lack of progress.
    pub(crate) slow_restarts: u32,
    /// Number of runs that were preempted.
    pub(crate) preemptions: u32,
}

impl TaskEntry {
    pub(crate) fn is_waiting(&self) -> bool {
        self.placement.is_none() && !self.done
    }
}

/// Entry of a step with its tasks. Only the tasks are stored; the rest improves choices and reports.
#[derive(Clone, Debug)]
pub(crate) struct StepEntry {
    pub(crate) tasks: Vec<TaskEntry>,
    /// Time of the first decision for which the step was ready; kept when its tasks wait again after a run.
    pub(crate) ready_at: Option<ClockTime>,
    /// Workers and run times in milliseconds of the first finished runs, at most `MAX_RUN_TIMES`.
    pub(crate) run_times: Vec<(WorkerKey, u64)>,
    /// Why the tasks that are ready to start waited at the latest decision that placed none of them.
    pub(crate) wait_reason: Option<WaitReason>,
    /// Whether the reason of a long wait was logged.
    pub(crate) long_wait_logged: bool,
    /// Period in which capacity is left to the step, if it is a gang.
    pub(crate) claim: Option<GangClaim>,
    /// Round of the latest search for runs to preempt.
    pub(crate) search_round: u64,
}

impl StepEntry {
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }
}

/// Entry of one occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct OccurrenceEntry {
    pub(crate) due_at: ClockTime,
    pub(crate) steps: Vec<StepEntry>,
}

impl OccurrenceEntry {
    pub(crate) fn new(body: &JobBody, due_at: ClockTime) -> Self {
        let steps = body.steps.iter().map(|step| StepEntry {
            tasks: vec![TaskEntry::default(); step.count as usize],
            ready_at: None,
            run_times: Vec::new(),
            wait_reason: None,
            long_wait_logged: false,
            claim: None,
            search_round: 0,
        });
        Self {
            due_at,
            steps: steps.collect(),
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepEntry::is_done)
    }

    /// Returns when the run of a task began to work. Members of a gang begin when all of them are present.
    pub(crate) fn work_start(&self, step: usize, index: usize, gang: bool) -> Option<ClockTime> {
        let tasks = &self.steps.get(step)?.tasks;
        let running_since = |task: &TaskEntry| {
            let placement = task.placement?;
            (placement.stage == PlacementStage::Running).then_some(placement.since)
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

    /// Returns whether every step on which this one depends is done.
    pub(crate) fn dependencies_done(&self, step: &StepBody) -> bool {
        let mut earlier = step.after.iter().map(|number| self.steps.get(*number as usize));
        earlier.all(|step| step.is_some_and(StepEntry::is_done))
    }
}

/// Entry of a job, with the state of its tasks.
///
/// Stored are the body with the time of acceptance, the stage, the occurrences and `has_begun`; the rest follows from
/// these, the configuration and the workers.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub(crate) id: Arc<str>,
    /// Client account of the body.
    pub(crate) account: Arc<str>,
    /// Whether the job came faster than its account may expect to be served.
    pub(crate) beyond_rate: bool,
    pub(crate) body: JobBody,
    pub(crate) spec: Arc<str>,
    pub(crate) rule: Arc<QueueRule>,
    pub(crate) stage: JobStage,
    pub(crate) released: u32,
    pub(crate) occurrences: BTreeMap<u32, OccurrenceEntry>,
    pub(crate) arrived_at: ClockTime,
    pub(crate) critical_path_ms: u64,
    /// Estimated work of one occurrence, in core milliseconds.
    pub(crate) work_core_ms: u64,
    /// Whether a run of any task is known to have begun.
    pub(crate) has_begun: bool,
    /// Whether the known workers could run each step, and the version of the workers for which that holds.
    pub(crate) step_fits: Vec<StepFit>,
    pub(crate) fits_version: Option<u64>,
}

impl JobEntry {
    pub(crate) fn task_name(&self, occurrence: u32, step: usize, index: usize) -> TaskName {
        TaskName {
            job: self.id.clone(),
            occurrence,
            step: u32::try_from(step).unwrap_or(u32::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }

    pub(crate) fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskEntry> {
        let occurrence = self.occurrences.get_mut(&name.occurrence)?;
        let step = occurrence.steps.get_mut(name.step as usize)?;
        step.tasks.get_mut(name.index as usize)
    }

    /// Returns the total number of occurrences.
    pub(crate) fn total_occurrences(&self) -> u32 {
        self.body.occurrences.max(1)
    }

    /// Returns the number of tasks of created occurrences that are not done.
    pub(crate) fn open_tasks(&self) -> usize {
        let occurrences = self.occurrences.values();
        let tasks = occurrences
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| &step.tasks);
        tasks.filter(|task| !task.done).count()
    }

    /// Returns the objective in milliseconds: the time from an occurrence being due until it should be done.
    ///
    /// It is the critical path times the stretch factor of the queue, plus the allowance of the queue.
    pub(crate) fn objective_ms(&self) -> u64 {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let stretched = (self.critical_path_ms as f64 * self.rule.stretch.max(0.0)) as u64;
        stretched + self.rule.allowance_ms
    }

    /// Returns the record of the current progress.
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
            has_begun: self.has_begun,
            remaining: Vec::new(),
            ended_at_ms: 0,
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
                first_task: 0,
            });
        }
        record
    }
}

fn task_record<F>(task: &TaskEntry, worker_identity: &F) -> TaskRecord
where
    F: Fn(WorkerKey) -> Option<(Arc<str>, u64)>,
{
    let identity = task
        .placement
        .and_then(|placement| worker_identity(placement.worker));
    let (worker, worker_started_at_ms) = identity.map_or((String::new(), 0), |(id, started_at_ms)| {
        (id.to_string(), started_at_ms)
    });
    TaskRecord {
        run: task.run,
        failures: task.failures,
        done: task.done,
        worker,
        worker_started_at_ms,
        checkpoint: task.checkpoint.to_string(),
        last_failed_run: task.last_failed_run,
    }
}
