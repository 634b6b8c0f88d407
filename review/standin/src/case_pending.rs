//! Jobs whose starts a minion has refused: none has begun, but the number of pending jobs leaves them out.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::deployment::{Deployment, PREFIX};
use crate::record::Record;
use crate::{Verdict, trouble};

const MINIONS: u64 = 12;
/// Jobs that come while one minion refuses all calls and the others are full.
const JOBS: u64 = 6;
/// Duration of the refusals: `srv_grey` with `errors` lasts 6.5 s in the site file.
const GREY: Duration = Duration::from_millis(6_500);
/// Age from which a job that has not begun counts: `visible_ms` and 2 s more.
const VISIBLE: Duration = Duration::from_millis(5_000);

pub fn run(record: Record) -> Verdict {
    let mut deployment = Deployment::start(record, MINIONS as usize, 3);
    if !deployment.wait_ready() {
        return Verdict::NotRun("the edge processes are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    // Fills all minions but one.
    let filler = json!({
        "spec": "run_ms=9000",
        "steps": [{ "count": 8 * (MINIONS - 1), "cpu": 8000, "mem_mb": 16000, "gpu": 1, "estimate_ms": 9000 }],
    });
    if !deployment.submit(&format!("{PREFIX}f111e70000000000"), &filler) {
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
        deployment
            .record
            .line(&format!("trouble srv_grey how=errors x=1.0 minion={}", free.id()));
        free.refuse(GREY);
    }
    let job = json!({
        "spec": "run_ms=1000",
        "steps": [{ "count": 1, "cpu": 8000, "mem_mb": 16000, "gpu": 1, "estimate_ms": 1000 }],
    });
    let ids: Vec<String> = (0..JOBS).map(|number| format!("0a21{number:012x}")).collect();
    for id in &ids {
        if !deployment.submit(&format!("{PREFIX}{id}"), &job) {
            return Verdict::NotRun("a job was not accepted".into());
        }
    }
    std::thread::sleep(VISIBLE);
    let until = Instant::now() + Duration::from_millis(1_200);
    let mut broken = None;
    while Instant::now() < until {
        for edge in 0..deployment.edges.len() {
            let answer = deployment.client(edge, "GET", PREFIX, "");
            // Jobs that begin meanwhile are left out in favour of the process.
            let begun: Vec<String> = ledger
                .lock()
                .unwrap()
                .starts
                .iter()
                .map(|start| start.task.clone())
                .collect();
            let open = ids
                .iter()
                .filter(|id| !begun.iter().any(|task| task.starts_with(id.as_str())))
                .count();
            let Ok((200, body)) = answer else { continue };
            let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
            let pending = body["pending"].as_u64().unwrap_or(0) as usize;
            if pending * 2 < open {
                let name = &deployment.edges[edge].name;
                broken = Some(format!(
                    "{name} gives {pending} pending; {open} jobs accepted over 5 s ago have not begun"
                ));
                deployment.record.line(&format!("MIXED {broken:?}"));
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(6));
    for id in &ids {
        deployment.state_of(&format!("{PREFIX}{id}"));
    }
    for edge in &mut deployment.edges {
        edge.kill();
    }
    broken.map_or(Verdict::Held, Verdict::Broken)
}
