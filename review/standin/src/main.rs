//! Stand-ins for the store, the minions and the clients, and the cases that use them: `review-standin CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod case_blocked;
mod case_ends;
mod case_evacuation;
mod case_restart;
mod case_row;
mod deployment;
mod http;
mod minion;
mod record;
mod store;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Broken(String),
    Held,
    NotRun(String),
}

/// Returns whether the case is to inject its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-standin CASE RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot create {path}: {error}");
            std::process::exit(2);
        }
    };
    let verdict = match case.as_str() {
        "blocked" => case_blocked::run(record.clone()),
        "ends" => case_ends::run(record.clone()),
        "evacuation" => case_evacuation::run(record.clone()),
        "restart" => case_restart::run(record.clone()),
        "row" => case_row::run(record.clone()),
        _ => Verdict::NotRun(format!("unknown case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
