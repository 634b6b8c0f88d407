use arbutuspick_clients::{CallError, CallPriority, ObjectClient, UpstreamResponse};
use arbutuspick_model::{ResultRef, WriteId};
use arbutuspick_records::{MAX_INLINE_BODY_BYTES, RecordedBody, RecordedResponse};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use bytes::Bytes;
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Why a recorded response cannot be given back.
#[derive(Debug, Snafu)]
pub(crate) enum ReplayFault {
    /// The object store gave no answer.
    #[snafu(transparent)]
    Call { source: CallError },
    /// The object is missing, or its length or digest is another one.
    #[snafu(display("stored object {object:?} is missing or damaged"))]
    Damaged { object: String },
}

/// Converts an answer to the form that is recorded; a large body goes to the object store first.
pub(crate) async fn record_answer(
    objects: &ObjectClient,
    answer: &UpstreamResponse,
    write_id: WriteId,
) -> Result<RecordedResponse, CallError> {
    let body = if answer.body.len() <= MAX_INLINE_BODY_BYTES {
        RecordedBody::Inline {
            bytes: answer.body.to_vec(),
        }
    } else {
        let object = ResultRef {
            object: format!("request/{write_id}").into(),
            bytes: answer.body.len() as u64,
            sha256: digest_of(&answer.body).into(),
        };
        objects
            .put(&object.object, answer.body.clone(), CallPriority::KeyedRequest)
            .await?;
        RecordedBody::Stored { object }
    };
    let headers = answer.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    RecordedResponse::new(answer.status.as_u16(), headers, body).map_err(|error| CallError::Rejected {
        status: 0,
        message: error.to_string(),
    })
}

/// Converts a recorded response back to the answer of the upstream.
pub(crate) async fn replay_answer(
    objects: &ObjectClient,
    response: &RecordedResponse,
) -> Result<UpstreamResponse, ReplayFault> {
    let body = match &response.body {
        RecordedBody::Inline { bytes } => Bytes::copy_from_slice(bytes),
        RecordedBody::Stored { object } => fetch_checked(objects, object).await?,
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

/// Reads a stored object and checks its length and digest.
pub(crate) async fn fetch_checked(objects: &ObjectClient, object: &ResultRef) -> Result<Bytes, ReplayFault> {
    let bytes = objects.get(&object.object, CallPriority::StatusRead).await?;
    let whole =
        bytes.filter(|bytes| bytes.len() as u64 == object.bytes && digest_of(bytes) == *object.sha256);
    whole.ok_or_else(|| ReplayFault::Damaged {
        object: object.object.to_string(),
    })
}

fn digest_of(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
