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

/// Header that carries the id of a request in every response.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that says whether a request to a service ran.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");

tokio::task_local! {
    static CURRENT_ID: Arc<str>;
}

/// Returns the id of the request that the current task handles.
pub(crate) fn current_id() -> Arc<str> {
    CURRENT_ID.try_with(Arc::clone).unwrap_or_else(|_| "none".into())
}

/// Runs a future as part of the request that the current task handles, also when it is spawned.
pub(crate) fn in_current_request<Work>(work: Work) -> impl Future<Output = Work::Output>
where
    Work: Future,
{
    CURRENT_ID.scope(current_id(), work)
}

/// Gives every request an id, and every error of the framework the form of this API.
pub(crate) async fn request_scope(request: Request, next: Next) -> Response {
    let id = callers_id(request.headers()).unwrap_or_else(|| Uuid::now_v7().to_string().into());
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let mut response = CURRENT_ID
        .scope(Arc::clone(&id), async {
            with_error_form(next.run(request).await)
        })
        .await;
    log::debug!(
        "[api] request {id}: {method} {path} answered with {}",
        response.status()
    );
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// Returns the id that the caller chose, when it has the form of an idempotency key.
pub(crate) fn callers_id(headers: &HeaderMap) -> Option<Arc<str>> {
    let id = headers.get(REQUEST_ID)?.to_str().ok()?;
    CallerKey::try_from(id).is_ok().then(|| id.into())
}

/// Replaces the plain text errors of the framework; answers of upstreams are left alone.
fn with_error_form(response: Response) -> Response {
    let status = response.status();
    let has_form = response.headers().contains_key(header::CONTENT_TYPE)
        && response.headers()[header::CONTENT_TYPE] == "application/json";
    if status.as_u16() < 400 || has_form || response.headers().contains_key(OUTCOME) {
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
