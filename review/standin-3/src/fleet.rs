//! Workers (minions) that run tasks as the pages say, and a record of what ran.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// Interval between heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest lease that a worker grants.
const MAX_HOLD_MS: u64 = 10_000;
/// Time for which members of a gang wait for each other.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Factor of the work of a task outside the rack of its data.
const REMOTE_FACTOR: u32 = 3;
/// Most ends in a listing.
const LISTED_ENDS: usize = 500;

/// What a worker offers.
#[derive(Clone)]
pub struct WorkerKind {
    pub label: &'static str,
    pub rack: &'static str,
    pub zone: &'static str,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

/// What the fleet knows of a step of a job: how long its tasks work and, of a gang, how many members it has.
#[derive(Clone, Copy)]
pub struct StepWork {
    pub work: Duration,
    pub gang: Option<usize>,
    /// Rack of its data; elsewhere it works longer.
    pub data_rack: Option<&'static str>,
    /// Whether it saves its progress.
    pub saves: bool,
}

struct Run {
    task: String,
    run: u64,
    since: Instant,
    /// When it began to work; members of a gang begin together.
    works_since: Option<Instant>,
    stops_at: Option<Instant>,
    fails_at: Option<Instant>,
    /// How long it works here.
    work: Duration,
    saves: bool,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Worker {
    id: String,
    kind: WorkerKind,
    born: u64,
    clock_start: Instant,
    heartbeat: u64,
    fence: u64,
    lease_until: u64,
    runs: Vec<Run>,
    ended: Vec<End>,
    next_end: u64,
    latest: HashMap<String, u64>,
    /// While set, all that it starts fails.
    fails: bool,
    /// When it leaves, once it drains.
    leaves_at: Option<Instant>,
}

#[derive(Default)]
struct FleetState {
    /// Steps whose runs are recorded as sums only.
    summed: HashSet<(String, u64)>,
    /// Runs that began and ended since the last sums, by worker, job and kind.
    sums: BTreeMap<(String, String, &'static str), usize>,
    /// When the latest run of a task ended otherwise than as done.
    away_since: HashMap<String, Instant>,
    /// The longest time between two runs of a task.
    longest_away: Duration,
    workers: Vec<Worker>,
    steps: HashMap<(String, u64), StepWork>,
    /// Number of starts.
    starts: usize,
}

/// All workers of a deployment.
pub struct Fleet {
    state: Arc<Mutex<FleetState>>,
    record: Record,
    store: Arc<Store>,
    servers: Mutex<Vec<Server>>,
}

/// Splits the name of a task into its job, occurrence, step and index.
pub fn task_parts(task: &str) -> Option<(String, u64, u64, u64)> {
    let mut parts = task.split('.');
    let job = parts.next()?.to_owned();
    Some((
        job,
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
    ))
}

impl Fleet {
    pub fn new(store: Arc<Store>, record: Record) -> Arc<Self> {
        let fleet = Arc::new(Self {
            state: Arc::default(),
            record,
            store,
            servers: Mutex::default(),
        });
        let ticking = fleet.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.state.lock().unwrap().advance(&ticking.record);
            }
        });
        fleet
    }

