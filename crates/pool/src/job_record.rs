use prost::{Enumeration, Message};

/// Where a job stands, as callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum JobStage {
    /// Accepted; no task has started.
    Queued = 0,
    /// A task has started.
    Running = 1,
    /// All tasks ended as done.
    Completed = 2,
    /// A task or gang failed as often as its queue allows.
    Failed = 3,
    /// The caller cancelled the job.
    Cancelled = 4,
}

impl JobStage {
    /// Returns whether the job will not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Returns the stage in lower case, as logs and callers see it.
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

/// The progress of a job that outlives every process.
#[derive(Clone, PartialEq, Message)]
pub struct JobRecord {
    /// Where the job stands.
    #[prost(enumeration = "JobStage", tag = "1")]
    pub stage: i32,
    /// Client account that the job belongs to.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Queue that accepted the job.
    #[prost(string, tag = "3")]
    pub queue: String,
    /// Hash of what the caller sent, to tell a repetition from another job with the same id.
    #[prost(fixed64, tag = "4")]
    pub body_hash: u64,
    /// Occurrences that have been released; one that is released and not listed below is done.
    #[prost(uint32, tag = "5")]
    pub released: u32,
    /// Occurrences that are not done.
    #[prost(message, repeated, tag = "6")]
    pub occurrences: Vec<OccurrenceRecord>,
}

/// The progress of one occurrence.
#[derive(Clone, PartialEq, Message)]
pub struct OccurrenceRecord {
    /// Number of the occurrence.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Tasks of all steps, step by step.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<TaskRecord>,
}

/// The progress of one task.
#[derive(Clone, PartialEq, Message)]
pub struct TaskRecord {
    /// Number of the latest run; 0 before the first.
    #[prost(uint32, tag = "1")]
    pub run: u32,
    /// Runs that ended as failed.
    #[prost(uint32, tag = "2")]
    pub failures: u32,
    /// The task is done.
    #[prost(bool, tag = "3")]
    pub done: bool,
    /// Worker of the latest run while that run has not ended; empty otherwise.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Unix milliseconds at which that worker's process started.
    #[prost(fixed64, tag = "5")]
    pub worker_born_ms: u64,
    /// Progress that was saved when a run ended; empty for none.
    #[prost(string, tag = "6")]
    pub checkpoint: String,
}
