use std::sync::Arc;

use arbutuspick_model::{ClockTime, PlatformTime};
use arbutuspick_records::{
    CallOutcome, CommitProgress, CommitResolution, CommitStep, RowVersion, TableTransaction,
};

use crate::{CallPriority, ProcessClock, TableClient};

/// Pause between calls while the outcome of a transaction is not known.
const REPEAT_PAUSE_MS: u64 = 100;

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitEnd {
    /// It took effect.
    Committed {
        /// Version of every row written.
        version: RowVersion,
        /// Clock before the first copy was sent.
        sent_at: ClockTime,
        /// Platform time of the answer.
        answered_at: PlatformTime,
    },
    /// It had no effect.
    Conflict {
        /// First key whose check failed.
        key: Arc<str>,
    },
    /// A later transaction wrote its rows, so that their content decides.
    Overwritten,
    /// No copy was sent, or the table refused it.
    NotSent,
    /// It may have taken effect, or may still do so.
    Unresolved,
}

/// Commits a transaction, sending the same one again while its outcome is not known.
///
/// Every copy has the same checks on the rows that it writes, so at most one takes effect.
pub async fn commit_transaction(
    table: &TableClient,
    transaction: &TableTransaction,
    deadline: ClockTime,
    priority: CallPriority,
) -> CommitEnd {
    let clock = ProcessClock::new();
    let sent_at = clock.now();
    let mut answered_at = PlatformTime::default();
    let mut progress = CommitProgress::new(transaction, deadline, u32::MAX);
    loop {
        let answer = match progress.next_step(clock.now()) {
            CommitStep::Send => table.transact(transaction, priority).await.map(|answer| {
                answered_at = answer.time;
                CallOutcome::Result(answer.body)
            }),
            CommitStep::ReadBack(keys) => table.read(&keys, priority).await.map(|answer| {
                answered_at = answer.time;
                CallOutcome::Rows(answer.body)
            }),
            CommitStep::Done(resolution) => return end(resolution, sent_at, answered_at),
        };
        let failed = answer.is_err();
        progress.record(answer.unwrap_or_else(|error| {
            log::debug!("[table] Call of transaction {} failed: {error}.", transaction.id);
            if error.had_no_effect() {
                CallOutcome::NotSent
            } else {
                CallOutcome::ResponseLost
            }
        }));
        if failed {
            let pause = (clock.now() + REPEAT_PAUSE_MS).min(deadline);
            tokio::time::sleep_until(clock.instant(pause)).await;
        }
    }
}

fn end(resolution: CommitResolution, sent_at: ClockTime, answered_at: PlatformTime) -> CommitEnd {
    match resolution {
        CommitResolution::Committed { version } => CommitEnd::Committed {
            version,
            sent_at,
            answered_at,
        },
        CommitResolution::Conflict { key } => CommitEnd::Conflict { key },
        CommitResolution::Overwritten => CommitEnd::Overwritten,
        CommitResolution::NotSent => CommitEnd::NotSent,
        CommitResolution::Unresolved => CommitEnd::Unresolved,
    }
}
