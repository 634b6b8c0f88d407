use std::sync::Arc;

use arbutuspick_model::{AccountName, CallerKey, JobId, PlatformTime, UnknownReason, WriteId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{
    BodyDigest, PlannedChange, ProcessIdentity, RecordedResponse, RowKey, TableTransaction, Versioned,
};

/// Outcome of a request that was sent under a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The upstream answered.
    Answered {
        /// Its response.
        response: RecordedResponse,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Only the claimant may send the request.
    Claimed,
    /// The outcome is final.
    Finished {
        /// Outcome.
        #[serde(flatten)]
        outcome: ClaimOutcome,
    },
    /// The request was not sent, or the upstream reported that it did not run.
    Withdrawn,
}

/// Use of a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "usage", rename_all = "snake_case")]
pub enum KeyUsage {
    /// Submission of a job.
    Job {
        /// Job.
        job: JobId,
    },
    /// A non-idempotent request.
    Claim {
        /// Process that holds or held the claim.
        claimant: ProcessIdentity,
        /// State.
        #[serde(flatten)]
        state: ClaimState,
    },
}

/// Row `key/{account}/{key}`: use of a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Digest of the body that was sent with the key.
    pub digest: BodyDigest,
    /// Use.
    #[serde(flatten)]
    pub usage: KeyUsage,
    /// Time after which the row may be deleted.
    ///
    /// Until then the row makes repeated and delayed transactions conflict, so the time must be far beyond
    /// the longest delay of a transaction.
    pub delete_after: PlatformTime,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// A claim of an idempotency key by an entry VM, for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClaim {
    /// Client account.
    pub account: AccountName,
    /// Idempotency key.
    pub key: CallerKey,
    /// Digest of the request.
    pub digest: BodyDigest,
    /// Process that claims the key.
    pub claimant: ProcessIdentity,
    /// Time after which the row may be deleted.
    pub delete_after: PlatformTime,
    /// Transaction of the claim.
    ///
    /// Tasks of one process may claim the same key concurrently. The id distinguishes their claims, so that
    /// one task does not withdraw the claim under which another sent the request.
    pub write_id: WriteId,
}

/// Reason why a change of a key row is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum ClaimError {
    /// The key was used before with a different body or for a different purpose.
    #[snafu(display("idempotency key was used with a different body"))]
    KeyReused,
    /// The key is claimed or has a recorded outcome.
    #[snafu(display("idempotency key is claimed by {claimant} or has an outcome"))]
    NotClaimable {
        /// Process that holds or held the claim.
        claimant: ProcessIdentity,
    },
    /// The claim belongs to another claimant, or its outcome is recorded.
    #[snafu(display("{claimant} holds no unfinished claim on this idempotency key"))]
    NotHeld {
        /// Process that requested the change.
        claimant: ProcessIdentity,
    },
    /// The retention time of the row has not passed.
    #[snafu(display("row of the idempotency key must be kept until {delete_after}"))]
    TooEarly {
        /// Time after which it may be deleted.
        delete_after: PlatformTime,
    },
}

impl RequestClaim {
    /// Returns the key of the row of the idempotency key.
    pub fn row_key(&self) -> RowKey {
        RowKey::Key(self.account.clone(), self.key.clone())
    }

    fn record(&self, state: ClaimState, write_id: WriteId) -> KeyRecord {
        KeyRecord {
            digest: self.digest,
            usage: KeyUsage::Claim {
                claimant: self.claimant.clone(),
                state,
            },
            delete_after: self.delete_after,
            write_id,
        }
    }

    fn planned(
        &self,
        row: Option<&Versioned<KeyRecord>>,
        state: ClaimState,
        write_id: WriteId,
    ) -> PlannedChange<KeyRecord> {
        let record = self.record(state, write_id);
        let key: Arc<str> = self.row_key().into();
        let transaction = TableTransaction::new(write_id)
            .check(key.clone(), Versioned::version_of(row))
            .put(key, encode(&record));
        PlannedChange { transaction, record }
    }

