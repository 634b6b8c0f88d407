//! The load driver: plans a load, sends it to entry VMs and checks their answers against the stand-ins' logs.

mod drive_report;
mod entry_pool;
mod invariant_check;
mod job_call;
mod load_driver;
mod load_plan;
mod outage_call;
mod pool_sampler;
mod request_call;
mod run_logs;
mod workload;

pub use drive_report::DriveReport;
pub use invariant_check::check_invariants;
pub use job_call::{JobReport, ReportedOutcome, ResultCheck};
pub use load_driver::{DriveOptions, drive_load};
pub use load_plan::{LoadPlan, PlannedJob, PlannedRequest};
pub use outage_call::OutageReport;
pub use pool_sampler::PoolSample;
pub use request_call::{CallReport, RequestReport};
pub use run_logs::{CentreTaskLog, RunLogs};
pub use workload::{AccountLoad, JobStream, OutagePlan, RequestStream, Workload};
