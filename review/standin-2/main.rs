//! Plays one case of the review: `standin-2 CASE FOLDER PROGRAM`. It exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run.

mod deploy;
mod fleet;
mod http;
mod json;
mod store;

use std::path::PathBuf;
use std::time::Duration;

use deploy::{Deployment, Queue};
use fleet::Step;

enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, program] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE FOLDER PROGRAM");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (record, verdict) = play(case, &scratch, &PathBuf::from(program), trouble);
    let (status, text) = match verdict {
        Verdict::Held => (0, "held".to_string()),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::NotRun(text) => (2, format!("could not run: {text}")),
    };
    let record = format!("case {case} trouble {trouble}\n{record}\nverdict {text}\n");
    let _ = std::fs::write(PathBuf::from(folder).join("record.txt"), record);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        eprintln!("logs in {}", scratch.display());
    }
    println!("{text}");
    std::process::exit(status);
}

fn play(case: &str, scratch: &PathBuf, program: &PathBuf, trouble: bool) -> (String, Verdict) {
    let labels: Vec<&str> = match case {
        "gang" => (0..20).map(|number| if number < 2 { "b" } else { "a" }).collect(),
        "affinity" => (0..12).map(|number| if number < 6 { "a/trent/r1-1" } else { "a/severn/r2-1" }).collect(),
        _ => vec!["a"; 8],
    };
    let queues = [
        Queue { name: "reconcile", priority: 1, max_attempts: 2 },
        Queue { name: "confirm", priority: 0, max_attempts: 4 },
        Queue { name: "sweep", priority: 2, max_attempts: 3 },
    ];
    let edges = if case == "takeover" { 7 } else { 3 };
    let Some(mut deployment) = Deployment::start(scratch.clone(), program.clone(), edges, &labels, &queues) else {
        return (String::new(), Verdict::NotRun("the deployment did not start".into()));
    };
    let verdict = match case {
        "gang" => gang(&mut deployment, &queues, trouble),
        "cancel" => cancel(&mut deployment, &queues, trouble),
        "takeover" => takeover(&mut deployment, &queues, trouble),
        "yield" => yield_to_gang(&mut deployment, &queues, trouble),
        "affinity" => affinity(&mut deployment, &queues, trouble),
        "soak" => soak(&mut deployment, &queues),
        _ => Verdict::NotRun("no such case".into()),
    };
    let record = deployment.fleet.lock().log.join("\n");
    (record, verdict)
}

/// Both members of a gang fail in one run, and the leader is killed, or is stopped, between the two ends.
fn gang(deployment: &mut Deployment, queues: &[Queue], trouble: bool) -> Verdict {
    let queue = &queues[0];
    let id = "5c0e7a21d94b36f8";
    {
        let mut world = deployment.fleet.lock();
        // The program fails on each of its two members, 500 ms apart.
        world.failures.insert((format!("{id}.0.0.0"), 1), 600);
        world.failures.insert((format!("{id}.0.0.1"), 1), 1_100);
        // The platform ends the other member as broken unless it fails before.
        world.break_ms = 800;
    }
    let step = Step { count: 2, cpu: 26_000, mem_mb: 75_000, gpu: 8, ms: 2_000, gang: true, ..Step::default() };
    if !deployment.submit(queue, id, vec![step], 0) {
        return Verdict::NotRun("the job was not accepted".into());
    }
    // The first failure is taken note of: the leader has stored it.
    let stored = deployment.wait(10_000, |deployment| {
        let world = deployment.fleet.lock();
        world.minions.iter().any(|minion| minion.seen > 0)
    });
    if !stored {
        return Verdict::NotRun("the first failure was not taken note of".into());
    }
    let failed = deployment.fleet.lock().tasks.values().map(|task| task.failed).sum::<usize>();
    if failed != 1 {
        return Verdict::NotRun("both members had failed already".into());
    }
    if trouble {
        let Some(leader) = deployment.leader() else { return Verdict::NotRun("no leader".into()) };
        deployment.note(format!("{} is killed", deployment.edges[leader].name));
        deployment.edges[leader].kill();
        std::thread::sleep(Duration::from_millis(500));
        deployment.edges[leader].start();
    }
    let mut state = String::new();
    deployment.wait(25_000, |deployment| {
        state = deployment.state(queue, id);
        std::thread::sleep(Duration::from_millis(400));
        state == "completed" || state == "failed"
    });
    let runs: Vec<String> = deployment.fleet.lock().tasks.iter().map(|(task, seen)| format!("{task}: {seen:?}")).collect();
    for run in runs {
        deployment.note(run);
    }
    match state.as_str() {
        "completed" => Verdict::Held,
        "failed" => Verdict::Broken("LOST: the job is shown as failed after one run of its gang, of 2 that it may have".into()),
        _ => Verdict::NotRun(format!("the job is {state:?}")),
    }
}

