use arbutuspick_model::FieldError;
use arbutuspick_server::BodyError;
use axum::body::to_bytes;
use axum::extract::{FromRequest, Request};
use axum::http::StatusCode;
use bytes::Bytes;
use serde::de::DeserializeOwned;

use super::{ApiError, SharedContext};

/// The complete body of a request, at most as large as the limit.
pub(crate) struct ApiBody(pub(crate) Bytes);

impl ApiBody {
    /// Parses the body as JSON; the error has the body, the position and the rule.
    pub(crate) fn json<Document>(&self) -> Result<Document, ApiError>
    where
        Document: DeserializeOwned,
    {
        serde_json::from_slice(&self.0).map_err(|error| {
            let body_text = String::from_utf8_lossy(&self.0).into_owned();
            FieldError::new(
                "body",
                body_text,
                format!("must be the documented JSON object: {error}"),
            )
            .into()
        })
    }
}

impl FromRequest<SharedContext> for ApiBody {
    type Rejection = ApiError;

    async fn from_request(request: Request, context: &SharedContext) -> Result<Self, ApiError> {
        let limit = context.settings.limits.body_bytes;
        match to_bytes(request.into_body(), limit).await {
            Ok(bytes) => Ok(Self(bytes)),
            Err(error) => Err(match body_error(&error) {
                Some(BodyError::TooLarge { .. }) => {
                    let rule = format!("must have at most {limit} bytes");
                    ApiError::new(
                        StatusCode::PAYLOAD_TOO_LARGE,
                        "body_too_large",
                        format!("field \"body\": {rule}"),
                    )
                    .with_detail("limit_bytes", &limit)
                }
                Some(BodyError::Overloaded) => ApiError::overloaded(),
                _ => ApiError::new(
                    StatusCode::BAD_REQUEST,
                    "body_cut",
                    format!("the body did not arrive whole: {error}"),
                ),
            }),
        }
    }
}

/// Returns the error of the server under the errors of the framework.
fn body_error(error: &axum::Error) -> Option<&BodyError> {
    let mut source = std::error::Error::source(error);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref() {
            return Some(error);
        }
        source = error.source();
    }
    None
}
