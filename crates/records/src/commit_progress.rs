use std::sync::Arc;

use arbutuspick_model::{ClockTime, WriteId};

use crate::{CommitResult, RowCheck, RowPage, RowVersion, RowWrite, TableTransaction, is_mine};

/// What one attempt to commit a transaction, or to read its rows back, brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// The table answered the transaction.
    Result(CommitResult),
    /// The table answered the read of the rows.
    Rows(RowPage),
    /// No byte was sent, or the table refused the call without looking at it.
    NotSent,
    /// The call may have taken effect and its answer was lost.
    Lost,
}

/// What the caller does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitStep {
    /// Send the same transaction, with the same id and checks.
    Send,
    /// Read these rows.
    ReadBack(Vec<Arc<str>>),
    /// Stop.
    Done(CommitResolution),
}

/// How a commit ended.
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
    /// Every row was written or deleted by a later or another transaction, so that its content decides.
    Overwritten,
    /// The transaction was never sent.
    NotSent,
    /// The transaction may have committed, and the deadline or the last attempt passed.
    Unresolved,
}

/// Progress of one transaction whose answers may be lost.
///
/// The same transaction is repeated until the table answers. Its checks let it commit at most once. After
/// a lost answer a conflict may be the transaction's own earlier commit, and reading the rows back decides.
///
/// ```
/// use arbutuspick_model::{ClockTime, WriteId};
/// use arbutuspick_records::{CommitAnswer, CommitProgress, CommitResolution, CommitStep, TableTransaction};
/// let transaction = TableTransaction::new(WriteId::generate()).put("turn", "{}");
/// let mut progress = CommitProgress::new(&transaction, ClockTime(500), 3);
/// assert_eq!(progress.step(ClockTime(0)), CommitStep::Send);
/// progress.record(CommitAnswer::Lost);
/// assert_eq!(progress.step(ClockTime(100)), CommitStep::Send);
/// assert_eq!(progress.step(ClockTime(500)), CommitStep::Done(CommitResolution::Unresolved));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitProgress {
    /// Identifier of the transaction.
    pub write_id: WriteId,
    /// Calls that were made, reads included.
    pub attempts: u32,
    /// Most calls.
    pub max_attempts: u32,
    /// Time at which the caller gives up.
    pub deadline: ClockTime,
    checks: Vec<RowCheck>,
    written: Vec<Arc<str>>,
    ambiguous: bool,
    conflict: Option<Arc<str>>,
    resolution: Option<CommitResolution>,
}

impl CommitProgress {
    /// Starts the commit of a transaction.
    pub fn new(transaction: &TableTransaction, deadline: ClockTime, max_attempts: u32) -> Self {
        let written = transaction.writes.iter().map(|write| match write {
            RowWrite::Put { key, .. } | RowWrite::Delete { key } => key.clone(),
        });
        Self {
            write_id: transaction.id,
            attempts: 0,
            max_attempts,
            deadline,
            checks: transaction.checks.clone(),
            written: written.collect(),
            ambiguous: false,
            conflict: None,
            resolution: None,
        }
    }

    /// Returns what to do at `now`.
    pub fn step(&self, now: ClockTime) -> CommitStep {
        if let Some(resolution) = &self.resolution {
            return CommitStep::Done(resolution.clone());
        }
        if now >= self.deadline || self.attempts >= self.max_attempts {
            return CommitStep::Done(self.given_up());
        }
        match self.conflict {
            Some(_) => CommitStep::ReadBack(self.written.clone()),
            None => CommitStep::Send,
        }
    }

    /// Records the answer to the call of the last step.
    pub fn record(&mut self, answer: CommitAnswer) {
        self.attempts += 1;
        match answer {
            CommitAnswer::Result(CommitResult::Committed { version }) => {
                self.resolution = Some(CommitResolution::Committed { version });
            }
            CommitAnswer::Result(CommitResult::Conflict { key }) if self.ambiguous => {
                self.conflict = Some(key);
            }
            CommitAnswer::Result(CommitResult::Conflict { key }) => {
                self.resolution = Some(CommitResolution::Conflict { key });
            }
            CommitAnswer::Rows(page) => self.resolution = self.judge_rows(&page),
            // A lost read changes nothing, but a lost commit may have taken effect.
            CommitAnswer::Lost => self.ambiguous |= self.conflict.is_none(),
            CommitAnswer::NotSent => {}
        }
    }

    fn given_up(&self) -> CommitResolution {
        if self.ambiguous {
            return CommitResolution::Unresolved;
        }
        CommitResolution::NotSent
    }

    fn judge_rows(&self, page: &RowPage) -> Option<CommitResolution> {
        let key = self.conflict.clone()?;
        let mine = page.rows.iter().find(|row| is_mine(row, self.write_id));
        if let Some(row) = mine {
            let version = row.version;
            return Some(CommitResolution::Committed { version });
        }
        if self.written.iter().any(|key| self.is_unchanged(key, page)) {
            return Some(CommitResolution::Conflict { key });
        }
        Some(CommitResolution::Overwritten)
    }

    /// Returns whether a row still has the version that the transaction checked, so that it wrote nothing.
    fn is_unchanged(&self, key: &Arc<str>, page: &RowPage) -> bool {
        let found = page.rows.iter().find(|row| row.key == *key);
        let version = found.map_or(RowVersion::ABSENT, |row| row.version);
        // An absent row proves nothing: it may have been written and deleted again.
        version != RowVersion::ABSENT
            && self
                .checks
                .iter()
                .any(|check| check.key == *key && check.version == version)
    }
}
