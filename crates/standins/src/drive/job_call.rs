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

const CALL_MS: u64 = 10_000;
const WAIT_MS: u64 = 5_000;
const RETRY: Duration = Duration::from_millis(200);
/// Time after which a job that no VM knows is given up; only an unresolved submission can be late.
const MISSING_MS: u64 = 10_000;
const MAX_SUBMISSIONS: usize = 5;

/// What callers were told of a job or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SaidOutcome {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing final until the end of the run.
    Unfinished,
}

/// Whether a result was the whole result of its own job or request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultCheck {
    /// There was none, or it could not be read.
    NotChecked,
    /// It was.
    Whole,
    /// It was not.
    Wrong(String),
}

/// What became of one job.
#[derive(Clone, Debug)]
pub struct JobReport {
    /// Account.
    pub account: AccountName,
    /// Label, the output of its tasks.
    pub label: String,
    /// Tasks.
    pub tasks: u32,
    /// Accelerators of the gang.
    pub accelerators: u32,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// What the caller was told.
    pub said: SaidOutcome,
    /// Reason that was given, for outcomes other than "ran".
    pub reason: String,
    /// Attempt that ran.
    pub attempt: u32,
    /// Whether its submission was accepted.
    pub accepted: bool,
    /// Whether no entry VM knew it afterwards.
    pub missing: bool,
    /// Whether the result was right.
    pub result: ResultCheck,
    /// First submission, in milliseconds since the Unix epoch.
    pub submitted_at: u64,
    /// Time at which the caller knew the outcome.
    pub ended_at: u64,
}

/// Sends one job and follows it to its end or the deadline.
pub(crate) struct JobCall<'a> {
    pub(crate) entries: &'a EntryPool,
    pub(crate) wall: WallClock,
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
            said: SaidOutcome::Unfinished,
            reason: String::new(),
            attempt: 0,
            accepted: false,
            missing: false,
            result: ResultCheck::NotChecked,
            submitted_at: self.wall.now_ms(),
            ended_at: 0,
        };
        let id = self.submit(&mut report).await;
        report.ended_at = self.wall.now_ms();
        if let Some(id) = id {
            tokio::join!(self.cancel_later(&id), self.follow(&id, &mut report));
            if report.said == SaidOutcome::Ran {
                report.result = self.check_result(&id).await;
            }
        }
        report
    }

    /// Submits the job under its key until an answer comes; returns the id when there is a job to follow.
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
        let mut lost = false;
        for _ in 0..MAX_SUBMISSIONS {
            match self.call(&call).await {
                Ok(answer) => {
                    let id = read_submission(&answer, report);
                    // A refusal doesn't say what became of an earlier call whose answer was lost.
                    if lost && report.said == SaidOutcome::NotRun {
                        report.said = SaidOutcome::Unknown;
                    }
                    return id;
                }
                Err(error) => {
                    lost |= !error.had_no_effect();
                    report.said = if lost {
                        SaidOutcome::Unknown
                    } else {
                        SaidOutcome::NotRun
                    };
                    report.reason = error.to_string();
                }
            }
            sleep(RETRY).await;
        }
        None
    }

    async fn cancel_later(&self, id: &str) {
        let Some(after_ms) = self.job.cancel_after_ms else {
            return;
        };
        sleep(Duration::from_millis(after_ms)).await;
        let call = EntryCall::new(Method::DELETE, &format!("/v1/jobs/{id}"), &self.job.token);
        // The outcome of the job says whether the cancellation came in time.
        let _ = self.call(&call).await;
    }

    async fn follow(&self, id: &str, report: &mut JobReport) {
        let path = format!("/v1/jobs/{id}/wait?timeout_ms={WAIT_MS}");
        let call = EntryCall::new(Method::GET, &path, &self.job.token);
        report.said = SaidOutcome::Unfinished;
        let missing_until = self.entries.clock.now() + MISSING_MS;
        while self.entries.clock.now() < self.deadline {
            if let Ok(answer) = self.call(&call).await {
                let missing = answer.status == StatusCode::NOT_FOUND;
                if missing && self.entries.clock.now() >= missing_until {
                    report.said = SaidOutcome::Unknown;
                    report.reason = "the job is not recorded".into();
                    report.missing = true;
                    return;
                }
                if answer.status.is_success() && self.read_state(&answer, report) {
                    return;
                }
            }
            sleep(RETRY).await;
        }
    }

    /// Takes over the state of the job and returns whether it is final.
    fn read_state(&self, answer: &UpstreamResponse, report: &mut JobReport) -> bool {
        let body = json_body(answer);
        let attempt = &body["attempt"];
        let Some(said) = final_state(&body) else {
            // Kept when the job is still unfinished at the deadline.
            report.reason = format!("{}, attempt {attempt} in {}", body["state"], body["data_centre"]);
            return false;
        };
        report.said = said;
        report.reason = reason(&body);
        report.attempt = attempt
            .as_u64()
            .and_then(|n| u32::try_from(n).ok())
            .unwrap_or_default();
        report.ended_at = self.wall.now_ms();
        true
    }

    async fn check_result(&self, id: &str) -> ResultCheck {
        let call = EntryCall::new(Method::GET, &format!("/v1/jobs/{id}/result"), &self.job.token);
        while self.entries.clock.now() < self.deadline {
            if let Ok(answer) = self.call(&call).await
                && answer.status == StatusCode::OK
            {
                return self.compare_result(&answer.body);
            }
            sleep(RETRY).await;
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
            None => ResultCheck::Whole,
        }
    }

    async fn call(&self, call: &EntryCall) -> Result<UpstreamResponse, CallError> {
        let limit = self.entries.clock.now() + CALL_MS;
        self.entries.call(call, limit.min(self.deadline)).await
    }
}

fn read_submission(answer: &UpstreamResponse, report: &mut JobReport) -> Option<String> {
    let body = json_body(answer);
    let id = body["job"].as_str().map(str::to_owned);
    let said = match body["outcome"].as_str() {
        Some("not_run") => Some(SaidOutcome::NotRun),
        // Client errors other than a conflict are refusals of the call itself.
        None if answer.status.is_client_error() => Some(SaidOutcome::NotRun),
        _ if id.is_some() => None,
        _ => Some(SaidOutcome::Unknown),
    };
    let Some(said) = said else {
        report.accepted = answer.status.is_success();
        return id;
    };
    report.said = said;
    report.reason = format!("{}: {}", answer.status.as_u16(), reason(&body));
    if said == SaidOutcome::Unknown { id } else { None }
}

fn final_state(body: &Value) -> Option<SaidOutcome> {
    match body["state"].as_str()? {
        "ran" => Some(SaidOutcome::Ran),
        "not_run" => Some(SaidOutcome::NotRun),
        "unknown" => Some(SaidOutcome::Unknown),
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
