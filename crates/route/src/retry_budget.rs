use std::sync::atomic::{AtomicU32, Ordering};

use serde::Serialize;

use crate::{AttemptResult, RequestKind};

/// Maximum number of retries of one request.
pub const MAX_REQUEST_RETRIES: usize = 2;
/// Requests that earn one retry, which limits retries to 10% of the requests.
const REQUESTS_PER_RETRY: u32 = 10;
/// Retries that a full bucket allows in a burst; a new bucket is full.
const BURST_RETRIES: u32 = 20;

/// Token bucket that limits retries to 10% of the requests.
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
    /// Returns whether a request may be retried after this result without running a non-idempotent one twice.
    ///
    /// Whether the budget has a retry left is checked by [`Self::try_take`].
    pub fn may_retry(kind: RequestKind, result: AttemptResult) -> bool {
        result.proves_not_run()
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

    /// Takes one retry from the budget for a request that has been retried `retries` times.
    pub fn try_take(&self, retries: usize) -> bool {
        retries < MAX_REQUEST_RETRIES
            && self
                .tokens
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |tokens| {
                    tokens.checked_sub(REQUESTS_PER_RETRY)
                })
                .is_ok()
    }

    /// Returns the number of retries in the budget.
    pub fn available(&self) -> u32 {
        self.tokens.load(Ordering::Acquire) / REQUESTS_PER_RETRY
    }
}
