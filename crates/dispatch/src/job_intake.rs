use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{JobBody, JobRecord, JobStage};
use bytes::Bytes;
use prost::Message;

use crate::BootClock;
use crate::leader_record::{CANCEL_SUFFIX, INTAKE_TABLE, PROGRESS_TABLE};
use crate::row_store::{
    RowCondition, RowEntry, RowStore, RowTransaction, RowWrite, StoreError, TransactOutcome,
};

/// Timeouts and retry limits of calls on behalf of waiting callers.
#[derive(Clone, Debug)]
pub struct IntakeOptions {
    /// Timeout after which a call to the store is retried, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// Delay before a retry, in milliseconds.
    pub retry_delay_ms: u64,
    /// Number of calls without an answer after which a request fails, so that its caller can try another VM.
    pub max_unanswered: u32,
    /// Number of refusals by the store after which a submission is rejected, if all calls were answered.
    pub max_refusals: u32,
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
    /// The body does not fit a row of the store, so the job is never stored.
    TooLarge,
    /// This request has not stored the job and will not store it later.
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
    /// No such job.
    Unknown,
    /// The store did not answer in time, or the record of the job cannot be decoded.
    Unavailable,
}

/// Stores jobs and cancel requests and reads the stage of jobs; works on every process, leader or not.
#[derive(Clone, Debug)]
pub struct JobIntake<S> {
    store: S,
    clock: BootClock,
    options: IntakeOptions,
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
            options,
        }
    }

    /// Stores a job unless a job with this id exists.
    ///
    /// The transaction requires that the job has no record, so a retry after a lost answer stores it only
    /// once.
    pub async fn submit(&self, id: &str, body: &JobBody, deadline: ClockTime) -> SubmitOutcome {
        if body.encoded_len() > self.options.max_body_bytes {
            return SubmitOutcome::TooLarge;
        }
        let transaction = submit_transaction(id, body);
        let mut unanswered = 0;
        let mut refusals = 0;
        loop {
            let now = self.clock.now();
            if now >= deadline || unanswered >= self.options.max_unanswered {
                return if unanswered > 0 {
                    SubmitOutcome::Indeterminate
                } else {
                    SubmitOutcome::NotStored
                };
            }
            let attempt_deadline = deadline.min(now + self.options.attempt_timeout_ms);
            match self.store.transact(&transaction, attempt_deadline).await {
                Ok(TransactOutcome::Committed { .. }) => return SubmitOutcome::Accepted { repeated: false },
                Ok(TransactOutcome::Conflict { rows }) => return conflict_outcome(&rows, body.body_hash),
                Err(StoreError::Indeterminate { message }) => {
                    log::warn!("[submit] job={id} store=unclear error={message}");
                    unanswered += 1;
                }
                Err(StoreError::NotExecuted { message }) => {
                    refusals += 1;
                    if unanswered == 0 && refusals >= self.options.max_refusals {
                        log::warn!("[submit] job={id} store=refused error={message}");
                        return SubmitOutcome::NotStored;
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
    pub async fn cancel(&self, id: &str, account: Option<&str>, deadline: ClockTime) -> CancelOutcome {
        match self.status(id, deadline).await {
            StatusOutcome::Unknown => return CancelOutcome::Unknown,
            StatusOutcome::Unavailable => return CancelOutcome::Unavailable,
            StatusOutcome::Known { account: owner, .. }
                if account.is_some_and(|caller| caller != owner.as_ref()) =>
            {
                return CancelOutcome::Unknown;
            }
            StatusOutcome::Known { stage, .. } if stage.is_final() => return CancelOutcome::Accepted,
            StatusOutcome::Known { .. } => {}
        }
        let transaction = RowTransaction {
            conditions: Vec::new(),
            writes: vec![RowWrite {
                table: INTAKE_TABLE,
                key: format!("{id}{CANCEL_SUFFIX}").into(),
                value: Some(Bytes::from_static(b"1")),
            }],
        };
        let mut failures = 0;
        loop {
            let now = self.clock.now();
            if now >= deadline || failures >= self.options.max_unanswered {
                return CancelOutcome::Unavailable;
            }
            let attempt_deadline = deadline.min(now + self.options.attempt_timeout_ms);
            match self.store.transact(&transaction, attempt_deadline).await {
                Ok(TransactOutcome::Committed { .. }) => return CancelOutcome::Accepted,
                Ok(TransactOutcome::Conflict { .. }) => {
                    log::error!("[cancel] job={id} unexpected conflict in a transaction without conditions");
                }
                Err(error) => log::warn!("[cancel] job={id} error={error}"),
            }
            failures += 1;
            self.wait_for_retry(deadline).await;
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
    };
    RowTransaction {
        conditions: vec![RowCondition {
            table: PROGRESS_TABLE,
            key: id.into(),
            version: 0,
        }],
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

fn conflict_outcome(rows: &[RowEntry], body_hash: u64) -> SubmitOutcome {
    let value = rows.first().and_then(|row| row.value.as_ref());
    match value.map(|value| JobRecord::decode(value.clone())) {
        Some(Ok(record)) if record.body_hash == body_hash => SubmitOutcome::Accepted { repeated: true },
        Some(Ok(_)) => SubmitOutcome::BodyMismatch,
        Some(Err(error)) => {
            log::error!("[submit] cannot decode a job record: {error}");
            SubmitOutcome::Indeterminate
        }
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
