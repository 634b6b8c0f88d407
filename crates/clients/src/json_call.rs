use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CallError;
use crate::http_client::HttpResponse;

/// Maximum length of a response body excerpt in an error message.
const MAX_EXCERPT_BYTES: usize = 200;

/// Builds a request with a body of the given content type.
pub(crate) fn build_request(
    method: Method,
    path: &str,
    content_type: &'static str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, content_type)
        .body(Full::new(body))
        .map_err(|e| CallError::not_sent(format!("invalid request: {e}")))
}

/// Builds a `POST` request with a JSON body.
pub(crate) fn build_post<T>(path: &str, body: &T) -> Result<Request<Full<Bytes>>, CallError>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(body).map_err(|e| CallError::not_sent(format!("cannot encode: {e}")))?;
    build_request(Method::POST, path, "application/json", bytes.into())
}

/// Returns the response if its status is a success, else the matching error.
pub(crate) fn check_status(response: HttpResponse) -> Result<HttpResponse, CallError> {
    let status = response.status;
    if status.is_success() {
        return Ok(response);
    }
    let excerpt = &response.body[..response.body.len().min(MAX_EXCERPT_BYTES)];
    let message = String::from_utf8_lossy(excerpt).into_owned();
    // A server or gateway error does not prove that the request had no effect.
    if status.is_server_error() || status.is_informational() {
        return Err(CallError::ambiguous(format!("status {status}: {message}")));
    }
    Err(CallError::Rejected {
        status: status.as_u16(),
        message,
    })
}

/// Returns whether the error is a rejection with status 429.
pub(crate) fn is_overload(error: &CallError) -> bool {
    matches!(error, CallError::Rejected { status, .. } if *status == StatusCode::TOO_MANY_REQUESTS.as_u16())
}

/// Decodes a JSON response body; if this fails, the outcome of the call is ambiguous.
pub(crate) fn decode_body<T>(body: &[u8]) -> Result<T, CallError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|e| CallError::ambiguous(format!("cannot decode the response: {e}")))
}
