//! The printed report must give the numbers of the calls, and completion times only of jobs that ran.

use arbutuspick_model::AccountName;
use arbutuspick_standins::drive::{DriveReport, JobReport, ReportedOutcome, ResultCheck, RunLogs};

fn job(accelerators: u32, outcome: ReportedOutcome, millis: u64) -> JobReport {
    JobReport {
        account: AccountName::try_from("parks").unwrap(),
        label: "job".into(),
        tasks: 1,
        accelerators,
        idempotent: false,
        outcome,
        reason: "cancelled".into(),
        attempt: 1,
        accepted: true,
        missing: false,
        result: ResultCheck::Correct,
        submitted_at: 1_000,
        ended_at: 1_000 + millis,
    }
}

fn report(jobs: Vec<JobReport>) -> String {
    let report = DriveReport {
        deployment: "trial".into(),
        run_ms: 1_000,
        jobs,
        requests: Vec::new(),
        samples: Vec::new(),
        outage: None,
        logs: RunLogs::default(),
        violations: Vec::new(),
    };
    report.to_string()
}

#[test]
fn completion_times() {
    let mut jobs: Vec<_> = (1..=100)
        .map(|index| job(1, ReportedOutcome::Ran, index * 10))
        .collect();
    jobs.push(job(64, ReportedOutcome::Ran, 70_000));
    jobs.push(job(1, ReportedOutcome::NotRun, 99_000));
    let text = report(jobs);
    let line = |class: &str| {
        text.lines()
            .find(|line| line.contains(class))
            .unwrap_or_default()
            .to_owned()
    };
    let figures = |class: &str| -> Vec<u64> {
        let line = line(class);
        let (_, tail) = line.split_once(class).unwrap_or_default();
        tail.split_whitespace()
            .filter_map(|word| word.parse().ok())
            .collect()
    };
    assert_eq!(figures("jobs of 1 accelerator"), [100, 500, 950, 990], "{text}");
    let [count, median, ..] = figures("jobs of 9 or more")[..] else {
        panic!("no large jobs: {text}");
    };
    assert_eq!(count, 1);
    assert!((69_900..=70_100).contains(&median), "{median}");
}

#[test]
fn counted_reasons() {
    let text = report(vec![
        job(1, ReportedOutcome::NotRun, 1),
        job(1, ReportedOutcome::NotRun, 1),
    ]);
    assert!(text.contains("2 NotRun cancelled"), "{text}");
    assert!(text.contains("2 sent      0 ran     2 not run"), "{text}");
}

#[test]
fn unfinished_jobs() {
    let text = report(vec![job(1, ReportedOutcome::Unfinished, 1)]);
    assert!(text.contains("unfinished job job: cancelled"), "{text}");
}
