//! The program `arbutuspick`; see `arbutuspick --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    arbutuspick_entry::run_command(&arguments).into()
}
