use arbutuspick_model::{FieldError, RefusalReason, UnknownReason};
use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use serde_json::{Map, Value, json};

use super::request_scope::{OUTCOME_HEADER, current_request_id};

/// Default value of `retry-after`, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Value of `retry-after` while the platform is unavailable: the longest back-off of its clients, in seconds.
const PLATFORM_RETRY_AFTER_S: u32 = 5;

/// An error response:
/// `{"error": {"code", "message", "field"?, "value"?, "rule"?}, "outcome"?, "reason"?, "request_id"}`.
#[derive(Clone, Debug)]
pub(crate) struct ApiError(Box<ErrorParts>);

#[derive(Clone, Debug)]
struct ErrorParts {
    status: StatusCode,
    code: &'static str,
    message: String,
    field: Option<FieldError>,
    outcome: Option<(&'static str, Value)>,
    retry_after: Option<u32>,
    details: Map<String, Value>,
}

impl ApiError {
    pub(crate) fn new<Message>(status: StatusCode, code: &'static str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self(Box::new(ErrorParts {
            status,
            code,
            message: message.into(),
            field: None,
            outcome: None,
            retry_after: None,
            details: Map::new(),
        }))
    }

    /// The resource does not exist, or this caller may not see it.
    pub(crate) fn not_found(resource: &str) -> Self {
        Self::new(
            StatusCode::NOT_FOUND,
            "not_found",
            format!("the {resource} does not exist"),
        )
    }

    /// A concurrent write came first, or the current state does not permit the change.
    pub(crate) fn conflict<Message>(code: &'static str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self::new(StatusCode::CONFLICT, code, message)
    }

    /// The caller has no permission for this request.
    pub(crate) fn forbidden(message: &str) -> Self {
        Self::new(StatusCode::FORBIDDEN, "forbidden", message)
    }

    /// The platform is unavailable, so something was not recorded or cannot be read.
    pub(crate) fn platform(message: &str) -> Self {
        let error = Self::new(StatusCode::SERVICE_UNAVAILABLE, "platform_unavailable", message);
        error.with_retry_after(PLATFORM_RETRY_AFTER_S)
    }

    /// The body was not read, since requests take too much memory.
    pub(crate) fn overloaded() -> Self {
        let message =
            "this call ran nothing: there is no room for its body now; an earlier call may have run";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message).with_retry_after(RETRY_AFTER_S)
    }

    /// An internal error, whose cause is logged and not shown to the caller.
    pub(crate) fn internal<Cause>(cause: Cause) -> Self
    where
        Cause: std::fmt::Display,
    {
        log::error!("[api] request {}: {cause}", current_request_id());
        Self::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "an internal error is in the log",
        )
    }

    /// The work certainly did not run.
    pub(crate) fn not_run(reason: RefusalReason) -> Self {
        let (status, message) = refusal_response(reason);
        let error = Self::new(status, "not_run", message).with_outcome("not_run", &reason);
        match status {
            StatusCode::SERVICE_UNAVAILABLE if reason == RefusalReason::PlatformUnavailable => {
                error.with_retry_after(PLATFORM_RETRY_AFTER_S)
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                error.with_retry_after(RETRY_AFTER_S)
            }
            _ => error,
        }
    }

    /// This call ran nothing. If it has a key that was not looked up, an earlier call with it may have run.
    pub(crate) fn refused_call(reason: RefusalReason, keyed: bool) -> Self {
        match keyed {
            true => Self::unknown(UnknownReason::KeyUnresolved),
            false => Self::not_run(reason),
        }
    }

    /// The work may have run.
    pub(crate) fn unknown(reason: UnknownReason) -> Self {
        if reason == UnknownReason::KeyUnresolved {
            let message =
                "this call ran nothing; whether an earlier call with the key ran cannot be looked up";
            return Self::new(StatusCode::SERVICE_UNAVAILABLE, "unknown", message)
                .with_outcome("unknown", &reason)
                .with_retry_after(PLATFORM_RETRY_AFTER_S);
        }
        let message = "it is not known whether the work ran";
        Self::new(StatusCode::GATEWAY_TIMEOUT, "unknown", message).with_outcome("unknown", &reason)
    }

    fn with_outcome<Reason>(mut self, outcome: &'static str, reason: &Reason) -> Self
    where
        Reason: Serialize,
    {
        self.0.outcome = Some((outcome, json!(reason)));
        self
    }

    fn with_retry_after(mut self, seconds: u32) -> Self {
        self.0.retry_after = Some(seconds);
        self
    }

    /// Adds a member to the response body.
    pub(crate) fn with_detail<Detail>(mut self, name: &str, detail: &Detail) -> Self
    where
        Detail: Serialize,
    {
        self.0.details.insert(name.into(), json!(detail));
        self
    }
}

impl From<FieldError> for ApiError {
    fn from(error: FieldError) -> Self {
        let message = error.to_string();
        let mut api_error = Self::new(StatusCode::BAD_REQUEST, "invalid_field", message);
        api_error.0.field = Some(error);
        api_error
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let ErrorParts {
            status,
            code,
            message,
            field,
            outcome,
            retry_after,
            details,
        } = *self.0;
        let mut error = json!({"code": code, "message": message});
        if let Some(FieldError { field, value, rule }) = field {
            error["field"] = field.into();
            error["value"] = value.into();
            error["rule"] = rule.into();
        }
        let mut body = json!({"error": error, "request_id": &*current_request_id()});
        if let Some((outcome, reason)) = &outcome {
            body["outcome"] = (*outcome).into();
            body["reason"] = reason.clone();
        }
        for (name, detail) in details {
            body[name] = detail;
        }
        let mut response = (status, Json(body)).into_response();
        let headers = response.headers_mut();
        if let Some((outcome, _)) = outcome {
            headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
        }
        if let Some(seconds) = retry_after {
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

fn refusal_response(reason: RefusalReason) -> (StatusCode, &'static str) {
    use RefusalReason as R;
    match reason {
        R::NeverFits => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "the shape fits in no data centre",
        ),
        R::Cancelled => (StatusCode::CONFLICT, "it was cancelled before it started"),
        R::QuotaExceeded => (
            StatusCode::TOO_MANY_REQUESTS,
            "the account has as many jobs queued as it may",
        ),
        R::Overloaded => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the queue or the account's share of it is full",
        ),
        R::DeadlinePassed => (
            StatusCode::SERVICE_UNAVAILABLE,
            "it could not start before its deadline",
        ),
        R::NoUpstream => (StatusCode::SERVICE_UNAVAILABLE, "no upstream may take work"),
        R::UpstreamRefused => (
            StatusCode::SERVICE_UNAVAILABLE,
            "every upstream that was tried refused it",
        ),
        R::PlatformUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the platform's table did not record it",
        ),
        R::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "the entry VM is stopping"),
        R::AttemptsExhausted => (StatusCode::SERVICE_UNAVAILABLE, "no attempt could be started"),
    }
}
