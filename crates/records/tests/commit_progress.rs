//! Guards against a commit whose result is reported wrongly when responses are lost.

mod support;

use arbutuspick_model::{ClockTime, WriteId};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    CommitAnswer, CommitProgress, CommitResolution, CommitStep, ReadQuery, RowVersion, TableTransaction,
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

fn commit_call(table: &mut MemoryTable, transaction: &TableTransaction) -> CommitAnswer {
    CommitAnswer::Result(table.commit(transaction))
}

/// Performs the steps without losing a response until the commit is resolved.
fn resolve(
    table: &mut MemoryTable,
    progress: &mut CommitProgress,
    transaction: &TableTransaction,
) -> CommitResolution {
    loop {
        let answer = match progress.step(ClockTime(0)) {
            CommitStep::Send => commit_call(table, transaction),
            CommitStep::ReadBack(keys) => CommitAnswer::Rows(table.read(&ReadQuery { keys })),
            CommitStep::Done(resolution) => return resolution,
        };
        progress.record(answer);
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
    assert_eq!(progress.attempts, 1);
}

#[test]
fn lost_response() {
    let mut table = MemoryTable::default();
    let transaction = replace(1, 0);
    let mut progress = CommitProgress::new(&transaction, DEADLINE, 5);
    commit_call(&mut table, &transaction);
    progress.record(CommitAnswer::Lost);
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
    progress.record(CommitAnswer::Lost);
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
    progress.record(CommitAnswer::Lost);
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
    progress.record(CommitAnswer::Lost);
    progress.record(commit_call(&mut table, &transaction));
    progress.record(CommitAnswer::Lost);
    assert!(matches!(progress.step(ClockTime(0)), CommitStep::ReadBack(_)));
    assert_eq!(
        progress.step(DEADLINE),
        CommitStep::Done(CommitResolution::Unresolved)
    );
}

#[yare::parameterized(
    nothing_sent = { CommitAnswer::NotSent, CommitResolution::NotSent },
    possibly_sent = { CommitAnswer::Lost, CommitResolution::Unresolved },
)]
fn last_attempt(answer: CommitAnswer, resolution: CommitResolution) {
    let mut progress = CommitProgress::new(&replace(1, 0), DEADLINE, 2);
    progress.record(answer);
    assert_eq!(progress.step(ClockTime(0)), CommitStep::Send);
    progress.record(CommitAnswer::NotSent);
    assert_eq!(progress.step(ClockTime(0)), CommitStep::Done(resolution));
}
