use std::future::Future;
use std::sync::Arc;

use arbutuspick_model::CallerKey;
use axum::body::Body;
use axum::extract::Request;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use uuid::Uuid;

use super::ApiError;

/// Header with the id of the request, which every response has.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header that states whether a request to a service ran.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-outcome");

tokio::task_local! {
    static CURRENT_REQUEST_ID: Arc<str>;
}

/// Returns the id of the request that the current task handles.
pub(crate) fn current_request_id() -> Arc<str> {
    CURRENT_REQUEST_ID
        .try_with(Arc::clone)
        .unwrap_or_else(|_| "none".into())
}

/// Attaches the id of the current request to a future, so that it keeps it when it is spawned.
pub(crate) fn in_current_request<Work>(work: Work) -> impl Future<Output = Work::Output>
where
    Work: Future,
{
    CURRENT_REQUEST_ID.scope(current_request_id(), work)
}

/// Middleware that gives every request an id, and converts errors of the framework to errors of this API.
pub(crate) async fn request_scope(request: Request, next: Next) -> Response {
    let id = caller_request_id(request.headers()).unwrap_or_else(|| Uuid::now_v7().to_string().into());
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let mut response = CURRENT_REQUEST_ID
        .scope(Arc::clone(&id), async {
            with_json_error(next.run(request).await)
        })
        .await;
    log::debug!(
        "[api] request {id}: {method} {path} answered with {}",
        response.status()
    );
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Returns the request id of the caller, if it has the syntax of an idempotency key.
pub(crate) fn caller_request_id(headers: &HeaderMap) -> Option<Arc<str>> {
    let id = headers.get(REQUEST_ID_HEADER)?.to_str().ok()?;
    CallerKey::try_from(id).is_ok().then(|| id.into())
}

/// Replaces the plain text errors of the framework; responses of upstreams are not changed.
fn with_json_error(response: Response) -> Response {
    let status = response.status();
    let is_json = response.headers().contains_key(header::CONTENT_TYPE)
        && response.headers()[header::CONTENT_TYPE] == "application/json";
    if status.as_u16() < 400 || is_json || response.headers().contains_key(OUTCOME_HEADER) {
        return response;
    }
    let error = match status {
        StatusCode::NOT_FOUND => ApiError::not_found("path"),
        StatusCode::METHOD_NOT_ALLOWED => ApiError::new(
            status,
            "method_not_allowed",
            "the path does not support this method",
        ),
        _ => ApiError::new(status, "bad_request", "the request is not well formed"),
    };
    let mut replaced = error.into_response();
    if let Some(allow) = response.headers().get(header::ALLOW) {
        replaced.headers_mut().insert(header::ALLOW, allow.clone());
    }
    replaced.map(Body::new)
}
