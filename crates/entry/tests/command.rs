//! Command line and exit codes of the program.

use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_arbutuspick"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .output()
        .unwrap()
}

/// Guards against exit codes and messages that differ from the documented ones.
#[yare::parameterized(
    help = { &["--help"], 0, "Usage:" },
    version = { &["--version"], 0, "arbutuspick 0" },
    check = { &["check-config", "examples/midlands/trent-1.yaml"], 0, "trent-1" },
    generate = { &["generate", "--questionnaire", "examples/nordeste/questionnaire-species-checks.yaml"], 0, "max_queued_jobs: 900" },
    no_command = { &[], 2, "\"command\"" },
    wrong_command = { &["start"], 2, "start" },
    wrong_option = { &["entry", "--port", "80"], 2, "port" },
    no_settings = { &["entry"], 2, "--help" },
    no_file = { &["entry", "--settings", "examples/none.yaml"], 2, "examples/none.yaml" },
    unknown_field = { &["entry", "--settings", "examples/wrong/unknown-field.yaml"], 2, "http_lisen" },
    host_name = { &["entry", "--settings", "examples/wrong/host-name.yaml"], 2, "platform.internal:18000" },
    no_tokens = { &["check-config", "examples/wrong/no-tokens.yaml"], 2, "\"tokens\"" },
    wrong_answer = { &["generate", "--questionnaire", "examples/wrong/questionnaire.yaml"], 2, "field \"importance\": value \"utmost\" must be low, normal or high" },
    no_questionnaire = { &["generate", "--questionnaire", "examples/midlands/trent-1.yaml"], 2, "unknown field" },
)]
fn exit_code(arguments: &[&str], code: i32, part: &str) {
    let Output {
        status,
        stdout,
        stderr,
    } = run(arguments);
    let output = if code == 0 { stdout } else { stderr };
    let output = String::from_utf8(output).unwrap();
    assert_eq!(status.code(), Some(code), "{output}");
    assert!(output.contains(part), "{output:?} does not contain {part:?}");
}
