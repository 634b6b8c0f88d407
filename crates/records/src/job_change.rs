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

/// An attempt that the placement holder wants to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStart<'a> {
    /// Number of the attempt, higher than every one that was prepared before.
    pub attempt: AttemptNumber,
    /// Members, one for each task.
    pub placement: Vec<PlacedMember>,
    /// Whether the attempt uses the account's guarantee.
    pub guaranteed: bool,
    /// Row `dc/{dc}`, if it exists.
    pub centre: Option<&'a Versioned<CentreRecord>>,
}

/// Changes of a job that was read from the table.
impl Versioned<JobRecord> {
    /// Plans to take up a notice: deletes it and keeps the index entry only while the job is unfinished here.
    pub fn take_up(
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
            .protect(self.begin(write_id))
            .check(&inbox, notice.version)
            .delete(&inbox);
        if state.is_final() || *data_centre != guard.data_centre {
            return Ok(transaction.delete(placed));
        }
        let entry = PlacedRecord { job: *job, write_id };
        Ok(transaction.put(placed, encode(&entry)))
    }

    /// Plans the start of an attempt, which no order to leave and no other holder may precede.
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
        let mut record = self.after(JobEvent::Start, write_id)?;
        record.attempt = attempt;
        record.placement = placement;
        record.guaranteed = guaranteed;
        let centre_key = RowKey::Centre(guard.data_centre.clone());
        let transaction = guard
            .protect(self.begin(write_id))
            .check(centre_key, Versioned::version_of(centre));
        Ok(planned(record, transaction))
    }

    /// Plans to record that every member runs. The write may be skipped: ends of an attempt include it.
    pub fn confirm(
        &self,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        self.check_centre(guard)?;
        let record = self.after(JobEvent::Confirm, write_id)?;
        Ok(planned(record, guard.protect(self.begin(write_id))))
    }

    /// Plans to queue the job again, with the checkpoint that the next attempt resumes from.
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
            RequeueReason::Checkpointed => self.after_confirmed(event, write_id)?,
            RequeueReason::Unstarted | RequeueReason::Lost => self.after(event, write_id)?,
        };
        record.placement.clear();
        record.may_have_run |= reason != RequeueReason::Unstarted;
        record.checkpoint = checkpoint.or(record.checkpoint);
        Ok(planned(record, guard.protect(self.begin(write_id))))
    }

    /// Plans the final outcome and deletes the index entry of the job.
    pub fn finish(
        &self,
        ending: JobEnding,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        self.check_centre(guard)?;
        let mut record = match &ending {
            JobEnding::Ran(_) => self.after_confirmed(JobEvent::Finish, write_id)?,
            JobEnding::Refused(_) => self.after(JobEvent::Refuse, write_id)?,
            JobEnding::Voided(_) => self.after(JobEvent::Void, write_id)?,
            JobEnding::Doubtful(reason) => self.after(JobEvent::Doubt(*reason), write_id)?,
        };
        record.outcome = Some(outcome_of(ending));
        let transaction = record.unplace(guard.protect(self.begin(write_id)));
        let transaction = record.forget_notice(transaction);
        Ok(planned(record, transaction))
    }

    /// Plans a cancellation: a queued job ends, a started job is left to its holder, which gets a notice.
    pub fn cancel(&self, write_id: WriteId) -> Result<PlannedChange<JobRecord>, JobError> {
        let mut transaction = self.begin(write_id);
        let record = if self.record.state == JobState::Queued {
            let record = self.cancelled(write_id)?;
            transaction = record.unplace(transaction);
            record
        } else {
            self.cancel_requested(write_id)?
        };
        let transaction = record.notify(transaction, JobNotice::Cancelled);
        Ok(planned(record, transaction))
    }

    /// Plans to move a queued job to another data centre.
    ///
    /// A placement holder that moves its own job gives its guard. Any entry VM may move a queued job of an
    /// unreachable holder without one, because a start of that holder needs the same version of the row.
    pub fn move_to(
        &self,
        target: CentreName,
        guard: Option<&HolderGuard>,
        write_id: WriteId,
    ) -> Result<PlannedChange<JobRecord>, JobError> {
        let mut transaction = self.begin(write_id);
        if let Some(guard) = guard {
            self.check_centre(guard)?;
            transaction = guard.protect(transaction);
        }
        let mut record = self.after(JobEvent::Move, write_id)?;
        transaction = self.record.unplace(transaction);
        transaction = self.record.forget_notice(transaction);
        record.data_centre = target;
        let transaction = record.notify(transaction, JobNotice::Assigned);
        Ok(planned(record, transaction))
    }

    fn begin(&self, write_id: WriteId) -> TableTransaction {
        TableTransaction::new(write_id).check(RowKey::Job(self.record.job), self.version)
    }

    fn after(&self, event: JobEvent, write_id: WriteId) -> Result<JobRecord, JobError> {
        let state = self.record.lifecycle().next(self.record.state, event)?;
        Ok(JobRecord {
            state,
            write_id,
            ..self.record.clone()
        })
    }

    /// Returns the record after an event of a running job, when the row may still say "starting".
    fn after_confirmed(&self, event: JobEvent, write_id: WriteId) -> Result<JobRecord, JobError> {
        if self.record.state != JobState::Starting {
            return self.after(event, write_id);
        }
        let running = self.after(JobEvent::Confirm, write_id)?;
        Self::new(running, self.version).after(event, write_id)
    }

    fn cancelled(&self, write_id: WriteId) -> Result<JobRecord, JobError> {
        let (event, outcome) = if self.record.may_have_run {
            let reason = UnknownReason::CancelledRunning;
            (JobEvent::Doubt(reason), FinalOutcome::Unknown { reason })
        } else {
            let reason = RefusalReason::Cancelled;
            (JobEvent::Refuse, FinalOutcome::NotRun { reason })
        };
        let mut record = self.after(event, write_id)?;
        record.outcome = Some(outcome);
        Ok(record)
    }

    fn cancel_requested(&self, write_id: WriteId) -> Result<JobRecord, JobError> {
        self.check_not_cancelled()?;
        let mut record = self.after(JobEvent::RequestCancel, write_id)?;
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
        transaction: record.put_into(transaction),
        record,
    }
}

fn outcome_of(ending: JobEnding) -> FinalOutcome {
    match ending {
        JobEnding::Ran(result) => FinalOutcome::Ran { result },
        JobEnding::Refused(reason) | JobEnding::Voided(reason) => FinalOutcome::NotRun { reason },
        JobEnding::Doubtful(reason) => FinalOutcome::Unknown { reason },
    }
}
