//! The minions of a service, and what they have seen.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, quote};
use crate::store::Store;

pub const STOP_MS: u64 = 900;
pub const GANG_TIMEOUT_MS: u64 = 3_000;
const MAX_HOLD_MS: u64 = 10_000;
const CHECKPOINT_MS: u64 = 1_000;
const RESTORE_MS: u64 = 250;

/// A step as the client sent it.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: usize,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    pub ms: u64,
    pub after: Vec<usize>,
    pub gang: bool,
    pub checkpointable: bool,
    pub long_running: bool,
    pub requires: String,
    pub affinity: String,
    pub anti_affinity: usize,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: String,
    pub steps: Vec<Step>,
    pub max_attempts: usize,
    pub repeats: u32,
    pub cancelled_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    run: u64,
    job: String,
    step: usize,
    /// Work that an earlier run has saved, in milliseconds.
    base_ms: u64,
    started: Instant,
    working_since: Option<Instant>,
    stopping_since: Option<Instant>,
    /// Work after which it fails through its own fault.
    fails_after_ms: Option<u64>,
    broken_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

pub struct Minion {
    pub id: String,
    pub address: SocketAddr,
    pub label: String,
    pub zone: String,
    pub rack: String,
    born: u64,
    born_at: Instant,
    pub up: bool,
    /// Calls get no answer while it is cut off.
    pub cut: bool,
    fence: u64,
    lease_until: u64,
    running: Vec<Run>,
    ends: Vec<End>,
    next_end: u64,
    tombs: HashMap<String, u64>,
    pub seen: u64,
}

/// All that the minions have seen of a task.
#[derive(Clone, Debug, Default)]
pub struct TaskHistory {
    pub starts: u64,
    pub failed: usize,
    pub failed_runs: Vec<u64>,
    pub done: bool,
    /// Ended as done at some time, also if nobody has taken note of it.
    pub ever_done: bool,
}

#[derive(Default)]
pub struct World {
    pub minions: Vec<Minion>,
    pub jobs: BTreeMap<String, Job>,
    pub tasks: BTreeMap<String, TaskHistory>,
    pub log: Vec<String>,
    pub broken: Vec<String>,
    /// Work after which the run fails, by task and run.
    pub failures: HashMap<(String, u64), u64>,
    /// Delay after which the other members of a gang end as broken.
    pub break_ms: u64,
    started: Option<Instant>,
}

#[derive(Clone)]
pub struct Fleet {
    pub world: Arc<Mutex<World>>,
    pub store: Store,
    pub service: String,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}

fn task_parts(task: &str) -> Option<(String, u32, usize, usize)> {
    let parts: Vec<&str> = task.split('.').collect();
    match parts[..] {
        [job, occurrence, step, index] => {
            Some((job.into(), occurrence.parse().ok()?, step.parse().ok()?, index.parse().ok()?))
        }
        _ => None,
    }
}

impl World {
    pub fn note(&mut self, text: String) {
        let at = self.started.get_or_insert_with(Instant::now).elapsed().as_millis();
        self.log.push(format!("{at:>7} {text}"));
    }

    fn rule(&mut self, text: String) {
        self.note(format!("BROKEN {text}"));
        self.broken.push(text);
    }

    /// Returns the GPUs in use on all minions.
    pub fn used_gpus(&self) -> u64 {
        let runs = self.minions.iter().filter(|minion| minion.up).flat_map(|minion| &minion.running);
        runs.filter_map(|run| Some(self.jobs.get(&run.job)?.steps.get(run.step)?.gpu)).sum()
    }

    /// Describes what runs on each minion.
    pub fn load(&self) -> Vec<String> {
        let minions = self.minions.iter().map(|minion| {
            let runs: Vec<String> = minion.running.iter().map(|run| {
                let step = &self.jobs[&run.job].steps[run.step];
                format!("{}/{} {}c {}g{}", run.task, run.run, step.cpu / 1000, step.gpu, if step.long_running { " lasts" } else { "" })
            }).collect();
            format!("{} {}", minion.id, runs.join(", "))
        });
        minions.collect()
    }

