//! The daemon: shared state, start, background tasks and planned stop.

mod entry_context;
mod entry_daemon;
mod holder_task;
mod metrics_setup;
mod peer_handler;
mod stop_state;

pub(crate) use entry_context::EntryContext;
pub(crate) use entry_daemon::run_daemon;
pub use entry_daemon::{DaemonError, EntryDaemon};
pub(crate) use holder_task::HolderTask;
pub(crate) use stop_state::{StopPhase, StopState};
