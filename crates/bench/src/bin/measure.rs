//! Compares the placement core with a baseline by completion time, fragmentation, and work done while a data
//! centre leaves and returns.

use std::process::ExitCode;
use std::thread::{self, ScopedJoinHandle};

use arbutuspick_bench::{
    ArrivalGenerator, ComparisonReport, DeploymentPlan, PlacementSimulation, PolicyKind, SimulationOutcome,
    SimulationSettings,
};
use getopts::{Matches, Options};

/// Number of seeds that are simulated at the same time.
const PARALLEL_SEEDS: usize = 5;

/// Parsed command line.
struct MeasureArguments {
    plan: DeploymentPlan,
    seeds: Vec<u64>,
    settings: SimulationSettings,
    kinds: Vec<PolicyKind>,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "deployment", "midlands (default) or nordeste", "NAME");
    options.optopt("", "seeds", "number of seeds, starting at 1 (default 5)", "N");
    options.optopt("", "seed", "simulate only this seed", "S");
    options.optopt(
        "",
        "load",
        "offered load as a fraction of the accelerators (default 0.85)",
        "PART",
    );
    options.optopt(
        "",
        "policy",
        "core, baseline, skipping (a baseline that skips jobs that do not fit), both (core and baseline, \
         default) or all",
        "NAME",
    );
    options.optflag("h", "help", "print this text");
    options
}

fn parse_number<T>(matches: &Matches, name: &str, default: T) -> Result<T, String>
where
    T: std::str::FromStr,
{
    let value = matches.opt_str(name);
    value.map_or(Ok(default), |value| {
        value
            .parse()
            .map_err(|_| format!("--{name} {value}: must be a number"))
    })
}

fn parse_arguments(matches: &Matches) -> Result<MeasureArguments, String> {
    let name = matches.opt_str("deployment").unwrap_or_else(|| "midlands".into());
    let plan = DeploymentPlan::by_name(&name)
        .ok_or_else(|| format!("--deployment {name}: must be midlands or nordeste"))?;
    let seeds = match matches.opt_str("seed") {
        Some(_) => vec![parse_number(matches, "seed", 1)?],
        None => (1..=parse_number(matches, "seeds", 5)?).collect(),
    };
    let load = parse_number(matches, "load", 0.85)?;
    if !(0.01..=2.0).contains(&load) {
        return Err(format!("--load {load}: must be from 0.01 to 2"));
    }
    let policy = matches.opt_str("policy").unwrap_or_else(|| "both".into());
    let kinds = match policy.as_str() {
        "core" => vec![PolicyKind::Core],
        "baseline" => vec![PolicyKind::Baseline],
        "skipping" => vec![PolicyKind::SkippingBaseline],
        "both" => vec![PolicyKind::Core, PolicyKind::Baseline],
        "all" => vec![
            PolicyKind::Core,
            PolicyKind::Baseline,
            PolicyKind::SkippingBaseline,
        ],
        _ => {
            return Err(format!(
                "--policy {policy}: must be core, baseline, skipping, both or all"
            ));
        }
    };
    let settings = SimulationSettings {
        load,
        ..SimulationSettings::default()
    };
    Ok(MeasureArguments {
        plan,
        seeds,
        settings,
        kinds,
    })
}

/// Simulates all requested policies on the workload of one seed.
fn measure_seed(arguments: &MeasureArguments, seed: u64) -> Result<Vec<SimulationOutcome>, String> {
    let MeasureArguments {
        plan,
        settings,
        kinds,
        ..
    } = arguments;
    let arrivals = ArrivalGenerator::new(plan, seed).generate(settings.load, settings.horizon_ms);
    let run = |kind: &PolicyKind| {
        let simulation = PlacementSimulation::new(plan, settings, *kind, &arrivals, seed);
        simulation
            .run()
            .map_err(|error| format!("seed {seed}, policy {}: {error}", kind.label()))
    };
    kinds.iter().map(run).collect()
}

fn measure(arguments: &MeasureArguments) -> Result<ComparisonReport, String> {
    let mut report = ComparisonReport::default();
    for seeds in arguments.seeds.chunks(PARALLEL_SEEDS) {
        let results: Vec<_> = thread::scope(|scope| {
            let spawn = |seed: &u64| {
                let seed = *seed;
                scope.spawn(move || measure_seed(arguments, seed))
            };
            let threads: Vec<_> = seeds.iter().map(spawn).collect();
            threads.into_iter().map(ScopedJoinHandle::join).collect()
        });
        for result in results {
            report
                .outcomes
                .extend(result.map_err(|_| "a simulation panicked")??);
        }
    }
    Ok(report)
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("measure: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: measure [options]"));
        return ExitCode::SUCCESS;
    }
    let arguments = match parse_arguments(&matches) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("measure: {error}");
            return ExitCode::from(2);
        }
    };
    match measure(&arguments) {
        Ok(report) => {
            let (name, load) = (arguments.plan.name, arguments.settings.load);
            println!(
                "Deployment {name}, offered load {load}, seeds {:?}\n",
                arguments.seeds
            );
            print!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}
