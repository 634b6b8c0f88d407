use std::sync::Arc;

use arbutuspick_model::{
    AccountName, AttemptNumber, CallerKey, CentreName, FinalOutcome, JobId, JobSpec, PlatformTime,
    RefusalReason, ResultRef, UnknownReason, WorkerName, WriteId,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{
    BodyDigest, InboxRecord, JobLifecycle, JobNotice, JobState, KeyRecord, PlannedChange, RowKey, RowVersion,
    TableTransaction, TransitionError,
};

/// Placement of one gang member; lists are in the order of member indices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedMember {
    /// Worker.
    pub worker: WorkerName,
    /// Bit mask of the worker's accelerators.
    pub accelerators: u8,
}

/// Row `job/{job}`: a job and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Job.
    pub job: JobId,
    /// Client account.
    pub account: AccountName,
    /// Specification.
    pub spec: JobSpec,
    /// Idempotency key of the submission, if the caller chose one.
    pub caller_key: Option<CallerKey>,
    /// Digest of the submission.
    pub body_digest: BodyDigest,
    /// Data centre whose placement holder is responsible for the job.
    pub data_centre: CentreName,
    /// State.
    pub state: JobState,
    /// Number of the last attempt that was started, 0 before the first.
    pub attempt: AttemptNumber,
    /// Gang members of the attempt; empty while the job is queued.
    #[serde(default)]
    pub placement: Vec<PlacedMember>,
    /// Whether the attempt runs on the account's guaranteed capacity. Stored so that a later placement holder
    /// does not preempt it.
    #[serde(default)]
    pub guaranteed: bool,
    /// Object prefix of the checkpoint that the next attempt resumes from.
    pub checkpoint: Option<Arc<str>>,
    /// Whether an earlier attempt may have run; if so, the job never ends as [`JobState::NotRun`].
    #[serde(default)]
    pub may_have_run: bool,
    /// Whether the caller cancelled the job after it was started.
    #[serde(default)]
    pub cancel_requested: bool,
    /// Time of the submission.
    pub submitted_at: PlatformTime,
    /// Outcome, present in final states only.
    pub outcome: Option<FinalOutcome>,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// A job to submit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSubmission {
    /// Job, generated before the first write.
    pub job: JobId,
    /// Specification.
    pub spec: JobSpec,
    /// Idempotency key, if the caller chose one.
    pub caller_key: Option<CallerKey>,
    /// Digest of the submission.
    pub body_digest: BodyDigest,
    /// Data centre that the job is assigned to.
    pub data_centre: CentreName,
    /// Current platform time.
    pub now: PlatformTime,
    /// Time after which the row of the idempotency key may be deleted.
    pub delete_key_after: PlatformTime,
}

/// How a placement holder ends a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEnding {
    /// Every member finished in the same attempt, and the result is stored.
    Ran(ResultRef),
    /// The job was queued; nothing was sent to a worker.
    Refused(RefusalReason),
    /// Every member of the attempt proved by `void` that it had not started.
    Voided(RefusalReason),
    /// The job may have run.
    Unknown(UnknownReason),
}

/// Reason why a change of a job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum JobError {
    /// The state does not allow the change.
    #[snafu(transparent)]
    Transition {
        /// Refused transition.
        source: TransitionError,
    },
    /// The job is assigned to another data centre.
    #[snafu(display("job {job} is assigned to data centre {data_centre}, not to {holder}"))]
    WrongCentre {
        /// Job.
        job: JobId,
        /// Data centre of the job.
        data_centre: CentreName,
        /// Data centre of the placement holder.
        holder: CentreName,
    },
    /// The data centre permits no starts.
    #[snafu(display("data centre {data_centre} permits no starts"))]
    StartForbidden {
        /// Data centre.
        data_centre: CentreName,
    },
    /// The job is cancelled, so it is neither started nor requeued.
    #[snafu(display("job {job} is cancelled"))]
    Cancelled {
        /// Job.
        job: JobId,
    },
    /// The attempt number was already used.
    #[snafu(display("attempt {attempt} of job {job} must be higher than {last}"))]
    AttemptUsed {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: AttemptNumber,
        /// Last attempt in the row.
        last: AttemptNumber,
    },
    /// The placement does not have one member per task.
    #[snafu(display("placement of job {job} has {members} members for {tasks} tasks"))]
    WrongPlacement {
        /// Job.
        job: JobId,
        /// Members of the placement.
        members: usize,
        /// Tasks of the gang.
        tasks: u32,
    },
    /// The notice is for another job.
    #[snafu(display("notice for job {notice} does not concern job {job}"))]
    WrongNotice {
        /// Job.
        job: JobId,
        /// Job of the notice.
        notice: JobId,
    },
}

