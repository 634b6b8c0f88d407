//! Preemption: which runs give way to work of higher rank, and the capacity that is reserved meanwhile.

pub(crate) mod capacity_reservation;
pub(crate) mod preemption_pass;
pub(crate) mod preemption_plan;
pub(crate) mod victim_list;
