//! A run of the driver must report no violation for a correct entry VM, and every violation of a faulty one.

mod simple_entry;

use arbutuspick_model::{CentreName, RackName, ServiceName, UpstreamName, WorkerName};
use arbutuspick_standins::drive::{DriveOptions, DriveReport, ReportedOutcome, Workload, drive_load};
use arbutuspick_standins::{
    PlatformOptions, PlatformStandin, UpstreamOptions, UpstreamStandin, WorkerOptions, WorkerStandin,
};
use simple_entry::{EntryFault, start_entry};

const WORKLOAD: &str = "
deployment: trial
seed: 3
load_s: 1
limit_s: 10
operator_token: operator:duty
outage: {data_centre: severn, out_at_s: 0, in_at_s: 1, drain_ms: 100}
accounts:
  - name: parks
    token: account:parks
    jobs: [{name: pair, bursts: 1, jobs: 5, shape: {tasks: 2}, run_ms: [10, 30]}]
    requests:
      - {service: booking, per_s: 20, work_ms: [0, 1], deadline_ms: 5000, idempotent_percent: 0, keyed_percent: 50, duplicate_percent: 50}
";

async fn drive(fault: EntryFault) -> DriveReport {
    let trent = CentreName::try_from("trent").unwrap();
    let worker = WorkerStandin::start(WorkerOptions::new(
        WorkerName::try_from("w0").unwrap(),
        trent.clone(),
        RackName::try_from("r0").unwrap(),
    ))
    .await
    .unwrap();
    let mut options = UpstreamOptions::new(
        UpstreamName::try_from("u0").unwrap(),
        trent.clone(),
        ServiceName::try_from("booking").unwrap(),
    );
    options.slots = 64;
    let upstream = UpstreamStandin::start(options).await.unwrap();
    let vms = vec![worker.entry(), upstream.entry()];
    let platform = PlatformStandin::start(PlatformOptions {
        vms,
        ..PlatformOptions::default()
    })
    .await
    .unwrap();
    let entry = start_entry(worker.address(), upstream.address(), fault).await;
    let options = DriveOptions {
        workload: Workload::parse(WORKLOAD).unwrap(),
        entries: vec![(trent, entry)],
        platform: platform.address(),
    };
    drive_load(options).await.unwrap()
}

#[tokio::test]
async fn correct_entry() {
    let report = drive(EntryFault::None).await;
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    assert!(report.jobs.iter().all(|job| job.outcome == ReportedOutcome::Ran));
    assert_eq!((report.jobs.len(), report.requests.len()), (5, 20));
    let sample = &report.samples[0];
    assert_eq!(
        (
            sample.data_centre.as_str(),
            sample.free,
            sample.free_on_idle_workers
        ),
        ("trent", 9, 8)
    );
    let text = report.to_string();
    assert!(text.contains("jobs of 2 to 8 accelerators"), "{text}");
    assert!(text.contains("severn out"), "{text}");
}

#[tokio::test]
async fn duplicate_runs() {
    let report = drive(EntryFault::RunTwice).await;
    assert_eq!(report.violations.len(), 20, "{:?}", report.violations);
}

#[tokio::test]
async fn denied_runs() {
    let report = drive(EntryFault::DenyRuns).await;
    let denied = report
        .violations
        .iter()
        .filter(|line| line.contains("reported as not run"));
    assert_eq!(denied.count(), 5, "{:?}", report.violations);
}

#[tokio::test]
async fn truncated_results() {
    let report = drive(EntryFault::TruncateResults).await;
    assert_eq!(report.violations.len(), 5, "{:?}", report.violations);
}
