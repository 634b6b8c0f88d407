use std::future::Future;
use std::sync::Arc;

use arbutuspick_clients::{
    AttemptRequest, CallError, CallPriority, EpochRequest, LeaseExtension, PrepareRequest, RenewRequest,
    StartRequest, TransactionOutcome, VmRole, WorkerClient, WorkerResponse, commit_transaction,
};
use arbutuspick_model::{AttemptNumber, ClockTime, JobId, WorkerName, WriteId};
use arbutuspick_records::{HolderGuard, JobRecord, RowKey, TableTransaction, Versioned};

use crate::HolderContext;
use crate::holder_event::{HolderEvent, NoticeOutcome, WorkerCall};
use crate::job_entry::WriteFollowUp;
use crate::job_write::{JobWrite, write_job};
use crate::placement_holder::PlacementHolder;
use crate::table_reader::{InboxItem, read_centre, read_inbox};
use crate::worker_session::CALL_TIMEOUT;

/// Timeout of accepting notices. It is long because an acceptance that is abandoned unresolved may still take
/// effect, and then no holder would know the job until the next takeover of the lease.
const ACCEPT_TIMEOUT_MS: u64 = 600_000;
/// Timeout of recording the progress of an operator's order; a failed write is retried later.
const PROGRESS_TIMEOUT_MS: u64 = 3_000;

/// I/O requests: each runs in its own task and reports its result as an event.
impl PlacementHolder {
    fn spawn<F>(&mut self, task: F)
    where
        F: Future<Output = HolderEvent> + Send + 'static,
    {
        let events = self.events.clone();
        self.tasks.spawn(async move {
            let event = task.await;
            // The event loop may have ended and closed the channel.
            let _ = events.send(event).await;
        });
    }

    pub(crate) fn request_workers(&mut self) {
        let vms = self.context.vms.clone();
        let centre = self.options.data_centre.clone();
        self.spawn(async move { HolderEvent::WorkersListed(vms.list(VmRole::Worker, Some(&centre)).await) });
    }

    pub(crate) fn request_centre(&mut self) {
        let table = self.context.table.clone();
        let centre = self.options.data_centre.clone();
        self.spawn(async move { HolderEvent::CentreRead(read_centre(&table, &centre).await) });
    }

    pub(crate) fn request_inbox(&mut self) {
        let table = self.context.table.clone();
        let centre = self.options.data_centre.clone();
        self.spawn(async move { HolderEvent::InboxRead(read_inbox(&table, &centre).await) });
    }

    /// Accepts notices in one transaction, or one by one if that fails.
    pub(crate) fn request_accept(&mut self, items: Vec<InboxItem>) {
        let context = self.context.clone();
        let guard = self.guard.clone();
        self.spawn(async move {
            let deadline = context.clock.now() + ACCEPT_TIMEOUT_MS;
            if accept_all(&context, &guard, &items, deadline).await {
                let outcomes = items
                    .into_iter()
                    .map(|item| NoticeOutcome { item, accepted: true });
                return HolderEvent::NoticesProcessed(outcomes.collect());
            }
            let mut outcomes = Vec::with_capacity(items.len());
            for item in items {
                let accepted = accept_all(&context, &guard, std::slice::from_ref(&item), deadline).await;
                outcomes.push(NoticeOutcome { item, accepted });
            }
            HolderEvent::NoticesProcessed(outcomes)
        });
    }

    pub(crate) fn request_write(
        &mut self,
        job: JobId,
        row: Versioned<JobRecord>,
        write: JobWrite,
        follow_up: WriteFollowUp,
    ) {
        let context = self.context.clone();
        let guard = self.guard.clone();
        self.spawn(async move {
            let outcome = Box::new(write_job(&context, &guard, row, write).await);
            HolderEvent::WriteFinished {
                job,
                follow_up,
                outcome,
            }
        });
    }

    /// Commits the progress of an operator's order, then reads the data centre row.
    pub(crate) fn request_progress(&mut self, transaction: TableTransaction) {
        let context = self.context.clone();
        let centre = self.options.data_centre.clone();
        self.spawn(async move {
            let deadline = context.clock.now() + PROGRESS_TIMEOUT_MS;
            let outcome =
                commit_transaction(&context.table, &transaction, deadline, CallPriority::Essential).await;
            log::info!(
                "[holder] progress write of operator order finished data_centre={centre} commit={outcome:?}"
            );
            HolderEvent::CentreRead(read_centre(&context.table, &centre).await)
        });
    }

    fn spawn_call<F, R>(
        &mut self,
        worker: &WorkerName,
        call: WorkerCall,
        attempt: Option<(JobId, AttemptNumber)>,
        request: F,
    ) where
        F: FnOnce(WorkerClient) -> R,
        R: Future<Output = Result<WorkerResponse, CallError>> + Send + 'static,
    {
        let Some(session) = self.workers.get(worker) else {
            return;
        };
        let worker = worker.clone();
        let answer = request(session.client.clone());
        self.spawn(async move {
            let answer = answer.await;
            HolderEvent::WorkerAnswered {
                worker,
                call,
                attempt,
                answer,
            }
        });
    }

