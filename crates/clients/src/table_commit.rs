use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_records::{
    CallOutcome, CommitProgress, CommitResolution, CommitStep, RowVersion, TableTransaction,
};

use crate::{CallPriority, ProcessClock, TableClient};

/// Delay before the next call after one has failed.
const RETRY_INTERVAL_MS: u64 = 100;

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction took effect.
    Committed {
        /// Version of all written rows.
        version: RowVersion,
        /// Time before the first attempt was sent.
        sent_at: ClockTime,
        /// Platform time of the response.
        answered_at: PlatformTime,
    },
    /// The transaction had no effect.
    Conflict {
        /// Key of the first check that failed.
        key: Arc<str>,
    },
    /// The transaction may have taken effect, but other transactions have since written or deleted its rows;
    /// the caller has to tell the outcome from their content.
    Overwritten,
    /// No attempt was sent, or the table rejected each without processing it.
    NotSent,
    /// The transaction may have taken effect, or may still take effect.
    Unresolved,
}

/// Commits a transaction and retries it until its outcome is known or the deadline passes.
///
/// Every attempt has the same checks on the rows that it writes, so at most one takes effect.
pub async fn commit_transaction(
    table: &TableClient,
    transaction: &TableTransaction,
    deadline: ClockTime,
    priority: CallPriority,
) -> TransactionOutcome {
    let clock = ProcessClock::new();
    let sent_at = clock.now();
    let mut answered_at = PlatformTime::default();
    let mut progress = CommitProgress::new(transaction, deadline, u32::MAX);
    loop {
        let result = match progress.next_step(clock.now()) {
            CommitStep::Send => table.transact(transaction, priority).await.map(|response| {
                answered_at = response.time;
                CallOutcome::Result(response.body)
            }),
            CommitStep::ReadBack(keys) => table.read(&keys, priority).await.map(|response| {
                answered_at = response.time;
                CallOutcome::Rows(response.body)
            }),
            CommitStep::Done(resolution) => return to_outcome(resolution, sent_at, answered_at),
        };
        let failed = result.is_err();
        progress.record(result.unwrap_or_else(|error| {
            log::debug!("[table] call for transaction {} failed: {error}", transaction.id);
            if error.had_no_effect() {
                CallOutcome::NotSent
            } else {
                CallOutcome::ResponseLost
            }
        }));
        if failed {
            let retry_at = (clock.now() + RETRY_INTERVAL_MS).min(deadline);
            tokio::time::sleep_until(clock.instant(retry_at)).await;
        }
    }
}

fn to_outcome(
    resolution: CommitResolution,
    sent_at: ClockTime,
    answered_at: PlatformTime,
) -> TransactionOutcome {
    match resolution {
        CommitResolution::Committed { version } => TransactionOutcome::Committed {
            version,
            sent_at,
            answered_at,
        },
        CommitResolution::Conflict { key } => TransactionOutcome::Conflict { key },
        CommitResolution::Overwritten => TransactionOutcome::Overwritten,
        CommitResolution::NotSent => TransactionOutcome::NotSent,
        CommitResolution::Unresolved => TransactionOutcome::Unresolved,
    }
}
