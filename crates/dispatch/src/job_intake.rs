use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{JobBody, JobRecord, JobStage};
use bytes::Bytes;
use prost::Message;

use crate::BootClock;
use crate::intake_key::{REQUEST_RETENTION_MS, cancel_key, withdrawal_key};
use crate::leader_record::{INTAKE_TABLE, PROGRESS_TABLE};
use crate::open_submissions::OpenSubmissions;
use crate::row_store::{
    RowCondition, RowEntry, RowStore, RowTransaction, RowWrite, StoreError, TransactOutcome,
};
use crate::withdrawal_budget::WithdrawalBudget;

/// Timeouts and retry limits of calls on behalf of waiting callers.
#[derive(Clone, Debug)]
pub struct IntakeOptions {
    /// Timeout after which a call to the store is retried, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// Delay before a retry, in milliseconds.
    pub retry_delay_ms: u64,
    /// Number of calls without an answer after which a request fails, so that its caller can try another VM.
    pub max_unanswered: u32,
    /// Number of refusals by the store after which a request is rejected, if all calls were answered.
    pub max_refusals: u32,
    /// Maximum number of withdrawals of a client account that are in force through this process; see
    /// [`CancelOutcome::TooMany`].
    pub max_withdrawals: usize,
    /// Maximum size of a stored job body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for IntakeOptions {
    fn default() -> Self {
        Self {
            attempt_timeout_ms: 700,
            retry_delay_ms: 60,
            max_unanswered: 2,
            max_refusals: 2,
            max_withdrawals: 1_000,
            max_body_bytes: 65_536,
        }
    }
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored, by this request or an earlier one.
    Accepted {
        /// Whether an earlier request stored it.
        repeated: bool,
    },
    /// A job with this id but a different body exists.
    BodyMismatch,
    /// The client account has cancelled the job before it was stored. It is not stored and will not be.
    Withdrawn,
    /// The body does not fit a row of the store, so the job is never stored.
    TooLarge,
    /// The job is not stored, and no request through this process will store it later.
    NotStored,
    /// The job may have been stored; the same request can safely be repeated.
    Indeterminate,
}

/// Outcome of a status request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusOutcome {
    /// The job exists.
    Known {
        /// Stage of the job.
        stage: JobStage,
        /// Client account that owns the job.
        account: Arc<str>,
    },
    /// No such job.
    Unknown,
    /// The store did not answer in time, or the record of the job cannot be decoded.
    Unavailable,
}

/// Outcome of a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The request is stored, or the job has ended.
    Accepted,
    /// No such job, and a submission of the client account that is still being stored will have no effect.
    Unknown,
    /// No such job, but the client account has cancelled too many unknown jobs; a submission that is still being
    /// stored may take effect.
    TooMany {
        /// Maximum number of such requests.
        limit: usize,
        /// Period to which the limit applies, in milliseconds.
        period_ms: u64,
    },
    /// The request had no effect: the store refused it, or the record of the job cannot be read.
    Unavailable,
    /// The request may be stored; it can safely be repeated.
    Indeterminate,
}

/// Outcome of a transaction with retries.
enum WriteOutcome {
    Committed,
    Conflict(Vec<RowEntry>),
    /// The transaction was not applied and will not be.
    NotStored,
    Indeterminate,
}

/// Stores jobs and cancel requests and reads the stage of jobs; works on every process, leader or not.
#[derive(Clone, Debug)]
pub struct JobIntake<S> {
    store: S,
    clock: BootClock,
    options: IntakeOptions,
    withdrawals: Arc<WithdrawalBudget>,
    open_submissions: Arc<OpenSubmissions>,
}

