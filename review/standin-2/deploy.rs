//! A small deployment: the processes of the system, their settings, the operator and clients.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Job, Step};
use crate::http;
use crate::json::{Json, quote};
use crate::store::Store;

pub const KEY: &str = "key-of-council";
pub const HOST: &str = "jobs.example";

pub struct Edge {
    pub name: String,
    pub front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub store: Store,
    pub fleet: Fleet,
    pub edges: Vec<Edge>,
    next_front: usize,
}

/// A queue of the configuration.
#[derive(Clone, Debug)]
pub struct Queue {
    pub name: &'static str,
    pub priority: u32,
    pub max_attempts: usize,
}

pub fn config(version: u64, service: &str, queues: &[Queue]) -> Json {
    let routes: Vec<String> = queues
        .iter()
        .map(|queue| {
            format!(
                "{{\"name\":{name},\"host\":\"{HOST}\",\"prefix\":\"/{}/\",\"service\":{},\"priority\":{},\"max_attempts\":{},\
                 \"stretch\":3,\"target_duration_ms\":1000}}",
                queue.name,
                quote(service),
                queue.priority,
                queue.max_attempts,
                name = quote(queue.name),
            )
        })
        .collect();
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":{}}}],\
         \"tenants\":[{{\"name\":\"council\",\"api_keys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":16}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144}}}}",
        routes.join(","),
        quote(service)
    );
    Json::parse(&text).unwrap()
}

/// Returns free ports below those that the system gives to outgoing connections.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 15_000 + (std::process::id() % 170) as u16 * 100;
    let mut ports = Vec::new();
    while ports.len() < count {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
        }
    }
    ports
}

impl Edge {
    fn new(number: usize, store: SocketAddr, folder: &std::path::Path, program: &std::path::Path) -> Self {
        let name = format!("edge-trent-{number}");
        let ports = free_ports(5);
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node: \"{name}\"\nrole: \"entry\"\nmachine_class: \"edge\"\nserves: [\"edge\"]\nip: \"127.0.0.1\"\nzone: \"trent\"\n\
             region: \"midlands\"\nzones: {{ trent: \"midlands\" }}\n\
             listen: {{ front: \"127.0.0.1:{}\", ready: \"127.0.0.1:{}\", control: \"127.0.0.1:{}\" }}\nport_range: [{}, {}]\n\
             limits: {{ cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 }}\n\
             heartbeat_ms: 1500\nbootstrap: true\ncontrol_mode: \"push\"\n\
             bounds: {{ contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, revoke_ms: 5000, \
             max_hold_ms: 10000, stop_ms: 900, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, finish_s: 14, \
             status_s: 120, remote_factor: 3, checkpoint_s: 1, restore_ms: 250 }}\n\
             platform: {{ addr: \"{store}\", form: \"table\", writes_per_s: 600, reads_per_s: 2000, txn_ms: 4.0, \
             part_writes_s: 250, row_bytes: 65536, cross_shard: true, history_s: 20 }}\n",
            ports[0], ports[1], ports[2], ports[3], ports[4]
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        Self {
            front: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            settings,
            log: folder.join(format!("{name}.log")),
            program: program.into(),
            child: None,
            name,
        }
    }

    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("the log can be written");
        let child = Command::new(&self.program)
            .env("ARBUTUSPICK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be shared"))
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

impl Deployment {
    /// Starts the store, the minions and the processes, and waits until these serve.
    pub fn start(folder: PathBuf, program: PathBuf, edges: usize, labels: &[&str], queues: &[Queue]) -> Option<Self> {
        let store = Store::start();
        let fleet = Fleet::start(&store, "shelterdesk", labels);
        store.put("op", "config", Some(&config(1, "shelterdesk", queues)));
        let edges = (1..=edges).map(|number| Edge::new(number, store.address, &folder, &program)).collect();
        let mut deployment = Self { store, fleet, edges, next_front: 0 };
        for edge in &mut deployment.edges {
            edge.start();
        }
        let prefix = format!("/{}/", queues[0].name);
        let ready = deployment.wait(15_000, |deployment| {
            deployment.store.leader().is_some()
                && deployment.edges.iter().all(|edge| deployment.call(edge.front, "GET", &prefix, "").is_some_and(|answer| answer.0 == 200))
        });
        ready.then_some(deployment)
    }

