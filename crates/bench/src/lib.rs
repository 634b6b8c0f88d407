//! Measuring commands for the decision cores in virtual time.
//!
//! `measure` drives the placement core and a first-come-first-served baseline through the same seeded
//! arrivals; `slopes` shows the cost of decisions against size.

mod arrival_generator;
mod centre_policy;
mod deployment_plan;
mod first_fit_queue;
mod fragment_gauge;
mod host_pool;
mod job_arrival;
mod job_course;
mod measure_report;
mod placement_audit;
mod run_attempts;
mod run_event;
mod run_outcome;
mod run_settings;
mod virtual_run;

pub use arrival_generator::ArrivalGenerator;
pub use centre_policy::PolicyKind;
pub use deployment_plan::DeploymentPlan;
pub use first_fit_queue::FirstFitQueue;
pub use job_arrival::JobArrival;
pub use measure_report::MeasureReport;
pub use run_outcome::RunOutcome;
pub use run_settings::RunSettings;
pub use virtual_run::VirtualRun;
