use arbutuspick_clients::{CallError, UpstreamResponse};
use arbutuspick_route::AttemptResult;
use axum::http::{HeaderMap, StatusCode};

/// Header by which an upstream says that it did not run a request.
const OUTCOME: &str = "x-outcome";
/// Header by which an upstream says that it is leaving.
const LEAVING: &str = "x-leaving";

/// Returns whether the upstream says that it is leaving.
pub(crate) fn is_leaving(headers: &HeaderMap) -> bool {
    headers.get(LEAVING).is_some_and(|value| value == "1")
}

/// Judges how an attempt ended; `expired` tells whether its deadline has passed.
pub(crate) fn attempt_result(answer: &Result<UpstreamResponse, CallError>, expired: bool) -> AttemptResult {
    match answer {
        Ok(answer) if says_not_run(answer) && is_leaving(&answer.headers) => AttemptResult::Leaving,
        Ok(answer) if says_not_run(answer) => AttemptResult::RefusedNotRun,
        Ok(answer) if answer.status.is_server_error() => AttemptResult::Failed,
        Ok(_) => AttemptResult::Succeeded,
        Err(CallError::Ambiguous { .. }) if expired => AttemptResult::Expired,
        Err(CallError::Ambiguous { .. }) => AttemptResult::Lost,
        Err(CallError::NotSent { .. } | CallError::Rejected { .. }) => AttemptResult::NotSent,
    }
}

/// The contract defines this answer, and no other, as "not run".
fn says_not_run(answer: &UpstreamResponse) -> bool {
    answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer
            .headers
            .get(OUTCOME)
            .is_some_and(|value| value == "not-run")
}
