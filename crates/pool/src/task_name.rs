use std::fmt;
use std::sync::Arc;

/// Name of one task of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Id of the job.
    pub job: Arc<str>,
    /// Number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}
