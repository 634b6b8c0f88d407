use std::time::Duration;

use arbutuspick_clients::{CallError, MemberResult, UpstreamResponse};
use arbutuspick_model::{AccountName, ClockTime};
use hyper::header::HeaderName;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::entry_pool::{EntryCall, EntryPool, json_body};
use super::load_plan::PlannedJob;
use crate::wall_clock::WallClock;

const CALL_TIMEOUT_MS: u64 = 10_000;
const LONG_POLL_MS: u64 = 5_000;
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unknown job counts as missing. Until then, a submission whose outcome is unresolved
/// may still be recorded.
const MISSING_TIMEOUT_MS: u64 = 10_000;
const MAX_SUBMISSIONS: usize = 5;

/// Outcome of a job or request as it was reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedOutcome {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// No final outcome was reported before the end of the run.
    Unfinished,
}

/// Whether a result is complete and belongs to its job or request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultCheck {
    /// There was no result, or it could not be fetched.
    NotChecked,
    /// The result is complete and belongs to the job or request.
    Correct,
    /// The result is incomplete, unreadable or of another job or request.
    Wrong(String),
}

/// Outcome of one job, as its caller saw it.
#[derive(Clone, Debug)]
pub struct JobReport {
    /// Client account.
    pub account: AccountName,
    /// Unique label, which its tasks return as output.
    pub label: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of accelerators of the gang.
    pub accelerators: u32,
    /// Whether its tasks may run more than once.
    pub idempotent: bool,
    /// Outcome that the caller was told.
    pub outcome: ReportedOutcome,
    /// Reason that was given for an outcome other than "ran".
    pub reason: String,
    /// Number of the attempt that ran.
    pub attempt: u32,
    /// Whether an entry VM accepted its submission.
    pub accepted: bool,
    /// Whether the entry VMs responded "not found" for it afterwards.
    pub missing: bool,
    /// Check of the result.
    pub result: ResultCheck,
    /// Time of the first submission, in milliseconds since the Unix epoch.
    pub submitted_at: u64,
    /// Time at which the caller learned the outcome, in milliseconds since the Unix epoch.
    pub ended_at: u64,
}

/// Submits one job and polls it until it is final or the deadline passes.
pub(crate) struct JobCall<'a> {
    pub(crate) entry_pool: &'a EntryPool,
    pub(crate) wall_clock: WallClock,
    pub(crate) job: &'a PlannedJob,
    pub(crate) deadline: ClockTime,
}

