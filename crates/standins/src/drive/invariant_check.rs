use std::collections::{BTreeMap, HashMap, HashSet};

use arbutuspick_model::CentreName;

use super::job_call::{JobReport, ReportedOutcome, ResultCheck};
use super::outage_call::OutageReport;
use super::request_call::RequestReport;
use super::run_logs::RunLogs;
use crate::task_log::{TaskEnd, TaskRun};

/// Time after an order is recorded during which tasks may still start.
const ORDER_PROPAGATION_MS: u64 = 2_000;
/// Maximum difference between the wall clocks of stand-ins on one machine.
const CLOCK_TOLERANCE_MS: u64 = 5;

/// Compares the outcomes that callers were told with what ran; returns one line for every violated invariant.
pub fn check_invariants(
    jobs: &[JobReport],
    requests: &[RequestReport],
    outage: Option<&OutageReport>,
    logs: &RunLogs,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: HashMap<&str, Vec<&TaskRun>> = HashMap::new();
    for (_, run) in logs.runs() {
        runs.entry(&run.output).or_default().push(run);
    }
    for job in jobs {
        let runs = runs.get(job.label.as_str()).map_or(&[][..], Vec::as_slice);
        check_job(job, runs, &mut violations);
    }
    for request in requests {
        let count = logs.requests.get(&request.label).copied().unwrap_or_default();
        check_request(request, count, &mut violations);
    }
    if let Some(outage) = outage {
        check_outage(outage, logs, &mut violations);
    }
    violations
}

fn check_job(job: &JobReport, runs: &[&TaskRun], violations: &mut Vec<String>) {
    let label = &job.label;
    let ids: HashSet<_> = runs.iter().map(|run| run.job).collect();
    if ids.len() > 1 {
        violations.push(format!(
            "job {label}: its idempotency key ran as {} jobs",
            ids.len()
        ));
    }
    if !job.idempotent {
        let mut fresh_runs: BTreeMap<u32, u32> = BTreeMap::new();
        for run in runs.iter().filter(|run| run.resumed_ms.is_none()) {
            *fresh_runs.entry(run.member).or_default() += 1;
        }
        if let Some((member, count)) = fresh_runs.into_iter().find(|(_, count)| *count > 1) {
            violations.push(format!(
                "job {label}: member {member} ran {count} times, but is not idempotent"
            ));
        }
    }
    if job.outcome == ReportedOutcome::NotRun && !runs.is_empty() {
        let count = runs.len();
        violations.push(format!(
            "job {label}: reported as not run ({}), but {count} tasks started",
            job.reason
        ));
    }
    if job.outcome == ReportedOutcome::Ran && !all_members_finished(job, runs) {
        violations.push(format!(
            "job {label}: reported as ran, but attempt {} did not finish all members",
            job.attempt
        ));
    }
    if job.accepted && job.missing {
        violations.push(format!("job {label}: was accepted, but no entry VM knows it"));
    }
    if let ResultCheck::Wrong(message) = &job.result {
        violations.push(format!("job {label}: {message}"));
    }
}

fn all_members_finished(job: &JobReport, runs: &[&TaskRun]) -> bool {
    let finished = runs
        .iter()
        .filter(|run| run.attempt.0 == job.attempt && run.end == Some(TaskEnd::Finished));
    let mut members: Vec<u32> = finished.map(|run| run.member).collect();
    members.sort_unstable();
    members == (0..job.tasks).collect::<Vec<_>>()
}

fn check_request(request: &RequestReport, count: u64, violations: &mut Vec<String>) {
    let label = &request.label;
    if !request.idempotent && count > 1 {
        violations.push(format!(
            "request {label}: ran {count} times, but is not idempotent"
        ));
    }
    let any_reported = |outcome| request.calls.iter().any(|call| call.outcome == outcome);
    // "Not run" is about its own call only; another call with the same key may have run the request.
    let may_have_run = any_reported(ReportedOutcome::Ran) || any_reported(ReportedOutcome::Unknown);
    if any_reported(ReportedOutcome::NotRun) && !may_have_run && count > 0 {
        violations.push(format!(
            "request {label}: reported as not run, but ran {count} times"
        ));
    }
    if any_reported(ReportedOutcome::Ran) && count == 0 {
        violations.push(format!("request {label}: reported as ran, but did not run"));
    }
    for call in &request.calls {
        if let ResultCheck::Wrong(message) = &call.result {
            violations.push(format!("request {label}: {message}"));
        }
    }
}

fn check_outage(outage: &OutageReport, logs: &RunLogs, violations: &mut Vec<String>) {
    let Some(recorded_at) = outage.out_recorded_at else {
        violations.push(format!(
            "data centre {}: the order was not recorded",
            outage.data_centre
        ));
        return;
    };
    let from = recorded_at + ORDER_PROPAGATION_MS + CLOCK_TOLERANCE_MS;
    let until = outage.in_sent_at.unwrap_or(u64::MAX);
    let is_late = |(centre, run): &(&CentreName, &TaskRun)| {
        **centre == outage.data_centre && run.started_at > from && run.started_at < until
    };
    for (centre, run) in logs.runs().filter(is_late) {
        let delay_ms = run.started_at - recorded_at;
        violations.push(format!(
            "job {}: member {} started in {centre} {delay_ms} ms after the order was recorded",
            run.output, run.member
        ));
    }
}
