use std::time::Duration;

use arbutuspick_clients::{CallError, UpstreamResponse};
use arbutuspick_model::{AccountName, ClockTime};
use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::{Method, StatusCode};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::time::sleep;

use super::entry_pool::{EntryCall, EntryPool};
use super::job_call::{ReportedOutcome, ResultCheck};
use super::load_plan::PlannedRequest;
use crate::upstream_standin::UpstreamResult;
use crate::wall_clock::WallClock;

/// Time that the driver waits for a response after the deadline of a request, in milliseconds.
const RESPONSE_GRACE_MS: u64 = 2_000;
/// Maximum number of calls for a request with an idempotency key when responses are lost.
const MAX_CALLS: usize = 3;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of one call for a request.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// Outcome that the caller was told.
    pub outcome: ReportedOutcome,
    /// Status and reason of the response, or the error of the call.
    pub reason: String,
    /// Check of the response's body.
    pub result: ResultCheck,
}

/// Outcome of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// Client account.
    pub account: AccountName,
    /// Unique label, sent as the id in its body.
    pub label: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it had an idempotency key.
    pub keyed: bool,
    /// Calls; more than one if it was retried or sent to two entry VMs.
    pub calls: Vec<CallReport>,
    /// Time of the first call, in milliseconds since the Unix epoch.
    pub sent_at: u64,
    /// Time of the last response, in milliseconds since the Unix epoch.
    pub ended_at: u64,
}

impl RequestReport {
    /// Returns the most definite outcome among the calls.
    pub fn outcome(&self) -> ReportedOutcome {
        let outcomes = self.calls.iter().map(|call| call.outcome);
        outcomes.min().unwrap_or(ReportedOutcome::Unfinished)
    }
}

/// Sends one request, with retries and duplicates as planned.
pub(crate) struct RequestCall<'a> {
    pub(crate) entry_pool: &'a EntryPool,
    pub(crate) wall_clock: WallClock,
    pub(crate) request: &'a PlannedRequest,
}

impl RequestCall<'_> {
    pub(crate) async fn run(&self) -> RequestReport {
        let request = self.request;
        let sent_at = self.wall_clock.now_ms();
        let calls = if request.duplicate {
            let (first, second) = tokio::join!(self.call_until_response(), self.call_until_response());
            [first, second].concat()
        } else {
            self.call_until_response().await
        };
        RequestReport {
            account: request.account.clone(),
            label: request.label.clone(),
            idempotent: request.idempotent,
            keyed: request.keyed,
            calls,
            sent_at,
            ended_at: self.wall_clock.now_ms(),
        }
    }

    /// Calls once, and retries after a lost response if an idempotency key makes the retry safe.
    async fn call_until_response(&self) -> Vec<CallReport> {
        let mut reports = Vec::new();
        for _ in 0..MAX_CALLS {
            let (report, responded) = self.call().await;
            reports.push(report);
            if responded || !self.request.keyed {
                break;
            }
            sleep(RETRY_INTERVAL).await;
        }
        reports
    }

    async fn call(&self) -> (CallReport, bool) {
        let request = self.request;
        let body = json!({"id": request.label, "work_ms": request.work_ms});
        let path = format!("/v1/services/{}/requests", request.service);
        let mut call = EntryCall::new(Method::POST, &path, &request.token)
            .with_header(
                HeaderName::from_static("x-idempotent"),
                &request.idempotent.to_string(),
            )
            .with_header(
                HeaderName::from_static("x-deadline-ms"),
                &request.deadline_ms.to_string(),
            )
            .with_json(&body);
        if request.keyed {
            call = call.with_header(HeaderName::from_static("idempotency-key"), &request.label);
        }
        let deadline: ClockTime = self.entry_pool.clock.now() + request.deadline_ms + RESPONSE_GRACE_MS;
        match self.entry_pool.call(&call, deadline).await {
            Ok(response) => (self.read_response(&response, &call.body), true),
            Err(error) => (call_failure(&error), false),
        }
    }

    fn read_response(&self, response: &UpstreamResponse, sent_body: &Bytes) -> CallReport {
        let header = response
            .headers
            .get("x-outcome")
            .and_then(|value| value.to_str().ok());
        let (outcome, result) = match header {
            Some("ran") => (ReportedOutcome::Ran, self.check_result(response, sent_body)),
            // An entry VM writes `not_run`; the header of an upstream has the value `not-run`.
            Some("not_run") => (ReportedOutcome::NotRun, ResultCheck::NotChecked),
            // The call itself was refused, for example because the configuration lacks the client account.
            None if is_refusal(response.status) => (ReportedOutcome::NotRun, ResultCheck::NotChecked),
            _ => (ReportedOutcome::Unknown, ResultCheck::NotChecked),
        };
        let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let reason = body["reason"].as_str().or_else(|| body["error"]["code"].as_str());
        CallReport {
            outcome,
            reason: format!("{}: {}", response.status.as_u16(), reason.unwrap_or("no reason")),
            result,
        }
    }

    fn check_result(&self, response: &UpstreamResponse, sent_body: &Bytes) -> ResultCheck {
        if response.status != StatusCode::OK {
            return ResultCheck::NotChecked;
        }
        let result: UpstreamResult = match serde_json::from_slice(&response.body) {
            Ok(result) => result,
            Err(e) => return ResultCheck::Wrong(format!("cannot read the answer: {e}")),
        };
        let digest = hex::encode(Sha256::digest(sent_body));
        if result.id == self.request.label && result.digest == digest {
            return ResultCheck::Correct;
        }
        ResultCheck::Wrong(format!("answer to request {:?}", result.id))
    }
}

/// A conflict is not a refusal, since it is about another call with the same idempotency key.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::CONFLICT
}

fn call_failure(error: &CallError) -> CallReport {
    let outcome = if error.had_no_effect() {
        ReportedOutcome::NotRun
    } else {
        ReportedOutcome::Unknown
    };
    CallReport {
        outcome,
        reason: error.to_string(),
        result: ResultCheck::NotChecked,
    }
}
