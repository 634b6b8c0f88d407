//! Periodic tasks: the poll of the VM list, health checks of upstreams, and the service of the wait queue.

mod health_check;
mod queue_tick;
mod vm_list_poll;

pub(crate) use health_check::run_health_checks;
pub(crate) use queue_tick::run_queue_ticks;
pub(crate) use vm_list_poll::run_vm_list_poll;
