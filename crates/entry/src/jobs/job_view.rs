use arbutuspick_model::{AttemptNumber, CentreName, FinalOutcome, JobId};
use arbutuspick_records::{JobRecord, JobState};
use serde::Serialize;

/// The status of a job in responses to callers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct JobView {
    pub(crate) job: JobId,
    pub(crate) state: JobState,
    pub(crate) data_centre: CentreName,
    pub(crate) attempt: AttemptNumber,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) cancel_requested: bool,
    /// Present in final states only.
    #[serde(flatten)]
    pub(crate) outcome: Option<FinalOutcome>,
    /// Age of a cached status that is shown because the platform is unavailable.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) age_ms: Option<u64>,
}

impl From<&JobRecord> for JobView {
    fn from(record: &JobRecord) -> Self {
        Self {
            job: record.job,
            state: record.state,
            data_centre: record.data_centre.clone(),
            attempt: record.attempt,
            cancel_requested: record.cancel_requested,
            outcome: record.outcome.clone(),
            age_ms: None,
        }
    }
}
