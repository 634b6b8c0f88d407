//! Records stored in the platform's table, and the conditional transactions that change them.
//!
//! Methods of a record validate a change against the rows that were read and the platform time, and return a
//! [`PlannedChange`] to commit or an error. The crate performs no I/O. [`CommitProgress`] determines the
//! outcome of commits whose responses are lost.
//!
//! - The placement holder of a data centre is the entry VM process that holds its placement lease; it alone
//!   starts jobs there. Each takeover of the lease raises the epoch.
//! - A job runs as a gang of tasks that start together. The gang member of a task runs on one worker.
//! - A notice tells the holder that a job was assigned to its data centre or cancelled. Accepting the notice
//!   creates the index entry, by which a later holder finds the unfinished jobs of the data centre.
//! - Proposed account configurations are accepted or rejected by the owner of the month; the turn says which
//!   owner this is.

mod account_request;
mod body_digest;
mod calendar_month;
mod centre_lifecycle;
mod centre_record;
mod claim_lookup;
mod commit_progress;
mod epoch_record;
mod holder_guard;
mod inbox_record;
mod job_change;
mod job_lifecycle;
mod job_record;
mod key_record;
mod lease_record;
mod lifecycle;
pub mod memory;
mod object_key;
mod placed_record;
mod planned_change;
mod process_identity;
mod proposal_id;
mod proposal_lifecycle;
mod proposal_record;
mod questionnaire;
mod recorded_response;
mod revision_record;
mod row_key;
mod table;
mod turn_record;
mod versioned;

pub use account_request::{AccountImportance, AccountRequest};
pub use body_digest::BodyDigest;
pub use calendar_month::{CalendarMonth, civil_from_days};
pub use centre_lifecycle::{CentreEvent, CentreLifecycle};
pub use centre_record::{CentreOrder, CentreRecord, OrderError, OrderKind, START_PERMIT_MS, in_force_at};
pub use claim_lookup::{ClaimLookup, look_up_claim, look_up_submission};
pub use commit_progress::{CallOutcome, CommitProgress, CommitResolution, CommitStep};
pub use epoch_record::{EpochRecord, HeldLease, LeaseTakeover};
pub use holder_guard::HolderGuard;
pub use inbox_record::{InboxRecord, JobNotice};
pub use job_change::JobStart;
pub use job_lifecycle::{JobEvent, JobLifecycle, JobState, RequeueReason};
pub use job_record::{JobEnding, JobError, JobRecord, JobSubmission, PlacedMember};
pub use key_record::{ClaimError, ClaimOutcome, ClaimState, KeyRecord, KeyUsage, RequestClaim};
pub use lease_record::{LEASE_TERM_MS, LeaseError, LeaseRecord};
pub use lifecycle::TransitionError;
pub use object_key::ObjectKey;
pub use placed_record::PlacedRecord;
pub use planned_change::PlannedChange;
pub use process_identity::ProcessIdentity;
pub use proposal_id::ProposalId;
pub use proposal_lifecycle::{ProposalEvent, ProposalLifecycle, ProposalState};
pub use proposal_record::{AcceptanceBase, OwnerDecision, ProposalError, ProposalRecord};
pub use questionnaire::Questionnaire;
pub use recorded_response::{MAX_INLINE_BODY_BYTES, RECORDED_HEADERS, RecordedBody, RecordedResponse};
pub use revision_record::{HeadRecord, RevisionRecord};
pub use row_key::RowKey;
pub use table::{
    CommitResult, ReadQuery, RowCheck, RowPage, RowVersion, RowWrite, ScanQuery, TableResponse, TableRow,
    TableTransaction,
};
pub use turn_record::{TurnError, TurnRecord};
pub use versioned::{DecodeError, Versioned, is_written_by};
