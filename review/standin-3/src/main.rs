//! Plays one case of the review: `review-case NAME FOLDER`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the
//! disruption.

mod cases;
mod deployment;
mod edge;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// How a case has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {name} trouble={trouble}"));
    let outcome = cases::play(name, trouble, &record);
    record.line(&format!("outcome: {outcome:?}"));
    println!("{name} trouble={trouble}: {outcome:?}");
    ExitCode::from(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun => 2,
    })
}
