//! The cases.

use std::time::Duration;

use crate::Outcome;
use crate::deployment::{Deployment, Job, PREFIXES};
use crate::fleet::{StepWork, WorkerKind};
use crate::record::Record;

pub fn play(name: &str, trouble: bool, record: &Record) -> Outcome {
    match name {
        "hopeless-gang" => hopeless_gang(trouble, record),
        "remote-failure" => remote_failure(trouble, record),
        "long-listing" => long_listing(trouble, record),
        "full-rack" => full_rack(trouble, record),
        _ => Outcome::NotRun,
    }
}

/// Workers like those of the small deployments, in racks of four.
fn common_workers(count: usize) -> Vec<WorkerKind> {
    const RACKS: [&str; 3] = ["r1", "r2", "r3"];
    const ZONES: [&str; 3] = ["trent", "severn", "peak-edge"];
    let kind = |number: usize| WorkerKind {
        label: "common",
        rack: RACKS[number / 4 % 3],
        zone: ZONES[number / 4 % 3],
        cpu: 64_000,
        mem_mb: 262_144,
        gpu: 8,
    };
    (0..count).map(kind).collect()
}

fn job_id(number: usize) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

/// Twenty gangs of one shape come within three seconds. One of them also asks for one task a worker and is wider than
/// the pool, so it can never be done.
fn hopeless_gang(trouble: bool, record: &Record) -> Outcome {
    const MEMBERS: usize = 10;
    const JOBS: usize = 20;
    const HOPELESS: usize = 4;
    let work = Duration::from_millis(2_000);
    let Some(deployment) = Deployment::start(record.clone(), &common_workers(8), &["trent", "severn"]) else {
        return Outcome::NotRun;
    };
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let hopeless = trouble && number == HOPELESS;
        let limit = if hopeless { ",\"anti_affinity\":1" } else { "" };
        let job = Job {
            id: job_id(number),
            prefix: PREFIXES[0],
            body: format!(
                "{{\"spec\":\"confirm\",\"steps\":[{{\"count\":{MEMBERS},\"cpu\":4000,\"mem_mb\":1000,\"gpu\":2,\"estimate_ms\":2000,\"gang\":true{limit}}}]}}"
            ),
            steps: vec![StepWork {
                work,
                gang: Some(MEMBERS),
                data_rack: None,
                saves: false,
            }],
        };
        if !deployment.submit(&job) {
            return Outcome::NotRun;
        }
        if hopeless {
            record.line(&format!(
                "job {} can never be done: {MEMBERS} tasks, one a worker, 8 workers",
                job.id
            ));
        } else {
            jobs.push(job);
        }
        std::thread::sleep(Duration::from_millis(140));
    }
    let states = deployment.wait_completed(&jobs, Duration::from_secs(60));
    judge_lost(&deployment, &states, record)
}

