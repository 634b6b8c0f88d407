use arbutuspick_model::RefusalReason;
use snafu::Snafu;

/// Why no slot could be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AcquireError {
    /// No upstream of the service is live.
    #[snafu(display("no upstream of the service is live"))]
    NoUpstream,
    /// Every live upstream of the service is ejected or excluded, that is, the request has tried it before.
    #[snafu(display("every live upstream of the service was tried before or is ejected"))]
    AllExcluded,
    /// Every upstream that is live and neither excluded nor ejected is at its concurrency limit or at the
    /// connection cap; the request may wait in the queue.
    #[snafu(display("every eligible upstream of the service is at its concurrency limit"))]
    AllBusy,
}

impl AcquireError {
    /// Returns the reason that is reported to the caller if the request does not wait.
    pub fn refusal_reason(self) -> RefusalReason {
        match self {
            Self::NoUpstream => RefusalReason::NoUpstream,
            Self::AllExcluded => RefusalReason::UpstreamRefused,
            Self::AllBusy => RefusalReason::Overloaded,
        }
    }
}
