//! The placement holder of a data centre: lease, workers, gangs and the loop that joins them with decisions.
//!
//! [`run_holder`] takes the placement lease of a data centre when it can be had, rebuilds the pool from the
//! platform's table and the workers' reports, and then carries out what
//! [`PlacementCore`](arbutuspick_sched::PlacementCore) decides. [`GangMachine`] is the state machine of one
//! attempt to run a gang.

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
pub use holder_event::HolderNotice;
pub use holder_options::{CentreSelector, HolderLinks, HolderOptions, JobEndedHook};
pub use holder_view::{HolderDump, HolderView, JobView, WorkerView};
pub use placement_holder::run_holder;
pub use worker_clock::WorkerClock;
