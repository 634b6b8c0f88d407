//! Command line of the program `arbutuspick`.

mod command_line;
mod exit_status;
mod log_setup;

pub use command_line::{CommandLine, USAGE, run_command};
pub use exit_status::ExitStatus;
pub use log_setup::start_log;
