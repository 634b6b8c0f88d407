use arbutuspick_clients::{CallError, CallPriority, ObjectClient, UpstreamResponse};
use arbutuspick_model::{ResultRef, WriteId};
use arbutuspick_records::{MAX_INLINE_BODY_BYTES, RecordedBody, RecordedResponse};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use bytes::Bytes;
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Why a stored object cannot be read.
#[derive(Debug, Snafu)]
pub(crate) enum ObjectError {
    /// The call to the object store failed.
    #[snafu(transparent)]
    Call { source: CallError },
    /// The object is missing, or its length or digest does not match.
    #[snafu(display("stored object {object:?} is missing or damaged"))]
    Damaged { object: String },
}

/// Converts a response to its recorded form; a large body is written to the object store first.
pub(crate) async fn store_response(
    objects: &ObjectClient,
    response: &UpstreamResponse,
    write_id: WriteId,
) -> Result<RecordedResponse, CallError> {
    let body = if response.body.len() <= MAX_INLINE_BODY_BYTES {
        RecordedBody::Inline {
            bytes: response.body.to_vec(),
        }
    } else {
        let object = ResultRef {
            object: format!("request/{write_id}").into(),
            bytes: response.body.len() as u64,
            sha256: hex_digest(&response.body).into(),
        };
        objects
            .put(&object.object, response.body.clone(), CallPriority::KeyedRequest)
            .await?;
        RecordedBody::Stored { object }
    };
    let headers = response.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    RecordedResponse::new(response.status.as_u16(), headers, body).map_err(|error| CallError::Rejected {
        status: 0,
        message: error.to_string(),
    })
}

/// Converts a recorded response back to the response of the upstream.
pub(crate) async fn load_response(
    objects: &ObjectClient,
    response: &RecordedResponse,
) -> Result<UpstreamResponse, ObjectError> {
    let body = match &response.body {
        RecordedBody::Inline { bytes } => Bytes::copy_from_slice(bytes),
        RecordedBody::Stored { object } => fetch_verified(objects, object).await?,
    };
    let mut headers = HeaderMap::new();
    for (name, value) in &response.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(&**name), HeaderValue::try_from(&**value)) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Ok(UpstreamResponse {
        status,
        headers,
        body,
    })
}

/// Reads a stored object and verifies its length and digest.
pub(crate) async fn fetch_verified(objects: &ObjectClient, object: &ResultRef) -> Result<Bytes, ObjectError> {
    let bytes = objects.get(&object.object, CallPriority::StatusRead).await?;
    let verified =
        bytes.filter(|bytes| bytes.len() as u64 == object.bytes && hex_digest(bytes) == *object.sha256);
    verified.ok_or_else(|| ObjectError::Damaged {
        object: object.object.to_string(),
    })
}

fn hex_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
