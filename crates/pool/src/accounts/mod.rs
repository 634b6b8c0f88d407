//! Limits and shares of client accounts: what each may run, and who is first when all is full.

pub(crate) mod account_ledger;
pub(crate) mod account_share;
pub(crate) mod cap_preemption;
pub(crate) mod ended_runs;
