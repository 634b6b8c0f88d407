//! Benchmarks of the placement core, the pool scheduler and the routing table.
//!
//! `pool_load` emulates a load on the pool scheduler in virtual time and prints what its callers get.
//! `measure` simulates the placement core and a first-come, first-served baseline on the same seeded
//! workload in virtual time; `slopes` measures how decision time, memory and encoded sizes grow with the size of
//! the state.

mod arrival_generator;
mod attempt_lifecycle;
mod blocked_units;
mod centre_policy;
mod comparison_report;
mod core_fixture;
mod deployment_plan;
mod encoded_sizes;
mod first_fit_scheduler;
mod fragmentation_gauge;
mod host_pool;
mod job_arrival;
mod job_tracker;
mod line_fit;
mod memory_slopes;
mod placement_simulation;
mod placement_slopes;
mod placement_validator;
mod pool_emulator;
mod pool_load;
mod route_slopes;
mod simulation_event;
mod simulation_outcome;
mod simulation_settings;
mod slope_series;

pub use arrival_generator::ArrivalGenerator;
pub use blocked_units::blocked_unit_slopes;
pub use centre_policy::PolicyKind;
pub use comparison_report::ComparisonReport;
pub use deployment_plan::DeploymentPlan;
pub use encoded_sizes::encoded_sizes;
pub use first_fit_scheduler::FirstFitScheduler;
pub use job_arrival::JobArrival;
pub use line_fit::LineFit;
pub use memory_slopes::memory_slopes;
pub use placement_simulation::PlacementSimulation;
pub use placement_slopes::{due_queue_slopes, gang_slopes, queue_slopes, running_slopes, worker_slopes};
pub use placement_validator::PlacementValidator;
pub use pool_emulator::{PoolEmulator, PoolLoadPlan};
pub use pool_load::{ClassOutcome, PoolLoadOutcome};
pub use route_slopes::route_slopes;
pub use simulation_outcome::SimulationOutcome;
pub use simulation_settings::SimulationSettings;
pub use slope_series::SlopeSeries;
