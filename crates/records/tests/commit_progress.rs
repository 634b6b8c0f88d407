//! Guards against a commit whose result is reported wrongly when responses are lost.

mod support;

use arbutuspick_model::{ClockTime, WriteId};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    CallOutcome, CommitProgress, CommitResolution, CommitStep, ReadQuery, RowVersion, TableTransaction,
};
use support::*;

const DEADLINE: ClockTime = ClockTime(1_000);

fn value(write_id: WriteId) -> String {
    format!("{{\"write_id\":\"{write_id}\"}}")
}

/// Returns a transaction that replaces row "turn" if it has the given version.
fn replace(number: u128, version: u64) -> TableTransaction {
    let id = write_id(number);
    TableTransaction::new(id)
        .check("turn", RowVersion(version))
        .put("turn", value(id))
}

fn commit_call(table: &mut MemoryTable, transaction: &TableTransaction) -> CallOutcome {
    CallOutcome::Result(table.commit(transaction))
}

/// Performs the steps without losing a response until the commit is resolved.
fn resolve(
    table: &mut MemoryTable,
    progress: &mut CommitProgress,
    transaction: &TableTransaction,
) -> CommitResolution {
    loop {
        let outcome = match progress.next_step(ClockTime(0)) {
            CommitStep::Send => commit_call(table, transaction),
            CommitStep::ReadBack(keys) => CallOutcome::Rows(table.read(&ReadQuery { keys })),
            CommitStep::Done(resolution) => return resolution,
        };
        progress.record(outcome);
    }
}

#[test]
fn first_response() {
    let mut table = MemoryTable::default();
    let transaction = replace(1, 0);
    let mut progress = CommitProgress::new(&transaction, DEADLINE, 5);
    let version = RowVersion(1);
    assert_eq!(
        resolve(&mut table, &mut progress, &transaction),
        CommitResolution::Committed { version }
    );
    let second = replace(2, 0);
    let mut progress = CommitProgress::new(&second, DEADLINE, 5);
    let key = "turn".into();
    assert_eq!(
        resolve(&mut table, &mut progress, &second),
        CommitResolution::Conflict { key }
    );
    assert_eq!(progress.calls, 1);
}

#[test]
fn lost_response() {
    let mut table = MemoryTable::default();
    let transaction = replace(1, 0);
    let mut progress = CommitProgress::new(&transaction, DEADLINE, 5);
    commit_call(&mut table, &transaction);
    progress.record(CallOutcome::ResponseLost);
    let version = RowVersion(1);
    assert_eq!(
        resolve(&mut table, &mut progress, &transaction),
        CommitResolution::Committed { version }
    );
}

#[test]
fn lost_request() {
    let mut table = MemoryTable::default();
    commit_call(&mut table, &replace(1, 0));
    let transaction = replace(2, 1).check("other", RowVersion(9));
    let mut progress = CommitProgress::new(&transaction, DEADLINE, 5);
    progress.record(CallOutcome::ResponseLost);
    let key = "other".into();
    assert_eq!(
        resolve(&mut table, &mut progress, &transaction),
        CommitResolution::Conflict { key }
    );
}

/// After another transaction has overwritten the row, it does not show whether this one committed.
#[yare::parameterized(
    committed = { true },
    never_arrived = { false },
)]
fn overwritten_row(arrives: bool) {
    let mut table = MemoryTable::default();
    commit_call(&mut table, &replace(1, 0));
    let transaction = replace(2, 1);
    let mut progress = CommitProgress::new(&transaction, DEADLINE, 5);
    if arrives {
        commit_call(&mut table, &transaction);
    }
    progress.record(CallOutcome::ResponseLost);
    commit_call(&mut table, &replace(3, 1 + u64::from(arrives)));
    assert_eq!(
        resolve(&mut table, &mut progress, &transaction),
        CommitResolution::Overwritten
    );
}

#[test]
fn lost_read() {
    let mut table = MemoryTable::default();
    let transaction = replace(1, 0);
    let mut progress = CommitProgress::new(&transaction, DEADLINE, 5);
    commit_call(&mut table, &transaction);
    progress.record(CallOutcome::ResponseLost);
    progress.record(commit_call(&mut table, &transaction));
    progress.record(CallOutcome::ResponseLost);
    assert!(matches!(
        progress.next_step(ClockTime(0)),
        CommitStep::ReadBack(_)
    ));
    assert_eq!(
        progress.next_step(DEADLINE),
        CommitStep::Done(CommitResolution::Unresolved)
    );
}

#[yare::parameterized(
    nothing_sent = { CallOutcome::NotSent, CommitResolution::NotSent },
    possibly_sent = { CallOutcome::ResponseLost, CommitResolution::Unresolved },
)]
fn last_attempt(outcome: CallOutcome, resolution: CommitResolution) {
    let mut progress = CommitProgress::new(&replace(1, 0), DEADLINE, 2);
    progress.record(outcome);
    assert_eq!(progress.next_step(ClockTime(0)), CommitStep::Send);
    progress.record(CallOutcome::NotSent);
    assert_eq!(progress.next_step(ClockTime(0)), CommitStep::Done(resolution));
}
