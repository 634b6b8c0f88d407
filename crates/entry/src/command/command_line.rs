use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use arbutuspick_model::FieldError;
use getopts::Options;

use super::{ExitStatus, start_log};
use crate::daemon::run_daemon;
use crate::settings::{Settings, SettingsError, read_questionnaire};

/// Text of `--help`.
pub const USAGE: &str = "\
Usage: arbutuspick COMMAND

Commands:
  entry --settings FILE            run the entry daemon until SIGTERM or SIGINT
  check-config FILE                check a settings file
  generate --questionnaire FILE    print the account configuration for a questionnaire

Options:
  -h, --help       print this text
  -V, --version    print the version

Exit codes: 0 done or stopped as planned, 1 failure at run time, 2 wrong settings, questionnaire or
command line.
";

/// A checked command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandLine {
    /// Run the daemon with this settings file.
    Entry(PathBuf),
    /// Check this settings file.
    CheckConfig(PathBuf),
    /// Print the configuration for this questionnaire.
    Generate(PathBuf),
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
}

impl TryFrom<&[String]> for CommandLine {
    type Error = FieldError;

    /// Parses the arguments, which do not include the name of the program.
    fn try_from(arguments: &[String]) -> Result<Self, FieldError> {
        let mut options = Options::new();
        options.optflag("h", "help", "").optflag("V", "version", "");
        options
            .optopt("", "settings", "", "FILE")
            .optopt("", "questionnaire", "", "FILE");
        let matches = options.parse(arguments).map_err(|error| {
            FieldError::new("arguments", arguments.join(" "), format!("are wrong: {error}"))
        })?;
        if matches.opt_present("help") {
            return Ok(Self::Help);
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        let settings = matches.opt_str("settings").map(PathBuf::from);
        let questionnaire = matches.opt_str("questionnaire").map(PathBuf::from);
        let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        match (free.as_slice(), settings, questionnaire) {
            (["entry"], Some(path), None) => Ok(Self::Entry(path)),
            (["check-config", path], None, None) => Ok(Self::CheckConfig(path.into())),
            (["generate"], None, Some(path)) => Ok(Self::Generate(path)),
            ([], ..) => Err(FieldError::new(
                "command",
                "",
                "must be entry, check-config or generate",
            )),
            _ => Err(FieldError::new(
                "arguments",
                arguments.join(" "),
                "must be as --help shows",
            )),
        }
    }
}

/// Runs the program with these arguments, which do not include its name.
pub fn run_command(arguments: &[String]) -> ExitStatus {
    match CommandLine::try_from(arguments) {
        Ok(CommandLine::Entry(path)) => run_entry(&path),
        Ok(CommandLine::CheckConfig(path)) => check_config(&path),
        Ok(CommandLine::Generate(path)) => generate(&path),
        Ok(CommandLine::Help) => print(USAGE),
        Ok(CommandLine::Version) => print(concat!("arbutuspick ", env!("CARGO_PKG_VERSION"), "\n")),
        Err(error) => {
            eprintln!("arbutuspick: {error}\nTry --help.");
            ExitStatus::WrongInput
        }
    }
}

fn run_entry(path: &Path) -> ExitStatus {
    match Settings::from_file(path) {
        Ok(settings) => {
            start_log(settings.log_level);
            run_daemon(settings)
        }
        Err(error) => report_invalid(path, &error),
    }
}

fn check_config(path: &Path) -> ExitStatus {
    match Settings::from_file(path) {
        Ok(Settings { vm, data_centre, .. }) => {
            print(&format!("settings of {vm} in {data_centre} are valid\n"))
        }
        Err(error) => report_invalid(path, &error),
    }
}

fn generate(path: &Path) -> ExitStatus {
    let request = match read_questionnaire(path) {
        Ok(request) => request,
        Err(error) => return report_invalid(path, &error),
    };
    let accounts = BTreeMap::from([(request.account.clone(), request.generate_config())]);
    match serde_yaml_ng::to_string(&accounts) {
        Ok(yaml) => print(&yaml),
        Err(error) => {
            eprintln!("arbutuspick: {error}");
            ExitStatus::Failed
        }
    }
}

fn report_invalid(path: &Path, error: &SettingsError) -> ExitStatus {
    match error {
        SettingsError::Unreadable { .. } => eprintln!("arbutuspick: {error}"),
        _ => eprintln!("arbutuspick: {}: {error}", path.display()),
    }
    ExitStatus::WrongInput
}

/// Prints to the standard output; fails if it is closed.
fn print(text: &str) -> ExitStatus {
    use std::io::Write;
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitStatus::Done,
        Err(_) => ExitStatus::Failed,
    }
}
