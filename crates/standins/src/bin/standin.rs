//! Program `standin`: runs stand-ins for the platform, workers or upstreams in a separate process.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use arbutuspick_clients::VmEntry;
use arbutuspick_model::{CentreName, FieldError, ServiceName, WORKER_ACCELERATORS, WorkerCapacity};
use arbutuspick_standins::{
    ControlClient, PlatformControl, PlatformOptions, PlatformSettings, PlatformStandin, UpstreamFleet,
    UpstreamFleetOptions, WorkerFleet, WorkerFleetOptions,
};
use getopts::{Matches, Options};
use serde_json::json;

const USAGE: &str = "Usage: standin platform|workers|upstreams [options]";

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::from(2)
        }
    }
}

async fn run() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    let Some((command, rest)) = arguments.split_first() else {
        return Err(options.usage(USAGE).into());
    };
    let matches = options.parse(rest)?;
    match command.as_str() {
        "platform" => run_platform(&matches).await,
        "workers" => run_workers(&matches).await,
        "upstreams" => run_upstreams(&matches).await,
        _ => Err(options.usage(USAGE).into()),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "port",
        "platform: port, 0 for an ephemeral one (default 0)",
        "PORT",
    );
    options.optopt(
        "",
        "vms",
        "platform: YAML file with the first list of VMs",
        "FILE",
    );
    options.optopt(
        "",
        "vm-lag-ms",
        "platform: lag of the list of VMs (default 0)",
        "MS",
    );
    options.optmulti(
        "",
        "door",
        "platform: further listener with an outage switch",
        "NAME",
    );
    options.optopt("", "count", "number of workers or upstreams (default 1)", "N");
    options.optopt("", "data-centre", "data centre of workers or upstreams", "NAME");
    options.optopt("", "rack-size", "workers of a rack (default 8)", "N");
    options.optopt("", "cores", "cores of a worker (default 64)", "N");
    options.optopt("", "memory-mib", "memory of a worker (default 262144)", "N");
    options.optopt("", "accelerators", "accelerators of a worker (default 8)", "N");
    options.optopt(
        "",
        "base-port",
        "first port, 0 for ephemeral ones (default 0)",
        "PORT",
    );
    options.optopt("", "service", "service of the upstreams", "NAME");
    options.optopt("", "slots", "slots of an upstream (default 8)", "N");
    options.optopt("", "connections", "connections of an upstream (default 64)", "N");
    options.optopt(
        "",
        "platform",
        "platform to register at and to write checkpoints to",
        "ADDRESS",
    );
    options
}

fn numeric_option<T>(matches: &Matches, name: &str, default: T) -> Result<T, FieldError>
where
    T: FromStr,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| FieldError::new(name, text, "must be a number in range"))
}

fn data_centre_option(matches: &Matches) -> Result<CentreName, FieldError> {
    CentreName::try_from(matches.opt_str("data-centre").unwrap_or_default())
}

fn platform_option(matches: &Matches) -> Result<Option<SocketAddr>, FieldError> {
    let Some(text) = matches.opt_str("platform") else {
        return Ok(None);
    };
    let address = text
        .parse()
        .map_err(|_| FieldError::new("platform", text, "must be an IP address and port"))?;
    Ok(Some(address))
}

async fn run_platform(matches: &Matches) -> Result<(), Box<dyn Error>> {
    let vms: Vec<VmEntry> = match matches.opt_str("vms") {
        Some(file) => serde_yaml_ng::from_str(&fs::read_to_string(&file)?)
            .map_err(|e| format!("cannot read {file:?}: {e}"))?,
        None => Vec::new(),
    };
    let settings = PlatformSettings {
        vm_lag_ms: numeric_option(matches, "vm-lag-ms", 0)?,
        ..PlatformSettings::default()
    };
    let platform = PlatformStandin::start(PlatformOptions {
        port: numeric_option(matches, "port", 0)?,
        listeners: matches.opt_strs("door"),
        vms,
        settings,
    })
    .await?;
    println!(
        "{}",
        json!({"platform": platform.address(), "doors": platform.listeners()})
    );
    wait_for_signal().await
}

async fn run_workers(matches: &Matches) -> Result<(), Box<dyn Error>> {
    let default = WorkerCapacity::default();
    let mut options =
        WorkerFleetOptions::new(numeric_option(matches, "count", 1)?, data_centre_option(matches)?);
    options.rack_size = numeric_option(matches, "rack-size", options.rack_size)?;
    options.base_port = numeric_option(matches, "base-port", 0)?;
    options.platform = platform_option(matches)?;
    options.capacity = WorkerCapacity {
        accelerators: numeric_option(matches, "accelerators", default.accelerators)?,
        cores: numeric_option(matches, "cores", default.cores)?,
        memory_mib: numeric_option(matches, "memory-mib", default.memory_mib)?,
    };
    if options.capacity.accelerators > WORKER_ACCELERATORS {
        let accelerators = options.capacity.accelerators;
        return Err(FieldError::new("accelerators", accelerators, "must be at most 8").into());
    }
    let fleet = WorkerFleet::start(&options).await?;
    register_vms(options.platform, fleet.entries()).await?;
    wait_for_signal().await
}

async fn run_upstreams(matches: &Matches) -> Result<(), Box<dyn Error>> {
    let service = ServiceName::try_from(matches.opt_str("service").unwrap_or_default())?;
    let mut options = UpstreamFleetOptions::new(
        numeric_option(matches, "count", 1)?,
        data_centre_option(matches)?,
        service,
    );
    options.slots = numeric_option(matches, "slots", options.slots)?;
    options.max_connections = numeric_option(matches, "connections", options.max_connections)?;
    options.base_port = numeric_option(matches, "base-port", 0)?;
    let fleet = UpstreamFleet::start(&options).await?;
    register_vms(platform_option(matches)?, fleet.entries()).await?;
    wait_for_signal().await
}

/// Registers the VMs with the platform, if one is given, and prints them as one line of JSON.
async fn register_vms(platform: Option<SocketAddr>, vms: Vec<VmEntry>) -> Result<(), Box<dyn Error>> {
    let line = serde_json::to_string(&json!({ "vms": vms }))?;
    if let Some(address) = platform {
        let control = PlatformControl {
            add_vms: vms,
            ..PlatformControl::default()
        };
        let _: PlatformSettings = ControlClient::new().post(address, "/control", &control).await?;
    }
    println!("{line}");
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> Result<(), Box<dyn Error>> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
