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
use super::job_call::{ResultCheck, SaidOutcome};
use super::load_plan::PlannedRequest;
use crate::upstream_standin::UpstreamResult;
use crate::wall_clock::WallClock;

/// Time after the deadline in which an entry VM may still answer.
const GRACE_MS: u64 = 2_000;
/// Calls for a keyed request whose answer was lost.
const MAX_CALLS: usize = 3;
const RETRY: Duration = Duration::from_millis(100);

/// One call for a request.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// What the caller was told.
    pub said: SaidOutcome,
    /// Reason that was given, for outcomes other than "ran".
    pub reason: String,
    /// Whether the answer was right.
    pub result: ResultCheck,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// Account.
    pub account: AccountName,
    /// Label, the id in its body.
    pub label: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it had a key.
    pub keyed: bool,
    /// Calls, more than one when it was repeated or sent to two entry VMs.
    pub calls: Vec<CallReport>,
    /// First call, in milliseconds since the Unix epoch.
    pub sent_at: u64,
    /// Last answer.
    pub ended_at: u64,
}

impl RequestReport {
    /// Returns the most definite of the calls' outcomes.
    pub fn said(&self) -> SaidOutcome {
        let said = self.calls.iter().map(|call| call.said);
        said.min().unwrap_or(SaidOutcome::Unfinished)
    }
}

/// Sends one request.
pub(crate) struct RequestCall<'a> {
    pub(crate) entries: &'a EntryPool,
    pub(crate) wall: WallClock,
    pub(crate) request: &'a PlannedRequest,
}

impl RequestCall<'_> {
    pub(crate) async fn run(&self) -> RequestReport {
        let request = self.request;
        let sent_at = self.wall.now_ms();
        let calls = if request.duplicate {
            let (first, second) = tokio::join!(self.call_until_answered(), self.call_until_answered());
            [first, second].concat()
        } else {
            self.call_until_answered().await
        };
        RequestReport {
            account: request.account.clone(),
            label: request.label.clone(),
            idempotent: request.idempotent,
            keyed: request.keyed,
            calls,
            sent_at,
            ended_at: self.wall.now_ms(),
        }
    }

    /// Calls once, and again after a lost answer when a key makes that safe.
    async fn call_until_answered(&self) -> Vec<CallReport> {
        let mut reports = Vec::new();
        for _ in 0..MAX_CALLS {
            let (report, answered) = self.call().await;
            reports.push(report);
            if answered || !self.request.keyed {
                break;
            }
            sleep(RETRY).await;
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
        let deadline: ClockTime = self.entries.clock.now() + request.deadline_ms + GRACE_MS;
        match self.entries.call(&call, deadline).await {
            Ok(answer) => (self.read(&answer, &call.body), true),
            Err(error) => (lost(&error), false),
        }
    }

    fn read(&self, answer: &UpstreamResponse, sent: &Bytes) -> CallReport {
        let header = answer
            .headers
            .get("x-outcome")
            .and_then(|value| value.to_str().ok());
        let (said, result) = match header {
            Some("ran") => (SaidOutcome::Ran, self.compare(answer, sent)),
            Some("not_run") => (SaidOutcome::NotRun, ResultCheck::NotChecked),
            // The call itself was refused, for example because the account is not in the configuration.
            None if is_refusal(answer.status) => (SaidOutcome::NotRun, ResultCheck::NotChecked),
            _ => (SaidOutcome::Unknown, ResultCheck::NotChecked),
        };
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let reason = body["reason"].as_str().or_else(|| body["error"]["code"].as_str());
        CallReport {
            said,
            reason: format!("{}: {}", answer.status.as_u16(), reason.unwrap_or("no reason")),
            result,
        }
    }

    fn compare(&self, answer: &UpstreamResponse, sent: &Bytes) -> ResultCheck {
        if answer.status != StatusCode::OK {
            return ResultCheck::NotChecked;
        }
        let result: UpstreamResult = match serde_json::from_slice(&answer.body) {
            Ok(result) => result,
            Err(e) => return ResultCheck::Wrong(format!("cannot read the answer: {e}")),
        };
        let digest = hex::encode(Sha256::digest(sent));
        if result.id == self.request.label && result.digest == digest {
            return ResultCheck::Whole;
        }
        ResultCheck::Wrong(format!("answer to request {:?}", result.id))
    }
}

/// A conflict says something of another call for the key, so it is no refusal.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::CONFLICT
}

fn lost(error: &CallError) -> CallReport {
    let said = if error.had_no_effect() {
        SaidOutcome::NotRun
    } else {
        SaidOutcome::Unknown
    };
    CallReport {
        said,
        reason: error.to_string(),
        result: ResultCheck::NotChecked,
    }
}
