use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, CentreName, FinalOutcome, RefusalReason, UnknownReason, WriteId};

use crate::job_record::job_error::{
    AttemptUsedSnafu, CancelledSnafu, StartForbiddenSnafu, WrongCentreSnafu, WrongNoticeSnafu,
    WrongPlacementSnafu,
};
use crate::versioned::encode;
use crate::{
    CentreRecord, HolderGuard, InboxRecord, JobEnding, JobError, JobEvent, JobNotice, JobRecord, JobState,
    PlacedMember, PlacedRecord, PlannedChange, RequeueReason, RowKey, TableTransaction, Versioned,
};

/// Parameters for starting an attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStart<'a> {
    /// Attempt number, higher than that of every attempt prepared before.
    pub attempt: AttemptNumber,
    /// Gang members, one for each task.
    pub placement: Vec<PlacedMember>,
    /// Whether the attempt runs on the account's guaranteed capacity.
    pub guaranteed: bool,
    /// Row `dc/{dc}`, if it exists.
    pub centre: Option<&'a Versioned<CentreRecord>>,
}

/// Changes to a job row that was read from the table.
impl Versioned<JobRecord> {
    /// Plans to accept a notice: deletes it and writes the index entry of the job.
    ///
    /// If the job has ended or is assigned to another data centre, the index entry is deleted instead.
    pub fn accept_notice(
        &self,
        notice: &Versioned<InboxRecord>,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<TableTransaction, JobError> {
        let JobRecord {
            job,
            state,
            data_centre,
            ..
        } = &self.record;
        snafu::ensure!(
            notice.record.job == *job,
            WrongNoticeSnafu {
                job: *job,
                notice: notice.record.job
            }
        );
        let inbox = RowKey::Inbox(guard.data_centre.clone(), *job);
        let placed = RowKey::Placed(guard.data_centre.clone(), *job);
        let transaction = guard
            .add_check(self.begin(write_id))
            .check(&inbox, notice.version)
            .delete(&inbox);
        if state.is_final() || *data_centre != guard.data_centre {
            return Ok(transaction.delete(placed));
        }
        let entry = PlacedRecord { job: *job, write_id };
        Ok(transaction.put(placed, encode(&entry)))
    }

    /// Plans the start of an attempt.
    ///
    /// It conflicts if an order for the data centre or a takeover of the lease commits first.
    pub fn start(
        &self,
        start: JobStart<'_>,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        let JobStart {
            attempt,
            placement,
            guaranteed,
            centre,
        } = start;
        self.check_start(attempt, &placement, centre, guard)?;
        let mut record = self.apply_event(JobEvent::Start, write_id)?;
        record.attempt = attempt;
        record.placement = placement;
        record.guaranteed = guaranteed;
        let centre_key = RowKey::Centre(guard.data_centre.clone());
        let transaction = guard
            .add_check(self.begin(write_id))
            .check(centre_key, Versioned::version_of(centre));
        Ok(planned(record, transaction))
    }

    /// Plans to record that every member runs. The write is optional: changes that end the attempt imply it.
    pub fn confirm(
        &self,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        self.check_centre(guard)?;
        let record = self.apply_event(JobEvent::Confirm, write_id)?;
        Ok(planned(record, guard.add_check(self.begin(write_id))))
    }

    /// Plans to requeue the job, with the checkpoint that the next attempt resumes from.
    pub fn requeue(
        &self,
        reason: RequeueReason,
        checkpoint: Option<Arc<str>>,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        self.check_centre(guard)?;
        self.check_not_cancelled()?;
        let event = JobEvent::Requeue(reason);
        let mut record = match reason {
            RequeueReason::Checkpointed => self.apply_running_event(event, write_id)?,
            RequeueReason::Unstarted | RequeueReason::Lost => self.apply_event(event, write_id)?,
        };
        record.placement.clear();
        record.may_have_run |= reason != RequeueReason::Unstarted;
        record.checkpoint = checkpoint.or(record.checkpoint);
        Ok(planned(record, guard.add_check(self.begin(write_id))))
    }

    /// Plans to record the final outcome and to delete the index entry and notice of the job.
    pub fn finish(
        &self,
        ending: JobEnding,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        self.check_centre(guard)?;
        let mut record = match &ending {
            JobEnding::Ran(_) => self.apply_running_event(JobEvent::Finish, write_id)?,
            JobEnding::Refused(_) => self.apply_event(JobEvent::Refuse, write_id)?,
            JobEnding::Voided(_) => self.apply_event(JobEvent::Void, write_id)?,
            JobEnding::Unknown(reason) => self.apply_event(JobEvent::Doubt(*reason), write_id)?,
        };
        record.outcome = Some(outcome_of(ending));
        let transaction = record.delete_index_entry(guard.add_check(self.begin(write_id)));
        let transaction = record.delete_notice(transaction);
        Ok(planned(record, transaction))
    }

