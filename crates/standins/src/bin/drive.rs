//! Program `drive`: sends a workload to entry VMs and checks their answers against the stand-ins' logs.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;

use arbutuspick_model::CentreName;
use arbutuspick_standins::drive::{DriveOptions, Workload, drive_load};
use getopts::Options;

const USAGE: &str = "Usage: drive --workload FILE --platform ADDRESS --entry DATA-CENTRE=ADDRESS...";

#[tokio::main]
async fn main() -> ExitCode {
    let options = match read_options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("drive: {e}");
            return ExitCode::from(2);
        }
    };
    match drive_load(options).await {
        Ok(report) => {
            print!("{report}");
            if report.violations.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(e) => {
            eprintln!("drive: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read_options() -> Result<DriveOptions, Box<dyn Error>> {
    let mut options = Options::new();
    options.reqopt("", "workload", "YAML file with the load", "FILE");
    options.reqopt("", "platform", "address of the platform", "ADDRESS");
    options.optmulti(
        "",
        "entry",
        "HTTP address of an entry VM with its data centre",
        "DATA-CENTRE=ADDRESS",
    );
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|e| format!("{e}\n{}", options.usage(USAGE)))?;
    let file = matches.opt_str("workload").unwrap_or_default();
    let yaml = fs::read_to_string(&file).map_err(|e| format!("cannot read {file:?}: {e}"))?;
    let platform: SocketAddr = matches.opt_str("platform").unwrap_or_default().parse()?;
    let entries: Result<Vec<_>, _> = matches
        .opt_strs("entry")
        .iter()
        .map(|text| parse_entry(text))
        .collect();
    let entries = entries?;
    if entries.is_empty() {
        return Err(options.usage(USAGE).into());
    }
    if !entries.iter().all(|(_, address)| address.ip().is_loopback()) || !platform.ip().is_loopback() {
        return Err("entry VMs and platform must have loopback addresses".into());
    }
    Ok(DriveOptions {
        workload: Workload::parse(&yaml)?,
        entries,
        platform,
    })
}

fn parse_entry(text: &str) -> Result<(CentreName, SocketAddr), Box<dyn Error>> {
    let (centre, address) = text
        .split_once('=')
        .ok_or_else(|| format!("entry {text:?} must be DATA-CENTRE=ADDRESS"))?;
    Ok((CentreName::try_from(centre)?, address.parse()?))
}
