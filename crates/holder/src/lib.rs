//! The placement holder of a data centre: placement lease, worker sessions, gang attempts and event loop.
//!
//! In each data centre one process holds the placement lease and places jobs. [`run_holder`] acquires the
//! lease when it is free, rebuilds the state of the pool from the platform's table and the workers' reports,
//! and then executes the actions of [`PlacementCore`](arbutuspick_sched::PlacementCore). [`GangMachine`] is
//! the state machine of one attempt to run a gang, that is the members of a job, which have to run together.

mod gang_attempt;
mod gang_event;
mod gang_part;
mod holder_event;
mod holder_jobs;
mod holder_options;
mod holder_requests;
mod holder_state;
mod holder_view;
mod holder_workers;
mod job_entry;
mod job_write;
mod placement_holder;
mod placement_lease;
mod table_reader;
mod worker_clock;
mod worker_session;

pub use gang_attempt::{
    AttemptRules, GANG_LEASE_MS, GangMachine, PART_REPORT_TIMEOUT_MS, PREPARE_TIMEOUT_MS, RESERVATION_MS,
    START_PERMIT_MS, START_SEND_WINDOW_MS,
};
pub use gang_event::{AttemptOutcome, GangCommand, GangEvent};
pub use gang_part::{GangPart, PartPhase};
pub use holder_event::HolderMessage;
pub use holder_options::{CentreSelector, HolderContext, HolderOptions, JobEndedHook};
pub use holder_view::{HolderDump, HolderView, JobView, WorkerView};
pub use placement_holder::run_holder;
pub use worker_clock::WorkerClock;
