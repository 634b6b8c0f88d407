use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::Instant;

use crate::call_gate::{CallGate, CallKind};
use crate::http_caller::{HttpCaller, WholeAnswer};
use crate::json_call::{check_status, is_overload};
use crate::{CallError, CallPriority, ClientOptions};

/// Largest answer of the platform; a page of 256 rows with large values fits.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to a platform service within the budget.
#[derive(Clone, Debug)]
pub(crate) struct GatedCaller {
    caller: HttpCaller,
    gate: CallGate,
    options: ClientOptions,
}

impl GatedCaller {
    pub(crate) fn new(options: ClientOptions) -> Self {
        Self {
            caller: HttpCaller::new(options.address, MAX_ANSWER_BYTES),
            gate: CallGate::new(&options),
            options,
        }
    }

    /// Sends the request and returns an answer whose status says success.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        kind: CallKind,
        priority: CallPriority,
    ) -> Result<WholeAnswer, CallError> {
        let deadline = Instant::now() + self.options.call_timeout;
        let permit = self.gate.admit(kind, priority, deadline).await?;
        let result = self.caller.call(request, deadline).await.and_then(check_status);
        match &result {
            Ok(_) => permit.succeeded(),
            Err(error @ CallError::Rejected { .. }) if !is_overload(error) => permit.succeeded(),
            Err(_) => permit.failed(),
        }
        result
    }
}
