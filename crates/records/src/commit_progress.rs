use std::sync::Arc;

use arbutuspick_model::{ClockTime, WriteId};

use crate::{CommitResult, RowCheck, RowPage, RowVersion, RowWrite, TableTransaction, is_written_by};

/// Outcome of one call that commits a transaction or reads its rows back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Response to the transaction.
    Result(CommitResult),
    /// Response to the read of the rows.
    Rows(RowPage),
    /// No byte was sent, or the table rejected the call without processing it.
    NotSent,
    /// The response was lost; the call may have taken effect.
    ResponseLost,
}

/// Next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitStep {
    /// Send the same transaction, with the same id and checks.
    Send,
    /// Read these rows.
    ReadBack(Vec<Arc<str>>),
    /// Make no further call.
    Done(CommitResolution),
}

/// Final result of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResolution {
    /// The transaction committed.
    Committed {
        /// Version of the rows that it wrote.
        version: RowVersion,
    },
    /// The transaction did not commit.
    Conflict {
        /// First key whose check failed.
        key: Arc<str>,
    },
    /// Other transactions have since written or deleted every row; the caller decides by the row contents.
    Overwritten,
    /// The transaction was not sent, or the table rejected every call without processing it.
    NotSent,
    /// The transaction may have committed, and the deadline or the maximum number of calls was reached.
    Unresolved,
}

/// Progress of one commit over calls whose responses may be lost.
///
/// The same transaction is sent again until the table responds. Its checks let it commit at most once. After
/// a lost response, a conflict may be caused by the transaction's own earlier commit; reading the rows back
/// distinguishes the two.
///
/// ```
/// use arbutuspick_model::{ClockTime, WriteId};
/// use arbutuspick_records::{CallOutcome, CommitProgress, CommitResolution, CommitStep, TableTransaction};
/// let transaction = TableTransaction::new(WriteId::generate()).put("turn", "{}");
/// let mut progress = CommitProgress::new(&transaction, ClockTime(500), 3);
/// assert_eq!(progress.next_step(ClockTime(0)), CommitStep::Send);
/// progress.record(CallOutcome::ResponseLost);
/// assert_eq!(progress.next_step(ClockTime(100)), CommitStep::Send);
/// assert_eq!(progress.next_step(ClockTime(500)), CommitStep::Done(CommitResolution::Unresolved));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitProgress {
    /// Identifier of the transaction.
    pub write_id: WriteId,
    /// Number of calls made, including reads.
    pub calls: u32,
    /// Maximum number of calls.
    pub max_calls: u32,
    /// Time from which no further call is made.
    pub deadline: ClockTime,
    checks: Vec<RowCheck>,
    written_keys: Vec<Arc<str>>,
    may_have_committed: bool,
    conflict: Option<Arc<str>>,
    resolution: Option<CommitResolution>,
}

impl CommitProgress {
    /// Starts the commit of a transaction.
    pub fn new(transaction: &TableTransaction, deadline: ClockTime, max_calls: u32) -> Self {
        let written_keys = transaction.writes.iter().map(|write| match write {
            RowWrite::Put { key, .. } | RowWrite::Delete { key } => key.clone(),
        });
        Self {
            write_id: transaction.id,
            calls: 0,
            max_calls,
            deadline,
            checks: transaction.checks.clone(),
            written_keys: written_keys.collect(),
            may_have_committed: false,
            conflict: None,
            resolution: None,
        }
    }

    /// Returns the next action at `now`.
    pub fn next_step(&self, now: ClockTime) -> CommitStep {
        if let Some(resolution) = &self.resolution {
            return CommitStep::Done(resolution.clone());
        }
        if now >= self.deadline || self.calls >= self.max_calls {
            return CommitStep::Done(self.resolution_at_limit());
        }
        match self.conflict {
            Some(_) => CommitStep::ReadBack(self.written_keys.clone()),
            None => CommitStep::Send,
        }
    }

    /// Records the outcome of the call for the last step.
    pub fn record(&mut self, outcome: CallOutcome) {
        self.calls += 1;
        match outcome {
            CallOutcome::Result(CommitResult::Committed { version }) => {
                self.resolution = Some(CommitResolution::Committed { version });
            }
            CallOutcome::Result(CommitResult::Conflict { key }) if self.may_have_committed => {
                self.conflict = Some(key);
            }
            CallOutcome::Result(CommitResult::Conflict { key }) => {
                self.resolution = Some(CommitResolution::Conflict { key });
            }
            CallOutcome::Rows(page) => self.resolution = self.resolve_from_rows(&page),
            // A lost read has no effect, but a lost commit may have taken effect.
            CallOutcome::ResponseLost => self.may_have_committed |= self.conflict.is_none(),
            CallOutcome::NotSent => {}
        }
    }

    fn resolution_at_limit(&self) -> CommitResolution {
        if self.may_have_committed {
            return CommitResolution::Unresolved;
        }
        CommitResolution::NotSent
    }

    fn resolve_from_rows(&self, page: &RowPage) -> Option<CommitResolution> {
        let key = self.conflict.clone()?;
        let own_row = page.rows.iter().find(|row| is_written_by(row, self.write_id));
        if let Some(row) = own_row {
            let version = row.version;
            return Some(CommitResolution::Committed { version });
        }
        if self.written_keys.iter().any(|key| self.is_unchanged(key, page)) {
            return Some(CommitResolution::Conflict { key });
        }
        Some(CommitResolution::Overwritten)
    }

    /// Returns whether a row still has the version that was checked, which shows that nothing was written.
    fn is_unchanged(&self, key: &Arc<str>, page: &RowPage) -> bool {
        let found = page.rows.iter().find(|row| row.key == *key);
        let version = found.map_or(RowVersion::ABSENT, |row| row.version);
        // An absent row shows nothing: it may have been written and then deleted.
        version != RowVersion::ABSENT
            && self
                .checks
                .iter()
                .any(|check| check.key == *key && check.version == version)
    }
}
