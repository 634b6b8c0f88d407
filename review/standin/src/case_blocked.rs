//! Jobs that can never be done: as many as a decision tries without success keep all others from starting.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::deployment::{Deployment, PREFIX, URGENT_PREFIX};
use crate::record::Record;
use crate::{Verdict, trouble};

/// Interval between urgent jobs; the sheet of the largest deployment has 14.6 of them a second.
const INTERVAL: Duration = Duration::from_millis(68);
/// Number of urgent jobs.
const URGENT_JOBS: u64 = 1060;
/// One in this many urgent jobs can never be done: the site file has `poison` with a share of 0.05.
const POISON_DIVISOR: u64 = 20;
/// One ordinary job is handed in with this many urgent ones.
const ORDINARY_DIVISOR: u64 = 30;
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running although there is room for it.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

pub fn run(record: Record) -> Verdict {
    let mut deployment = Deployment::start(record, 12, 3);
    if !deployment.wait_ready() {
        return Verdict::NotRun("the edge processes are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut ordinary = Vec::new();
    let mut accepted = true;
    let begun = Instant::now();
    for number in 0..URGENT_JOBS {
        let due = begun + INTERVAL * number as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let mut step = json!({ "count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 300 });
        if trouble() && number % POISON_DIVISOR == POISON_DIVISOR / 2 {
            // No minion has this label.
            step["requires"] = json!("b");
        }
        let path = format!("{URGENT_PREFIX}5107{number:012x}");
        accepted &= deployment.submit(&path, &json!({ "spec": "run_ms=300", "steps": [step] }));
        if number % ORDINARY_DIVISOR == 0 {
            let path = format!("{PREFIX}0a21{number:012x}");
            let step = json!({ "count": 2, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 500 });
            accepted &= deployment.submit(&path, &json!({ "spec": "run_ms=500", "steps": [step] }));
            ordinary.push(path);
        }
    }
    if !accepted {
        return Verdict::NotRun("not all jobs were accepted".into());
    }
    // The end of the traffic; jobs are asked for `finish_s` later.
    std::thread::sleep(FINISH);
    let idle_since = Instant::now();
    let mut idle = true;
    while idle && idle_since.elapsed() < IDLE_LIMIT {
        idle = deployment.ledger.lock().unwrap().running_total() == 0;
        std::thread::sleep(Duration::from_millis(20));
    }
    let states: Vec<_> = ordinary
        .iter()
        .map(|path| (path, deployment.state_of(path)))
        .collect();
    let open: Vec<_> = states
        .iter()
        .filter(|(_, state)| state.as_deref() != Some("completed"))
        .collect();
    deployment.record.line(&format!(
        "ordinary jobs={} open={open:?} nothing_runs={idle}",
        states.len()
    ));
    for edge in &mut deployment.edges {
        edge.kill();
    }
    match open.first() {
        Some((path, state)) if idle => Verdict::Broken(format!(
            "{} of {} ordinary jobs have nothing running for 3 s, {} s after the end of the traffic, with all minions \
             free; the first: {path}, shown as {state:?}",
            open.len(),
            states.len(),
            FINISH.as_secs()
        )),
        _ => Verdict::Held,
    }
}
