//! Fixtures that the tests share.
#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;

use arbutuspick_model::{
    AccountName, AttemptNumber, CallerKey, CentreName, JobId, JobSpec, OwnerName, PlatformTime, VmName,
    WorkerName, WriteId,
};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    BodyDigest, CommitResult, EpochRecord, HeldLease, HolderGuard, JobRecord, JobStart, JobSubmission,
    LeaseTakeover, PlacedMember, PlannedChange, ProcessIdentity, RequestClaim, RowKey, TableTransaction,
    Versioned,
};
use uuid::Uuid;

pub const NOW: PlatformTime = PlatformTime(1_796_083_200_000); // 2026-12-01.

pub fn centre(name: &str) -> CentreName {
    CentreName::try_from(name).unwrap()
}

pub fn owner(name: &str) -> OwnerName {
    OwnerName::try_from(name).unwrap()
}

pub fn account() -> AccountName {
    AccountName::try_from("parks").unwrap()
}

pub fn key(name: &str) -> CallerKey {
    CallerKey::try_from(name).unwrap()
}

pub fn process(name: &str) -> ProcessIdentity {
    ProcessIdentity::generate(VmName::try_from(name).unwrap())
}

pub fn write_id(number: u128) -> WriteId {
    WriteId(Uuid::from_u128(number))
}

pub fn address() -> SocketAddr {
    "127.0.0.1:7000".parse().unwrap()
}

/// Commits a change that must not conflict.
pub fn commit<R>(table: &mut MemoryTable, change: PlannedChange<R>) -> Versioned<R> {
    match table.commit(&change.transaction) {
        CommitResult::Committed { version } => change.committed(version),
        CommitResult::Conflict { key } => panic!("conflict at {key}"),
    }
}

pub fn conflicts(table: &mut MemoryTable, transaction: &TableTransaction) -> bool {
    matches!(table.commit(transaction), CommitResult::Conflict { .. })
}

/// Returns the submission of a job with an idempotency key.
pub fn submission(data_centre: &str, idempotent: bool) -> JobSubmission {
    let mut spec = JobSpec::new(account());
    spec.idempotent = idempotent;
    JobSubmission {
        job: JobId::generate(),
        spec,
        caller_key: Some(key("order-1")),
        body_digest: BodyDigest::of(&[b"body"]),
        data_centre: centre(data_centre),
        now: NOW,
        delete_key_after: NOW + 86_400_000,
    }
}

pub fn submit(table: &mut MemoryTable, idempotent: bool) -> Versioned<JobRecord> {
    let change = JobRecord::submit(submission("trent", idempotent), WriteId::generate());
    commit(table, change)
}

/// Takes over the lease of a data centre, which must be absent or expired at `now`.
pub fn take_over(
    table: &mut MemoryTable,
    data_centre: &str,
    holder: &ProcessIdentity,
    now: PlatformTime,
) -> HeldLease {
    let epoch = table.load(&RowKey::Epoch(centre(data_centre))).unwrap();
    let lease = table.load(&RowKey::Lease(centre(data_centre))).unwrap();
    let takeover = LeaseTakeover {
        data_centre: centre(data_centre),
        epoch: epoch.as_ref(),
        lease: lease.as_ref(),
        holder: holder.clone(),
        address: address(),
        now,
    };
    commit(
        table,
        EpochRecord::take_over(takeover, WriteId::generate()).unwrap(),
    )
    .record
}

pub fn guard(table: &mut MemoryTable, data_centre: &str, now: PlatformTime) -> HolderGuard {
    let holder = process("vm-1");
    take_over(table, data_centre, &holder, now);
    let epoch: Versioned<EpochRecord> = table.load(&RowKey::Epoch(centre(data_centre))).unwrap().unwrap();
    epoch.guard(&holder).unwrap()
}

pub fn job_start(attempt: u32) -> JobStart<'static> {
    JobStart {
        attempt: AttemptNumber(attempt),
        placement: vec![PlacedMember {
            worker: WorkerName::try_from("w1").unwrap(),
            accelerators: 1,
        }],
        guaranteed: false,
        centre: None,
    }
}

pub fn claim(process: &ProcessIdentity, number: u128) -> RequestClaim {
    RequestClaim {
        account: account(),
        key: key("slot-7"),
        digest: BodyDigest::of(&[b"body"]),
        claimant: process.clone(),
        delete_after: NOW + 86_400_000,
        write_id: write_id(number),
    }
}