    pub(crate) fn call_epoch(&mut self, worker: &WorkerName) {
        let request = EpochRequest {
            epoch: self.guard.epoch,
        };
        self.spawn_call(worker, WorkerCall::Epoch, None, |client| async move {
            client.epoch(&request, CALL_TIMEOUT).await
        });
    }

    pub(crate) fn call_renew(&mut self, worker: &WorkerName, call: WorkerCall, leases: Vec<LeaseExtension>) {
        let request = RenewRequest {
            epoch: self.guard.epoch,
            leases,
        };
        self.spawn_call(worker, call, None, |client| async move {
            client.renew(&request, CALL_TIMEOUT).await
        });
    }

    pub(crate) fn call_prepare(&mut self, worker: &WorkerName, request: PrepareRequest) {
        let attempt = Some((request.job, request.attempt));
        self.spawn_call(worker, WorkerCall::Prepare, attempt, |client| async move {
            client.prepare(&request, CALL_TIMEOUT).await
        });
    }

    /// Sends a start call, unless the start permit or the placement lease has expired when the task runs.
    pub(crate) fn call_start(&mut self, worker: &WorkerName, request: StartRequest, send_before: ClockTime) {
        let attempt = Some((request.job, request.attempt));
        let clock = self.context.clock;
        let validity = self.lease_validity();
        self.spawn_call(worker, WorkerCall::Start, attempt, move |client| async move {
            let valid_until = validity.borrow().valid_until;
            if clock.now() >= send_before.min(valid_until) {
                return Err(CallError::NotSent {
                    message: "start permit or placement lease has expired".into(),
                    retry_after_ms: 0,
                });
            }
            client.start(&request, CALL_TIMEOUT).await
        });
    }

    pub(crate) fn call_attempt(
        &mut self,
        worker: &WorkerName,
        call: WorkerCall,
        job: JobId,
        attempt: AttemptNumber,
    ) {
        let request = AttemptRequest {
            epoch: self.guard.epoch,
            job,
            attempt,
        };
        self.spawn_call(worker, call, Some((job, attempt)), move |client| async move {
            match call {
                WorkerCall::Void => client.void(&request, CALL_TIMEOUT).await,
                WorkerCall::Checkpoint => client.checkpoint(&request, CALL_TIMEOUT).await,
                WorkerCall::Stop => client.stop(&request, CALL_TIMEOUT).await,
                _ => client.release(&request, CALL_TIMEOUT).await,
            }
        });
    }

    /// Starts the oldest queued write of a job, unless one is in flight.
    pub(crate) fn start_next_write(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.writing {
            return;
        }
        let Some((write, follow_up)) = entry.writes.pop_front() else {
            return;
        };
        entry.writing = true;
        let row = entry.row.clone();
        self.request_write(job, row, write, follow_up);
    }

    pub(crate) fn new_write_id() -> WriteId {
        WriteId::generate()
    }

    pub(crate) fn checkpoint_prefix(job: JobId, attempt: AttemptNumber) -> Arc<str> {
        arbutuspick_records::ObjectKey::Checkpoint(job, attempt).into()
    }
}

async fn accept_all(
    context: &HolderContext,
    guard: &HolderGuard,
    items: &[InboxItem],
    deadline: ClockTime,
) -> bool {
    let write_id = WriteId::generate();
    let mut transaction = TableTransaction::new(write_id);
    for InboxItem { notice, row } in items {
        match row.accept_notice(notice, guard, write_id) {
            Ok(acceptance) => transaction = transaction.merge(acceptance),
            Err(error) => {
                log::error!(
                    "[holder] cannot accept inbox notice job={}: {error}",
                    row.record.job
                );
                return false;
            }
        }
    }
    let outcome = commit_transaction(&context.table, &transaction, deadline, CallPriority::Essential).await;
    match outcome {
        TransactionOutcome::Committed { .. } => true,
        TransactionOutcome::Conflict { .. } | TransactionOutcome::NotSent => false,
        TransactionOutcome::Overwritten | TransactionOutcome::Unresolved => {
            is_acceptance_recorded(context, guard, items).await
        }
    }
}

/// Returns whether an unresolved acceptance took effect, which the index of placed jobs shows. One row is
/// proof for all items, because they are accepted in one transaction.
async fn is_acceptance_recorded(context: &HolderContext, guard: &HolderGuard, items: &[InboxItem]) -> bool {
    let keys: Vec<Arc<str>> = items
        .iter()
        .map(|item| RowKey::Placed(guard.data_centre.clone(), item.row.record.job).into())
        .collect();
    let answer = context.table.read(&keys, CallPriority::Essential).await;
    answer.is_ok_and(|answer| !answer.body.rows.is_empty())
}
