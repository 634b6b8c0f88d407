//! Guards against a non-idempotent request that is sent by two processes, and lost or wrong replays.

mod support;

use arbutuspick_model::UnknownReason;
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    BodyDigest, ClaimError, ClaimLookup, ClaimOutcome, KeyRecord, RecordedBody, RecordedResponse,
    RequestClaim, Versioned, look_up_claim, look_up_submission,
};
use support::*;

fn look_up(row: &Versioned<KeyRecord>, claim: &RequestClaim) -> ClaimLookup {
    look_up_claim(Some(&row.record), claim.digest, &claim.claimant).unwrap()
}

fn outcome() -> ClaimOutcome {
    let reason = UnknownReason::ConnectionLost;
    ClaimOutcome::Unknown { reason }
}

#[test]
fn one_claimant() {
    let (first, second) = (claim(&process("vm-1"), 1), claim(&process("vm-2"), 2));
    let mut table = MemoryTable::default();
    let row = commit(&mut table, first.claim(None).unwrap());
    assert!(conflicts(&mut table, &second.claim(None).unwrap().transaction));
    assert_eq!(look_up(&row, &first), ClaimLookup::ClaimedHere);
    assert_eq!(
        look_up(&row, &second),
        ClaimLookup::ClaimedElsewhere(first.claimant.clone())
    );
    assert!(matches!(
        second.claim(Some(&row)),
        Err(ClaimError::NotClaimable { .. })
    ));
    assert!(matches!(
        second.finish(&row, outcome(), write_id(13)),
        Err(ClaimError::NotHeld { .. })
    ));
    assert_eq!(second.withdraw(Some(&row), write_id(13)), None);
}

/// A restarted process does not know whether its predecessor sent the request.
#[test]
fn restarted_claimant() {
    let first = claim(&process("vm-1"), 1);
    let row = commit(&mut MemoryTable::default(), first.claim(None).unwrap());
    let restarted = claim(&process("vm-1"), 1);
    assert_eq!(
        look_up(&row, &restarted),
        ClaimLookup::ClaimedElsewhere(first.claimant)
    );
}

#[test]
fn replay() {
    let (first, second) = (claim(&process("vm-1"), 1), claim(&process("vm-2"), 2));
    let mut table = MemoryTable::default();
    let row = commit(&mut table, first.claim(None).unwrap());
    let row = commit(&mut table, first.finish(&row, outcome(), write_id(12)).unwrap());
    assert_eq!(look_up(&row, &second), ClaimLookup::Replay(outcome()));
    assert!(first.finish(&row, outcome(), write_id(13)).is_err());
    assert_eq!(first.withdraw(Some(&row), write_id(13)), None);
}

#[test]
fn withdrawn_claim() {
    let (first, second) = (claim(&process("vm-1"), 1), claim(&process("vm-2"), 2));
    let mut table = MemoryTable::default();
    let row = commit(&mut table, first.claim(None).unwrap());
    let row = commit(&mut table, first.withdraw(Some(&row), write_id(12)).unwrap());
    assert_eq!(look_up(&row, &second), ClaimLookup::Unclaimed);
    let row = commit(&mut table, second.claim(Some(&row)).unwrap());
    assert_eq!(
        look_up(&row, &first),
        ClaimLookup::ClaimedElsewhere(second.claimant)
    );
}

/// A claim that commits after its withdrawal would block the key permanently.
#[test]
fn delayed_claim() {
    let (first, second) = (claim(&process("vm-1"), 1), claim(&process("vm-2"), 2));
    let mut table = MemoryTable::default();
    let delayed = first.claim(None).unwrap();
    let row = commit(&mut table, first.withdraw(None, write_id(12)).unwrap());
    assert!(conflicts(&mut table, &delayed.transaction));
    let delayed = first.claim(Some(&row)).unwrap();
    let row = commit(&mut table, first.withdraw(Some(&row), write_id(14)).unwrap());
    assert!(conflicts(&mut table, &delayed.transaction));
    assert_eq!(look_up(&row, &second), ClaimLookup::Unclaimed);
}

/// A task that withdraws its lost claim must not withdraw the claim that another task used.
#[test]
fn two_tasks() {
    let sent = claim(&process("vm-1"), 1);
    let mut lost = sent.clone();
    lost.write_id = write_id(2);
    let row = commit(&mut MemoryTable::default(), sent.claim(None).unwrap());
    assert_eq!(lost.withdraw(Some(&row), write_id(13)), None);
    assert!(lost.finish(&row, outcome(), write_id(13)).is_err());
}

#[test]
fn different_body() {
    let first = claim(&process("vm-1"), 1);
    let row = first.claim(None).unwrap().record;
    let other = BodyDigest::of(&[b"other"]);
    assert_eq!(
        look_up_claim(Some(&row), other, &first.claimant),
        Err(ClaimError::KeyReused)
    );
    assert_eq!(
        look_up_submission(Some(&row), first.digest),
        Err(ClaimError::KeyReused)
    );
}

#[test]
fn submitted_job() {
    let job = submission("trent", true).job;
    let digest = BodyDigest::of(&[b"body"]);
    let row = KeyRecord::for_job(job, digest, NOW, write_id(11));
    assert_eq!(look_up_submission(None, digest), Ok(None));
    assert_eq!(look_up_submission(Some(&row), digest), Ok(Some(job)));
    assert_eq!(
        look_up_claim(Some(&row), digest, &process("vm-1")),
        Err(ClaimError::KeyReused)
    );
}

#[test]
fn early_deletion() {
    let first = claim(&process("vm-1"), 1);
    let mut table = MemoryTable::default();
    let row = commit(&mut table, first.claim(None).unwrap());
    let key = first.row_key();
    assert!(row.delete(&key, row.record.delete_after, write_id(12)).is_err());
    let transaction = row
        .delete(&key, row.record.delete_after + 1, write_id(12))
        .unwrap();
    assert!(!conflicts(&mut table, &transaction) && table.get(&key.to_string()).is_none());
}

#[test]
fn response_limits() {
    let inline = |length| RecordedBody::Inline {
        bytes: vec![0; length],
    };
    let headers = [("Content-Type", "text/plain"), ("set-cookie", "a")];
    let response = RecordedResponse::new(200, headers, inline(65_536)).unwrap();
    assert_eq!(response.headers, [("content-type".into(), "text/plain".into())]);
    assert!(RecordedResponse::new(200, headers, inline(65_537)).is_err());
    assert!(RecordedResponse::new(101, headers, inline(0)).is_err());
}
