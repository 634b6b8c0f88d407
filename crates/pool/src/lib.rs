//! Scheduling decisions for one pool of workers that client accounts share.
//!
//! [`PoolCore`] holds the jobs, the workers and the placement of each task. Events arrive as method calls
//! with the current time as an argument; the results are orders to workers and job records to store. It does
//! no input or output, so the same code runs in the daemon and in tests.
//!
//! An order may be sent only after the records that were taken together with it are stored.

mod blocked_needs;
mod capacity_forecast;
mod capacity_reservation;
mod contested_workers;
mod core_options;
mod free_bounds;
mod job_body;
mod job_entry;
mod job_record;
mod job_value;
mod label_index;
mod listing_apply;
mod placement_pass;
mod placement_restore;
mod pool_core;
mod pool_order;
mod pool_policy;
mod preemption;
mod preemption_plan;
mod progress_check;
mod rack_index;
mod resource_amount;
mod run_pace;
mod run_release;
mod search_budget;
mod state_dump;
mod task_name;
mod unit_order;
mod victim_list;
mod wait_reason;
mod waiting_unit;
mod worker_choice;
mod worker_health;
mod worker_kind;
mod worker_listing;
mod worker_restart;
mod worker_search;
mod worker_speed;
mod worker_view;

pub use core_options::CoreOptions;
pub use job_body::{BodyError, JobBody, StepBody};
pub use job_record::{JobRecord, JobStage, MAX_TASK_RECORD_BYTES, OccurrenceRecord, TaskRecord};
pub use pool_core::{CoreSummary, LatencySample, PoolCore, RecordChange};
pub use pool_order::{PoolOrder, StartOrder, StopOrder, StopReason};
pub use pool_policy::{AccountGuarantee, PoolPolicy, QueueRule};
pub use resource_amount::ResourceAmount;
pub use task_name::TaskName;
pub use wait_reason::WaitReason;
pub use worker_listing::{EndKind, RunEnd, RunStatus, StartAnswer, WorkerListing};
pub use worker_view::{WorkerKey, WorkerReport};