/// The answers to the writes of a submission are lost, and the writes are carried out late. The client cancels the job
/// before that.
fn cancel(deployment: &mut Deployment, queues: &[Queue], trouble: bool) -> Verdict {
    const LATE_MS: u64 = 5_500;
    const CANCEL_MS: u64 = 3_000;
    let queue = &queues[0];
    let id = "5c0e7a21d94b36f8";
    if trouble {
        deployment.store.set_hook(move |call| {
            let stores_job = call.get("writes").list().iter().any(|row| row.get("table").str() == "intake" && row.get("key").str() == id);
            if stores_job { store::Fate::Late(LATE_MS) } else { store::Fate::Normal }
        });
    }
    let step = Step { count: 2, cpu: 7_500, mem_mb: 39_000, gpu: 1, ms: 2_500, ..Step::default() };
    let job = fleet::Job { spec: format!("spec of {id}"), steps: vec![step.clone()], max_attempts: 2, repeats: 0, cancelled_at: None };
    let body = deploy::body(&job.spec, &job.steps, 0);
    deployment.fleet.lock().jobs.insert(id.into(), job);
    let path = format!("/{}/{id}", queue.name);
    let fronts: Vec<_> = deployment.edges.iter().map(|edge| edge.front).collect();
    deployment.note(format!("client sends POST {path} to edge-trent-1"));
    let answer = deployment.call(fronts[0], "POST", &path, &body);
    deployment.note(format!("edge-trent-1 answers {answer:?}"));
    let status = answer.map_or(0, |(status, _)| status);
    if trouble {
        deployment.store.set_hook(|_| store::Fate::Normal);
        deployment.note("from here on, all answers of the store arrive".into());
    }
    if matches!(status, 429 | 503 | 400..=428) {
        return Verdict::NotRun(format!("the submission was rejected with {status}"));
    }
    let answer = deployment.call(fronts[1], "DELETE", &path, "");
    let acknowledged = std::time::Instant::now();
    deployment.note(format!("client DELETE {path} at edge-trent-2: {answer:?}"));
    if !answer.is_some_and(|(status, _)| (200..300).contains(&status) || status == 410) {
        return Verdict::NotRun("the cancel was not acknowledged".into());
    }
    if let Some(job) = deployment.fleet.lock().jobs.get_mut(id) {
        job.cancelled_at = Some(acknowledged);
    }
    std::thread::sleep(Duration::from_millis(CANCEL_MS));
    std::thread::sleep(Duration::from_millis(LATE_MS));
    let state = deployment.state(queue, id);
    let broken = deployment.fleet.lock().broken.clone();
    if broken.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!("{}; the job is {state:?}", broken.join("; ")))
}

/// The leader is killed, and then each process that takes the seat. A job that is accepted and cancelled in that time is
/// started by the leader that follows.
fn takeover(deployment: &mut Deployment, queues: &[Queue], trouble: bool) -> Verdict {
    const KILLS: usize = 4;
    let queue = &queues[0];
    let id = "5c0e7a21d94b36f8";
    // All machines are in touch.
    std::thread::sleep(Duration::from_millis(3_500));
    let mut dead = Vec::new();
    if trouble {
        let Some(leader) = deployment.leader() else { return Verdict::NotRun("no leader".into()) };
        deployment.note(format!("{} is killed", deployment.edges[leader].name));
        deployment.edges[leader].kill();
        dead.push(leader);
    }
    let step = Step { count: 2, cpu: 7_500, mem_mb: 39_000, gpu: 1, ms: 2_500, ..Step::default() };
    if !deployment.submit(queue, id, vec![step], 0) {
        return Verdict::NotRun("the job was not accepted".into());
    }
    let path = format!("/{}/{id}", queue.name);
    if !deployment.client("DELETE", &path, "").is_some_and(|(status, _)| status == 200) {
        return Verdict::NotRun("the cancel was not acknowledged".into());
    }
    let acknowledged = std::time::Instant::now();
    if let Some(job) = deployment.fleet.lock().jobs.get_mut(id) {
        job.cancelled_at = Some(acknowledged);
    }
    while trouble && dead.len() < KILLS {
        let mut next = None;
        let last = *dead.last().unwrap_or(&0);
        let until = std::time::Instant::now() + Duration::from_secs(5);
        while next.is_none() && std::time::Instant::now() < until {
            next = deployment.leader().filter(|leader| *leader != last);
            std::thread::sleep(Duration::from_millis(2));
        }
        let Some(leader) = next else { return Verdict::NotRun("nobody took the seat".into()) };
        deployment.edges[leader].kill();
        deployment.note(format!("{} is killed", deployment.edges[leader].name));
        dead.push(leader);
    }
    std::thread::sleep(Duration::from_millis(6_000));
    let state = deployment.state(queue, id);
    let broken = deployment.fleet.lock().broken.clone();
    if broken.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!("{}; the job is {state:?}", broken.join("; ")))
}

