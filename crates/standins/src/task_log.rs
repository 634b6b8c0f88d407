use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, JobId, WorkerName};
use serde::{Deserialize, Serialize};

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// It did all its work.
    Finished,
    /// It failed.
    Failed,
    /// The placement holder stopped it.
    Stopped,
    /// Its gang lease ended.
    LeaseExpired,
    /// The worker crashed.
    Crashed,
}

/// One run of one member, in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Index of the member in the gang.
    pub member: u32,
    /// Output that the payload asks for, by which the caller of the job recognises the run.
    pub output: Arc<str>,
    /// Work already done when it resumed from a checkpoint, in milliseconds at full speed.
    pub resumed_ms: Option<u64>,
    /// Start.
    pub started_at: u64,
    /// End, or nothing while it runs.
    pub ended_at: Option<u64>,
    /// How it ended, or nothing while it runs.
    pub how: Option<TaskEnd>,
}

/// `GET /control/log` of a worker: every task that ever started on it. It survives crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLog {
    /// Worker.
    pub worker: WorkerName,
    /// Runs in order of their starts.
    pub runs: Vec<TaskRun>,
}

impl TaskLog {
    pub(crate) fn start(&mut self, run: TaskRun) {
        self.runs.push(run);
    }

    pub(crate) fn end(&mut self, job: JobId, attempt: AttemptNumber, ended_at: u64, how: TaskEnd) {
        let open = self
            .runs
            .iter_mut()
            .filter(|run| (run.job, run.attempt) == (job, attempt) && run.how.is_none());
        for run in open {
            run.ended_at = Some(ended_at);
            run.how = Some(how);
        }
    }
}
