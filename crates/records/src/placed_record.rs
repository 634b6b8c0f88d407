use arbutuspick_model::{JobId, WriteId};
use serde::{Deserialize, Serialize};

/// Row `placed/{dc}/{job}`: index entry of an unfinished job, queued or started, written when its notice is
/// accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedRecord {
    /// Job.
    pub job: JobId,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}
