//! A minion that starts again under its id while the write of an earlier heartbeat is performed late.

use std::time::Duration;

use serde_json::json;

use crate::deployment::{Deployment, PREFIX};
use crate::record::Record;
use crate::{Verdict, trouble};

const MINIONS: u64 = 8;
/// Time from sending the lost heartbeat to its effect; `platform_lost` with `late` takes 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_000);
/// Time for which the crashed minion is down; `srv_crash` lasts 4.5 s in the site file.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time from the lost heartbeat to the second job, and from there to the end of the case.
const SECOND_AFTER: Duration = Duration::from_millis(2_200);
const END_AFTER: Duration = Duration::from_millis(14_000);

pub fn run(record: Record) -> Verdict {
    let mut deployment = Deployment::start(record, MINIONS as usize, 3);
    if !deployment.wait_ready() {
        return Verdict::NotRun("the edge processes are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    // Fills all minions but one until shortly before the late write.
    let first = json!({
        "spec": "run_ms=5400",
        "steps": [{ "count": 8 * (MINIONS - 1), "cpu": 8000, "mem_mb": 16000, "gpu": 1, "estimate_ms": 5400 }],
    });
    if !deployment.submit(&format!("{PREFIX}f111e70000000000"), &first) {
        return Verdict::NotRun("the first job was not accepted".into());
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let ledger = deployment.ledger.clone();
    let free: Vec<_> = deployment
        .minions
        .iter()
        .filter(|minion| !ledger.lock().unwrap().is_occupied(minion.id()))
        .collect();
    let [free] = free[..] else {
        return Verdict::NotRun(format!("{} minions are free", free.len()));
    };
    if trouble() {
        free.lose_beat(LATE);
        free.crash(DOWN);
    }
    std::thread::sleep(SECOND_AFTER);
    let second = json!({
        "spec": "run_ms=8000",
        "steps": [{ "count": 6, "cpu": 8000, "mem_mb": 16000, "gpu": 1, "estimate_ms": 8000 }],
    });
    let path = format!("{PREFIX}5c0e7a21d94b36f8");
    if !deployment.submit(&path, &second) {
        return Verdict::NotRun("the second job was not accepted".into());
    }
    std::thread::sleep(END_AFTER);
    deployment.state_of(&path);
    for edge in &mut deployment.edges {
        edge.kill();
    }
    let ledger = deployment.ledger.lock().unwrap();
    let twice = ledger.twice();
    for line in &twice {
        deployment.record.line(&format!("TWICE {line}"));
    }
    match twice.first() {
        Some(line) => Verdict::Broken(format!("{} starts, the first: {line}", twice.len())),
        None => Verdict::Held,
    }
}