    /// Adds a worker; returns its number.
    pub fn add(self: &Arc<Self>, ip: &str, kind: WorkerKind) -> usize {
        let number = self.state.lock().unwrap().workers.len();
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        self.state.lock().unwrap().workers.push(Worker {
            id: format!("w{number:02}"),
            kind,
            born,
            clock_start: Instant::now(),
            heartbeat: 0,
            fence: 0,
            lease_until: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            latest: HashMap::new(),
            fails: false,
            leaves_at: None,
        });
        let fleet = self.clone();
        let server = Server::start(ip, move |request| fleet.answer(number, request));
        let address = server.address;
        self.servers.lock().unwrap().push(server);
        let fleet = self.clone();
        std::thread::spawn(move || {
            loop {
                let (id, entry, has_left) = {
                    let mut state = fleet.state.lock().unwrap();
                    let worker = &mut state.workers[number];
                    worker.heartbeat += 1;
                    let kind = &worker.kind;
                    let state = match worker.leaves_at {
                        None => "\"ready\"".to_owned(),
                        Some(at) => {
                            let left = at.saturating_duration_since(Instant::now()).as_millis();
                            format!("\"draining\",\"drain_remaining_ms\":{left}")
                        }
                    };
                    let entry = format!(
                        "{{\"service\":\"maps\",\"addr\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":{state},\"cold_left_ms\":0,\"seq\":{},\"born\":{},\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":{}}},\"labels\":[{},{}]}}",
                        quote(kind.zone),
                        worker.heartbeat,
                        worker.born,
                        kind.cpu,
                        kind.mem_mb,
                        kind.gpu,
                        quote(kind.label),
                        quote(kind.rack),
                    );
                    (worker.id.clone(), entry, worker.has_left())
                };
                if has_left {
                    fleet.store.remove("servers", &id);
                    return;
                }
                fleet.store.put("servers", &id, &entry);
                fleet.wait_for_change(number);
            }
        });
        number
    }

    /// Waits for the next heartbeat of a worker, or until it begins to drain or leaves.
    fn wait_for_change(&self, number: usize) {
        let deadline = Instant::now() + HEARTBEAT;
        let looks = |worker: &Worker| (worker.leaves_at.is_some(), worker.has_left());
        let before = looks(&self.state.lock().unwrap().workers[number]);
        while Instant::now() < deadline && looks(&self.state.lock().unwrap().workers[number]) == before {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Tells the fleet how long the tasks of a step work.
    pub fn set_step(&self, job: &str, step: u64, work: StepWork) {
        self.state
            .lock()
            .unwrap()
            .steps
            .insert((job.to_owned(), step), work);
    }

    /// Lets a worker fail all that it starts, or not any more.
    pub fn set_failing(&self, worker: usize, fails: bool) {
        self.state.lock().unwrap().workers[worker].fails = fails;
    }

    /// Lets a worker drain; it leaves `after` that time, and all that runs on it ends then.
    pub fn drain(&self, worker: usize, after: Duration) {
        self.state.lock().unwrap().workers[worker].leaves_at = Some(Instant::now() + after);
    }

    /// Records the runs of a step as sums only.
    pub fn sum_runs(&self, job: &str, step: u64) {
        self.state.lock().unwrap().summed.insert((job.to_owned(), step));
    }

    /// Records the sums since the last call.
    pub fn record_sums(&self) {
        let sums = std::mem::take(&mut self.state.lock().unwrap().sums);
        for ((worker, job, what), count) in sums {
            let what = if what == "starts" {
                what.to_owned()
            } else {
                format!("ends as {what}")
            };
            self.record
                .line(&format!("worker {worker} {what} {count} tasks of job {job}"));
        }
    }

    /// Returns the longest time for which a task that had run was without a run, and how many are now.
    pub fn longest_away(&self) -> (Duration, usize) {
        let state = self.state.lock().unwrap();
        let open = state
            .away_since
            .values()
            .map(Instant::elapsed)
            .max()
            .unwrap_or_default();
        (state.longest_away.max(open), state.away_since.len())
    }

    /// Returns the number of starts so far.
    pub fn starts(&self) -> usize {
        self.state.lock().unwrap().starts
    }

    /// Returns the tasks that run now, with their workers.
    pub fn running(&self) -> Vec<(String, String)> {
        let state = self.state.lock().unwrap();
        let workers = state.workers.iter();
        workers
            .flat_map(|worker| {
                worker
                    .runs
                    .iter()
                    .map(|run| (run.task.clone(), worker.id.clone()))
            })
            .collect()
    }

    fn answer(&self, number: usize, request: &Request) -> Reply {
        let body = Json::parse(&request.body)?;
        {
            let mut state = self.state.lock().unwrap();
            state.advance(&self.record);
            let worker = &mut state.workers[number];
            if worker.has_left() {
                return None;
            }
            let clock = worker.clock();
            if request
                .headers
                .get("x-arbutuspick-target-instance")
                .is_some_and(|id| *id != worker.id)
            {
                return Some((421, "{}".into()));
            }
            let fence = body.number("fence").unwrap_or(0);
            if fence < worker.fence {
                return Some((409, format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}")));
            }
            worker.fence = fence;
            match request.path.as_str() {
                "/run-start" => return Some(state.start(number, &body, &self.record)),
                "/run-stop" => return Some(state.stop(number, &body)),
                "/hold" => {}
                _ => return Some((404, "{}".into())),
            }
            let seen = body.number("last_seen").unwrap_or(0);
            worker.ended.retain(|end| end.number > seen);
            if let Some(until) = body.number("until_ms") {
                worker.lease_until = worker.lease_until.max(until.min(clock + MAX_HOLD_MS));
            }
        }
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.advance(&self.record);
                let worker = &state.workers[number];
                if worker.has_left() {
                    return None;
                }
                if !worker.ended.is_empty() || Instant::now() >= deadline {
                    return Some((200, worker.listing()));
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Worker {
    fn has_left(&self) -> bool {
        self.leaves_at.is_some_and(|at| Instant::now() >= at)
    }

    fn clock(&self) -> u64 {
        self.clock_start.elapsed().as_millis() as u64 + 1_000
    }

    fn listing(&self) -> String {
        let running = self.runs.iter().map(|run| {
            let worked = run.works_since.map_or(0, |since| since.elapsed().as_millis());
            let percent = (worked * 100 / run.work.as_millis().max(1)).min(100);
            let seconds = if run.saves { worked / 1_000 } else { 0 };
            let saved = if seconds == 0 {
                String::new()
            } else {
                format!("{:08x}{seconds:08x}", run.run)
            };
            format!("[{},{},\"{saved}\",{percent},0]", quote(&run.task), run.run)
        });
        let finished = self.ended.iter().take(LISTED_ENDS);
        let finished = finished.map(|end| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                end.number,
                quote(&end.task),
                end.run,
                end.how
            )
        });
        let running: Vec<String> = running.collect();
        let finished: Vec<String> = finished.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock(),
            self.born,
            running.join(","),
            finished.join(",")
        )
    }
}

impl FleetState {
    fn start(&mut self, number: usize, body: &Json, record: &Record) -> (u16, String) {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
        let worker = &self.workers[number];
        let clock = worker.clock();
        let refuse = |reason: &str| (409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"));
        if worker
            .runs
            .iter()
            .any(|present| present.task == task && present.run == run)
        {
            return (200, format!("{{\"clock_ms\":{clock}}}"));
        }
        if worker.latest.get(&task).is_some_and(|latest| *latest >= run) {
            return refuse("old");
        }
        let until = body.number("until_ms").unwrap_or(0);
        if until <= clock {
            return refuse("late");
        }
        let parts = task_parts(&task);
        let step = parts
            .as_ref()
            .and_then(|(job, _, step, _)| self.steps.get(&(job.clone(), *step)))
            .copied();
        let rack = self.workers[number].kind.rack;
        let remote = step
            .and_then(|step| step.data_rack)
            .is_some_and(|data_rack| data_rack != rack);
        let work =
            step.map_or(Duration::from_secs(2), |step| step.work) * if remote { REMOTE_FACTOR } else { 1 };
        let now = Instant::now();
        let fails = self.workers[number].fails.then_some(Duration::from_millis(300));
        let worker = &mut self.workers[number];
        worker.lease_until = worker.lease_until.max(until.min(clock + MAX_HOLD_MS));
        worker.runs.push(Run {
            task: task.clone(),
            run,
            since: now,
            works_since: step.is_none_or(|step| step.gang.is_none()).then_some(now),
            stops_at: None,
            fails_at: fails.map(|after| now + after),
            work,
            saves: step.is_some_and(|step| step.saves),
        });
        let id = worker.id.clone();
        if let Some(since) = self.away_since.remove(&task) {
            self.longest_away = self.longest_away.max(since.elapsed());
        }
        if !self.add_to_sums(&id, &task, "starts") {
            record.line(&format!("worker {id} starts {task} run {run}"));
        }
        self.starts += 1;
        (200, format!("{{\"clock_ms\":{clock}}}"))
    }

    /// Adds to the sums what is recorded that way; returns whether it is.
    fn add_to_sums(&mut self, worker: &str, task: &str, what: &'static str) -> bool {
        let Some((job, _, step, _)) = task_parts(task) else {
            return false;
        };
        let is_summed = self.summed.contains(&(job.clone(), step));
        if is_summed {
            *self.sums.entry((worker.to_owned(), job, what)).or_default() += 1;
        }
        is_summed
    }

    fn stop(&mut self, number: usize, body: &Json) -> (u16, String) {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
        let worker = &mut self.workers[number];
        let latest = worker.latest.entry(task.clone()).or_default();
        *latest = run.max(*latest);
        for present in &mut worker.runs {
            if present.task == task && present.run == run && present.stops_at.is_none() {
                present.stops_at = Some(Instant::now() + STOP_TIME);
            }
        }
        (200, format!("{{\"clock_ms\":{}}}", worker.clock()))
    }

    /// Begins the work of gangs that are whole, and ends what has to end.
    fn advance(&mut self, record: &Record) {
        let now = Instant::now();
        let mut present: HashMap<(String, u64), usize> = HashMap::new();
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            *present.entry((gang_name(&run.task), run.run)).or_default() += 1;
        }
        for worker in self.workers.iter_mut().filter(|worker| worker.has_left()) {
            for run in worker.runs.drain(..) {
                record.line(&format!(
                    "worker {} has left: {} run {} is gone",
                    worker.id, run.task, run.run
                ));
            }
        }
        let mut ends: Vec<(usize, String, u64, &'static str)> = Vec::new();
        let mut done_gangs = HashSet::new();
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let lapsed = worker.lease_until < worker.clock();
            for run in &mut worker.runs {
                let parts = task_parts(&run.task);
                let step = parts.and_then(|(job, _, step, _)| self.steps.get(&(job, step)));
                let gang = step.and_then(|step| step.gang);
                let name = (gang_name(&run.task), run.run);
                if run.works_since.is_none() && gang.is_some_and(|count| present[&name] == count) {
                    run.works_since = Some(now);
                }
                let done = run.works_since.is_some_and(|since| now >= since + run.work);
                let how = if run.fails_at.is_some_and(|at| now >= at) {
                    "failed"
                } else if done {
                    "done"
                } else if run.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if lapsed {
                    "lapsed"
                } else if run.works_since.is_none() && now >= run.since + GANG_TIMEOUT {
                    "alone"
                } else {
                    continue;
                };
                if gang.is_some() && how == "done" {
                    done_gangs.insert(name);
                }
                ends.push((number, run.task.clone(), run.run, how));
            }
        }
        for (number, task, run, how) in ends {
            self.end(number, &task, run, how, record);
            if how != "done" {
                self.break_gang(&task, run, record);
            }
        }
        // The members of a gang end as done together.
        for (name, run) in done_gangs {
            for number in 0..self.workers.len() {
                let members: Vec<String> = self.workers[number]
                    .runs
                    .iter()
                    .filter(|present| gang_name(&present.task) == name && present.run == run)
                    .map(|present| present.task.clone())
                    .collect();
                for task in members {
                    self.end(number, &task, run, "done", record);
                }
            }
        }
    }

    fn end(&mut self, number: usize, task: &str, run: u64, how: &'static str, record: &Record) {
        let worker = &mut self.workers[number];
        let before = worker.runs.len();
        worker
            .runs
            .retain(|present| present.task != task || present.run != run);
        if worker.runs.len() == before {
            return;
        }
        let latest = worker.latest.entry(task.to_owned()).or_default();
        *latest = run.max(*latest);
        worker.ended.push(End {
            number: worker.next_end,
            task: task.to_owned(),
            run,
            how,
        });
        worker.next_end += 1;
        let id = worker.id.clone();
        if how != "done" {
            self.away_since.insert(task.to_owned(), Instant::now());
        }
        if !self.add_to_sums(&id, task, how) {
            record.line(&format!("worker {id} ends {task} run {run}: {how}"));
        }
    }

    /// Ends the other members of a gang of which one has ended.
    fn break_gang(&mut self, task: &str, run: u64, record: &Record) {
        let parts = task_parts(task);
        let step = parts.and_then(|(job, _, step, _)| self.steps.get(&(job, step)));
        if step.is_none_or(|step| step.gang.is_none()) {
            return;
        }
        let name = gang_name(task);
        for number in 0..self.workers.len() {
            let members: Vec<String> = self.workers[number]
                .runs
                .iter()
                .filter(|present| gang_name(&present.task) == name && present.run == run)
                .map(|present| present.task.clone())
                .collect();
            for member in members {
                self.end(number, &member, run, "broken", record);
            }
        }
    }
}

/// Returns the name of a task without its index.
fn gang_name(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(String::new(), |(name, _)| name.to_owned())
}
