//! The check after a run must report every kind of violated invariant, and nothing else.

use arbutuspick_model::{AccountName, AttemptNumber, CentreName, JobId, WorkerName};
use arbutuspick_standins::drive::{
    CallReport, CentreTaskLog, JobReport, OutageReport, ReportedOutcome, RequestReport, ResultCheck, RunLogs,
    check_invariants,
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
        outcome: ReportedOutcome::Ran,
        reason: String::new(),
        attempt: 1,
        accepted: true,
        missing: false,
        result: ResultCheck::Correct,
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
        end: Some(TaskEnd::Finished),
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

fn violations_after(change: JobChange) -> Vec<String> {
    let mut job = job();
    let id = JobId::generate();
    let mut runs = vec![run(id, 1, 0), run(id, 1, 1)];
    change(&mut job, &mut runs);
    check_invariants(&[job], &[], None, &logs(runs))
}

#[parameterized(
    complete = { |_, _| {} },
    unknown = { |job, runs| { job.outcome = ReportedOutcome::Unknown; runs.pop(); } },
    unrecorded = { |job, runs| {
        (job.outcome, job.missing, job.accepted) = (ReportedOutcome::Unknown, true, false);
        runs.clear();
    } },
    not_run = { |job, runs| { job.outcome = ReportedOutcome::NotRun; runs.clear(); } },
    resumed = { |job, runs| {
        runs.iter_mut().for_each(|run| run.end = Some(TaskEnd::Stopped));
        let again = runs.clone().into_iter().map(|run| TaskRun { attempt: AttemptNumber(2), resumed_ms: Some(0), end: Some(TaskEnd::Finished), ..run });
        runs.extend(again);
        job.attempt = 2;
    } },
    repeated_idempotent = { |job, runs| {
        let id = runs[0].job;
        runs.extend([run(id, 2, 0), run(id, 2, 1)]);
        runs[1].end = Some(TaskEnd::LeaseExpired);
        (job.idempotent, job.attempt) = (true, 2);
    } },
)]
fn conforming_jobs(change: JobChange) {
    assert_eq!(violations_after(change), Vec::<String>::new());
}

#[parameterized(
    missing_run = { |_, runs| { runs.pop(); } },
    expired_member = { |_, runs| runs[1].end = Some(TaskEnd::LeaseExpired) },
    other_attempt = { |job, _| job.attempt = 2 },
    mixed_attempts = { |job, runs| { runs[1].attempt = AttemptNumber(2); job.idempotent = true; } },
    repeated_member = { |_, runs| { let id = runs[0].job; runs.push(run(id, 2, 0)); } },
    duplicate_job = { |job, runs| { runs.push(run(JobId::generate(), 1, 0)); job.idempotent = true; } },
    denied_runs = { |job, _| job.outcome = ReportedOutcome::NotRun },
    missing_job = { |job, runs| { (job.outcome, job.missing) = (ReportedOutcome::Unknown, true); runs.clear(); } },
    wrong_result = { |job, _| job.result = ResultCheck::Wrong("cut".into()) },
)]
fn violating_jobs(change: JobChange) {
    assert!(!violations_after(change).is_empty());
}

fn outage_violations(started_at: u64, centre: &str) -> Vec<String> {
    let outage = OutageReport {
        data_centre: CentreName::try_from(centre).unwrap(),
        out_recorded_at: Some(RECORDED_AT),
        in_sent_at: Some(RECORDED_AT + 20_000),
        in_recorded_at: None,
        answers: Vec::new(),
    };
    let run = TaskRun {
        started_at,
        ..run(JobId::generate(), 1, 0)
    };
    check_invariants(&[], &[], Some(&outage), &logs(vec![run]))
}

#[test]
fn late_starts() {
    assert!(outage_violations(RECORDED_AT - 1, "trent").is_empty());
    assert!(outage_violations(RECORDED_AT + 2_000, "trent").is_empty());
    assert_eq!(outage_violations(RECORDED_AT + 2_010, "trent").len(), 1);
    assert_eq!(outage_violations(RECORDED_AT + 19_999, "trent").len(), 1);
    assert!(outage_violations(RECORDED_AT + 20_000, "trent").is_empty());
    assert!(outage_violations(RECORDED_AT + 5_000, "severn").is_empty());
}

fn is_violated(idempotent: bool, outcomes: &[ReportedOutcome], count: u64) -> bool {
    let call = |outcome: &ReportedOutcome| CallReport {
        outcome: *outcome,
        reason: String::new(),
        result: ResultCheck::NotChecked,
    };
    let request = RequestReport {
        account: AccountName::try_from("parks").unwrap(),
        label: "r1".into(),
        idempotent,
        keyed: true,
        calls: outcomes.iter().map(call).collect(),
        sent_at: 0,
        ended_at: 0,
    };
    let mut log = RequestLog::default();
    if count > 0 {
        log.ran.insert("r1".into(), RequestRuns { count, last_at: 0 });
    }
    let mut logs = RunLogs::default();
    logs.add_requests(&log);
    !check_invariants(&[], &[request], None, &logs).is_empty()
}

#[test]
fn request_outcomes() {
    use ReportedOutcome::{NotRun, Ran, Unknown};
    assert!(!is_violated(false, &[Ran], 1));
    assert!(!is_violated(false, &[Unknown], 1));
    assert!(!is_violated(false, &[NotRun], 0));
    assert!(!is_violated(true, &[Ran], 2));
    assert!(!is_violated(false, &[NotRun, Ran], 1));
    assert!(is_violated(false, &[Ran], 2));
    assert!(is_violated(false, &[Unknown], 2));
    assert!(is_violated(true, &[NotRun], 1));
    assert!(is_violated(true, &[Ran], 0));
}
