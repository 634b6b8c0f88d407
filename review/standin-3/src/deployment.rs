//! A small deployment: the store, the workers, some machines and the clients.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::Edge;
use crate::fleet::{Fleet, StepWork, WorkerKind};
use crate::http::call;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "jobs.example";
pub const KEY: &str = "north-key";
/// Path prefixes of the queues, by priority.
pub const PREFIXES: [&str; 3] = ["/urgent/", "/work/", "/sweep/"];
/// Address of the store and of the workers.
const PLATFORM_IP: &str = "127.0.0.1";

pub struct Deployment {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub edges: Vec<Edge>,
    pub record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.edges.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A job as a client sends it, with what the workers know of its steps.
pub struct Job {
    pub id: String,
    pub prefix: &'static str,
    pub body: String,
    pub steps: Vec<StepWork>,
}

impl Deployment {
    /// Starts a store, workers and as many machines as there are zones named.
    pub fn start(record: Record, kinds: &[WorkerKind], zones: &[&str]) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Arc::new(Store::start(PLATFORM_IP));
        store.put("op", "config", &config());
        let fleet = Fleet::new(store.clone(), record.clone());
        for kind in kinds {
            fleet.add(PLATFORM_IP, kind.clone());
        }
        let mut deployment = Self {
            store,
            fleet,
            edges: Vec::new(),
            record,
            folder,
        };
        for (number, zone) in zones.iter().enumerate() {
            let address = deployment.store.server.address;
            let edge = Edge::start(&deployment.folder, number, zone, address, 260);
            deployment.record.line(&format!(
                "machine {number} in {zone} is started, process {}",
                edge.pid()
            ));
            deployment.edges.push(edge);
        }
        if !deployment.edges.iter().all(Edge::wait_ready) {
            return None;
        }
        // Traffic starts ten seconds after the machines; three are enough for a leader that knows the workers.
        std::thread::sleep(Duration::from_secs(3));
        Some(deployment)
    }

    /// Makes a call of a client at a machine.
    pub fn client_call(&self, edge: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let key = format!("Token {KEY}");
        let headers = [
            ("host", HOST),
            ("authorization", key.as_str()),
            ("content-type", "application/json"),
            ("x-arbutuspick-deadline-ms", "3000"),
        ];
        let answer = call(
            self.edges[edge].front,
            method,
            path,
            &headers,
            body,
            Duration::from_secs(3),
        );
        let text = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".into(),
        };
        if method != "GET" {
            self.record.line(&format!(
                "client {method} {path} {body} at machine {edge} -> {text}"
            ));
        }
        answer
    }

    /// Hands a job in, with repeats after no answer; returns whether it was accepted.
    pub fn submit(&self, job: &Job) -> bool {
        for (number, step) in job.steps.iter().enumerate() {
            self.fleet.set_step(&job.id, number as u64, *step);
        }
        for attempt in 0..5 {
            let edge = attempt % self.edges.len();
            let answer = self.client_call(edge, "POST", &format!("{}{}", job.prefix, job.id), &job.body);
            match answer {
                Some((status, _)) if (200..300).contains(&status) => return true,
                Some((status, _)) if status < 500 => return false,
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Asks for the state of a job; `None` if there is no answer with a state.
    pub fn state_of(&self, job: &Job) -> Option<String> {
        let path = format!("{}{}", job.prefix, job.id);
        for edge in 0..self.edges.len() {
            if let Some((status, text)) = self.client_call(edge, "GET", &path, "") {
                return match status {
                    200 => Json::parse(&text).map(|answer| answer.text("state")),
                    other => Some(format!("status {other}")),
                };
            }
        }
        None
    }

    /// Waits until all jobs are shown as completed or the time has passed; returns the states.
    pub fn wait_completed(&self, jobs: &[Job], limit: Duration) -> BTreeMap<String, String> {
        let deadline = Instant::now() + limit;
        let mut states: BTreeMap<String, String> = BTreeMap::new();
        loop {
            for job in jobs {
                if states.get(&job.id).is_some_and(|state| state == "completed") {
                    continue;
                }
                let state = self.state_of(job).unwrap_or_else(|| "no answer".into());
                if states.insert(job.id.clone(), state.clone()).as_ref() != Some(&state) {
                    self.record
                        .line(&format!("client GET {}{} -> {state}", job.prefix, job.id));
                }
            }
            if states.values().all(|state| state == "completed") || Instant::now() >= deadline {
                return states;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    }
}

fn config() -> String {
    let routes: Vec<String> = PREFIXES
        .iter()
        .enumerate()
        .map(|(priority, prefix)| {
            format!(
                "{{\"name\":\"r-{priority}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":1000,\"priority\":{priority},\"service\":\"maps\",\"max_attempts\":4,\"stretch\":3.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"maps\"}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144}},\"tenants\":[{{\"name\":\"north\",\"api_keys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":4}}}}]}}",
        routes.join(",")
    )
}