    pub fn call(&self, front: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let token = format!("Token {KEY}");
        let headers = [("Host", HOST), ("Authorization", token.as_str()), ("X-Arbutuspick-Deadline-Ms", "3000")];
        http::call(front, method, path, &headers, body, 3_000)
    }

    /// Calls the processes in turn until one answers; a client's retry reaches another one.
    pub fn client(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut last = None;
        for _ in 0..4 {
            let up: Vec<SocketAddr> = self.edges.iter().filter(|edge| edge.is_up()).map(|edge| edge.front).collect();
            if up.is_empty() {
                std::thread::sleep(Duration::from_millis(300));
                continue;
            }
            self.next_front += 1;
            let answer = self.call(up[self.next_front % up.len()], method, path, body);
            let status = answer.as_ref().map(|(status, _)| *status);
            self.note(format!("client {method} {path}: {answer:?}"));
            last = answer;
            if !matches!(status, None | Some(502..=504 | 429)) {
                break;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        last
    }

    pub fn note(&self, text: String) {
        self.fleet.lock().note(text);
    }

    /// Hands in a job; returns whether it was accepted.
    pub fn submit(&mut self, queue: &Queue, id: &str, steps: Vec<Step>, repeats: u32) -> bool {
        let spec = format!("spec of {id}");
        let job = Job { spec: spec.clone(), steps: steps.clone(), max_attempts: queue.max_attempts, repeats, cancelled_at: None };
        self.fleet.lock().jobs.insert(id.into(), job);
        let body = body(&spec, &steps, repeats);
        let answer = self.client("POST", &format!("/{}/{id}", queue.name), &body);
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    }

    /// Asks for the state of a job; empty if it is not answered with one.
    pub fn state(&mut self, queue: &Queue, id: &str) -> String {
        let answer = self.client("GET", &format!("/{}/{id}", queue.name), "");
        match answer {
            Some((200, body)) => Json::parse(&body).map_or(String::new(), |json| json.get("state").str().to_string()),
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    pub fn wait<F>(&mut self, limit_ms: u64, mut holds: F) -> bool
    where
        F: FnMut(&mut Self) -> bool,
    {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            if holds(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns the number of the process that leads.
    pub fn leader(&self) -> Option<usize> {
        let name = self.store.leader()?;
        self.edges.iter().position(|edge| edge.name == name)
    }
}

/// Returns the body of a submission.
pub fn body(spec: &str, steps: &[Step], repeats: u32) -> String {
    let steps: Vec<String> = steps
        .iter()
        .map(|step| {
            let mut text = format!(
                "{{\"count\":{},\"cpu\":{},\"mem_mb\":{},\"estimate_ms\":{}",
                step.count, step.cpu, step.mem_mb, step.ms
            );
            if step.gpu > 0 {
                text.push_str(&format!(",\"gpu\":{}", step.gpu));
            }
            if !step.after.is_empty() {
                text.push_str(&format!(",\"after\":{:?}", step.after));
            }
            for (name, set) in [
                ("gang", step.gang),
                ("checkpointable", step.checkpointable),
                ("long_running", step.long_running),
            ] {
                if set {
                    text.push_str(&format!(",\"{name}\":true"));
                }
            }
            if !step.requires.is_empty() {
                text.push_str(&format!(",\"requires\":{}", quote(&step.requires)));
            }
            if !step.affinity.is_empty() {
                text.push_str(&format!(",\"affinity\":{}", quote(&step.affinity)));
            }
            if step.anti_affinity > 0 {
                text.push_str(&format!(",\"anti_affinity\":{}", step.anti_affinity));
            }
            text.push('}');
            text
        })
        .collect();
    let mut text = format!("{{\"spec\":{},\"steps\":[{}]", quote(spec), steps.join(","));
    if repeats > 0 {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |passed| passed.as_millis());
        text.push_str(&format!(",\"repeats\":{repeats},\"first_ms\":{now},\"interval_ms\":1500"));
    }
    text.push('}');
    text
}
