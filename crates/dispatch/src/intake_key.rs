use std::sync::Arc;

/// Suffix that turns a job id into the key of its cancel request.
const CANCEL_SUFFIX: &str = "/cancel";
/// Separates the id of a job from the client account that withdrew it.
const WITHDRAWAL_SEPARATOR: &str = "/withdrawn/";
/// Length up to which the name of a client account enters a key, in bytes; keys are limited to 200 bytes.
const MAX_ACCOUNT_BYTES: usize = 140;

/// Time in milliseconds for which a request that refers to no known job is kept; longer than a write can be delayed.
pub(crate) const REQUEST_RETENTION_MS: u64 = 60_000;

/// What a row of the table of requests stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IntakeKey<'a> {
    /// The body of the job with this id.
    Body(&'a str),
    /// A request to cancel the job with this id.
    Cancel(&'a str),
    /// A withdrawal: a client account has cancelled a job that was not stored, so it must not be stored later.
    Withdrawal,
}

impl<'a> From<&'a str> for IntakeKey<'a> {
    fn from(key: &'a str) -> Self {
        match key.strip_suffix(CANCEL_SUFFIX) {
            None => Self::Body(key),
            Some(rest) if rest.contains(WITHDRAWAL_SEPARATOR) => Self::Withdrawal,
            Some(job) => Self::Cancel(job),
        }
    }
}

/// Returns the key of the request to cancel a job.
pub(crate) fn cancel_key(job: &str) -> Arc<str> {
    format!("{job}{CANCEL_SUFFIX}").into()
}

/// Returns the key of the withdrawal of a job by a client account; the empty name stands for callers without one.
///
/// Leaders of earlier versions take it for the cancel request of an unknown job and remove it.
pub(crate) fn withdrawal_key(job: &str, account: &str) -> Arc<str> {
    let account = &account[..account.floor_char_boundary(MAX_ACCOUNT_BYTES)];
    format!("{job}{WITHDRAWAL_SEPARATOR}{account}{CANCEL_SUFFIX}").into()
}
