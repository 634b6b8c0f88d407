//! Loops that follow the platform's list of VMs and the upstreams.

mod health_check;
mod list_poll;
mod queue_tick;

pub(crate) use health_check::run_health_checks;
pub(crate) use list_poll::run_list_poll;
pub(crate) use queue_tick::run_queue_ticks;
