use std::collections::BTreeMap;

use arbutuspick_model::{
    AccountConfig, AccountName, CellGuarantee, CellLevel, CentreName, FieldError, OwnerName,
    WORKER_ACCELERATORS,
};
use serde::{Deserialize, Serialize};

/// Importance of an account relative to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AccountImportance {
    /// Half of the normal weight.
    Low,
    /// Normal weight.
    #[default]
    Normal,
    /// Twice the normal weight.
    High,
}

impl AccountImportance {
    /// Returns the fair-share weight for capacity that is not guaranteed.
    pub fn weight(self) -> u32 {
        match self {
            Self::Low => 50,
            Self::Normal => 100,
            Self::High => 200,
        }
    }
}

impl TryFrom<&str> for AccountImportance {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        match value {
            "low" => Ok(Self::Low),
            "normal" | "" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            _ => Err(FieldError::new(
                "importance",
                value,
                "must be low, normal or high",
            )),
        }
    }
}

/// Validated answers of a team, from which the configuration of its account is generated.
///
/// ```
/// use arbutuspick_records::{AccountRequest, Questionnaire};
/// let request = AccountRequest::try_from(Questionnaire {
///     account: "copa-viva".into(),
///     owner: "cartografia".into(),
///     home_data_centre: "recife-a".into(),
///     largest_job_accelerators: 20,
///     adjacent: true,
///     large_jobs_at_once: 2,
///     peak_queue: 100,
///     ..Questionnaire::default()
/// })?;
/// let config = request.generate_config();
/// assert_eq!((config.guarantees[0].cell.accelerators(), config.guarantees[0].count), (32, 2));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRequest {
    /// Client account.
    pub account: AccountName,
    /// Owner of the account.
    pub owner: OwnerName,
    /// Data centre that provides the guarantees.
    pub home_data_centre: CentreName,
    /// Accelerators of the largest job.
    pub largest_job_accelerators: u32,
    /// Whether the accelerators of the largest job must be adjacent.
    pub adjacent: bool,
    /// Number of jobs of that size that run concurrently.
    pub large_jobs_at_once: u32,
    /// Number of jobs with one accelerator that run concurrently.
    pub small_jobs_at_once: u32,
    /// Maximum number of queued jobs.
    pub peak_queue: u32,
    /// Importance.
    pub importance: AccountImportance,
}

impl AccountRequest {
    /// Generates the configuration of the account.
    ///
    /// - Each large job is guaranteed its cells in the home data centre. Adjacent accelerators are divided
    ///   into full racks of 64 and the smallest cell that covers the remainder, other accelerators into full
    ///   workers of 8 and the smallest cell that covers the remainder.
    /// - Each small job is guaranteed one accelerator.
    /// - The weight is 50, 100 or 200 for low, normal or high importance.
    /// - The queue limit is the peak, but at least the number of concurrent jobs.
    pub fn generate_config(&self) -> AccountConfig {
        let running = self.large_jobs_at_once + self.small_jobs_at_once;
        AccountConfig {
            owner: self.owner.clone(),
            weight: self.importance.weight(),
            max_queued_jobs: self.peak_queue.max(running),
            guarantees: self.guarantees(),
        }
    }

    fn guarantees(&self) -> Vec<CellGuarantee> {
        let mut counts: BTreeMap<CellLevel, u32> = BTreeMap::new();
        for (cell, count) in self.cells_of_large_job() {
            *counts.entry(cell).or_default() += count * self.large_jobs_at_once;
        }
        *counts.entry(CellLevel::One).or_default() += self.small_jobs_at_once;
        let largest_first = counts.into_iter().rev().filter(|(_, count)| *count > 0);
        largest_first
            .map(|(cell, count)| CellGuarantee {
                data_centre: self.home_data_centre.clone(),
                cell,
                count,
            })
            .collect()
    }

    fn cells_of_large_job(&self) -> [(CellLevel, u32); 2] {
        let full_cell = if self.adjacent {
            CellLevel::Rack
        } else {
            CellLevel::Worker
        };
        debug_assert!(full_cell.accelerators().is_multiple_of(WORKER_ACCELERATORS));
        let accelerators = self.largest_job_accelerators;
        let remainder = accelerators % full_cell.accelerators();
        let remainder_cell = CellLevel::covering(remainder).unwrap_or(full_cell);
        [
            (full_cell, accelerators / full_cell.accelerators()),
            (remainder_cell, u32::from(remainder > 0)),
        ]
    }
}
