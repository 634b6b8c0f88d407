//! A stand-in for a minion: it runs tasks under a lease and lists runs and ends, as PROTOCOL.md describes it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Reply, Request, serve, spawn};
use crate::record::Record;
use crate::store::Store;

/// Maximum number of ends in one answer.
const MAX_LISTED_ENDS: usize = 500;
/// Longest lease in milliseconds (`max_hold_ms`).
const MAX_HOLD_MS: u64 = 10_000;
/// Interval of heartbeats (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest wait of `/hold` in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// Time that a stop takes in milliseconds; at most `stop_ms`, which is 900.
const STOP_MS: u64 = 100;
/// Interval at which ends are noticed.
const TICK: Duration = Duration::from_millis(10);

/// One end of a run, as the minions have seen it.
#[derive(Clone)]
pub struct End {
    pub minion: String,
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    pub at: u64,
    /// When `last_seen` reached its number, if the lease of the minion had not lapsed in between.
    pub noted_at: Option<u64>,
    lapsed_since: bool,
}

/// One start of a run.
#[derive(Clone)]
pub struct Start {
    pub minion: String,
    pub task: String,
    pub run: u64,
    pub at: u64,
    /// Minion on which another run of the task was at work at that moment.
    pub beside: Option<String>,
}

/// What all minions have run.
#[derive(Default)]
pub struct Ledger {
    pub starts: Vec<Start>,
    pub ends: Vec<End>,
    running: HashMap<String, Vec<(String, u64)>>,
}

impl Ledger {
    /// Returns whether a minion has runs at work.
    pub fn is_occupied(&self, minion: &str) -> bool {
        self.running.values().flatten().any(|(id, _)| id == minion)
    }

    pub fn running_total(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }

    /// Returns the starts that the rule TWICE forbids, as text.
    pub fn twice(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for start in &self.starts {
            if let Some(other) = &start.beside {
                broken.push(format!(
                    "{} run {} started on {} at {} ms while another run was at work on {other}",
                    start.task, start.run, start.minion, start.at
                ));
            }
            let done = self
                .ends
                .iter()
                .find(|end| end.task == start.task && end.how == "done" && end.at <= start.at);
            if let Some((end, noted_at)) = done.and_then(|end| Some((end, end.noted_at?))) {
                broken.push(format!(
                    "{} run {} started on {} at {} ms; run {} had ended done on {} at {} ms as end {}, noted at {noted_at} ms",
                    start.task, start.run, start.minion, start.at, end.run, end.minion, end.at, end.number
                ));
            }
        }
        broken
    }
}

struct Run {
    task: String,
    run: u64,
    begun: Instant,
    work_ms: u64,
    /// When an ordered stop takes effect.
    stops_at: Option<Instant>,
}

struct State {
    started: Instant,
    /// Unix milliseconds of the start of this incarnation.
    born: u64,
    /// Until when the process is down after a crash.
    down_until: Option<Instant>,
    next_beat: Instant,
    seq: u64,
    /// By how much the write of the next heartbeat is performed late, without an answer.
    late_beat: Option<Duration>,
    fence: u64,
    lease_until: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Highest run of each task that was stopped or has ended here.
    barred: HashMap<String, u64>,
    next_end: u64,
}

/// What a minion is, as it registers itself.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
}

/// A running minion.
pub struct Minion {
    shared: Arc<Shared>,
}

struct Shared {
    setup: Setup,
    record: Record,
    ledger: Arc<Mutex<Ledger>>,
    state: Mutex<State>,
    changed: Condvar,
}

/// Returns the time that a task works: `run_ms=A` or `run_ms=A..B` in its spec, then drawn by the task's name.
fn work_ms(spec: &str, task: &str) -> u64 {
    let range = spec.strip_prefix("run_ms=").unwrap_or("1000");
    let (from, to) = range.split_once("..").unwrap_or((range, range));
    let (from, to): (u64, u64) = (from.parse().unwrap_or(1000), to.parse().unwrap_or(1000));
    let hash = task.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    from + (hash >> 20) % (to - from + 1)
}

