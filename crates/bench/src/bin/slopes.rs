//! Prints how decision time, memory and encoded sizes grow with the size of the state.

use std::fs;
use std::process::ExitCode;

use arbutuspick_bench::{
    blocked_unit_slopes, due_queue_slopes, encoded_sizes, gang_slopes, memory_slopes, queue_slopes,
    route_slopes, running_slopes, worker_slopes,
};
use getopts::Options;

/// Returns the number of cores and the memory size of the machine.
fn machine_description() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = memory.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib: u64 = total
        .and_then(|total| total.trim().strip_suffix(" kB")?.trim().parse().ok())
        .unwrap_or(0);
    format!("{cores} cores, {} GiB of memory", kib / (1 << 20))
}

fn print_part(part: &str) {
    match part {
        // Must come first when all parts are measured: reuse of memory freed by other parts would hide growth.
        "memory" => memory_slopes().iter().for_each(|series| println!("{series}")),
        "placement" => {
            for measure in [
                worker_slopes,
                queue_slopes,
                due_queue_slopes,
                gang_slopes,
                running_slopes,
            ] {
                measure().iter().for_each(|series| println!("{series}"));
            }
        }
        "blocked" => blocked_unit_slopes()
            .iter()
            .for_each(|series| println!("{series}")),
        "route" => {
            for threads in [1, 4] {
                println!("{threads} threads:\n\n{}", route_slopes(threads));
            }
        }
        _ => encoded_sizes().iter().for_each(|series| println!("{series}")),
    }
}

fn main() -> ExitCode {
    let parts = ["memory", "placement", "blocked", "route", "sizes"];
    let mut options = Options::new();
    options.optopt(
        "",
        "part",
        "memory, placement, blocked, route or sizes (default: all)",
        "NAME",
    );
    options.optflag("h", "help", "print this text");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("slopes: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: slopes [options]"));
        return ExitCode::SUCCESS;
    }
    let chosen = matches.opt_str("part");
    if let Some(part) = chosen.as_deref().filter(|part| !parts.contains(part)) {
        eprintln!("slopes: --part {part}: must be memory, placement, route or sizes");
        return ExitCode::from(2);
    }
    println!("Machine: {}\n", machine_description());
    for part in parts {
        if chosen.as_deref().is_none_or(|chosen| chosen == part) {
            println!("## {part}\n");
            print_part(part);
        }
    }
    ExitCode::SUCCESS
}
