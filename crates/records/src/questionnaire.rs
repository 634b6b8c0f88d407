use arbutuspick_model::{AccountName, CentreName, FieldError, OwnerName};
use serde::{Deserialize, Serialize};

use crate::{AccountImportance, AccountRequest};

/// Maximum accelerators of one job: a gang of 1024 tasks with 8 accelerators each.
const MAX_JOB_ACCELERATORS: u32 = 8192;
/// Maximum concurrent large jobs, so that cell counts cannot overflow.
const MAX_LARGE_JOBS: u32 = 1024;
/// Maximum concurrent small jobs: the number of accelerators at the target scale.
const MAX_SMALL_JOBS: u32 = 16_000;
/// Maximum queue length: twice the jobs of a day at the target scale.
const MAX_PEAK_QUEUE: u32 = 106_000;

/// Unvalidated answers of a team that requests an account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Questionnaire {
    /// Name for the client account.
    pub account: String,
    /// Owner of the account.
    pub owner: String,
    /// Data centre that provides the guarantees.
    pub home_data_centre: String,
    /// Accelerators of the largest job, 0 if there are only small jobs.
    #[serde(default)]
    pub largest_job_accelerators: u32,
    /// Whether the accelerators of the largest job must be adjacent.
    #[serde(default)]
    pub adjacent: bool,
    /// Number of jobs of that size that run concurrently.
    #[serde(default)]
    pub large_jobs_at_once: u32,
    /// Number of jobs with one accelerator that run concurrently.
    #[serde(default)]
    pub small_jobs_at_once: u32,
    /// Maximum number of queued jobs.
    pub peak_queue: u32,
    /// Importance relative to other accounts: `low`, `normal` or `high`.
    #[serde(default)]
    pub importance: String,
}

impl TryFrom<Questionnaire> for AccountRequest {
    type Error = FieldError;
    fn try_from(answers: Questionnaire) -> Result<Self, FieldError> {
        answers.check_numbers()?;
        let Questionnaire {
            account,
            owner,
            home_data_centre,
            largest_job_accelerators,
            adjacent,
            large_jobs_at_once,
            small_jobs_at_once,
            peak_queue,
            importance,
        } = answers;
        Ok(Self {
            account: AccountName::try_from(account)?,
            owner: OwnerName::try_from(owner)?,
            home_data_centre: CentreName::try_from(home_data_centre).map_err(for_home_field)?,
            largest_job_accelerators,
            adjacent,
            large_jobs_at_once,
            small_jobs_at_once,
            peak_queue,
            importance: AccountImportance::try_from(importance.as_str())?,
        })
    }
}

impl Questionnaire {
    fn check_numbers(&self) -> Result<(), FieldError> {
        let &Self {
            largest_job_accelerators: largest,
            large_jobs_at_once: large,
            small_jobs_at_once: small,
            peak_queue,
            ..
        } = self;
        check_limit("largest_job_accelerators", largest, MAX_JOB_ACCELERATORS)?;
        check_limit("large_jobs_at_once", large, MAX_LARGE_JOBS)?;
        check_limit("small_jobs_at_once", small, MAX_SMALL_JOBS)?;
        check_limit("peak_queue", peak_queue, MAX_PEAK_QUEUE)?;
        if peak_queue == 0 {
            return Err(FieldError::new("peak_queue", peak_queue, "must be at least 1"));
        }
        if large > 0 && largest == 0 {
            let rule = "must be at least 1 when large jobs run";
            return Err(FieldError::new("largest_job_accelerators", largest, rule));
        }
        if self.adjacent && largest == 0 {
            let rule = "must be false without a largest job";
            return Err(FieldError::new("adjacent", true, rule));
        }
        Ok(())
    }
}

/// Replaces the field name `data_centre` of a name error by that of the questionnaire.
fn for_home_field(error: FieldError) -> FieldError {
    FieldError {
        field: "home_data_centre".into(),
        ..error
    }
}

fn check_limit(field: &str, value: u32, limit: u32) -> Result<(), FieldError> {
    if value > limit {
        return Err(FieldError::new(field, value, format!("must be at most {limit}")));
    }
    Ok(())
}
