//! Jobs: what callers submit, the state of their tasks, and the records that are stored.

pub(crate) mod job_body;
pub(crate) mod job_entry;
pub(crate) mod job_record;
pub(crate) mod job_value;
pub(crate) mod loss_ledger;
pub(crate) mod placement_restore;
pub(crate) mod run_end;
pub(crate) mod run_release;