    /// Plans a cancellation and a notice to the holder.
    ///
    /// A queued job ends at once. A started job is only marked, and the holder ends it.
    pub fn cancel(&self, write_id: WriteId) -> Result<PlannedChange<JobRecord>, JobError> {
        let mut transaction = self.begin(write_id);
        let record = if self.record.state == JobState::Queued {
            let record = self.cancel_queued(write_id)?;
            transaction = record.delete_index_entry(transaction);
            record
        } else {
            self.request_cancel(write_id)?
        };
        let transaction = record.put_notice(transaction, JobNotice::Cancelled);
        Ok(planned(record, transaction))
    }

    /// Plans to move a queued job to another data centre.
    ///
    /// A placement holder passes its guard. Any entry VM may move a queued job of an unreachable holder
    /// without a guard: a start by that holder checks the same row version, so only one of them commits.
    pub fn move_to(
        &self,
        target: CentreName,
        guard: Option<&HolderGuard>,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        let mut transaction = self.begin(write_id);
        if let Some(guard) = guard {
            self.check_centre(guard)?;
            transaction = guard.add_check(transaction);
        }
        let mut record = self.apply_event(JobEvent::Move, write_id)?;
        transaction = self.record.delete_index_entry(transaction);
        transaction = self.record.delete_notice(transaction);
        record.data_centre = target;
        let transaction = record.put_notice(transaction, JobNotice::Assigned);
        Ok(planned(record, transaction))
    }

    fn begin(&self, write_id: WriteId) -> TableTransaction {
        TableTransaction::new(write_id).check(RowKey::Job(self.record.job), self.version)
    }

    fn apply_event(&self, event: JobEvent, write_id: WriteId) -> Result<JobRecord, JobError> {
        let state = self.record.lifecycle().next(self.record.state, event)?;
        Ok(JobRecord {
            state,
            write_id,
            ..self.record.clone()
        })
    }

    /// Applies an event of a running job; the row may still be `Starting`, as the confirmation is optional.
    fn apply_running_event(&self, event: JobEvent, write_id: WriteId) -> Result<JobRecord, JobError> {
        if self.record.state != JobState::Starting {
            return self.apply_event(event, write_id);
        }
        let running = self.apply_event(JobEvent::Confirm, write_id)?;
        Self::new(running, self.version).apply_event(event, write_id)
    }

    fn cancel_queued(&self, write_id: WriteId) -> Result<JobRecord, JobError> {
        let (event, outcome) = if self.record.may_have_run {
            let reason = UnknownReason::CancelledRunning;
            (JobEvent::Doubt(reason), FinalOutcome::Unknown { reason })
        } else {
            let reason = RefusalReason::Cancelled;
            (JobEvent::Refuse, FinalOutcome::NotRun { reason })
        };
        let mut record = self.apply_event(event, write_id)?;
        record.outcome = Some(outcome);
        Ok(record)
    }

    fn request_cancel(&self, write_id: WriteId) -> Result<JobRecord, JobError> {
        self.check_not_cancelled()?;
        let mut record = self.apply_event(JobEvent::RequestCancel, write_id)?;
        record.cancel_requested = true;
        Ok(record)
    }

    fn check_centre(&self, guard: &HolderGuard) -> Result<(), JobError> {
        snafu::ensure!(
            self.record.data_centre == guard.data_centre,
            WrongCentreSnafu {
                job: self.record.job,
                data_centre: self.record.data_centre.clone(),
                holder: guard.data_centre.clone(),
            }
        );
        Ok(())
    }

    fn check_not_cancelled(&self) -> Result<(), JobError> {
        let job = self.record.job;
        snafu::ensure!(!self.record.cancel_requested, CancelledSnafu { job });
        Ok(())
    }

    fn check_start(
        &self,
        attempt: AttemptNumber,
        placement: &[PlacedMember],
        centre: Option<&Versioned<CentreRecord>>,
        guard: &HolderGuard,
    ) -> Result<(), JobError> {
        self.check_centre(guard)?;
        self.check_not_cancelled()?;
        let JobRecord {
            job,
            attempt: last,
            spec,
            data_centre,
            ..
        } = &self.record;
        let (job, last) = (*job, *last);
        snafu::ensure!(
            centre.is_none_or(|centre| centre.record.permits_start()),
            StartForbiddenSnafu {
                data_centre: data_centre.clone()
            }
        );
        snafu::ensure!(attempt > last, AttemptUsedSnafu { job, attempt, last });
        let (members, tasks) = (placement.len(), spec.shape.tasks);
        snafu::ensure!(
            members == tasks as usize,
            WrongPlacementSnafu { job, members, tasks }
        );
        Ok(())
    }
}

fn planned(record: JobRecord, transaction: TableTransaction) -> PlannedChange<JobRecord> {
    PlannedChange {
        transaction: record.put_row(transaction),
        record,
    }
}

fn outcome_of(ending: JobEnding) -> FinalOutcome {
    match ending {
        JobEnding::Ran(result) => FinalOutcome::Ran { result },
        JobEnding::Refused(reason) | JobEnding::Voided(reason) => FinalOutcome::NotRun { reason },
        JobEnding::Unknown(reason) => FinalOutcome::Unknown { reason },
    }
}
