//! More ends than one answer lists: the store is down while the tasks of one minion end.

use std::time::Duration;

use serde_json::json;

use crate::deployment::Deployment;
use crate::record::Record;
use crate::store::Mode;
use crate::{Verdict, trouble};

const JOB: &str = "/work/5c0e7a21d94b36f8";
const TASKS: u64 = 620;
/// Time from the submission to the outage; the tasks work 4 to 8 s.
const OUTAGE_AFTER: Duration = Duration::from_millis(4_000);
/// Duration of the outage: `platform_down` lasts 4.5 s in the site file.
const OUTAGE: Duration = Duration::from_millis(4_500);
const FINISH_S: u64 = 14;

pub fn run(record: Record) -> Verdict {
    let mut deployment = Deployment::start(record, 4, 3);
    if !deployment.wait_ready() {
        return Verdict::NotRun("the edge processes are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let job = json!({
        "spec": "run_ms=4000..8000",
        "steps": [{ "count": TASKS, "cpu": 100, "mem_mb": 64, "estimate_ms": 6000 }],
    });
    if !deployment.submit(JOB, &job) {
        return Verdict::NotRun("the job was not accepted".into());
    }
    std::thread::sleep(OUTAGE_AFTER);
    if trouble() {
        deployment.record.line("trouble platform_down how=busy");
        deployment.store.set_mode(Mode::Busy);
    }
    std::thread::sleep(OUTAGE);
    deployment.store.set_mode(Mode::Up);
    deployment.record.line("the store is up");
    std::thread::sleep(Duration::from_secs(FINISH_S));
    let state = deployment.state_of(JOB);
    deployment.record.line(&format!("state of the job: {state:?}"));
    for edge in &mut deployment.edges {
        edge.kill();
    }
    let ledger = deployment.ledger.lock().unwrap();
    let twice = ledger.twice();
    deployment.record.line(&format!(
        "starts={} ends={}",
        ledger.starts.len(),
        ledger.ends.len()
    ));
    for line in &twice {
        deployment.record.line(&format!("TWICE {line}"));
    }
    if ledger.starts.len() < TASKS as usize {
        return Verdict::NotRun("not all tasks were started".into());
    }
    match twice.first() {
        Some(line) => Verdict::Broken(format!("{} starts, the first: {line}", twice.len())),
        None => Verdict::Held,
    }
}
