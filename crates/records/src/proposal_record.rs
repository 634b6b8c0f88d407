use arbutuspick_model::{AccountConfig, ConfigChange, ConfigRevision, OwnerName, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{
    AccountRequest, HeadRecord, PlannedChange, ProposalEvent, ProposalId, ProposalLifecycle, ProposalState,
    RevisionRecord, RowKey, RowVersion, TableTransaction, TransitionError, TurnRecord, Versioned,
};

/// Row `proposal/{id}`: proposed configuration of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalRecord {
    /// Proposal.
    pub proposal: ProposalId,
    /// Validated answers of the team.
    pub request: AccountRequest,
    /// Configuration generated from the request.
    pub config: AccountConfig,
    /// Revision against which the proposal was checked when it was created.
    pub base_revision: ConfigRevision,
    /// State.
    pub state: ProposalState,
    /// Time of the proposal.
    pub proposed_at: PlatformTime,
    /// Owner of the month who accepted or rejected it.
    pub decided_by: Option<OwnerName>,
    /// Revision that the acceptance created.
    pub revision: Option<ConfigRevision>,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// A decision of the owner of the month, with the row that it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerDecision<'a> {
    /// Owner who decides.
    pub owner: OwnerName,
    /// Row `turn`.
    pub turn: &'a Versioned<TurnRecord>,
    /// Current platform time.
    pub now: PlatformTime,
}

/// The configuration on which an acceptance is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptanceBase<'a> {
    /// Row `config/head`, if it exists.
    pub head: Option<&'a Versioned<HeadRecord>>,
    /// Revision against which the packing of all guarantees was last checked; it must be the head.
    pub checked_at: ConfigRevision,
}

/// Reason why a change of a proposal is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum ProposalError {
    /// The state does not allow the change.
    #[snafu(transparent)]
    Transition {
        /// Refused transition.
        source: TransitionError,
    },
    /// Another owner decides in this month.
    #[snafu(display("owner {owner} does not decide in month {}, but {}", turn.month, turn.owner))]
    WrongOwner {
        /// Owner who attempted to decide.
        owner: OwnerName,
        /// Turn.
        turn: Box<TurnRecord>,
    },
    /// The turn must be advanced first.
    #[snafu(display("month {} is over and its turn must be advanced first", turn.month))]
    MonthOver {
        /// Turn.
        turn: Box<TurnRecord>,
    },
    /// The configuration has changed since the packing was checked.
    #[snafu(display("guarantees were checked on revision {checked_at}, but the head is {head}"))]
    HeadMoved {
        /// Revision of the check.
        checked_at: ConfigRevision,
        /// Head.
        head: ConfigRevision,
    },
}

impl ProposalRecord {
    /// Plans a proposal with the configuration generated from the request.
    pub fn propose(
        proposal: ProposalId,
        request: AccountRequest,
        base_revision: ConfigRevision,
        now: PlatformTime,
        write_id: WriteId,
    ) -> PlannedChange<Self> {
        let record = Self {
            proposal,
            config: request.generate_config(),
            request,
            base_revision,
            state: ProposalState::Proposed,
            proposed_at: now,
            decided_by: None,
            revision: None,
            write_id,
        };
        let transaction = TableTransaction::new(write_id);
        record.planned(RowVersion::ABSENT, transaction)
    }

    fn planned(self, version: RowVersion, transaction: TableTransaction) -> PlannedChange<Self> {
        let key = RowKey::Proposal(self.proposal);
        PlannedChange {
            transaction: transaction.check(&key, version).put(&key, encode(&self)),
            record: self,
        }
    }
}

impl Versioned<ProposalRecord> {
    /// Plans an acceptance by the owner of the month, which creates the next revision.
    pub fn accept(
        &self,
        decision: &OwnerDecision<'_>,
        base: AcceptanceBase<'_>,
        write_id: WriteId,
    ) -> Result<PlannedChange<ProposalRecord>, ProposalError> {
        let AcceptanceBase { head, checked_at } = base;
        let mut record = self.apply_decision(ProposalEvent::Accept, decision, write_id)?;
        let current = head.map_or(ConfigRevision::default(), |row| row.record.revision);
        snafu::ensure!(
            current == checked_at,
            proposal_error::HeadMovedSnafu {
                checked_at,
                head: current
            }
        );
        let revision = current.next();
        record.revision = Some(revision);
        let new_head = HeadRecord { revision, write_id };
        let row = revision_row(&record, revision, decision);
        let transaction = decision
            .begin(write_id)
            .check(RowKey::Head, Versioned::version_of(head))
            .put(RowKey::Head, encode(&new_head))
            .put(RowKey::Revision(revision), encode(&row));
        Ok(record.planned(self.version, transaction))
    }

    /// Plans a rejection by the owner of the month.
    pub fn reject(
        &self,
        decision: &OwnerDecision<'_>,
        write_id: WriteId,
    ) -> Result<PlannedChange<ProposalRecord>, ProposalError> {
        let record = self.apply_decision(ProposalEvent::Reject, decision, write_id)?;
        Ok(record.planned(self.version, decision.begin(write_id)))
    }

    /// Plans to mark the proposal as superseded by a newer one for the same account.
    pub fn supersede(&self, write_id: WriteId) -> Result<PlannedChange<ProposalRecord>, ProposalError> {
        let record = self.apply_event(ProposalEvent::Supersede, write_id)?;
        Ok(record.planned(self.version, TableTransaction::new(write_id)))
    }

    fn apply_event(&self, event: ProposalEvent, write_id: WriteId) -> Result<ProposalRecord, ProposalError> {
        let state = ProposalLifecycle::default().next(self.record.state, event)?;
        Ok(ProposalRecord {
            state,
            write_id,
            ..self.record.clone()
        })
    }

    fn apply_decision(
        &self,
        event: ProposalEvent,
        decision: &OwnerDecision<'_>,
        write_id: WriteId,
    ) -> Result<ProposalRecord, ProposalError> {
        decision.check()?;
        let mut record = self.apply_event(event, write_id)?;
        record.decided_by = Some(decision.owner.clone());
        Ok(record)
    }
}

impl OwnerDecision<'_> {
    fn check(&self) -> Result<(), ProposalError> {
        let turn = &self.turn.record;
        if turn.is_over(self.now) {
            let turn = Box::new(turn.clone());
            return proposal_error::MonthOverSnafu { turn }.fail();
        }
        if turn.owner != self.owner {
            let (owner, turn) = (self.owner.clone(), Box::new(turn.clone()));
            return proposal_error::WrongOwnerSnafu { owner, turn }.fail();
        }
        Ok(())
    }

    fn begin(&self, write_id: WriteId) -> TableTransaction {
        TableTransaction::new(write_id).check(RowKey::Turn, self.turn.version)
    }
}

fn revision_row(
    record: &ProposalRecord,
    revision: ConfigRevision,
    decision: &OwnerDecision<'_>,
) -> RevisionRecord {
    RevisionRecord {
        change: ConfigChange {
            revision,
            account: record.request.account.clone(),
            config: Some(record.config.clone()),
        },
        proposal: record.proposal,
        accepted_by: decision.owner.clone(),
        accepted_at: decision.now,
        write_id: record.write_id,
    }
}