impl JobCall<'_> {
    pub(crate) async fn run(&self) -> JobReport {
        let job = self.job;
        let mut report = JobReport {
            account: job.account.clone(),
            label: job.label.clone(),
            tasks: job.shape.tasks,
            accelerators: job.shape.total_accelerators(),
            idempotent: job.idempotent,
            outcome: ReportedOutcome::Unfinished,
            reason: String::new(),
            attempt: 0,
            accepted: false,
            missing: false,
            result: ResultCheck::NotChecked,
            submitted_at: self.wall_clock.now_ms(),
            ended_at: 0,
        };
        let id = self.submit(&mut report).await;
        report.ended_at = self.wall_clock.now_ms();
        if let Some(id) = id {
            tokio::join!(
                self.cancel_if_planned(&id),
                self.poll_until_final(&id, &mut report)
            );
            if report.outcome == ReportedOutcome::Ran {
                report.result = self.check_result(&id).await;
            }
        }
        report
    }

    /// Submits the job with its idempotency key until it gets a response; returns the id if there is a job to
    /// poll.
    async fn submit(&self, report: &mut JobReport) -> Option<String> {
        let job = self.job;
        let payload = json!({"run_ms": job.run_ms, "output": job.label});
        let body = json!({
            "shape": job.shape,
            "class": job.class,
            "idempotent": job.idempotent,
            "checkpointable": job.checkpointable,
            "declared_run_ms": job.declared_run_ms,
            "payload": payload.to_string(),
        });
        let call = EntryCall::new(Method::POST, "/v1/jobs", &job.token)
            .with_header(HeaderName::from_static("idempotency-key"), &job.label)
            .with_json(&body);
        let mut response_lost = false;
        for _ in 0..MAX_SUBMISSIONS {
            match self.call(&call).await {
                Ok(response) => {
                    let id = read_submission(&response, report);
                    // A refusal says nothing about an earlier call whose response was lost.
                    if response_lost && report.outcome == ReportedOutcome::NotRun {
                        report.outcome = ReportedOutcome::Unknown;
                    }
                    return id;
                }
                Err(error) => {
                    response_lost |= !error.had_no_effect();
                    report.outcome = if response_lost {
                        ReportedOutcome::Unknown
                    } else {
                        ReportedOutcome::NotRun
                    };
                    report.reason = error.to_string();
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        None
    }

    async fn cancel_if_planned(&self, id: &str) {
        let Some(after_ms) = self.job.cancel_after_ms else {
            return;
        };
        sleep(Duration::from_millis(after_ms)).await;
        let call = EntryCall::new(Method::DELETE, &format!("/v1/jobs/{id}"), &self.job.token);
        // The response is ignored: the outcome of the job shows whether it was cancelled in time.
        let _ = self.call(&call).await;
    }

    async fn poll_until_final(&self, id: &str, report: &mut JobReport) {
        let path = format!("/v1/jobs/{id}/wait?timeout_ms={LONG_POLL_MS}");
        let call = EntryCall::new(Method::GET, &path, &self.job.token);
        report.outcome = ReportedOutcome::Unfinished;
        let missing_deadline = self.entry_pool.clock.now() + MISSING_TIMEOUT_MS;
        while self.entry_pool.clock.now() < self.deadline {
            if let Ok(response) = self.call(&call).await {
                let missing = response.status == StatusCode::NOT_FOUND;
                if missing && self.entry_pool.clock.now() >= missing_deadline {
                    report.outcome = ReportedOutcome::Unknown;
                    report.reason = "the job is not recorded".into();
                    report.missing = true;
                    return;
                }
                if response.status.is_success() && self.update_report(&response, report) {
                    return;
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Updates the report with the state of the job and returns whether the state is final.
    fn update_report(&self, response: &UpstreamResponse, report: &mut JobReport) -> bool {
        let body = json_body(response);
        let attempt = &body["attempt"];
        let Some(outcome) = final_state(&body) else {
            // Reported as the reason if the job is still unfinished at the deadline.
            report.reason = format!("{}, attempt {attempt} in {}", body["state"], body["data_centre"]);
            return false;
        };
        report.outcome = outcome;
        report.reason = reason(&body);
        report.attempt = attempt
            .as_u64()
            .and_then(|n| u32::try_from(n).ok())
            .unwrap_or_default();
        report.ended_at = self.wall_clock.now_ms();
        true
    }

    async fn check_result(&self, id: &str) -> ResultCheck {
        let call = EntryCall::new(Method::GET, &format!("/v1/jobs/{id}/result"), &self.job.token);
        while self.entry_pool.clock.now() < self.deadline {
            if let Ok(response) = self.call(&call).await
                && response.status == StatusCode::OK
            {
                return self.compare_result(&response.body);
            }
            sleep(RETRY_INTERVAL).await;
        }
        ResultCheck::NotChecked
    }

    fn compare_result(&self, body: &[u8]) -> ResultCheck {
        let results: Vec<MemberResult> = match serde_json::from_slice(body) {
            Ok(results) => results,
            Err(e) => return ResultCheck::Wrong(format!("cannot read the result: {e}")),
        };
        let mut indexes: Vec<_> = results.iter().map(|result| result.index).collect();
        indexes.sort_unstable();
        if indexes != (0..self.job.shape.tasks).collect::<Vec<_>>() {
            return ResultCheck::Wrong(format!("result of members {indexes:?}"));
        }
        match results.iter().find(|result| *result.output != *self.job.label) {
            Some(other) => ResultCheck::Wrong(format!("output {:?} of another job", other.output)),
            None => ResultCheck::Correct,
        }
    }

    async fn call(&self, call: &EntryCall) -> Result<UpstreamResponse, CallError> {
        let call_deadline = self.entry_pool.clock.now() + CALL_TIMEOUT_MS;
        self.entry_pool.call(call, call_deadline.min(self.deadline)).await
    }
}

fn read_submission(response: &UpstreamResponse, report: &mut JobReport) -> Option<String> {
    let body = json_body(response);
    let id = body["job"].as_str().map(str::to_owned);
    let outcome = match body["outcome"].as_str() {
        Some("not_run") => Some(ReportedOutcome::NotRun),
        // A client error without an outcome is a refusal of the call itself.
        None if response.status.is_client_error() => Some(ReportedOutcome::NotRun),
        _ if id.is_some() => None,
        _ => Some(ReportedOutcome::Unknown),
    };
    let Some(outcome) = outcome else {
        report.accepted = response.status.is_success();
        return id;
    };
    report.outcome = outcome;
    report.reason = format!("{}: {}", response.status.as_u16(), reason(&body));
    if outcome == ReportedOutcome::Unknown {
        id
    } else {
        None
    }
}

fn final_state(body: &Value) -> Option<ReportedOutcome> {
    match body["state"].as_str()? {
        "ran" => Some(ReportedOutcome::Ran),
        "not_run" => Some(ReportedOutcome::NotRun),
        "unknown" => Some(ReportedOutcome::Unknown),
        _ => None,
    }
}

fn reason(body: &Value) -> String {
    let reason = body["reason"]
        .as_str()
        .or_else(|| body["outcome"]["reason"].as_str());
    let code = || body["error"]["code"].as_str();
    reason.or_else(code).unwrap_or("no reason").to_owned()
}
