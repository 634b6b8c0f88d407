use std::time::Duration;

use arbutuspick_clients::{CallError, CallPriority, ProcessClock, TableClient};
use arbutuspick_model::ClockTime;
use arbutuspick_records::{CallOutcome, CommitProgress, CommitResolution, CommitStep, TableTransaction};
use tokio::time::sleep;

/// Largest number of calls for one commit, including reads.
const MAX_CALLS: u32 = 40;
/// Pause between two calls of one commit.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Commits a transaction; after a lost response it is retried or its rows are read back until the deadline.
///
/// If no byte of it was sent, this returns at once, so that callers can be told to retry.
pub(crate) async fn commit(
    table: &TableClient,
    transaction: &TableTransaction,
    priority: CallPriority,
    deadline: ClockTime,
) -> CommitResolution {
    let clock = ProcessClock::new();
    let mut progress = CommitProgress::new(transaction, deadline, MAX_CALLS);
    let mut response_lost = false;
    loop {
        let outcome = match progress.next_step(clock.now()) {
            CommitStep::Done(resolution) => return resolution,
            CommitStep::Send => match table.transact(transaction, priority).await {
                Ok(response) => CallOutcome::Result(response.body),
                Err(error) => failure_outcome(&error),
            },
            CommitStep::ReadBack(keys) => match table.read(&keys, priority).await {
                Ok(response) => CallOutcome::Rows(response.body),
                Err(error) => failure_outcome(&error),
            },
        };
        match &outcome {
            CallOutcome::NotSent if !response_lost => return CommitResolution::NotSent,
            CallOutcome::NotSent => sleep(CALL_PAUSE).await,
            CallOutcome::ResponseLost => {
                response_lost = true;
                sleep(CALL_PAUSE).await;
            }
            CallOutcome::Result(_) | CallOutcome::Rows(_) => {}
        }
        progress.record(outcome);
    }
}

fn failure_outcome(error: &CallError) -> CallOutcome {
    log::debug!("[table] call failed: {error}");
    if error.had_no_effect() {
        CallOutcome::NotSent
    } else {
        CallOutcome::ResponseLost
    }
}
