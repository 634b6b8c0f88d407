//! Guards against job changes without their preconditions, and stale notices or index entries.

mod support;

use arbutuspick_model::{CentreState, FinalOutcome, OrderNumber, RefusalReason, UnknownReason};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    CentreOrder, CentreRecord, HolderGuard, InboxRecord, JobEnding, JobError, JobRecord, JobStart, JobState,
    OrderKind, RequeueReason, RowKey, Versioned,
};
use support::*;

struct JobFixture {
    table: MemoryTable,
    guard: HolderGuard,
    job: Versioned<JobRecord>,
}

fn fixture(idempotent: bool) -> JobFixture {
    let mut table = MemoryTable::default();
    let guard = guard(&mut table, "trent", NOW);
    let job = submit(&mut table, idempotent);
    JobFixture { table, guard, job }
}

impl JobFixture {
    fn inbox(&self, data_centre: &str) -> Option<Versioned<InboxRecord>> {
        let key = RowKey::Inbox(centre(data_centre), self.job.record.job);
        self.table.load(&key).unwrap()
    }

    fn is_placed(&self, data_centre: &str) -> bool {
        let key = RowKey::Placed(centre(data_centre), self.job.record.job);
        self.table.get(&key.to_string()).is_some()
    }

    fn accept_notice(&mut self) {
        let notice = self.inbox("trent").unwrap();
        let transaction = self
            .job
            .accept_notice(&notice, &self.guard, write_id(10))
            .unwrap();
        assert!(!conflicts(&mut self.table, &transaction));
    }

    fn start(&mut self, attempt: u32) {
        let change = self.job.start(job_start(attempt), &self.guard, write_id(11));
        self.job = commit(&mut self.table, change.unwrap());
    }

    fn requeue(&mut self, reason: RequeueReason) {
        let change = self.job.requeue(reason, None, &self.guard, write_id(12));
        self.job = commit(&mut self.table, change.unwrap());
    }

    fn order_out(&mut self) -> Versioned<CentreRecord> {
        let order = CentreOrder {
            data_centre: centre("trent"),
            kind: OrderKind::Out { drain_deadline: NOW },
            based_on: OrderNumber(0),
            operator: "op".into(),
            now: NOW,
        };
        commit(
            &mut self.table,
            CentreRecord::order(None, order, write_id(13)).unwrap(),
        )
    }
}

#[test]
fn same_key() {
    let mut fixture = fixture(true);
    let second = JobRecord::submit(submission("severn", true), write_id(2));
    assert!(conflicts(&mut fixture.table, &second.transaction));
}

#[test]
fn accept_notice() {
    let mut fixture = fixture(true);
    fixture.accept_notice();
    assert!(fixture.is_placed("trent") && fixture.inbox("trent").is_none());
}

/// Accepting a notice after the job has moved must not index the job in its old data centre.
#[test]
fn late_acceptance() {
    let mut fixture = fixture(true);
    let notice = fixture.inbox("trent").unwrap();
    let late = fixture
        .job
        .accept_notice(&notice, &fixture.guard, write_id(10))
        .unwrap();
    let moved = fixture.job.move_to(centre("severn"), None, write_id(2)).unwrap();
    commit(&mut fixture.table, moved);
    assert!(conflicts(&mut fixture.table, &late));
    assert!(
        !fixture.is_placed("trent") && fixture.inbox("trent").is_none() && fixture.inbox("severn").is_some()
    );
}

#[test]
fn order_first() {
    let mut fixture = fixture(true);
    let start = fixture
        .job
        .start(job_start(1), &fixture.guard, write_id(2))
        .unwrap();
    let row = fixture.order_out();
    assert_eq!(row.record.state, CentreState::Leaving);
    assert!(conflicts(&mut fixture.table, &start.transaction));
    let start = JobStart {
        centre: Some(&row),
        ..job_start(1)
    };
    let refused = fixture.job.start(start, &fixture.guard, write_id(3));
    assert!(matches!(refused, Err(JobError::StartForbidden { .. })));
}