    /// Plans the claim: the row must be absent or hold a withdrawn claim for the same body.
    ///
    /// The request may be sent only after this transaction is known to have committed.
    pub fn claim(&self, row: Option<&Versioned<KeyRecord>>) -> Result<PlannedChange<KeyRecord>, ClaimError> {
        if let Some(row) = row {
            self.check_claimable(&row.record)?;
        }
        Ok(self.planned(row, ClaimState::Claimed, self.write_id))
    }

    /// Returns whether the row holds this claim without an outcome.
    pub fn holds(&self, row: &KeyRecord) -> bool {
        row.is_claimed_by(&self.claimant) && row.write_id == self.write_id
    }

    /// Plans to record the outcome of the request.
    pub fn finish(
        &self,
        row: &Versioned<KeyRecord>,
        outcome: ClaimOutcome,
        write_id: WriteId,
    ) -> Result<PlannedChange<KeyRecord>, ClaimError> {
        let claimant = &self.claimant;
        snafu::ensure!(
            self.holds(&row.record),
            claim_error::NotHeldSnafu {
                claimant: claimant.clone()
            }
        );
        Ok(self.planned(Some(row), ClaimState::Finished { outcome }, write_id))
    }

    /// Plans to withdraw this claim, whose request did not run; `None` if there is nothing to withdraw.
    ///
    /// An absent row or a withdrawn claim is also overwritten, so that a delayed claim transaction whose
    /// response was lost can no longer commit.
    pub fn withdraw(
        &self,
        row: Option<&Versioned<KeyRecord>>,
        write_id: WriteId,
    ) -> Option<PlannedChange<KeyRecord>> {
        let must_write = match row.map(|row| &row.record) {
            None => true,
            Some(record) => self.holds(record) || record.is_withdrawn() && record.digest == self.digest,
        };
        must_write.then(|| self.planned(row, ClaimState::Withdrawn, write_id))
    }

    fn check_claimable(&self, record: &KeyRecord) -> Result<(), ClaimError> {
        snafu::ensure!(record.digest == self.digest, claim_error::KeyReusedSnafu);
        match &record.usage {
            KeyUsage::Job { .. } => claim_error::KeyReusedSnafu.fail(),
            KeyUsage::Claim {
                state: ClaimState::Withdrawn,
                ..
            } => Ok(()),
            KeyUsage::Claim { claimant, .. } => claim_error::NotClaimableSnafu {
                claimant: claimant.clone(),
            }
            .fail(),
        }
    }
}

impl KeyRecord {
    /// Creates the record of a job submission.
    pub fn for_job(job: JobId, digest: BodyDigest, delete_after: PlatformTime, write_id: WriteId) -> Self {
        Self {
            digest,
            usage: KeyUsage::Job { job },
            delete_after,
            write_id,
        }
    }

    /// Returns whether this process holds the claim without a recorded outcome.
    pub fn is_claimed_by(&self, process: &ProcessIdentity) -> bool {
        matches!(&self.usage, KeyUsage::Claim { claimant, state: ClaimState::Claimed } if claimant == process)
    }

    fn is_withdrawn(&self) -> bool {
        let state = &ClaimState::Withdrawn;
        matches!(&self.usage, KeyUsage::Claim { state: found, .. } if found == state)
    }
}

impl Versioned<KeyRecord> {
    /// Plans to delete the row; fails until its retention time has passed.
    pub fn delete(
        &self,
        key: &RowKey,
        now: PlatformTime,
        write_id: WriteId,
    ) -> Result<TableTransaction, ClaimError> {
        let delete_after = self.record.delete_after;
        snafu::ensure!(now > delete_after, claim_error::TooEarlySnafu { delete_after });
        Ok(TableTransaction::new(write_id)
            .check(key, self.version)
            .delete(key))
    }
}
