//! Retry safety and retry budget.

use arbutuspick_route::{AttemptResult, RequestKind, RetryBudget};
use yare::parameterized;

/// Guards against a retry that could run a non-idempotent request twice.
#[parameterized(
    succeeded = { AttemptResult::Succeeded, false, false },
    failed = { AttemptResult::Failed, true, false },
    refused = { AttemptResult::RefusedNotRun, true, true },
    leaving = { AttemptResult::Leaving, true, true },
    not_sent = { AttemptResult::NotSent, true, true },
    lost = { AttemptResult::Lost, true, false },
    expired = { AttemptResult::Expired, false, false },
)]
fn safe_retry(result: AttemptResult, idempotent: bool, non_idempotent: bool) {
    assert_eq!(
        RetryBudget::may_retry(RequestKind::Idempotent, result),
        idempotent
    );
    assert_eq!(
        RetryBudget::may_retry(RequestKind::NonIdempotent, result),
        non_idempotent
    );
}

/// Guards against retry amplification when every request fails.
#[test]
fn tenth_retried() {
    let budget = RetryBudget::default();
    let burst = (0..100).filter(|_| budget.try_take(0)).count();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += usize::from(budget.try_take(0));
    }
    assert_eq!((burst, retries), (20, 100));
}

/// Guards against a request that is retried indefinitely.
#[test]
fn two_retries() {
    let budget = RetryBudget::default();
    assert!(budget.try_take(0) && budget.try_take(1) && !budget.try_take(2));
}