/// A task whose data is in one rack can run on one worker only, which is in another rack and at first taken by another
/// job. When it starts there, that worker fails what it starts, for five seconds.
fn remote_failure(trouble: bool, record: &Record) -> Outcome {
    const ONLY: usize = 11;
    let mut kinds = common_workers(12);
    kinds[ONLY].label = "large";
    let Some(deployment) = Deployment::start(record.clone(), &kinds, &["trent", "severn"]) else {
        return Outcome::NotRun;
    };
    let job = |number: usize, gpu: u64, work_ms: u64, data_rack: Option<&'static str>| Job {
        id: job_id(number),
        prefix: PREFIXES[1],
        body: format!(
            "{{\"spec\":\"confirm\",\"steps\":[{{\"count\":1,\"cpu\":8000,\"mem_mb\":1000,\"gpu\":{gpu},\"estimate_ms\":{work_ms},\"requires\":\"large\"{}}}]}}",
            data_rack.map_or(String::new(), |rack| format!(",\"affinity\":\"{rack}\""))
        ),
        steps: vec![StepWork {
            work: Duration::from_millis(work_ms),
            gang: None,
            data_rack,
            saves: false,
        }],
    };
    // Another job takes the whole worker for seventeen seconds.
    let mut jobs = vec![job(1, 8, 17_000, None), job(2, 2, 1_500, Some("r1"))];
    for job in &jobs {
        if !deployment.submit(job) {
            return Outcome::NotRun;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    std::thread::sleep(Duration::from_millis(15_500));
    if trouble {
        record.line("worker w11 fails all that it starts from now on, for five seconds");
        deployment.fleet.set_failing(ONLY, true);
    }
    std::thread::sleep(Duration::from_secs(5));
    record.line("worker w11 is sound");
    deployment.fleet.set_failing(ONLY, false);
    // The worker runs other work again.
    jobs.push(job(3, 2, 1_500, None));
    if !deployment.submit(&jobs[2]) {
        return Outcome::NotRun;
    }
    let states = deployment.wait_completed(&jobs, Duration::from_secs(50));
    judge_lost(&deployment, &states, record)
}

/// Tasks that last fill the rack of their data. One of its workers is emptied and leaves; its tasks can only go on in
/// another rack, where enough workers are idle.
fn full_rack(trouble: bool, record: &Record) -> Outcome {
    const WORKERS: usize = 16;
    const LEAVES: usize = 1;
    let mut kinds = common_workers(WORKERS);
    for (number, kind) in kinds.iter_mut().enumerate() {
        kind.rack = ["r1", "r2", "r3", "r4"][number / 4];
    }
    let Some(deployment) = Deployment::start(record.clone(), &kinds, &["trent", "severn"]) else {
        return Outcome::NotRun;
    };
    // Tasks of 4 GPUs: eight fill the rack r1, and ten use five workers of the others.
    let jobs: Vec<Job> = [(1, 8, "r1"), (2, 5, "r2"), (3, 5, "r3")]
        .into_iter()
        .map(|(number, count, rack)| Job {
            id: job_id(number),
            prefix: PREFIXES[1],
            body: format!(
                "{{\"spec\":\"serve\",\"steps\":[{{\"count\":{count},\"cpu\":8000,\"mem_mb\":1000,\"gpu\":4,\"estimate_ms\":60000,\"affinity\":\"{rack}\",\"long_running\":true}}]}}"
            ),
            steps: vec![StepWork { work: Duration::from_secs(100_000), gang: None, data_rack: Some(rack), saves: false }],
        })
        .collect();
    for job in &jobs {
        if !deployment.submit(job) {
            return Outcome::NotRun;
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    let wanted = 18;
    if deployment.fleet.running().len() != wanted {
        return Outcome::NotRun;
    }
    if trouble {
        record.line(&format!(
            "worker w{LEAVES:02} drains, and leaves four seconds later"
        ));
        deployment.fleet.drain(LEAVES, Duration::from_secs(4));
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut longest = Duration::ZERO;
    let mut missing_since = None;
    for _ in 0..500 {
        std::thread::sleep(Duration::from_millis(100));
        let running = deployment.fleet.running().len();
        if running == wanted {
            missing_since = None;
            continue;
        }
        let since = *missing_since.get_or_insert_with(|| {
            record.line(&format!("{running} of {wanted} tasks that last run"));
            std::time::Instant::now()
        });
        longest = longest.max(since.elapsed());
    }
    record.line(&format!(
        "some task that lasts was away for {:.1} s on end, while six workers were idle",
        longest.as_secs_f64()
    ));
    // Six seconds after a last run and three more, with a second for the look at it.
    if longest > Duration::from_secs(10) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Jobs of many small tasks that last come at once, and one worker gets them all.
fn long_listing(trouble: bool, record: &Record) -> Outcome {
    let jobs = if trouble { 7 } else { 3 };
    let Some(deployment) = Deployment::start(record.clone(), &common_workers(8), &["trent", "severn"]) else {
        return Outcome::NotRun;
    };
    for number in 0..jobs {
        let job = Job {
            id: job_id(number),
            prefix: PREFIXES[1],
            body: "{\"spec\":\"serve\",\"steps\":[{\"count\":1200,\"cpu\":5,\"mem_mb\":5,\"estimate_ms\":2000,\"long_running\":true,\"checkpointable\":true}]}".to_owned(),
            steps: vec![StepWork { work: Duration::from_secs(100_000), gang: None, data_rack: None, saves: true }],
        };
        deployment.fleet.sum_runs(&job.id, 0);
        if !deployment.submit(&job) {
            return Outcome::NotRun;
        }
        std::thread::sleep(Duration::from_millis(4_000 / jobs as u64));
    }
    for _ in 0..45 {
        std::thread::sleep(Duration::from_secs(1));
        deployment.fleet.record_sums();
    }
    let (longest, away) = deployment.fleet.longest_away();
    record.line(&format!(
        "{} starts of {} tasks; some task was without a run for {:.1} s on end, {away} are now",
        deployment.fleet.starts(),
        1_200 * jobs,
        longest.as_secs_f64(),
    ));
    // Six seconds after a last run and three more, with a second for the look at it.
    if longest > Duration::from_secs(10) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// LOST: long after the traffic, a job isn't done although nothing runs and all workers are free.
fn judge_lost(
    deployment: &Deployment,
    states: &std::collections::BTreeMap<String, String>,
    record: &Record,
) -> Outcome {
    let open: Vec<&String> = states
        .iter()
        .filter(|(_, state)| *state != "completed")
        .map(|(id, _)| id)
        .collect();
    if open.is_empty() {
        return Outcome::Held;
    }
    // A job that is shown as failed or cancelled, or has no answer, is another matter.
    if states
        .values()
        .any(|state| !matches!(state.as_str(), "completed" | "running" | "queued"))
    {
        return Outcome::NotRun;
    }
    let before = deployment.fleet.starts();
    let mut idle = true;
    for _ in 0..20 {
        idle &= deployment.fleet.running().is_empty();
        std::thread::sleep(Duration::from_millis(250));
    }
    let started = deployment.fleet.starts() - before;
    record.line(&format!(
        "{} of {} accepted jobs are not done: {open:?}; in the last five seconds {started} tasks were started, all workers idle: {idle}",
        open.len(),
        states.len(),
    ));
    if idle && started == 0 {
        Outcome::Broken
    } else {
        Outcome::NotRun
    }
}
