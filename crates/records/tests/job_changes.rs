//! Guards against job rows that change without their conditions, and notices or index entries left behind.

mod support;

use arbutuspick_model::{CentreState, FinalOutcome, OrderNumber, RefusalReason, UnknownReason};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    CentreOrder, CentreRecord, HolderGuard, InboxRecord, JobEnding, JobError, JobRecord, JobStart, JobState,
    OrderKind, RequeueReason, RowKey, Versioned,
};
use support::*;

struct Setup {
    table: MemoryTable,
    guard: HolderGuard,
    job: Versioned<JobRecord>,
}

fn setup(idempotent: bool) -> Setup {
    let mut table = MemoryTable::default();
    let guard = guard(&mut table, "trent", NOW);
    let job = submit(&mut table, idempotent);
    Setup { table, guard, job }
}

impl Setup {
    fn inbox(&self, data_centre: &str) -> Option<Versioned<InboxRecord>> {
        let key = RowKey::Inbox(centre(data_centre), self.job.record.job);
        self.table.load(&key).unwrap()
    }

    fn is_placed(&self, data_centre: &str) -> bool {
        let key = RowKey::Placed(centre(data_centre), self.job.record.job);
        self.table.get(&key.to_string()).is_some()
    }

    fn take_up(&mut self) {
        let notice = self.inbox("trent").unwrap();
        let transaction = self.job.take_up(&notice, &self.guard, write(10)).unwrap();
        assert!(!conflicts(&mut self.table, &transaction));
    }

    fn start(&mut self, attempt: u32) {
        let change = self.job.start(first_start(attempt), &self.guard, write(11));
        self.job = commit(&mut self.table, change.unwrap());
    }

    fn requeue(&mut self, reason: RequeueReason) {
        let change = self.job.requeue(reason, None, &self.guard, write(12));
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
            CentreRecord::order(None, order, write(13)).unwrap(),
        )
    }
}

#[test]
fn same_key() {
    let mut setup = setup(true);
    let second = JobRecord::submit(submission("severn", true), write(2));
    assert!(conflicts(&mut setup.table, &second.transaction));
}

#[test]
fn take_up() {
    let mut setup = setup(true);
    setup.take_up();
    assert!(setup.is_placed("trent") && setup.inbox("trent").is_none());
}

/// A take-up that was planned before the job moved must not index the job in its old data centre.
#[test]
fn late_take_up() {
    let mut setup = setup(true);
    let notice = setup.inbox("trent").unwrap();
    let late = setup.job.take_up(&notice, &setup.guard, write(10)).unwrap();
    let moved = setup.job.move_to(centre("severn"), None, write(2)).unwrap();
    commit(&mut setup.table, moved);
    assert!(conflicts(&mut setup.table, &late));
    assert!(!setup.is_placed("trent") && setup.inbox("trent").is_none() && setup.inbox("severn").is_some());
}

#[test]
fn order_first() {
    let mut setup = setup(true);
    let start = setup.job.start(first_start(1), &setup.guard, write(2)).unwrap();
    let row = setup.order_out();
    assert_eq!(row.record.state, CentreState::Leaving);
    assert!(conflicts(&mut setup.table, &start.transaction));
    let start = JobStart {
        centre: Some(&row),
        ..first_start(1)
    };
    let refused = setup.job.start(start, &setup.guard, write(3));
    assert!(matches!(refused, Err(JobError::StartForbidden { .. })));
}

/// Each transaction of a holder that was paused must fail once another process has raised the epoch.
#[test]
fn old_epoch() {
    let mut setup = setup(true);
    setup.take_up();
    let start = setup.job.start(first_start(1), &setup.guard, write(2)).unwrap();
    let refuse = JobEnding::Refused(RefusalReason::NeverFits);
    let finish = setup.job.finish(refuse, &setup.guard, write(3)).unwrap();
    let moved = setup.job.move_to(centre("severn"), Some(&setup.guard), write(4));
    take(&mut setup.table, "trent", &process("vm-2"), NOW + 4_000);
    for change in [start, finish, moved.unwrap()] {
        assert!(conflicts(&mut setup.table, &change.transaction));
    }
}

#[test]
fn bad_starts() {
    let mut setup = setup(true);
    let two = JobStart {
        placement: Vec::new(),
        ..first_start(1)
    };
    let refused = setup.job.start(two, &setup.guard, write(2));
    assert!(matches!(refused, Err(JobError::WrongPlacement { .. })));
    setup.start(1);
    setup.requeue(RequeueReason::Unstarted);
    let refused = setup.job.start(first_start(1), &setup.guard, write(2));
    assert!(matches!(refused, Err(JobError::AttemptUsed { .. })));
    let other = guard(&mut setup.table, "severn", NOW);
    let refused = setup.job.start(first_start(2), &other, write(2));
    assert!(matches!(refused, Err(JobError::WrongCentre { .. })));
}

/// The write of "running" may be skipped, so the end of an attempt is also allowed from "starting".
#[test]
fn skipped_confirm() {
    let mut setup = setup(false);
    setup.start(1);
    setup.requeue(RequeueReason::Checkpointed);
    assert_eq!(setup.job.record.state, JobState::Queued);
    assert!(setup.job.record.may_have_run && setup.job.record.placement.is_empty());
}

#[yare::parameterized(
    fresh = { None, FinalOutcome::NotRun { reason: RefusalReason::Cancelled } },
    voided = { Some(RequeueReason::Unstarted), FinalOutcome::NotRun { reason: RefusalReason::Cancelled } },
    lost = { Some(RequeueReason::Lost), FinalOutcome::Unknown { reason: UnknownReason::CancelledRunning } },
)]
fn cancel_queued(before: Option<RequeueReason>, outcome: FinalOutcome) {
    let mut setup = setup(true);
    setup.take_up();
    if let Some(reason) = before {
        setup.start(1);
        setup.requeue(reason);
    }
    let change = setup.job.cancel(write(2)).unwrap();
    let ended = commit(&mut setup.table, change);
    assert_eq!(ended.record.outcome, Some(outcome));
    assert!(!setup.is_placed("trent") && setup.inbox("trent").is_some());
}

#[test]
fn cancel_started() {
    let mut setup = setup(true);
    setup.take_up();
    setup.start(1);
    let change = setup.job.cancel(write(2)).unwrap();
    setup.job = commit(&mut setup.table, change);
    assert!(setup.job.record.cancel_requested && setup.is_placed("trent"));
    let again = setup.job.cancel(write(3));
    assert!(matches!(again, Err(JobError::Cancelled { .. })));
    let requeue = setup
        .job
        .requeue(RequeueReason::Lost, None, &setup.guard, write(3));
    assert!(matches!(requeue, Err(JobError::Cancelled { .. })));
    setup.take_up();
    assert!(setup.is_placed("trent") && setup.inbox("trent").is_none());
}

#[test]
fn move_started() {
    let mut setup = setup(true);
    setup.start(1);
    let moved = setup.job.move_to(centre("severn"), None, write(2));
    assert!(matches!(moved, Err(JobError::Transition { .. })));
}