    pub fn is_running(&self, task: &str) -> bool {
        self.minions.iter().any(|minion| minion.up && minion.running.iter().any(|run| run.task == task))
    }

    /// Lets time pass on all minions.
    fn advance(&mut self) {
        let now = Instant::now();
        // A gang works from the moment when all of its members are present.
        let mut present: HashMap<(String, u64), usize> = HashMap::new();
        for minion in self.minions.iter().filter(|minion| minion.up) {
            for run in &minion.running {
                *present.entry((group(&run.task), run.run)).or_default() += 1;
            }
        }
        let mut ended: Vec<(usize, Run, &'static str)> = Vec::new();
        let mut done_groups: Vec<(String, u64)> = Vec::new();
        let mut broken_groups: Vec<(String, u64)> = Vec::new();
        for number in 0..self.minions.len() {
            if !self.minions[number].up {
                continue;
            }
            let clock = self.minions[number].clock();
            let lapsed = self.minions[number].lease_until < clock;
            let mut kept = Vec::new();
            for mut run in std::mem::take(&mut self.minions[number].running) {
                let Some(step) = self.jobs.get(&run.job).and_then(|job| job.steps.get(run.step)).cloned() else {
                    kept.push(run);
                    continue;
                };
                let complete = !step.gang || present.get(&(group(&run.task), run.run)) == Some(&step.count);
                if run.working_since.is_none() && complete {
                    run.working_since = Some(now);
                }
                let worked = run.worked_ms(now);
                let how = if lapsed {
                    Some("lapsed")
                } else if run.fails_after_ms.is_some_and(|limit| now.duration_since(run.started).as_millis() as u64 >= limit) {
                    Some("failed")
                } else if run.broken_at.is_some_and(|at| now >= at) {
                    Some("broken")
                } else if run.working_since.is_some() && !step.long_running && run.base_ms + worked >= step.ms {
                    Some("done")
                } else if run.stopping_since.is_some_and(|at| now.duration_since(at).as_millis() as u64 >= STOP_MS - 100) {
                    Some("stopped")
                } else if run.working_since.is_none()
                    && now.duration_since(run.started).as_millis() as u64 >= GANG_TIMEOUT_MS
                {
                    Some("alone")
                } else {
                    None
                };
                match how {
                    Some(how) => {
                        if step.gang && how == "done" {
                            done_groups.push((group(&run.task), run.run));
                        } else if step.gang {
                            broken_groups.push((group(&run.task), run.run));
                        }
                        ended.push((number, run, how));
                    }
                    None => kept.push(run),
                }
            }
            self.minions[number].running = kept;
        }
        // The members of a gang end as done together.
        for number in 0..self.minions.len() {
            let runs = std::mem::take(&mut self.minions[number].running);
            for mut run in runs {
                let key = (group(&run.task), run.run);
                if done_groups.contains(&key) {
                    ended.push((number, run, "done"));
                    continue;
                }
                if broken_groups.contains(&key) && run.broken_at.is_none() {
                    run.broken_at = Some(now + Duration::from_millis(self.break_ms));
                }
                self.minions[number].running.push(run);
            }
        }
        for (number, run, how) in ended {
            self.end(number, &run, how);
        }
    }

    fn end(&mut self, number: usize, run: &Run, how: &'static str) {
        let step = self.jobs.get(&run.job).and_then(|job| job.steps.get(run.step)).cloned().unwrap_or_default();
        let saved = run.saved(&step, how == "stopped");
        let minion = &mut self.minions[number];
        let tomb = minion.tombs.entry(run.task.clone()).or_default();
        *tomb = (*tomb).max(run.run);
        let end = End { number: minion.next_end, task: run.task.clone(), run: run.run, how, saved };
        minion.next_end += 1;
        let text = format!("{} end {} run {} {how} number {}", minion.id, run.task, run.run, end.number);
        minion.ends.push(end);
        let history = self.tasks.entry(run.task.clone()).or_default();
        if how == "failed" {
            history.failed += 1;
            history.failed_runs.push(run.run);
        }
        if how == "done" && !step.long_running {
            history.done = true;
            history.ever_done = true;
        }
        self.note(text);
    }

    fn start(&mut self, number: usize, call: &Json) -> (u16, String) {
        let task = call.get("task").str().to_string();
        let (run, fence, until) = (call.get("run").int(), call.get("fence").int(), call.get("until_ms").int());
        let clock = self.minions[number].clock();
        let refuse = |reason: &str| (409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"));
        if fence < self.minions[number].fence {
            return refuse("fence");
        }
        let minion = &mut self.minions[number];
        minion.fence = fence;
        if minion.running.iter().any(|present| present.task == task && present.run == run) {
            minion.extend(until);
            return (200, format!("{{\"clock_ms\":{clock}}}"));
        }
        if until <= clock {
            return refuse("late");
        }
        minion.extend(until);
        if minion.tombs.get(&task).is_some_and(|tomb| run <= *tomb) {
            return refuse("old");
        }
        let id = minion.id.clone();
        self.note(format!("{id} start {task} run {run} fence {fence} checkpoint {:?}", call.get("last_checkpoint").str()));
        self.check_start(number, &task, run, call);
        let Some((job, _, step, _)) = task_parts(&task) else { return (400, "{}".into()) };
        let base_ms = call.get("last_checkpoint").str().rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let fails_after_ms = self.failures.get(&(task.clone(), run)).copied();
        self.tasks.entry(task.clone()).or_default().starts += 1;
        self.minions[number].running.push(Run {
            task,
            run,
            job,
            step,
            base_ms,
            started: Instant::now(),
            working_since: None,
            stopping_since: None,
            fails_after_ms,
            broken_at: None,
        });
        (200, format!("{{\"clock_ms\":{clock}}}"))
    }

    /// Checks the rules that a start may break.
    fn check_start(&mut self, number: usize, task: &str, run: u64, call: &Json) {
        let Some((id, occurrence, step, index)) = task_parts(task) else {
            return self.rule(format!("UNASKED {task}"));
        };
        let Some(job) = self.jobs.get(&id).cloned() else {
            return self.rule(format!("UNASKED {task}"));
        };
        let Some(body) = job.steps.get(step).filter(|body| index < body.count).cloned() else {
            return self.rule(format!("UNASKED {task}"));
        };
        if call.get("spec").str() != job.spec {
            self.rule(format!("UNASKED spec of {task}"));
        }
        if job.cancelled_at.is_some_and(|at| at.elapsed() > Duration::from_millis(3_000)) {
            self.rule(format!("UNASKED {task} after its cancel"));
        }
        let twin = self.minions.iter().find(|minion| minion.up && minion.running.iter().any(|present| present.task == task));
        if let Some(twin) = twin {
            let text = format!("TWICE {task} run {run} while one runs on {}", twin.id);
            self.rule(text);
        }
        let history = self.tasks.get(task).cloned().unwrap_or_default();
        if history.done {
            self.rule(format!("TWICE {task} run {run} after its end as done"));
        }
        if history.failed >= job.max_attempts && !body.long_running {
            self.rule(format!("BUDGET {task} run {run} after {} failures", history.failed));
        }
        for earlier in &body.after {
            for other in 0..job.steps[*earlier].count {
                let name = format!("{id}.{occurrence}.{earlier}.{other}");
                if !self.tasks.get(&name).is_some_and(|history| history.ever_done) {
                    self.rule(format!("ORDER {task} before {name}"));
                }
            }
        }
        let (mut cpu, mut mem, mut gpu, mut same) = (body.cpu, body.mem_mb, body.gpu, 1);
        for present in &self.minions[number].running {
            if let Some(other) = self.jobs.get(&present.job).and_then(|job| job.steps.get(present.step)) {
                cpu += other.cpu;
                mem += other.mem_mb;
                gpu += other.gpu;
                same += usize::from(group(&present.task) == group(task));
            }
        }
        if cpu > 64_000 || mem > 262_144 || gpu > 8 {
            self.rule(format!("LIMIT {task} on {}: {cpu} {mem} {gpu}", self.minions[number].id));
        }
        if body.anti_affinity > 0 && same > body.anti_affinity {
            self.rule(format!("ROUTE {task} beyond its anti_affinity"));
        }
        if !body.requires.is_empty() && body.requires != self.minions[number].label {
            self.rule(format!("ROUTE {task} without its label"));
        }
    }

    fn stop(&mut self, number: usize, call: &Json) -> (u16, String) {
        let task = call.get("task").str().to_string();
        let (run, fence) = (call.get("run").int(), call.get("fence").int());
        let minion = &mut self.minions[number];
        let clock = minion.clock();
        if fence < minion.fence {
            return (409, format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}"));
        }
        minion.fence = fence;
        let tomb = minion.tombs.entry(task.clone()).or_default();
        *tomb = (*tomb).max(run);
        for present in &mut minion.running {
            if present.task == task && present.run <= run && present.stopping_since.is_none() {
                present.stopping_since = Some(Instant::now());
            }
        }
        let id = minion.id.clone();
        self.note(format!("{id} stop {task} run {run} fence {fence}"));
        (200, format!("{{\"clock_ms\":{clock}}}"))
    }

    fn lists(&self, number: usize) -> String {
        let minion = &self.minions[number];
        let now = Instant::now();
        let running: Vec<String> = minion
            .running
            .iter()
            .map(|run| {
                let step = self.jobs.get(&run.job).and_then(|job| job.steps.get(run.step)).cloned().unwrap_or_default();
                let percent = if step.long_running {
                    if run.worked_ms(now) > 500 { 100 } else { 0 }
                } else {
                    ((run.base_ms + run.worked_ms(now)) * 100 / step.ms.max(1)).min(99)
                };
                format!("[{},{},{},{percent},0]", quote(&run.task), run.run, quote(&run.saved(&step, false)))
            })
            .collect();
        let ends: Vec<String> = minion
            .ends
            .iter()
            .take(500)
            .map(|end| format!("[{},{},{},{},{}]", end.number, quote(&end.task), end.run, quote(end.how), quote(&end.saved)))
            .collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            minion.clock(),
            minion.born,
            running.join(","),
            ends.join(",")
        )
    }
}

/// Returns the step of an occurrence that a task belongs to.
fn group(task: &str) -> String {
    task.rsplit_once('.').map_or("", |(group, _)| group).to_string()
}

impl Run {
    fn worked_ms(&self, now: Instant) -> u64 {
        let restore = if self.base_ms > 0 { RESTORE_MS } else { 0 };
        self.working_since.map_or(0, |since| (now.duration_since(since).as_millis() as u64).saturating_sub(restore))
    }

