use std::sync::Arc;

use arbutuspick_model::{FieldError, ResultRef};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// Largest body that a key row stores inline, in bytes; larger ones go to the object store.
pub const MAX_INLINE_BODY_BYTES: usize = 64 * 1024;

/// Headers that are recorded and replayed; all others are specific to one connection or exchange.
pub const RECORDED_HEADERS: [&str; 6] = [
    "content-type",
    "content-encoding",
    "content-language",
    "etag",
    "location",
    "retry-after",
];

/// Body of a recorded response.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "body", rename_all = "snake_case")]
pub enum RecordedBody {
    /// The body bytes, at most 64 KiB.
    Inline {
        /// Bytes, base64 in JSON.
        #[serde_as(as = "Base64")]
        bytes: Vec<u8>,
    },
    /// Reference to the body in the object store.
    Stored {
        /// Object.
        object: ResultRef,
    },
}

/// Response of an upstream, recorded for replay to a caller that repeats its idempotency key.
///
/// ```
/// use arbutuspick_records::{RecordedBody, RecordedResponse};
/// let body = RecordedBody::Inline { bytes: b"{}".to_vec() };
/// let headers = [("Content-Type", "application/json"), ("connection", "close")];
/// let response = RecordedResponse::new(201, headers, body)?;
/// assert_eq!(response.headers.len(), 1);
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Recorded headers, with lower-case names.
    #[serde(default)]
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    #[serde(flatten)]
    pub body: RecordedBody,
}

impl RecordedResponse {
    /// Creates a response; headers that are not in [`RECORDED_HEADERS`] are dropped.
    pub fn new<'a, I>(status: u16, headers: I, body: RecordedBody) -> Result<Self, FieldError>
    where
        I: IntoIterator<Item = (&'a str, &'a str)>,
    {
        if !(200..=599).contains(&status) {
            return Err(FieldError::new("status", status, "must be from 200 to 599"));
        }
        match &body {
            RecordedBody::Inline { bytes } if bytes.len() > MAX_INLINE_BODY_BYTES => {
                let rule = "must have at most 65536 bytes to be recorded inline";
                return Err(FieldError::new("body", bytes.len(), rule));
            }
            RecordedBody::Inline { .. } | RecordedBody::Stored { .. } => {}
        }
        let headers = headers
            .into_iter()
            .map(|(name, value)| (name.to_ascii_lowercase(), value))
            .filter(|(name, _)| RECORDED_HEADERS.contains(&name.as_str()))
            .map(|(name, value)| (name.into(), value.into()))
            .collect();
        Ok(Self {
            status,
            headers,
            body,
        })
    }
}
