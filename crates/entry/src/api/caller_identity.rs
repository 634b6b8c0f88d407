use std::sync::Arc;

use arbutuspick_model::{AccountName, OwnerName};
use arbutuspick_server::ConnectionLease;
use axum::extract::FromRequestParts;
use axum::http::request::Parts;
use axum::http::{StatusCode, header};

use super::{ApiError, SharedContext};
use crate::CallerRole;

/// A caller with an account's token.
pub(crate) struct AccountCaller(pub(crate) AccountName);

/// A caller with an operator's token.
pub(crate) struct OperatorCaller(pub(crate) OwnerName);

/// A caller with an owner's token.
pub(crate) struct OwnerCaller(pub(crate) OwnerName);

/// A caller with an operator's or owner's token.
pub(crate) struct StaffCaller;

/// A caller with any valid token.
pub(crate) struct AnyCaller;

/// A caller with any valid token, and its role.
pub(crate) struct AuthenticatedCaller(pub(crate) CallerRole);

fn caller_role(parts: &Parts, context: &SharedContext) -> Result<CallerRole, ApiError> {
    let value = parts
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let role = token.and_then(|token| context.settings.auth.role_of(token.trim()));
    let role = role.ok_or_else(|| {
        let message = "the header authorization must be \"Bearer \" and a valid token";
        ApiError::new(StatusCode::UNAUTHORIZED, "unauthenticated", message)
    })?;
    if let Some(connection) = parts.extensions.get::<Arc<ConnectionLease>>() {
        connection.identify(Some(role.to_string().into()));
    }
    Ok(role)
}

macro_rules! caller_extractor {
    ($type:ident, $pattern:pat => $value:expr, $message:literal) => {
        impl FromRequestParts<SharedContext> for $type {
            type Rejection = ApiError;
            async fn from_request_parts(
                parts: &mut Parts,
                context: &SharedContext,
            ) -> Result<Self, ApiError> {
                match caller_role(parts, context)? {
                    $pattern => Ok($value),
                    #[allow(unreachable_patterns, reason = "some callers may have any role")]
                    _ => Err(ApiError::forbidden($message)),
                }
            }
        }
    };
}

caller_extractor!(AccountCaller, CallerRole::Account(name) => Self(name), "a client account's token is needed");
caller_extractor!(OperatorCaller, CallerRole::Operator(name) => Self(name), "an operator's token is needed");
caller_extractor!(OwnerCaller, CallerRole::Owner(name) => Self(name), "an owner's token is needed");
caller_extractor!(
    StaffCaller,
    CallerRole::Operator(_) | CallerRole::Owner(_) => Self,
    "an operator's or owner's token is needed"
);
caller_extractor!(AuthenticatedCaller, role => Self(role), "a valid token is needed");
caller_extractor!(AnyCaller, _ => Self, "a valid token is needed");
