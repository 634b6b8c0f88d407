//! A zone is evacuated while a new leader reads its tables: the leader doesn't learn of it.

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::deployment::{Deployment, PREFIX, ZONES};
use crate::record::Record;
use crate::store::Mode;
use crate::{Verdict, trouble};

/// Two minions in each zone, with 8 accelerators each.
const MINIONS: usize = 6;
/// Time from the kill of the leader until the store turns slow.
const SLOW_AFTER: Duration = Duration::from_millis(850);
/// Time from the evacuation until the store is fast again; it is slow for under the 4.5 s of the site file.
const FAST_AFTER: Duration = Duration::from_millis(400);
/// Longest wait for a new leader.
const TAKEOVER_LIMIT: Duration = Duration::from_millis(3_200);
/// Time after which nothing may start in the zone (`evacuate_ms`), in milliseconds.
const EVACUATE_MS: u64 = 5_000;

pub fn run(record: Record) -> Verdict {
    let mut deployment = Deployment::start(record.clone(), MINIONS, 3);
    if !deployment.wait_ready() {
        return Verdict::NotRun("the edge processes are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let zone = ZONES[0];
    let (store, acknowledged) = (deployment.store.clone(), record.clone());
    let (sender, evacuated) = channel();
    let evacuate = move || {
        // The answer of the store is the acknowledgement.
        store.put("op", &format!("evacuate/{zone}"), &json!({}));
        let at = acknowledged.millis();
        acknowledged.line(&format!("evacuation of {zone} acknowledged"));
        let _ = sender.send(at);
    };
    if trouble() {
        let Some(leader) = deployment.leader() else {
            return Verdict::NotRun("no leader is known".into());
        };
        record.line(&format!(
            "trouble node_kill how=leader name={}",
            deployment.edges[leader].name
        ));
        deployment.edges[leader].kill();
        std::thread::sleep(SLOW_AFTER);
        record.line("trouble platform_slow x=60");
        deployment.store.set_mode(Mode::Slow);
        // The operator's write meets the moment at which the new leader reads the jobs.
        deployment.store.on_table_read("progress", move || {
            std::thread::sleep(Duration::from_millis(60));
            evacuate();
        });
    } else {
        evacuate();
    }
    let Ok(at) = evacuated.recv_timeout(TAKEOVER_LIMIT) else {
        return Verdict::NotRun("no process has taken over in time".into());
    };
    std::thread::sleep(FAST_AFTER);
    deployment.store.set_mode(Mode::Up);
    record.line("the store is fast");
    // Machines are in touch again 3 s after the disruption; the bound of the evacuation has passed by then.
    let until = Instant::now() + Duration::from_millis(EVACUATE_MS + 1_000);
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    let job = json!({
        "spec": "run_ms=1000",
        "steps": [{ "count": 40, "cpu": 4000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 1000 }],
    });
    let survivor = format!("{PREFIX}5c0e7a21d94b36f8");
    if !deployment.submit(&survivor, &job) {
        return Verdict::NotRun("the job was not accepted".into());
    }
    std::thread::sleep(Duration::from_secs(5));
    deployment.state_of(&survivor);
    let closed: Vec<&str> = deployment
        .minions
        .iter()
        .filter(|m| m.zone() == zone)
        .map(|m| m.id())
        .collect();
    let ledger = deployment.ledger.lock().unwrap();
    let late = ledger.starts.iter().filter(|start| start.at > at + EVACUATE_MS);
    let broken: Vec<String> = late
        .filter(|start| closed.contains(&start.minion.as_str()))
        .map(|start| {
            let after_ms = start.at - at;
            format!(
                "{} started in {zone} on {}, {after_ms} ms after its evacuation",
                start.task, start.minion
            )
        })
        .collect();
    for line in &broken {
        record.line(&format!("EVAC {line}"));
    }
    if ledger.starts.len() < 20 {
        return Verdict::NotRun("too few tasks were started".into());
    }
    drop(ledger);
    for edge in &mut deployment.edges {
        edge.kill();
    }
    match broken.first() {
        Some(line) => Verdict::Broken(format!("{} starts, the first: {line}", broken.len())),
        None => Verdict::Held,
    }
}
