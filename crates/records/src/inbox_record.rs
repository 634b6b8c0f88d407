use arbutuspick_model::{JobId, WriteId};
use serde::{Deserialize, Serialize};

/// Content of a notice about a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobNotice {
    /// The job was submitted to or moved to the data centre.
    #[default]
    Assigned,
    /// The job was cancelled, or its cancellation was requested.
    Cancelled,
}

/// Row `inbox/{dc}/{job}`: notice about a job to the placement holder of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InboxRecord {
    /// Job.
    pub job: JobId,
    /// Notice.
    pub notice: JobNotice,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}
