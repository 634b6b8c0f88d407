use prost::{Enumeration, Message};

/// Stage of a job, as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum JobStage {
    /// The job is accepted and no task has started.
    Queued = 0,
    /// At least one task has started.
    Running = 1,
    /// All tasks are done.
    Completed = 2,
    /// A task or gang used up the attempts that its queue allows.
    Failed = 3,
    /// The caller cancelled the job.
    Cancelled = 4,
}

impl JobStage {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Returns the name of the stage in logs and responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The stored progress of a job.
#[derive(Clone, PartialEq, Message)]
pub struct JobRecord {
    /// Stage of the job.
    #[prost(enumeration = "JobStage", tag = "1")]
    pub stage: i32,
    /// Client account that the job belongs to.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Queue that accepted the job.
    #[prost(string, tag = "3")]
    pub queue: String,
    /// Hash of the request, to tell a retry from another job with the same id.
    #[prost(fixed64, tag = "4")]
    pub body_hash: u64,
    /// Number of occurrences created so far; one of them that is not listed below is done.
    #[prost(uint32, tag = "5")]
    pub released: u32,
    /// Created occurrences that are not done.
    #[prost(message, repeated, tag = "6")]
    pub occurrences: Vec<OccurrenceRecord>,
    /// Whether a run of any task is known to have begun; may be stored later than that was known.
    #[prost(bool, tag = "7")]
    pub has_begun: bool,
    /// Of a job that has ended: its runs that had not, where accounts have caps.
    #[prost(message, repeated, tag = "8")]
    pub remaining: Vec<WorkerRuns>,
    /// Unix milliseconds at which a job with `remaining` runs ended.
    #[prost(fixed64, tag = "9")]
    pub ended_at_ms: u64,
}

/// Runs on one worker that had not ended when their job did.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerRuns {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Unix milliseconds at which its process started.
    #[prost(fixed64, tag = "2")]
    pub worker_started_at_ms: u64,
    /// The runs.
    #[prost(message, repeated, tag = "3")]
    pub runs: Vec<RemainingRun>,
}

/// A run that had not ended when its job did.
#[derive(Clone, PartialEq, Message)]
pub struct RemainingRun {
    /// Number of the occurrence.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// Index of the step.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Index of the task in its step.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Number of the run.
    #[prost(uint32, tag = "4")]
    pub run: u32,
    /// Thousandths of a core that the run takes.
    #[prost(uint64, tag = "5")]
    pub millicores: u64,
    /// Memory in MB that the run takes.
    #[prost(uint64, tag = "6")]
    pub memory_mb: u64,
    /// Accelerators that the run takes.
    #[prost(uint64, tag = "7")]
    pub accelerators: u64,
}

/// The stored progress of one occurrence.
#[derive(Clone, PartialEq, Message)]
pub struct OccurrenceRecord {
    /// Number of the occurrence.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Tasks of all steps, ordered by step, from `first_task` on.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<TaskRecord>,
    /// Index of the first task, if the occurrence is stored in parts.
    #[prost(uint32, tag = "3")]
    pub first_task: u32,
}

/// Maximum length of a checkpoint in bytes; a worker that reports a longer one keeps the one before.
pub(crate) const MAX_CHECKPOINT_BYTES: usize = 1_024;

/// Maximum encoded size of a [`TaskRecord`] in bytes, with a worker id of up to 200 bytes.
pub const MAX_TASK_RECORD_BYTES: usize = MAX_CHECKPOINT_BYTES + 256;

/// The stored progress of one task.
#[derive(Clone, PartialEq, Message)]
pub struct TaskRecord {
    /// Number of the latest run; 0 before the first.
    #[prost(uint32, tag = "1")]
    pub run: u32,
    /// Number of failed runs.
    #[prost(uint32, tag = "2")]
    pub failures: u32,
    /// Whether the task is done.
    #[prost(bool, tag = "3")]
    pub done: bool,
    /// Worker of the latest run; empty if that run has ended.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Unix milliseconds at which that worker's process started.
    #[prost(fixed64, tag = "5")]
    pub worker_started_at_ms: u64,
    /// Latest checkpoint; empty for none.
    #[prost(string, tag = "6")]
    pub checkpoint: String,
    /// Number of the latest run that was counted as failed; 0 for none, and in records of earlier versions.
    #[prost(uint32, tag = "7")]
    pub last_failed_run: u32,
}
