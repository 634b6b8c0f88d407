//! Placement of waiting work: its order, the choice of workers, and the reasons why it waits.

pub(crate) mod blocked_needs;
pub(crate) mod capacity_forecast;
pub(crate) mod contested_workers;
pub(crate) mod free_bounds;
pub(crate) mod placement_need;
pub(crate) mod placement_pass;
pub(crate) mod search_budget;
pub(crate) mod unit_order;
pub(crate) mod urgent_demand;
pub(crate) mod urgent_room;
pub(crate) mod wait_reason;
pub(crate) mod waiting_unit;
pub(crate) mod worker_choice;
pub(crate) mod worker_search;