/// Every transaction of a paused holder must fail after another process has taken over the lease.
#[test]
fn old_epoch() {
    let mut fixture = fixture(true);
    fixture.accept_notice();
    let start = fixture
        .job
        .start(job_start(1), &fixture.guard, write_id(2))
        .unwrap();
    let refuse = JobEnding::Refused(RefusalReason::NeverFits);
    let finish = fixture.job.finish(refuse, &fixture.guard, write_id(3)).unwrap();
    let moved = fixture
        .job
        .move_to(centre("severn"), Some(&fixture.guard), write_id(4));
    take_over(&mut fixture.table, "trent", &process("vm-2"), NOW + 4_000);
    for change in [start, finish, moved.unwrap()] {
        assert!(conflicts(&mut fixture.table, &change.transaction));
    }
}

#[test]
fn bad_starts() {
    let mut fixture = fixture(true);
    let unplaced = JobStart {
        placement: Vec::new(),
        ..job_start(1)
    };
    let refused = fixture.job.start(unplaced, &fixture.guard, write_id(2));
    assert!(matches!(refused, Err(JobError::WrongPlacement { .. })));
    fixture.start(1);
    fixture.requeue(RequeueReason::Unstarted);
    let refused = fixture.job.start(job_start(1), &fixture.guard, write_id(2));
    assert!(matches!(refused, Err(JobError::AttemptUsed { .. })));
    let other = guard(&mut fixture.table, "severn", NOW);
    let refused = fixture.job.start(job_start(2), &other, write_id(2));
    assert!(matches!(refused, Err(JobError::WrongCentre { .. })));
}

/// The confirmation is optional, so an attempt may also end while the row is `Starting`.
#[test]
fn skipped_confirm() {
    let mut fixture = fixture(false);
    fixture.start(1);
    fixture.requeue(RequeueReason::Checkpointed);
    assert_eq!(fixture.job.record.state, JobState::Queued);
    assert!(fixture.job.record.may_have_run && fixture.job.record.placement.is_empty());
}

#[yare::parameterized(
    never_started = { None, FinalOutcome::NotRun { reason: RefusalReason::Cancelled } },
    voided = { Some(RequeueReason::Unstarted), FinalOutcome::NotRun { reason: RefusalReason::Cancelled } },
    lost = { Some(RequeueReason::Lost), FinalOutcome::Unknown { reason: UnknownReason::CancelledRunning } },
)]
fn cancel_queued(before: Option<RequeueReason>, outcome: FinalOutcome) {
    let mut fixture = fixture(true);
    fixture.accept_notice();
    if let Some(reason) = before {
        fixture.start(1);
        fixture.requeue(reason);
    }
    let change = fixture.job.cancel(write_id(2)).unwrap();
    let ended = commit(&mut fixture.table, change);
    assert_eq!(ended.record.outcome, Some(outcome));
    assert!(!fixture.is_placed("trent") && fixture.inbox("trent").is_some());
}

#[test]
fn cancel_started() {
    let mut fixture = fixture(true);
    fixture.accept_notice();
    fixture.start(1);
    let change = fixture.job.cancel(write_id(2)).unwrap();
    fixture.job = commit(&mut fixture.table, change);
    assert!(fixture.job.record.cancel_requested && fixture.is_placed("trent"));
    let again = fixture.job.cancel(write_id(3));
    assert!(matches!(again, Err(JobError::Cancelled { .. })));
    let requeue = fixture
        .job
        .requeue(RequeueReason::Lost, None, &fixture.guard, write_id(3));
    assert!(matches!(requeue, Err(JobError::Cancelled { .. })));
    fixture.accept_notice();
    assert!(fixture.is_placed("trent") && fixture.inbox("trent").is_none());
}

#[test]
fn move_started() {
    let mut fixture = fixture(true);
    fixture.start(1);
    let moved = fixture.job.move_to(centre("severn"), None, write_id(2));
    assert!(matches!(moved, Err(JobError::Transition { .. })));
}
