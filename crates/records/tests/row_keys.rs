//! Guards against key formats that change between versions, and scans that miss or reorder rows.

mod support;

use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, ConfigRevision, JobId};
use arbutuspick_records::{ObjectKey, ProposalId, RowKey};
use support::*;
use uuid::Uuid;

const ID: &str = "00000000-0000-0000-0000-000000000007";

#[yare::parameterized(
    job = { RowKey::Job(JobId(Uuid::from_u128(7))), "job/{}" },
    caller_key = { RowKey::Key(account(), key("a:b")), "key/parks/a:b" },
    inbox = { RowKey::Inbox(centre("trent"), JobId(Uuid::from_u128(7))), "inbox/trent/{}" },
    placed = { RowKey::Placed(centre("trent"), JobId(Uuid::from_u128(7))), "placed/trent/{}" },
    epoch = { RowKey::Epoch(centre("trent")), "epoch/trent" },
    lease = { RowKey::Lease(centre("trent")), "lease/trent" },
    order = { RowKey::Centre(centre("trent")), "dc/trent" },
    proposal = { RowKey::Proposal(ProposalId(Uuid::from_u128(7))), "proposal/{}" },
    turn = { RowKey::Turn, "turn" },
    head = { RowKey::Head, "config/head" },
    revision = { RowKey::Revision(ConfigRevision(36_000)), "config/rev/00000000000000036000" },
)]
fn row_round_trip(key: RowKey, text: &str) {
    let text = text.replace("{}", ID);
    assert_eq!(key.to_string(), text);
    assert_eq!(RowKey::try_from(text.as_str()), Ok(key));
}

#[yare::parameterized(
    result = { ObjectKey::Result(JobId(Uuid::from_u128(7)), AttemptNumber(2)), "result/{}/2" },
    checkpoint = { ObjectKey::Checkpoint(JobId(Uuid::from_u128(7)), AttemptNumber(1)), "checkpoint/{}/1" },
    snapshot = { ObjectKey::Snapshot, "config/snapshot" },
)]
fn object_round_trip(key: ObjectKey, text: &str) {
    let text = text.replace("{}", ID);
    assert_eq!(key.to_string(), text);
    assert_eq!(ObjectKey::try_from(text.as_str()), Ok(key));
}

#[yare::parameterized(
    empty = { "" },
    unknown = { "jobs/1" },
    no_uuid = { "job/7" },
    upper_case_uuid = { "job/0000000A-0000-0000-0000-00000000000A" },
    extra_part = { "turn/1" },
    bad_name = { "dc/Trent" },
    short_revision = { "config/rev/7" },
    signed_revision = { "config/rev/+0000000000000000007" },
    overflow = { "config/rev/99999999999999999999" },
)]
fn bad_key(text: &str) {
    assert!(RowKey::try_from(text).is_err());
}

#[test]
fn revision_order() {
    let key = |n| Arc::<str>::from(RowKey::Revision(ConfigRevision(n)));
    assert!(key(9) < key(10) && key(99_999) < key(100_000) && key(100_000) < key(u64::MAX));
    assert!(key(0).starts_with(&*RowKey::revision_prefix()));
}

#[test]
fn prefix_ends() {
    let other = RowKey::Inbox(centre("trent-2"), JobId(Uuid::from_u128(7))).to_string();
    assert!(!other.starts_with(&*RowKey::inbox_prefix(&centre("trent"))));
}
