use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::Instant;

use crate::call_limiter::{CallKind, CallLimiter};
use crate::http_client::{HttpClient, HttpResponse};
use crate::json_call::{check_status, is_overload};
use crate::{CallError, CallPriority, ClientOptions};

/// Maximum response size; a page of 256 rows with large values fits.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to a platform service through a [`CallLimiter`].
#[derive(Clone, Debug)]
pub(crate) struct LimitedClient {
    client: HttpClient,
    limiter: CallLimiter,
    options: ClientOptions,
}

impl LimitedClient {
    pub(crate) fn new(options: ClientOptions) -> Self {
        Self {
            client: HttpClient::new(options.address, MAX_RESPONSE_BYTES),
            limiter: CallLimiter::new(&options),
            options,
        }
    }

    /// Sends the request and returns the response if its status is a success.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        kind: CallKind,
        priority: CallPriority,
    ) -> Result<HttpResponse, CallError> {
        let deadline = Instant::now() + self.options.call_timeout;
        let permit = self.limiter.admit(kind, priority, deadline).await?;
        let result = self.client.call(request, deadline).await.and_then(check_status);
        match &result {
            Ok(_) => permit.record_success(),
            Err(error @ CallError::Rejected { .. }) if !is_overload(error) => permit.record_success(),
            Err(_) => permit.record_failure(),
        }
        result
    }
}
