use std::sync::atomic::{AtomicU32, Ordering};

use serde::Serialize;

use crate::{AttemptResult, RequestKind};

/// Retries of one request at most.
pub const MAX_REQUEST_RETRIES: usize = 2;
/// Requests that pay for one retry, which makes 10%.
const REQUESTS_PER_RETRY: u32 = 10;
/// Retries that a full bucket allows in a burst. A bucket starts full.
const BURST_RETRIES: u32 = 20;

/// Token bucket that allows retries of 10% of the requests.
///
/// ```
/// use arbutuspick_route::{AttemptResult, RequestKind, RetryBudget};
/// assert!(RetryBudget::may_retry(RequestKind::NonIdempotent, AttemptResult::NotSent));
/// assert!(!RetryBudget::may_retry(RequestKind::NonIdempotent, AttemptResult::Lost));
/// assert!(RetryBudget::default().try_take(0));
/// ```
#[derive(Debug, Serialize)]
pub struct RetryBudget {
    /// Tenths of a retry.
    tokens: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: AtomicU32::new(BURST_RETRIES * REQUESTS_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// Returns whether sending a request again after this result cannot run a non-idempotent request twice.
    pub fn may_retry(kind: RequestKind, result: AttemptResult) -> bool {
        result.is_proof_of_not_run()
            || (kind.is_idempotent() && matches!(result, AttemptResult::Failed | AttemptResult::Lost))
    }

    /// Counts a new request.
    pub fn record_request(&self) {
        let _ = self
            .tokens
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |tokens| {
                (tokens < BURST_RETRIES * REQUESTS_PER_RETRY).then_some(tokens + 1)
            });
    }

    /// Takes a retry for a request that was retried `retries` times before.
    pub fn try_take(&self, retries: usize) -> bool {
        retries < MAX_REQUEST_RETRIES
            && self
                .tokens
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |tokens| {
                    tokens.checked_sub(REQUESTS_PER_RETRY)
                })
                .is_ok()
    }

    /// Returns the number of retries that are allowed now.
    pub fn available(&self) -> u32 {
        self.tokens.load(Ordering::Acquire) / REQUESTS_PER_RETRY
    }
}
