use std::fmt;
use std::sync::Arc;

/// One task of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Id of the job.
    pub job: Arc<str>,
    /// Occurrence of a repeated job; 0 for others.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Task of the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}