/// Waits until `finish_s` after the last client's call, and then checks for longer than 3 s whether the job has
/// nothing running all the while. `free` says what else has to hold on the minions.
fn waits_in_vain<F>(deployment: &mut Deployment, id: &str, free: F) -> Option<bool>
where
    F: Fn(&fleet::World) -> bool,
{
    const FINISH_MS: u64 = 14_000;
    std::thread::sleep(Duration::from_millis(FINISH_MS));
    let prefix = format!("{id}.");
    for _ in 0..35 {
        let world = deployment.fleet.lock();
        if world.tasks.keys().any(|task| task.starts_with(&prefix)) {
            return Some(false);
        }
        if !free(&world) {
            return None;
        }
        drop(world);
        std::thread::sleep(Duration::from_millis(100));
    }
    let lines = deployment.fleet.lock().load();
    for line in lines {
        deployment.note(format!("at the end of the 3 s: {line}"));
    }
    Some(true)
}

/// A gang that cannot be placed comes, and a wide job of single tasks has to wait behind it beside idle minions.
fn yield_to_gang(deployment: &mut Deployment, queues: &[Queue], trouble: bool) -> Verdict {
    let (base, gang, wide) = ("00000000000000a1", "00000000000000b2", "00000000000000c3");
    let step = Step { count: 8, cpu: 2_000, mem_mb: 1_000, gpu: 1, ms: 100_000, anti_affinity: 1, ..Step::default() };
    if !deployment.submit(&queues[1], base, vec![step], 0) {
        return Verdict::NotRun("the first job was not accepted".into());
    }
    let runs = |deployment: &mut Deployment| deployment.fleet.lock().tasks.len() == 8;
    if !deployment.wait(5_000, runs) {
        return Verdict::NotRun("the first job did not start".into());
    }
    if trouble {
        let step = Step { count: 8, cpu: 26_000, mem_mb: 75_000, gpu: 8, ms: 10_000, gang: true, ..Step::default() };
        if !deployment.submit(&queues[0], gang, vec![step], 0) {
            return Verdict::NotRun("the gang was not accepted".into());
        }
    }
    let step = Step { count: 16, cpu: 2_000, mem_mb: 1_000, gpu: 1, ms: 60_000, ..Step::default() };
    if !deployment.submit(&queues[2], wide, vec![step], 0) {
        return Verdict::NotRun("the wide job was not accepted".into());
    }
    match waits_in_vain(deployment, wide, |world| world.used_gpus() <= 8) {
        None => Verdict::NotRun("more than an eighth is in use".into()),
        Some(false) => Verdict::Held,
        Some(true) => Verdict::Broken("LOST: the job has had nothing running for 3 s, with 56 of 64 GPUs idle and 16 needed".into()),
    }
}

/// The zone with the data of a job is evacuated, and the job has to wait beside idle minions of the other zone.
fn affinity(deployment: &mut Deployment, queues: &[Queue], trouble: bool) -> Verdict {
    let (base, near) = ("00000000000000a1", "00000000000000b2");
    if trouble {
        deployment.store.put("op", "evacuate/trent", Some(&json::Json::Map(Default::default())));
        deployment.note("the operator evacuates trent".into());
        std::thread::sleep(Duration::from_millis(1_000));
    }
    // More than half of the minions of the other zone, and less than half of all.
    let step = Step { count: 28, cpu: 2_000, mem_mb: 1_000, gpu: 1, ms: 100_000, affinity: "r2-1".into(), ..Step::default() };
    if !deployment.submit(&queues[1], base, vec![step], 0) {
        return Verdict::NotRun("the first job was not accepted".into());
    }
    let runs = |deployment: &mut Deployment| deployment.fleet.lock().tasks.len() == 28;
    if !deployment.wait(5_000, runs) {
        return Verdict::NotRun("the first job did not start".into());
    }
    let step = Step { count: 4, cpu: 2_000, mem_mb: 1_000, gpu: 1, ms: 30_000, affinity: "r1-1".into(), ..Step::default() };
    if !deployment.submit(&queues[0], near, vec![step], 0) {
        return Verdict::NotRun("the job was not accepted".into());
    }
    match waits_in_vain(deployment, near, |world| world.used_gpus() <= 32) {
        None => Verdict::NotRun("more than a third is in use".into()),
        Some(false) => Verdict::Held,
        Some(true) => Verdict::Broken("LOST: the job has had nothing running for 3 s, with 20 of 48 GPUs of the open zone idle and 4 needed".into()),
    }
}

include!("soak.rs");
