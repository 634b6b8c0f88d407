/// Priority of a call to the platform; lower ones are shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallPriority {
    /// Read of a status for a caller.
    StatusRead,
    /// Claim or outcome of a request with a key.
    KeyedRequest,
    /// Submission of a job.
    Submission,
    /// Renewal of a lease or end of a job; never shed.
    Essential,
}

impl CallPriority {
    /// Returns the share of a limit, in eighths, that stays free for higher priorities.
    pub(crate) fn reserved_eighths(self) -> u32 {
        match self {
            Self::StatusRead => 3,
            Self::KeyedRequest => 2,
            Self::Submission => 1,
            Self::Essential => 0,
        }
    }
}