impl Minion {
    /// Starts a minion that registers itself and sends heartbeats.
    pub fn start(setup: Setup, store: &Store, ledger: &Arc<Mutex<Ledger>>, record: &Record) -> Self {
        let state = State::new();
        let shared = Arc::new(Shared {
            setup,
            record: record.clone(),
            ledger: ledger.clone(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let handler = shared.clone();
        let address = serve(move |request| handler.answer(&request));
        let (ticking, beating, store) = (shared.clone(), shared.clone(), store.clone());
        spawn(move || {
            loop {
                ticking.advance(&mut ticking.state.lock().unwrap());
                std::thread::sleep(TICK);
            }
        });
        spawn(move || {
            loop {
                beating.beat(&store, address);
                std::thread::sleep(TICK);
            }
        });
        Self { shared }
    }

    pub fn id(&self) -> &str {
        &self.shared.setup.id
    }

    pub fn zone(&self) -> &str {
        &self.shared.setup.zone
    }

    /// Lets the write of the next heartbeat be performed `late` after it was sent, and waits until it is sent.
    pub fn lose_beat(&self, late: Duration) {
        self.shared.state.lock().unwrap().late_beat = Some(late);
        while self.shared.state.lock().unwrap().late_beat.is_some() {
            std::thread::sleep(TICK);
        }
    }

    /// Crashes the process and starts it again under its id after a time.
    pub fn crash(&self, down: Duration) {
        self.shared.crash(down);
    }
}

impl State {
    /// Returns the state of a new incarnation, which knows nothing of earlier ones.
    fn new() -> Self {
        Self {
            started: Instant::now(),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(1, |time| time.as_millis() as u64),
            down_until: None,
            next_beat: Instant::now(),
            seq: 0,
            late_beat: None,
            fence: 0,
            lease_until: 0,
            running: Vec::new(),
            ended: Vec::new(),
            barred: HashMap::new(),
            next_end: 1,
        }
    }
}

impl Shared {
    fn crash(&self, down: Duration) {
        let mut state = self.state.lock().unwrap();
        state.running.clear();
        state.down_until = Some(Instant::now() + down);
        let mut ledger = self.ledger.lock().unwrap();
        ledger
            .running
            .values_mut()
            .for_each(|runs| runs.retain(|(minion, _)| *minion != self.setup.id));
        self.record
            .line(&format!("crash minion={} born={}", self.setup.id, state.born));
    }

    /// Starts a new incarnation when it is time, and writes a heartbeat when one is due.
    fn beat(&self, store: &Store, address: SocketAddr) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        match state.down_until {
            Some(until) if now < until => return,
            Some(_) => {
                *state = State::new();
                self.record.line(&format!(
                    "started again minion={} born={}",
                    self.setup.id, state.born
                ));
            }
            None => {}
        }
        if now < state.next_beat {
            return;
        }
        state.next_beat = now + HEARTBEAT;
        state.seq += 1;
        let (id, entry) = (self.setup.id.clone(), self.entry(&state, address));
        let Some(late) = state.late_beat.take() else {
            drop(state);
            store.put("servers", &id, &entry);
            return;
        };
        let (store, record, born) = (store.clone(), self.record.clone(), state.born);
        record.line(&format!(
            "trouble platform_lost how=late minion={id} born={born}: its heartbeat has no answer"
        ));
        spawn(move || {
            std::thread::sleep(late);
            store.put("servers", &id, &entry);
            record.line(&format!("heartbeat performed late minion={id} born={born}"));
        });
    }

    fn entry(&self, state: &State, address: SocketAddr) -> Value {
        let setup = &self.setup;
        json!({
            "service": setup.service, "addr": address.to_string(), "zone": setup.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "labels": ["a", setup.rack],
            "capacity": { "cpu": 64000, "mem_mb": 262144, "gpu": 8 },
            "clock_ms": clock(state), "seq": state.seq, "born": state.born,
        })
    }

    /// Ends the runs whose work is done, whose stop takes effect or whose lease has expired.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let lapsed = state.lease_until < clock(state);
        let mut ends = Vec::new();
        state.running.retain(|run| {
            let how = if lapsed {
                "lapsed"
            } else if run.stops_at.is_some_and(|at| at <= now) {
                "stopped"
            } else if run.begun + Duration::from_millis(run.work_ms) <= now {
                "done"
            } else {
                return true;
            };
            ends.push((run.task.clone(), run.run, how));
            false
        });
        if lapsed {
            let mut ledger = self.ledger.lock().unwrap();
            let open = ledger
                .ends
                .iter_mut()
                .filter(|end| end.minion == self.setup.id && end.noted_at.is_none());
            open.for_each(|end| end.lapsed_since = true);
        }
        if ends.is_empty() {
            return;
        }
        let at = self.record.millis();
        let mut ledger = self.ledger.lock().unwrap();
        for (task, run, how) in ends {
            let number = state.next_end;
            state.next_end += 1;
            self.record.line(&format!(
                "end minion={} number={number} task={task} run={run} how={how}",
                self.setup.id
            ));
            if let Some(runs) = ledger.running.get_mut(&task) {
                runs.retain(|(minion, other)| (minion.as_str(), *other) != (self.setup.id.as_str(), run));
            }
            ledger.ends.push(End {
                minion: self.setup.id.clone(),
                number,
                task: task.clone(),
                run,
                how,
                at,
                noted_at: None,
                lapsed_since: false,
            });
            let barred = state.barred.entry(task.clone()).or_default();
            *barred = run.max(*barred);
            state.ended.push((number, task, run, how));
        }
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        {
            let state = self.state.lock().unwrap();
            if state.down_until.is_some() {
                return None;
            }
        }
        if request
            .header("x-arbutuspick-target-instance")
            .is_some_and(|id| id != self.setup.id)
        {
            return Some((421, String::new()));
        }
        let call = request.json();
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let fence = call["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return Some(self.refusal(&state, "fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => Some(self.start_run(&mut state, &call)),
            "/run-stop" => Some(self.stop_run(&mut state, &call)),
            "/hold" => Some(self.hold(state, &call)),
            _ => Some((404, String::new())),
        }
    }

    fn refusal(&self, state: &State, reason: &str) -> (u16, String) {
        (
            409,
            json!({ "clock_ms": clock(state), "reason": reason }).to_string(),
        )
    }

    fn extend_lease(&self, state: &mut State, call: &Value) {
        let clock = clock(state);
        if let Some(until) = call["until_ms"].as_u64() {
            state.lease_until = state.lease_until.max(until.min(clock + MAX_HOLD_MS));
        }
    }

    fn start_run(&self, state: &mut State, call: &Value) -> (u16, String) {
        let (Some(task), Some(run), Some(until)) = (
            call["task"].as_str(),
            call["run"].as_u64(),
            call["until_ms"].as_u64(),
        ) else {
            return (400, String::new());
        };
        if state
            .running
            .iter()
            .any(|other| other.task == task && other.run == run)
        {
            return (200, json!({ "clock_ms": clock(state) }).to_string());
        }
        if state.barred.get(task).is_some_and(|barred| *barred >= run) {
            self.extend_lease(state, call);
            return self.refusal(state, "old");
        }
        if until <= clock(state) {
            return self.refusal(state, "late");
        }
        self.extend_lease(state, call);
        let id = &self.setup.id;
        let mut ledger = self.ledger.lock().unwrap();
        let runs = ledger.running.entry(task.to_owned()).or_default();
        let beside = runs.first().map(|(minion, _)| minion.clone());
        runs.push((id.clone(), run));
        let at = self.record.millis();
        ledger.starts.push(Start {
            minion: id.clone(),
            task: task.to_owned(),
            run,
            at,
            beside,
        });
        self.record.line(&format!(
            "start minion={id} task={task} run={run} fence={}",
            state.fence
        ));
        let work_ms = work_ms(call["spec"].as_str().unwrap_or_default(), task);
        state.running.push(Run {
            task: task.to_owned(),
            run,
            begun: Instant::now(),
            work_ms,
            stops_at: None,
        });
        (200, json!({ "clock_ms": clock(state) }).to_string())
    }

    fn stop_run(&self, state: &mut State, call: &Value) -> (u16, String) {
        let (Some(task), Some(run)) = (call["task"].as_str(), call["run"].as_u64()) else {
            return (400, String::new());
        };
        self.record
            .line(&format!("stop minion={} task={task} run={run}", self.setup.id));
        let stops_at = Instant::now() + Duration::from_millis(STOP_MS);
        match state
            .running
            .iter_mut()
            .find(|other| other.task == task && other.run == run)
        {
            Some(other) => other.stops_at = Some(other.stops_at.unwrap_or(stops_at)),
            None => {
                let barred = state.barred.entry(task.to_owned()).or_default();
                *barred = run.max(*barred);
            }
        }
        (200, json!({ "clock_ms": clock(state) }).to_string())
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, call: &Value) -> (u16, String) {
        self.extend_lease(&mut state, call);
        let last_seen = call["last_seen"].as_u64().unwrap_or(0);
        self.note(&mut state, last_seen);
        let wait = Duration::from_millis(call["wait_ms"].as_u64().unwrap_or(0).min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        while state.ended.is_empty() && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let listed: Vec<Value> = state
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        if state.ended.len() > MAX_LISTED_ENDS {
            let (id, open) = (&self.setup.id, state.ended.len());
            self.record.line(&format!(
                "list minion={id} running={} ends={open} listed={}",
                state.running.len(),
                listed.len()
            ));
        }
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|run| {
                let worked_ms = run.begun.elapsed().as_millis() as u64;
                json!([
                    run.task,
                    run.run,
                    "",
                    (worked_ms * 100 / run.work_ms.max(1)).min(99),
                    0
                ])
            })
            .collect();
        let reply =
            json!({ "clock_ms": clock(&state), "born": state.born, "running": running, "finished": listed });
        (200, reply.to_string())
    }

    /// Forgets the ends up to this number.
    fn note(&self, state: &mut State, last_seen: u64) {
        if state.ended.first().is_none_or(|(number, ..)| *number > last_seen) {
            return;
        }
        state.ended.retain(|(number, ..)| *number > last_seen);
        let at = self.record.millis();
        self.record
            .line(&format!("noted minion={} last_seen={last_seen}", self.setup.id));
        let mut ledger = self.ledger.lock().unwrap();
        let open = ledger
            .ends
            .iter_mut()
            .filter(|end| end.minion == self.setup.id && end.number <= last_seen);
        for end in open.filter(|end| end.noted_at.is_none() && !end.lapsed_since) {
            end.noted_at = Some(at);
        }
    }
}

fn clock(state: &State) -> u64 {
    state.started.elapsed().as_millis() as u64
}