    fn saved(&self, step: &Step, at_stop: bool) -> String {
        if !step.checkpointable {
            return String::new();
        }
        let worked = self.worked_ms(Instant::now());
        let worked = if at_stop { worked } else { worked / CHECKPOINT_MS * CHECKPOINT_MS };
        let total = self.base_ms + worked;
        if total == 0 { String::new() } else { format!("c-{total}") }
    }
}

impl Minion {
    fn clock(&self) -> u64 {
        1_000 + self.born_at.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: u64) {
        self.lease_until = self.lease_until.max(until.min(self.clock() + MAX_HOLD_MS));
    }

    fn entry(&self, service: &str) -> Json {
        let text = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"seq\":1,\"born\":{},\"capacity\":{{\"cpu\":64000,\"mem_mb\":262144,\"gpu\":8}},\"labels\":[{},{}]}}",
            quote(service),
            self.address,
            quote(&self.zone),
            self.born,
            quote(&self.label),
            quote(&self.rack)
        );
        Json::parse(&text).unwrap()
    }
}

impl Fleet {
    /// Starts the minions, each with a kind, a zone and a rack, written with slashes between them.
    pub fn start(store: &Store, service: &str, labels: &[&str]) -> Self {
        let fleet = Self { world: Arc::new(Mutex::new(World { break_ms: 5, ..World::default() })), store: store.clone(), service: service.into() };
        for (number, label) in labels.iter().enumerate() {
            let shared = fleet.clone();
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let address = serve(any, move |request| shared.answer(number, &request)).expect("a minion's address is free");
            let minion = Minion {
                id: format!("i-{number:04}"),
                address,
                label: label.split('/').next().unwrap_or("").into(),
                zone: label.split('/').nth(1).unwrap_or("trent").into(),
                rack: label.split('/').nth(2).unwrap_or("r1-1").into(),
                born: unix_ms(),
                born_at: Instant::now(),
                up: true,
                cut: false,
                fence: 0,
                lease_until: 0,
                running: Vec::new(),
                ends: Vec::new(),
                next_end: 1,
                tombs: HashMap::new(),
                seen: 0,
            };
            store.put("servers", &minion.id, Some(&minion.entry(service)));
            fleet.lock().minions.push(minion);
        }
        let world = fleet.world.clone();
        std::thread::spawn(move || loop {
            world.lock().unwrap().advance();
            std::thread::sleep(Duration::from_millis(4));
        });
        fleet
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap()
    }

