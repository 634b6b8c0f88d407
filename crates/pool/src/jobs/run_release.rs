//! The rule by which a task may be started again.

use std::fmt;

use crate::EndKind;

/// Evidence that the latest run of a task is neither present on its worker nor can begin there later.
///
/// A task waits for another start only with such evidence. Silence of a worker and the removal of its
/// registry entry are no evidence: a worker that is cut off goes on with its runs until its lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunRelease {
    /// The worker listed the end of the run.
    Ended(EndKind),
    /// The worker confirmed the run or its stop, and listed its runs without this one afterwards.
    Absent,
    /// The worker refused the start, or the order was never sent.
    NotStarted,
    /// The incarnation of the worker that listed the run has ended.
    IncarnationEnded,
    /// No lease that was granted to the worker can still be valid on its clock.
    LeaseExpired,
}

impl fmt::Display for RunRelease {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ended(_) => "ended",
            Self::Absent => "absent",
            Self::NotStarted => "not started",
            Self::IncarnationEnded => "incarnation ended",
            Self::LeaseExpired => "lease expired",
        })
    }
}
