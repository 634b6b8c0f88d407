use arbutuspick_clients::{CallError, UpstreamResponse};
use arbutuspick_route::AttemptResult;
use axum::http::{HeaderMap, StatusCode};

/// Header in which an upstream states that it did not run a request.
const OUTCOME_HEADER: &str = "x-outcome";
/// Header in which an upstream states that it is leaving.
const LEAVING_HEADER: &str = "x-leaving";

/// Returns whether the headers state that the upstream is leaving.
pub(crate) fn is_leaving(headers: &HeaderMap) -> bool {
    headers.get(LEAVING_HEADER).is_some_and(|value| value == "1")
}

/// Classifies the result of an attempt; `expired` is whether its deadline has passed.
pub(crate) fn attempt_result(response: &Result<UpstreamResponse, CallError>, expired: bool) -> AttemptResult {
    match response {
        Ok(response) if is_marked_not_run(response) && is_leaving(&response.headers) => {
            AttemptResult::Leaving
        }
        Ok(response) if is_marked_not_run(response) => AttemptResult::RefusedNotRun,
        Ok(response) if response.status.is_server_error() => AttemptResult::Failed,
        Ok(_) => AttemptResult::Succeeded,
        Err(CallError::Ambiguous { .. }) if expired => AttemptResult::Expired,
        Err(CallError::Ambiguous { .. }) => AttemptResult::Lost,
        Err(CallError::NotSent { .. } | CallError::Rejected { .. }) => AttemptResult::NotSent,
    }
}

/// The upstream contract defines this response, and no other, as "not run".
fn is_marked_not_run(response: &UpstreamResponse) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers
            .get(OUTCOME_HEADER)
            .is_some_and(|value| value == "not-run")
}
