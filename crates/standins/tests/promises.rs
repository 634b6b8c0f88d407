//! The check after a run must notice every kind of broken promise, and no other.

use arbutuspick_model::{AccountName, AttemptNumber, CentreName, JobId, WorkerName};
use arbutuspick_standins::drive::{
    CallReport, CentreTaskLog, JobReport, OutageReport, RequestReport, ResultCheck, RunLogs, SaidOutcome,
    check_promises,
};
use arbutuspick_standins::{RequestLog, RequestRuns, TaskEnd, TaskLog, TaskRun};
use yare::parameterized;

const RECORDED_AT: u64 = 10_000;

fn job() -> JobReport {
    JobReport {
        account: AccountName::try_from("parks").unwrap(),
        label: "job".into(),
        tasks: 2,
        accelerators: 2,
        idempotent: false,
        said: SaidOutcome::Ran,
        reason: String::new(),
        attempt: 1,
        accepted: true,
        missing: false,
        result: ResultCheck::Whole,
        submitted_at: 0,
        ended_at: 0,
    }
}

fn run(id: JobId, attempt: u32, member: u32) -> TaskRun {
    TaskRun {
        job: id,
        attempt: AttemptNumber(attempt),
        member,
        output: "job".into(),
        resumed_ms: None,
        started_at: 1_000,
        ended_at: Some(2_000),
        how: Some(TaskEnd::Finished),
    }
}

fn logs(runs: Vec<TaskRun>) -> RunLogs {
    let log = TaskLog {
        worker: WorkerName::try_from("trent-w0").unwrap(),
        runs,
    };
    let data_centre = CentreName::try_from("trent").unwrap();
    RunLogs {
        workers: vec![CentreTaskLog { data_centre, log }],
        ..RunLogs::default()
    }
}

type JobChange = fn(&mut JobReport, &mut Vec<TaskRun>);

fn broken_by(change: JobChange) -> Vec<String> {
    let mut job = job();
    let id = JobId::generate();
    let mut runs = vec![run(id, 1, 0), run(id, 1, 1)];
    change(&mut job, &mut runs);
    check_promises(&[job], &[], None, &logs(runs))
}

#[parameterized(
    whole = { |_, _| {} },
    unknown = { |job, runs| { job.said = SaidOutcome::Unknown; runs.pop(); } },
    unrecorded = { |job, runs| {
        (job.said, job.missing, job.accepted) = (SaidOutcome::Unknown, true, false);
        runs.clear();
    } },
    not_run = { |job, runs| { job.said = SaidOutcome::NotRun; runs.clear(); } },
    resumed = { |job, runs| {
        runs.iter_mut().for_each(|run| run.how = Some(TaskEnd::Stopped));
        let again = runs.clone().into_iter().map(|run| TaskRun { attempt: AttemptNumber(2), resumed_ms: Some(0), how: Some(TaskEnd::Finished), ..run });
        runs.extend(again);
        job.attempt = 2;
    } },
    repeated_idempotent = { |job, runs| {
        let id = runs[0].job;
        runs.extend([run(id, 2, 0), run(id, 2, 1)]);
        runs[1].how = Some(TaskEnd::LeaseExpired);
        (job.idempotent, job.attempt) = (true, 2);
    } },
)]
fn kept_by_jobs(change: JobChange) {
    assert_eq!(broken_by(change), Vec::<String>::new());
}

#[parameterized(
    in_part = { |_, runs| { runs.pop(); } },
    lost_member = { |_, runs| runs[1].how = Some(TaskEnd::LeaseExpired) },
    other_attempt = { |job, _| job.attempt = 2 },
    mixed_attempts = { |job, runs| { runs[1].attempt = AttemptNumber(2); job.idempotent = true; } },
    twice = { |_, runs| { let id = runs[0].job; runs.push(run(id, 2, 0)); } },
    key_twice = { |job, runs| { runs.push(run(JobId::generate(), 1, 0)); job.idempotent = true; } },
    ran_after_all = { |job, _| job.said = SaidOutcome::NotRun },
    lost_job = { |job, runs| { (job.said, job.missing) = (SaidOutcome::Unknown, true); runs.clear(); } },
    wrong_result = { |job, _| job.result = ResultCheck::Wrong("cut".into()) },
)]
fn broken_by_jobs(change: JobChange) {
    assert!(!broken_by(change).is_empty());
}

fn outage_with_start(started_at: u64, centre: &str) -> Vec<String> {
    let outage = OutageReport {
        data_centre: CentreName::try_from(centre).unwrap(),
        out_recorded_at: Some(RECORDED_AT),
        in_sent_at: Some(RECORDED_AT + 20_000),
        in_recorded_at: None,
        answers: Vec::new(),
    };
    let late = TaskRun {
        started_at,
        ..run(JobId::generate(), 1, 0)
    };
    check_promises(&[], &[], Some(&outage), &logs(vec![late]))
}

#[test]
fn late_starts() {
    assert!(outage_with_start(RECORDED_AT - 1, "trent").is_empty());
    assert!(outage_with_start(RECORDED_AT + 2_000, "trent").is_empty());
    assert_eq!(outage_with_start(RECORDED_AT + 2_010, "trent").len(), 1);
    assert_eq!(outage_with_start(RECORDED_AT + 19_999, "trent").len(), 1);
    assert!(outage_with_start(RECORDED_AT + 20_000, "trent").is_empty());
    assert!(outage_with_start(RECORDED_AT + 5_000, "severn").is_empty());
}

fn request_broken(idempotent: bool, said: &[SaidOutcome], count: u64) -> bool {
    let call = |said: &SaidOutcome| CallReport {
        said: *said,
        reason: String::new(),
        result: ResultCheck::NotChecked,
    };
    let request = RequestReport {
        account: AccountName::try_from("parks").unwrap(),
        label: "r1".into(),
        idempotent,
        keyed: true,
        calls: said.iter().map(call).collect(),
        sent_at: 0,
        ended_at: 0,
    };
    let mut log = RequestLog::default();
    if count > 0 {
        log.ran.insert("r1".into(), RequestRuns { count, last_at: 0 });
    }
    let mut logs = RunLogs::default();
    logs.add_requests(&log);
    !check_promises(&[], &[request], None, &logs).is_empty()
}

#[test]
fn request_promises() {
    use SaidOutcome::{NotRun, Ran, Unknown};
    assert!(!request_broken(false, &[Ran], 1));
    assert!(!request_broken(false, &[Unknown], 1));
    assert!(!request_broken(false, &[NotRun], 0));
    assert!(!request_broken(true, &[Ran], 2));
    assert!(!request_broken(false, &[NotRun, Ran], 1));
    assert!(request_broken(false, &[Ran], 2));
    assert!(request_broken(false, &[Unknown], 2));
    assert!(request_broken(true, &[NotRun], 1));
    assert!(request_broken(true, &[Ran], 0));
}
