//! A job record that outgrows a row of the store: occurrences that fell due during an outage start together.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::deployment::Deployment;
use crate::record::Record;
use crate::store::Mode;
use crate::{Verdict, trouble};

const REPEATED: &str = "/work/5c0e7a21d94b36f8";
const OTHER: &str = "/work/0a21d94b36f85c0e";
const TASKS: u64 = 400;
const OCCURRENCES: u64 = 16;
const INTERVAL_MS: u64 = 500;
/// Time from the submission to the first occurrence, and to the outage, in milliseconds.
const FIRST_AFTER_MS: u64 = 1_500;
const OUTAGE_AFTER: Duration = Duration::from_millis(2_600);
/// Duration of the outage: `platform_down` lasts 4.5 s in the site file.
const OUTAGE: Duration = Duration::from_millis(4_500);
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running although there is room for it.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

pub fn run(record: Record) -> Verdict {
    let mut deployment = Deployment::start(record, 10, 3);
    if !deployment.wait_ready() {
        return Verdict::NotRun("the edge processes are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let wall_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64);
    let repeated = json!({
        "spec": "run_ms=300", "repeats": OCCURRENCES, "first_ms": wall_ms + FIRST_AFTER_MS, "interval_ms": INTERVAL_MS,
        "steps": [{ "count": TASKS, "cpu": 100, "mem_mb": 64, "estimate_ms": 300 }],
    });
    if !deployment.submit(REPEATED, &repeated) {
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
    std::thread::sleep(Duration::from_secs(1));
    let other = json!({
        "spec": "run_ms=1000", "steps": [{ "count": 3, "cpu": 7500, "mem_mb": 39000, "gpu": 1, "estimate_ms": 1000 }],
    });
    if !deployment.submit(OTHER, &other) {
        return Verdict::NotRun("the second job was not accepted".into());
    }
    // The end of the traffic; jobs are asked for `finish_s` later.
    std::thread::sleep(FINISH);
    let idle_since = Instant::now();
    let mut idle = true;
    while idle && idle_since.elapsed() < IDLE_LIMIT {
        let ledger = deployment.ledger.lock().unwrap();
        // Nothing at all runs, so that the whole service is free.
        idle = ledger.running_total() == 0;
        drop(ledger);
        std::thread::sleep(Duration::from_millis(20));
    }
    let states = [REPEATED, OTHER].map(|id| (id, deployment.state_of(id)));
    let (refused, last) = deployment.store.oversized();
    deployment.record.line(&format!(
        "states={states:?} refused_transactions={refused} last={last:?}"
    ));
    for edge in &mut deployment.edges {
        edge.kill();
    }
    let ledger = deployment.ledger.lock().unwrap();
    for line in ledger.twice() {
        deployment.record.line(&format!("TWICE {line}"));
    }
    let open = states
        .iter()
        .filter(|(_, state)| !matches!(state.as_deref(), Some("completed")));
    let open: Vec<&str> = open.map(|(id, _)| *id).collect();
    if open.is_empty() || !idle {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "jobs {open:?} have nothing running for 3 s, {} s after the end of the traffic, with all minions free",
        FINISH.as_secs()
    ))
}
