use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, JobId, WorkerName};
use serde::{Deserialize, Serialize};

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// It completed its work.
    Finished,
    /// It failed.
    Failed,
    /// The placement holder stopped it.
    Stopped,
    /// Its gang lease expired.
    LeaseExpired,
    /// The worker crashed.
    Crashed,
}

/// One run of one gang member; times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// Job of the task.
    pub job: JobId,
    /// Attempt of the job.
    pub attempt: AttemptNumber,
    /// Index of the member in the gang.
    pub member: u32,
    /// Output that the payload requests; it identifies the run to the caller that submitted the job.
    pub output: Arc<str>,
    /// Completed work at its resumption from a checkpoint, in milliseconds at full speed.
    pub resumed_ms: Option<u64>,
    /// Start time.
    pub started_at: u64,
    /// End time, or `None` while it runs.
    pub ended_at: Option<u64>,
    /// How it ended, or `None` while it runs.
    #[serde(rename = "how")]
    pub end: Option<TaskEnd>,
}

/// Response to `GET /control/log` of a worker: every task that ever started on it. A simulated crash keeps
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLog {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Runs in the order of their start.
    pub runs: Vec<TaskRun>,
}

impl TaskLog {
    pub(crate) fn start(&mut self, run: TaskRun) {
        self.runs.push(run);
    }

    pub(crate) fn end(&mut self, job: JobId, attempt: AttemptNumber, ended_at: u64, end: TaskEnd) {
        let open_runs = self
            .runs
            .iter_mut()
            .filter(|run| (run.job, run.attempt) == (job, attempt) && run.end.is_none());
        for run in open_runs {
            run.ended_at = Some(ended_at);
            run.end = Some(end);
        }
    }
}