    /// Crashes a minion; with `again` it starts again under its id.
    pub fn crash(&self, number: usize, again: bool) {
        let mut world = self.lock();
        let id = world.minions[number].id.clone();
        world.note(format!("{id} crashes, starts again: {again}"));
        let minion = &mut world.minions[number];
        let ended = std::mem::take(&mut minion.running);
        let lost: Vec<End> = std::mem::take(&mut minion.ends);
        minion.up = again;
        if again {
            minion.born = unix_ms();
            minion.born_at = Instant::now();
            minion.fence = 0;
            minion.lease_until = 0;
            minion.next_end = 1;
            minion.tombs.clear();
            let entry = minion.entry(&self.service);
            self.store.put("servers", &id, Some(&entry));
        } else {
            self.store.put("servers", &id, None);
        }
        // What ran there has ended, which breaks its gangs.
        let groups: Vec<(String, u64)> = ended.iter().map(|run| (group(&run.task), run.run)).collect();
        let jobs = world.jobs.clone();
        for run in world.minions.iter_mut().flat_map(|minion| &mut minion.running) {
            let gang = jobs.get(&run.job).and_then(|job| job.steps.get(run.step)).is_some_and(|step| step.gang);
            if gang && groups.contains(&(group(&run.task), run.run)) {
                run.broken_at.get_or_insert(Instant::now());
            }
        }
        // An end that nobody has taken note of is lost with the process.
        for end in lost.iter().filter(|end| end.how == "done") {
            if let Some(history) = world.tasks.get_mut(&end.task) {
                history.done = false;
            }
        }
    }