impl JobRecord {
    /// Plans the submission of a job: writes its idempotency key, the job and the notice to its holder.
    ///
    /// ```
    /// use arbutuspick_model::{AccountName, CentreName, JobId, JobSpec, PlatformTime, WriteId};
    /// use arbutuspick_records::memory::MemoryTable;
    /// use arbutuspick_records::{BodyDigest, CommitResult, JobRecord, JobSubmission};
    /// let submission = JobSubmission {
    ///     job: JobId::generate(),
    ///     spec: JobSpec::new(AccountName::try_from("parks")?),
    ///     caller_key: None,
    ///     body_digest: BodyDigest::of(&[b"{}"]),
    ///     data_centre: CentreName::try_from("trent")?,
    ///     now: PlatformTime(0),
    ///     delete_key_after: PlatformTime(86_400_000),
    /// };
    /// let change = JobRecord::submit(submission, WriteId::generate());
    /// let result = MemoryTable::default().commit(&change.transaction);
    /// assert!(matches!(result, CommitResult::Committed { .. }));
    /// # Ok::<(), arbutuspick_model::FieldError>(())
    /// ```
    pub fn submit(submission: JobSubmission, write_id: WriteId) -> PlannedChange<Self> {
        let JobSubmission {
            job,
            spec,
            caller_key,
            body_digest,
            data_centre,
            now,
            delete_key_after,
        } = submission;
        let record = Self {
            job,
            account: spec.account.clone(),
            spec,
            caller_key,
            body_digest,
            data_centre,
            state: JobState::Queued,
            attempt: AttemptNumber::default(),
            placement: Vec::new(),
            guaranteed: false,
            checkpoint: None,
            may_have_run: false,
            cancel_requested: false,
            submitted_at: now,
            outcome: None,
            write_id,
        };
        let mut transaction = TableTransaction::new(write_id);
        if let Some(key) = record.caller_row_key() {
            let value = KeyRecord::for_job(job, body_digest, delete_key_after, write_id);
            transaction = transaction
                .check(key.clone(), RowVersion::ABSENT)
                .put(key, encode(&value));
        }
        transaction = record.put_row(transaction.check(RowKey::Job(job), RowVersion::ABSENT));
        PlannedChange {
            transaction: record.put_notice(transaction, JobNotice::Assigned),
            record,
        }
    }

    /// Returns the state machine of the job.
    pub fn lifecycle(&self) -> JobLifecycle {
        JobLifecycle::new(self.spec.idempotent, self.may_have_run)
    }

    /// Returns the row key of the caller's idempotency key.
    pub fn caller_row_key(&self) -> Option<Arc<str>> {
        let key = self.caller_key.clone()?;
        Some(RowKey::Key(self.account.clone(), key).into())
    }

    /// Adds the write of the job row.
    pub(crate) fn put_row(&self, transaction: TableTransaction) -> TableTransaction {
        transaction.put(RowKey::Job(self.job), encode(self))
    }

    /// Adds the write of a notice to the holder of the job's data centre.
    pub(crate) fn put_notice(&self, transaction: TableTransaction, notice: JobNotice) -> TableTransaction {
        let record = InboxRecord {
            job: self.job,
            notice,
            write_id: self.write_id,
        };
        transaction.put(RowKey::Inbox(self.data_centre.clone(), self.job), encode(&record))
    }

    /// Adds the deletion of the job's index entry in its data centre.
    pub(crate) fn delete_index_entry(&self, transaction: TableTransaction) -> TableTransaction {
        transaction.delete(RowKey::Placed(self.data_centre.clone(), self.job))
    }

    /// Adds the deletion of the notice in the job's data centre.
    pub(crate) fn delete_notice(&self, transaction: TableTransaction) -> TableTransaction {
        transaction.delete(RowKey::Inbox(self.data_centre.clone(), self.job))
    }
}
