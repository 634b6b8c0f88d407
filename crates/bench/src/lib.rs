//! Measuring commands for the decision cores in virtual time.
//!
//! `measure` drives the placement core and a first-come-first-served baseline through the same seeded
//! arrivals; `slopes` shows the cost of decisions against size.

mod arrival_generator;
mod centre_policy;
mod core_fixture;
mod deployment_plan;
mod encoded_sizes;
mod first_fit_queue;
mod fragment_gauge;
mod host_pool;
mod job_arrival;
mod job_course;
mod line_fit;
mod measure_report;
mod memory_slopes;
mod placement_audit;
mod placement_slopes;
mod route_slopes;
mod run_attempts;
mod run_event;
mod run_outcome;
mod run_settings;
mod slope_series;
mod virtual_run;

pub use arrival_generator::ArrivalGenerator;
pub use centre_policy::PolicyKind;
pub use deployment_plan::DeploymentPlan;
pub use encoded_sizes::encoded_sizes;
pub use first_fit_queue::FirstFitQueue;
pub use job_arrival::JobArrival;
pub use line_fit::LineFit;
pub use measure_report::MeasureReport;
pub use memory_slopes::memory_slopes;
pub use placement_audit::PlacementAudit;
pub use placement_slopes::{due_queue_slopes, gang_slopes, queue_slopes, running_slopes, worker_slopes};
pub use route_slopes::route_slopes;
pub use run_outcome::RunOutcome;
pub use run_settings::RunSettings;
pub use slope_series::SlopeSeries;
pub use virtual_run::VirtualRun;
