//! Scheduling decisions for one pool of workers that client accounts share.
//!
//! [`PoolCore`] holds the jobs, the workers and the placement of each task. Events arrive as method calls
//! with the current time as an argument; the results are orders to workers and job records to store. It does
//! no input or output, so the same code runs in the daemon and in tests.
//!
//! An order may be sent only after the records that were taken together with it are stored.

mod accounts;
mod core_options;
mod jobs;
mod keys;
mod placement;
mod pool_core;
mod pool_order;
mod pool_policy;
mod preemption;
mod resource_amount;
mod state_dump;
mod task_name;
mod workers;

pub use core_options::CoreOptions;
pub use jobs::job_body::{BodyError, JobBody, StepBody};
pub use jobs::job_record::{
    JobRecord, JobStage, MAX_TASK_RECORD_BYTES, OccurrenceRecord, RemainingRun, TaskRecord, WorkerRuns,
};
pub use jobs::loss_ledger::LossCause;
pub use keys::WorkerKey;
pub use placement::wait_reason::WaitReason;
pub use pool_core::{CoreSummary, LatencySample, PoolCore, RecordChange};
pub use pool_order::{PoolOrder, StartOrder, StopOrder, StopReason};
pub use pool_policy::{AccountRule, PoolPolicy, QueueRule};
pub use resource_amount::ResourceAmount;
pub use task_name::TaskName;
pub use workers::learned_speeds::{LearnedState, LearnedStateError};
pub use workers::run_move::MoveCounts;
pub use workers::speed_learning::SpeedSummary;
pub use workers::worker_listing::{EndKind, RunEnd, RunStatus, StartAnswer, WorkerListing};
pub use workers::worker_view::WorkerReport;