impl<S> JobIntake<S>
where
    S: RowStore,
{
    /// Returns a job intake on top of a store.
    pub fn new(store: S, clock: BootClock, options: IntakeOptions) -> Self {
        Self {
            store,
            clock,
            withdrawals: Arc::new(WithdrawalBudget::new(options.max_withdrawals)),
            open_submissions: Arc::default(),
            options,
        }
    }

    /// Stores a job unless a job with this id exists or its client account has withdrawn it.
    ///
    /// The transaction requires that the job has no record, so a retry after a lost answer stores it only
    /// once.
    pub async fn submit(&self, id: &str, body: &JobBody, deadline: ClockTime) -> SubmitOutcome {
        if body.encoded_len() > self.options.max_body_bytes {
            return SubmitOutcome::TooLarge;
        }
        let transaction = submit_transaction(id, body);
        match self.write("submit", id, &transaction, deadline).await {
            WriteOutcome::Committed => SubmitOutcome::Accepted { repeated: false },
            WriteOutcome::Conflict(rows) => conflict_outcome(&rows, body.body_hash),
            // An earlier submission of the job may still be carried out.
            WriteOutcome::NotStored if self.open_submissions.contains(id, self.clock.now()) => {
                SubmitOutcome::Indeterminate
            }
            WriteOutcome::NotStored => SubmitOutcome::NotStored,
            WriteOutcome::Indeterminate => {
                self.open_submissions.insert(id, self.clock.now());
                SubmitOutcome::Indeterminate
            }
        }
    }

    /// Applies a transaction; retries after a lost answer or a refusal.
    async fn write(
        &self,
        purpose: &'static str,
        id: &str,
        transaction: &RowTransaction,
        deadline: ClockTime,
    ) -> WriteOutcome {
        let mut unanswered = 0;
        let mut refusals = 0;
        loop {
            let now = self.clock.now();
            if now >= deadline || unanswered >= self.options.max_unanswered {
                return if unanswered > 0 {
                    WriteOutcome::Indeterminate
                } else {
                    WriteOutcome::NotStored
                };
            }
            let attempt_deadline = deadline.min(now + self.options.attempt_timeout_ms);
            match self.store.transact(transaction, attempt_deadline).await {
                Ok(TransactOutcome::Committed { .. }) => return WriteOutcome::Committed,
                Ok(TransactOutcome::Conflict { rows }) => return WriteOutcome::Conflict(rows),
                Err(StoreError::Indeterminate { message }) => {
                    log::warn!("[{purpose}] job={id} store=unclear error={message}");
                    unanswered += 1;
                }
                Err(StoreError::NotExecuted { message }) => {
                    refusals += 1;
                    if unanswered == 0 && refusals >= self.options.max_refusals {
                        log::warn!("[{purpose}] job={id} store=refused error={message}");
                        return WriteOutcome::NotStored;
                    }
                }
            }
            self.wait_for_retry(deadline).await;
        }
    }

    /// Reads the stage of a job.
    pub async fn status(&self, id: &str, deadline: ClockTime) -> StatusOutcome {
        let mut failures = 0;
        loop {
            let now = self.clock.now();
            if now >= deadline || failures >= self.options.max_unanswered {
                return StatusOutcome::Unavailable;
            }
            let attempt_deadline = deadline.min(now + self.options.attempt_timeout_ms);
            match self.store.read(PROGRESS_TABLE, id, 1, attempt_deadline).await {
                Ok(page) => return status_of(id, page.rows.first()),
                Err(error) => log::debug!("[status] job={id} error={error}"),
            }
            failures += 1;
            self.wait_for_retry(deadline).await;
        }
    }

    /// Stores a request to cancel a job. A job of another client account is reported as unknown.
    ///
    /// A job that is not stored may be on its way: its submission got no answer, and the store carries it out later. So the
    /// answer that there is no such job is given only once a withdrawal is stored, which makes such a submission fail.
    pub async fn cancel(&self, id: &str, account: Option<&str>, deadline: ClockTime) -> CancelOutcome {
        loop {
            match self.status(id, deadline).await {
                StatusOutcome::Unknown => {
                    let withdrawn = self.withdraw(id, account.unwrap_or_default(), deadline).await;
                    if let Some(outcome) = withdrawn {
                        return outcome;
                    }
                    // The job has been stored since its stage was read.
                }
                StatusOutcome::Unavailable => return CancelOutcome::Unavailable,
                StatusOutcome::Known { account: owner, .. }
                    if account.is_some_and(|caller| caller != owner.as_ref()) =>
                {
                    return CancelOutcome::Unknown;
                }
                StatusOutcome::Known { stage, .. } if stage.is_final() => return CancelOutcome::Accepted,
                StatusOutcome::Known { .. } => return self.request_cancel(id, deadline).await,
            }
        }
    }

    async fn request_cancel(&self, id: &str, deadline: ClockTime) -> CancelOutcome {
        let transaction = RowTransaction {
            conditions: Vec::new(),
            writes: vec![request_row(cancel_key(id))],
        };
        match self.write("cancel", id, &transaction, deadline).await {
            WriteOutcome::Committed => CancelOutcome::Accepted,
            WriteOutcome::Conflict(_) => {
                log::error!("[cancel] job={id} unexpected conflict in a transaction without conditions");
                CancelOutcome::Unavailable
            }
            WriteOutcome::NotStored => CancelOutcome::Unavailable,
            WriteOutcome::Indeterminate => CancelOutcome::Indeterminate,
        }
    }

    /// Stores that a client account has withdrawn a job; returns `None` if the job is stored by now.
    async fn withdraw(&self, id: &str, account: &str, deadline: ClockTime) -> Option<CancelOutcome> {
        if !self.withdrawals.take(account, self.clock.now()) {
            log::warn!("[cancel] job={id} account={account} refused cause=too many withdrawals");
            return Some(CancelOutcome::TooMany {
                limit: self.options.max_withdrawals,
                period_ms: REQUEST_RETENTION_MS,
            });
        }
        let transaction = RowTransaction {
            conditions: vec![absent_row(PROGRESS_TABLE, id.into())],
            writes: vec![request_row(withdrawal_key(id, account))],
        };
        match self.write("withdraw", id, &transaction, deadline).await {
            WriteOutcome::Committed => Some(CancelOutcome::Unknown),
            WriteOutcome::Conflict(_) => None,
            WriteOutcome::NotStored => Some(CancelOutcome::Unavailable),
            WriteOutcome::Indeterminate => Some(CancelOutcome::Indeterminate),
        }
    }

    async fn wait_for_retry(&self, deadline: ClockTime) {
        let remaining_ms = deadline.millis_since(self.clock.now());
        tokio::time::sleep(Duration::from_millis(
            self.options.retry_delay_ms.min(remaining_ms),
        ))
        .await;
    }
}

