use arbutuspick_clients::UpstreamResponse;
use arbutuspick_model::{FieldError, RefusalReason, ServiceName};
use arbutuspick_route::RequestKind;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderValue, header};
use axum::response::{IntoResponse, Response};

use super::{AccountCaller, ApiBody, ApiError, OUTCOME_HEADER, SharedContext, header_value, idempotency_key};
use super::{REQUEST_ID_HEADER, caller_request_id, request_headers::parse_millis};
use crate::daemon::StopPhase;
use crate::requests::{KeyedOutcome, RouteOutcome, ServiceRequest, run_keyed};

/// Headers of the caller that are forwarded to the upstream.
const FORWARDED_HEADERS: [&str; 6] = [
    "accept",
    "accept-encoding",
    "accept-language",
    "content-encoding",
    "content-type",
    "idempotency-key",
];

/// `POST /v1/services/{service}/requests`
pub(super) async fn request(
    State(context): State<SharedContext>,
    AccountCaller(account): AccountCaller,
    Path(service): Path<String>,
    headers: HeaderMap,
    ApiBody(body): ApiBody,
) -> Result<Response, ApiError> {
    let service = ServiceName::try_from(service)?;
    if !context.settings.services.contains(&service) {
        return Err(ApiError::not_found("service"));
    }
    let key = idempotency_key(&headers)?;
    let kind = request_kind(&headers)?;
    let limit = header_value(&headers, "x-deadline-ms")?;
    let limit = parse_millis("x-deadline-ms", limit, context.settings.limits.max_deadline)?;
    let deadline = context.clock.now() + limit.as_millis() as u64;
    let weight = match context.config.load().accounts.get(&account) {
        Some(config) => config.weight,
        None => return Err(ApiError::forbidden("the account is not in the configuration")),
    };
    if context.stop.phase() == StopPhase::Draining {
        let keyed = key.is_some() && kind == RequestKind::NonIdempotent;
        return Err(ApiError::refused_call(RefusalReason::Stopping, keyed));
    }
    let request = ServiceRequest {
        account,
        weight,
        service,
        kind,
        headers: forwarded_headers(&headers),
        body,
        deadline,
    };
    let keyed_outcome = match key {
        Some(key) if kind == RequestKind::NonIdempotent => run_keyed(&context, request, key).await,
        _ => KeyedOutcome::Routed(context.router.run(&request).await),
    };
    match keyed_outcome {
        KeyedOutcome::Routed(outcome) => outcome_response(outcome),
        KeyedOutcome::KeyReused => Err(ApiError::conflict(
            "key_reused",
            "the idempotency key was used with a different body",
        )),
    }
}

fn request_kind(headers: &HeaderMap) -> Result<RequestKind, FieldError> {
    match header_value(headers, "x-idempotent")? {
        None | Some("false") => Ok(RequestKind::NonIdempotent),
        Some("true") => Ok(RequestKind::Idempotent),
        Some(other) => Err(FieldError::new("x-idempotent", other, "must be true or false")),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        for value in headers.get_all(name) {
            forwarded.append(name, value.clone());
        }
    }
    if let Some(id) = caller_request_id(headers).and_then(|id| HeaderValue::from_str(&id).ok()) {
        forwarded.insert(REQUEST_ID_HEADER, id);
    }
    forwarded
}

fn outcome_response(route_outcome: RouteOutcome) -> Result<Response, ApiError> {
    let outcome = match &route_outcome {
        RouteOutcome::Ran(_) => "ran",
        RouteOutcome::NotRun(_) => "not_run",
        RouteOutcome::Unknown(_) => "unknown",
    };
    metrics::counter!("arbutuspick_requests_total", "outcome" => outcome).increment(1);
    match route_outcome {
        RouteOutcome::Ran(response) => Ok(forward_response(response)),
        RouteOutcome::NotRun(reason) => Err(ApiError::not_run(reason)),
        RouteOutcome::Unknown(reason) => Err(ApiError::unknown(reason)),
    }
}

/// Converts the response of an upstream, with those of its headers that are forwarded.
fn forward_response(upstream_response: UpstreamResponse) -> Response {
    let UpstreamResponse {
        status,
        headers,
        body,
    } = upstream_response;
    let mut response = (status, body).into_response();
    let response_headers = response.headers_mut();
    // The framework sets a default type, which the response of the upstream may not have.
    response_headers.remove(header::CONTENT_TYPE);
    for name in [
        "content-type",
        "content-encoding",
        "content-language",
        "etag",
        "location",
        "retry-after",
    ] {
        for value in headers.get_all(name) {
            response_headers.append(name, value.clone());
        }
    }
    response_headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    response
}
