//! Emulates a load on the pool scheduler in virtual time and prints what its callers get.

use std::process::ExitCode;
use std::thread;

use arbutuspick_bench::{PoolEmulator, PoolLoadOutcome, PoolLoadPlan};
use getopts::{Matches, Options};

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "workers", "number of workers (default 540)", "N");
    options.optopt("", "accounts", "number of client accounts (default 24)", "N");
    options.optopt("", "rate", "jobs per second (default 24)", "R");
    options.optopt("", "seconds", "length of the load in seconds (default 40)", "S");
    options.optopt(
        "",
        "burst",
        "factor on urgent jobs in the second quarter (default 1.9)",
        "X",
    );
    options.optopt("", "failing", "percent of runs that fail (default 1)", "P");
    options.optopt(
        "",
        "leaving",
        "percent of workers that leave in the middle (default 9)",
        "P",
    );
    options.optopt("", "seeds", "number of seeds, starting at 1 (default 3)", "N");
    options.optopt(
        "",
        "cost",
        "virtual time of a decision in percent of its processor time (default 0)",
        "P",
    );
    options.optflag("h", "help", "print this text");
    options
}

fn number<T>(matches: &Matches, name: &str, default: T) -> Result<T, String>
where
    T: std::str::FromStr,
{
    let Some(value) = matches.opt_str(name) else {
        return Ok(default);
    };
    value
        .parse()
        .map_err(|_| format!("--{name} {value}: must be a number"))
}

fn plan(matches: &Matches, seed: u64) -> Result<PoolLoadPlan, String> {
    let seconds: u64 = number(matches, "seconds", 40)?;
    Ok(PoolLoadPlan {
        workers: number(matches, "workers", 540)?,
        accounts: number(matches, "accounts", 24)?,
        arrivals_per_s: number(matches, "rate", 24.0)?,
        length_ms: seconds * 1_000,
        urgent_burst: number(matches, "burst", 1.9)?,
        failing_percent: number(matches, "failing", 1)?,
        leaving_percent: number(matches, "leaving", 9)?,
        seed,
        decision_cost_percent: number(matches, "cost", 0)?,
    })
}

fn run(matches: &Matches) -> Result<(), String> {
    let seeds: u64 = number(matches, "seeds", 3)?;
    let plans = (1..=seeds).map(|seed| plan(matches, seed));
    let plans: Vec<PoolLoadPlan> = plans.collect::<Result<_, _>>()?;
    let outcomes: Vec<PoolLoadOutcome> = thread::scope(|scope| {
        let runs = plans
            .into_iter()
            .map(|plan| scope.spawn(move || PoolEmulator::new(plan).run()));
        let runs: Vec<_> = runs.collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    });
    for (seed, outcome) in (1..=seeds).zip(&outcomes) {
        println!("seed {seed}\n{}", outcome.table());
    }
    if (outcomes.len() as u64) < seeds {
        return Err(format!(
            "{} of {seeds} emulations failed",
            seeds - outcomes.len() as u64
        ));
    }
    #[allow(clippy::cast_precision_loss)]
    let mean = outcomes.iter().map(PoolLoadOutcome::worth).sum::<f64>() / (outcomes.len() as f64).max(1.0);
    println!("mean worth {mean:.3}");
    Ok(())
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: pool_load [options]"));
        return ExitCode::SUCCESS;
    }
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
