//! Measures completion time, fragmentation and work during departure and return against a baseline.

use std::process::ExitCode;
use std::thread::{self, ScopedJoinHandle};

use arbutuspick_bench::{
    ArrivalGenerator, DeploymentPlan, MeasureReport, PolicyKind, RunOutcome, RunSettings, VirtualRun,
};
use getopts::{Matches, Options};

/// Seeds that run at the same time.
const PARALLEL_SEEDS: usize = 5;

/// What the command line asks for.
struct MeasureRequest {
    plan: DeploymentPlan,
    seeds: Vec<u64>,
    settings: RunSettings,
    kinds: Vec<PolicyKind>,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "deployment", "midlands (default) or nordeste", "NAME");
    options.optopt("", "seeds", "number of seeds, from 1 on (default 5)", "N");
    options.optopt("", "seed", "only this seed", "S");
    options.optopt(
        "",
        "load",
        "offered part of the accelerators (default 0.85)",
        "PART",
    );
    options.optopt(
        "",
        "policy",
        "core, baseline, skipping (a baseline in which later jobs pass one that does not fit), \
         both (default) or all",
        "NAME",
    );
    options.optflag("h", "help", "show this text");
    options
}

fn number<T>(matches: &Matches, name: &str, default: T) -> Result<T, String>
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

fn read_request(matches: &Matches) -> Result<MeasureRequest, String> {
    let name = matches.opt_str("deployment").unwrap_or_else(|| "midlands".into());
    let plan = DeploymentPlan::named(&name)
        .ok_or_else(|| format!("--deployment {name}: must be midlands or nordeste"))?;
    let seeds = match matches.opt_str("seed") {
        Some(_) => vec![number(matches, "seed", 1)?],
        None => (1..=number(matches, "seeds", 5)?).collect(),
    };
    let load = number(matches, "load", 0.85)?;
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
    let settings = RunSettings {
        load,
        ..RunSettings::default()
    };
    Ok(MeasureRequest {
        plan,
        seeds,
        settings,
        kinds,
    })
}

/// Runs all policies on the arrivals of one seed.
fn measure_seed(request: &MeasureRequest, seed: u64) -> Result<Vec<RunOutcome>, String> {
    let MeasureRequest {
        plan,
        settings,
        kinds,
        ..
    } = request;
    let arrivals = ArrivalGenerator::new(plan, seed).generate(settings.load, settings.horizon_ms);
    let run = |kind: &PolicyKind| {
        let run = VirtualRun::new(plan, settings, *kind, &arrivals, seed);
        run.run()
            .map_err(|fault| format!("seed {seed}, policy {}: {fault}", kind.label()))
    };
    kinds.iter().map(run).collect()
}

fn measure(request: &MeasureRequest) -> Result<MeasureReport, String> {
    let mut report = MeasureReport::default();
    for seeds in request.seeds.chunks(PARALLEL_SEEDS) {
        let results: Vec<_> = thread::scope(|scope| {
            let spawn = |seed: &u64| {
                let seed = *seed;
                scope.spawn(move || measure_seed(request, seed))
            };
            let threads: Vec<_> = seeds.iter().map(spawn).collect();
            threads.into_iter().map(ScopedJoinHandle::join).collect()
        });
        for result in results {
            report.outcomes.extend(result.map_err(|_| "a run panicked")??);
        }
    }
    Ok(report)
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(fault) => {
            eprintln!("measure: {fault}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: measure [options]"));
        return ExitCode::SUCCESS;
    }
    let request = match read_request(&matches) {
        Ok(request) => request,
        Err(fault) => {
            eprintln!("measure: {fault}");
            return ExitCode::from(2);
        }
    };
    match measure(&request) {
        Ok(report) => {
            let (name, load) = (request.plan.name, request.settings.load);
            println!(
                "Deployment {name}, offered load {load}, seeds {:?}\n",
                request.seeds
            );
            print!("{report}");
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("measure: {fault}");
            ExitCode::FAILURE
        }
    }
}