    fn answer(&self, number: usize, request: &Request) -> Reply {
        let Some(call) = Json::parse(&request.body) else { return Reply::Answer(400, "{}".into()) };
        let wait_ms = call.get("wait_ms").int().min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut first = true;
        loop {
            let mut world = self.lock();
            let minion = &mut world.minions[number];
            if minion.cut {
                return Reply::Silence;
            }
            if !minion.up {
                return Reply::Close;
            }
            if request.header("x-arbutuspick-target-instance") != minion.id {
                return Reply::Answer(421, "{}".into());
            }
            let (status, body) = match request.path.as_str() {
                "/run-start" => world.start(number, &call),
                "/run-stop" => world.stop(number, &call),
                "/hold" => {
                    let fence = call.get("fence").int();
                    if fence < minion.fence {
                        let clock = minion.clock();
                        return Reply::Answer(409, format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}"));
                    }
                    if first {
                        minion.fence = fence;
                        if let Some(until) = call.get("until_ms").num() {
                            minion.extend(until as u64);
                        }
                        let seen = call.get("last_seen").int();
                        minion.ends.retain(|end| end.number > seen);
                        let news = minion.seen < seen;
                        minion.seen = minion.seen.max(seen);
                        if news {
                            let id = minion.id.clone();
                            world.note(format!("{id} ends up to {seen} are taken note of, fence {fence}"));
                        }
                        first = false;
                    }
                    let ready = !world.minions[number].ends.is_empty() || Instant::now() >= until;
                    if !ready {
                        drop(world);
                        std::thread::sleep(Duration::from_millis(3));
                        continue;
                    }
                    (200, world.lists(number))
                }
                _ => (404, "{}".into()),
            };
            return Reply::Answer(status, body);
        }
    }
}
