//! Placement decisions for one data centre, without input or output.
//!
//! `PlacementCore` consumes events and returns actions. The pure functions that pack guarantees and choose a
//! data centre for a new job are exported for other crates.
//!
//! Terms:
//!
//! - A *cell* is an aligned block of 1, 2, 4 and so on up to 64 accelerators of one rack. Accounts are
//!   guaranteed numbers of cells.
//! - A guaranteed cell is *bound* to a block of accelerators while jobs of its account use or claim a part of
//!   it. A guaranteed job that has to wait for other jobs to leave its cells has a *claim* on them.
//! - A job is *borrowed* if it runs outside the guarantee of its account. Its attempt, a *borrower*, may be
//!   preempted for a guaranteed job.
//! - A borrowed job that has waited too long, or was overtaken too often, gets a *reservation* of cells.
//!   Checkpointable jobs may use reserved cells as *backfill* until the reserved job can start.
//! - The *barrier* is the first job that is due for a reservation but could get none. Later arrivals start
//!   only as backfill.
//! - A *member* of a gang is a task with the worker and the accelerators assigned to it. An attempt is *live*
//!   while resources are allocated to it.

mod account_usage;
mod adopted_binding;
mod attempt_lifecycle;
mod block_index;
mod borrowed_pass;
mod cell_block;
mod cell_counts;
mod cell_demand;
mod cell_packing;
mod cell_placement;
mod centre_choice;
mod centre_phase;
mod cpu_placement;
mod evacuation_pass;
mod event;
mod gang_queue;
mod guarantee_ledger;
mod guaranteed_pass;
mod job_entry;
mod job_events;
mod placement_core;
mod placement_dump;
mod placement_options;
mod placement_summary;
mod pool_state;
mod queue_cursor;
mod rack_entry;
mod reclaim_search;
mod reservation_pass;
mod shape_fit;
mod worker_entry;
mod worker_events;
mod worker_health;
mod worker_load;

pub use cell_block::CellBlock;
pub use cell_counts::CellCounts;
pub use cell_packing::{check_guarantees, packing_shortfall};
pub use centre_choice::choose_centre;
pub use event::{
    AccountPolicy, AttemptEnd, GangPlacement, MemberPlacement, PlacementAction, PlacementEvent, PreemptReason,
};
pub use placement_core::PlacementCore;
pub use placement_dump::{BindingDump, JobDump, PlacementDump, WorkerDump};
pub use placement_options::PlacementOptions;
pub use placement_summary::{AccountSummary, GuaranteeShortfall, PlacementSummary};
pub use worker_load::{WorkerLoad, WorkerSlot};
