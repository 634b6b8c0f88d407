/// Priority of a call to a platform service; lower priorities are shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallPriority {
    /// Status read on behalf of a caller.
    StatusRead,
    /// Claim or outcome of a request with an idempotency key.
    KeyedRequest,
    /// Job submission.
    Submission,
    /// Lease renewal or job completion; waits for admission instead of being shed.
    Essential,
}

impl CallPriority {
    /// Returns the share of a limit, in eighths, that is reserved for higher priorities.
    pub(crate) fn reserved_eighths(self) -> u32 {
        match self {
            Self::StatusRead => 3,
            Self::KeyedRequest => 2,
            Self::Submission => 1,
            Self::Essential => 0,
        }
    }
}
