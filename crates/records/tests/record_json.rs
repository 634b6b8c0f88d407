//! Guards against records that do not round-trip through JSON, and decode errors that do not name the row.

mod support;

use arbutuspick_model::{RefusalReason, UnknownReason};
use arbutuspick_records::{
    BodyDigest, ClaimOutcome, ClaimState, JobEnding, JobRecord, KeyRecord, KeyUsage, RecordedBody,
    RecordedResponse, RowKey, RowVersion, TableRow, Versioned, is_written_by,
};
use support::*;

fn row(value: String) -> TableRow {
    TableRow {
        key: "key/parks/slot-7".into(),
        version: RowVersion(3),
        value: value.into(),
    }
}

#[yare::parameterized(
    claimed = { ClaimState::Claimed },
    withdrawn = { ClaimState::Withdrawn },
    unknown = { ClaimState::Finished { outcome: ClaimOutcome::Unknown { reason: UnknownReason::ConnectionLost } } },
    answered = { ClaimState::Finished { outcome: ClaimOutcome::Answered { response: RecordedResponse::new(
        201, [("ETag", "a")], RecordedBody::Inline { bytes: vec![0, 255] }).unwrap() } } },
)]
fn claim_states(state: ClaimState) {
    let record = KeyRecord {
        digest: BodyDigest::of(&[b"body"]),
        usage: KeyUsage::Claim {
            claimant: process("vm-1"),
            state,
        },
        delete_after: NOW,
        write_id: write_id(1),
    };
    let row = row(serde_json::to_string(&record).unwrap());
    let decoded: Versioned<KeyRecord> = Versioned::try_from(&row).unwrap();
    assert_eq!(decoded, Versioned::new(record, RowVersion(3)));
    assert!(is_written_by(&row, write_id(1)) && !is_written_by(&row, write_id(2)));
}

#[test]
fn finished_job() {
    let mut table = Default::default();
    let guard = guard(&mut table, "trent", NOW);
    let job = submit(&mut table, false);
    let ending = JobEnding::Refused(RefusalReason::NeverFits);
    let ended = commit(&mut table, job.finish(ending, &guard, write_id(5)).unwrap());
    let key = RowKey::Job(job.record.job);
    let rows = [table.get(&key.to_string()).unwrap().clone()];
    assert_eq!(Versioned::find(&rows, &key).unwrap(), Some(ended));
    assert_eq!(Versioned::<JobRecord>::find(&rows, &RowKey::Turn).unwrap(), None);
}

#[test]
fn unknown_fields() {
    let job = submit(&mut Default::default(), true).record;
    let mut value = serde_json::to_value(&job).unwrap();
    value["added_later"] = true.into();
    let row = row(value.to_string());
    assert_eq!(Versioned::<JobRecord>::try_from(&row).unwrap().record, job);
}

#[test]
fn bad_json() {
    let error = Versioned::<KeyRecord>::try_from(&row("{}".into())).unwrap_err();
    assert!(error.to_string().contains("key/parks/slot-7"), "{error}");
}
