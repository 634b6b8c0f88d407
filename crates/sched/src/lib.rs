//! Placement decisions for one data centre, without input or output.
//!
//! `PlacementCore` takes in events and returns actions. Around it are pure functions that the rest of
//! the system shares: packing of guarantees and the choice of a data centre for a new job.

mod account_usage;
mod adopted_binding;
mod attempt_hold;
mod block_index;
mod borrowed_pass;
mod cell_block;
mod cell_counts;
mod cell_demand;
mod cell_pick;
mod centre_choice;
mod centre_phase;
mod evacuation_pass;
mod event;
mod gang_queue;
mod guarantee_ledger;
mod guarantee_pack;
mod guaranteed_pass;
mod job_entry;
mod job_intake;
mod placement_core;
mod placement_dump;
mod placement_options;
mod placement_summary;
mod pool_state;
mod process_pick;
mod queue_cursor;
mod rack_entry;
mod reclaim_pick;
mod reservation_pass;
mod shape_fit;
mod worker_entry;
mod worker_health;
mod worker_intake;
mod worker_load;

pub use cell_block::CellBlock;
pub use cell_counts::CellCounts;
pub use centre_choice::choose_centre;
pub use event::{
    AccountShare, AttemptEnd, GangPlacement, MemberPlacement, PlacementAction, PlacementEvent, PreemptReason,
};
pub use guarantee_pack::{check_guarantees, pack_guarantees};
pub use placement_core::PlacementCore;
pub use placement_dump::{BindingDump, JobDump, PlacementDump, WorkerDump};
pub use placement_options::PlacementOptions;
pub use placement_summary::{AccountSummary, GuaranteeShortfall, PlacementSummary};
pub use worker_load::{WorkerLoad, WorkerSlot};