fn submit_transaction(id: &str, body: &JobBody) -> RowTransaction {
    let record = JobRecord {
        stage: JobStage::Queued.into(),
        account: body.account.clone(),
        queue: body.queue.clone(),
        body_hash: body.body_hash,
        released: 0,
        occurrences: Vec::new(),
        has_begun: false,
        remaining: Vec::new(),
        ended_at_ms: 0,
    };
    RowTransaction {
        conditions: vec![
            absent_row(PROGRESS_TABLE, id.into()),
            absent_row(INTAKE_TABLE, withdrawal_key(id, &body.account)),
        ],
        writes: vec![
            RowWrite {
                table: PROGRESS_TABLE,
                key: id.into(),
                value: Some(record.encode_to_vec().into()),
            },
            RowWrite {
                table: INTAKE_TABLE,
                key: id.into(),
                value: Some(body.encode_to_vec().into()),
            },
        ],
    }
}

/// Returns the condition that a row does not exist.
fn absent_row(table: &'static str, key: Arc<str>) -> RowCondition {
    RowCondition {
        table,
        key,
        version: 0,
    }
}

/// Returns a request that consists of its key.
fn request_row(key: Arc<str>) -> RowWrite {
    RowWrite {
        table: INTAKE_TABLE,
        key,
        value: Some(Bytes::from_static(b"1")),
    }
}

fn conflict_outcome(rows: &[RowEntry], body_hash: u64) -> SubmitOutcome {
    let value_in = |table: &str| {
        let mut rows = rows.iter().filter(|row| row.table.as_ref() == table);
        rows.find_map(|row| row.value.clone())
    };
    match value_in(PROGRESS_TABLE).map(JobRecord::decode) {
        Some(Ok(record)) if record.body_hash == body_hash => SubmitOutcome::Accepted { repeated: true },
        Some(Ok(_)) => SubmitOutcome::BodyMismatch,
        Some(Err(error)) => {
            log::error!("[submit] cannot decode a job record: {error}");
            SubmitOutcome::Indeterminate
        }
        None if value_in(INTAKE_TABLE).is_some() => SubmitOutcome::Withdrawn,
        // The row was removed after the conflict was detected.
        None => SubmitOutcome::Indeterminate,
    }
}

fn status_of(id: &str, row: Option<&RowEntry>) -> StatusOutcome {
    let Some(value) = row
        .filter(|row| row.key.as_ref() == id)
        .and_then(|row| row.value.as_ref())
    else {
        return StatusOutcome::Unknown;
    };
    match JobRecord::decode(value.clone()) {
        Ok(record) => StatusOutcome::Known {
            stage: record.stage(),
            account: record.account.as_str().into(),
        },
        Err(error) => {
            log::error!("[status] job={id} cannot decode its record: {error}");
            StatusOutcome::Unavailable
        }
    }
}
